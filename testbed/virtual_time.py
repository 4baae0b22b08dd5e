"""Event loop and clock with virtual time."""

from __future__ import annotations

import asyncio
import selectors

from currantreach_types import Clock

__all__ = ('LoopClock', 'VirtualLoop')

_START_S = 1000


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = _START_S

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting for them."""

    def __init__(self) -> None:
        """Start at a time that is not 0."""
        self.time_selector = _VirtualTimeSelector()
        super().__init__(self.time_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.time_selector.now_s


class LoopClock(Clock):
    """Clock that returns the virtual time of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Follow the time of an event loop."""
        self.loop = loop

    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.time()
