"""Clocks to inject into code that depends on time."""

from __future__ import annotations

import abc
import time

__all__ = (
    'BootClock',
    'Clock',
    'ManualClock',
    'MonotonicClock',
    'unix_now_ms',
)

_NS_PER_MS = 1000000


class Clock(abc.ABC):
    """Source of monotonic time."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return the monotonic time in seconds."""


class MonotonicClock(Clock):
    """Monotonic clock of the operating system."""

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class BootClock(Clock):
    """Monotonic clock that goes on while the host is suspended.

    Leases are measured by it. They end elsewhere during a suspension, which the
    clock of :class:`MonotonicClock` does not count on Linux.
    """

    def now_s(self) -> float:
        """Return the time since the host has booted, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Clock for tests that moves only by calls of ``advance``."""

    def __init__(self, start_s: float = 0) -> None:
        """Start the clock at ``start_s`` seconds."""
        self._now_s = start_s

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now_s

    def advance(self, step_s: float) -> None:
        """Move the clock forward by ``step_s`` seconds."""
        self._now_s += step_s


def unix_now_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // _NS_PER_MS
