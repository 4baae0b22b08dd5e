"""Shedding of submissions while the event loop is late."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_types import Clock

__all__ = ('Shedder',)

_SAMPLE_S = 0.02
# Below this lateness everything is admitted; the share that is refused grows
# linearly up to the second one. Prompt work has a deadline of about 1 s.
_LATE_S = 0.05
_TOO_LATE_S = 0.25
_MOST = 0.95
_SMOOTHING = 0.2


class Shedder:
    """Refuses a part of the submissions before their bodies are read.

    A daemon that is at its core would otherwise spend on refusals the time
    that starts and lease renewals need.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without lateness."""
        self.lateness_s = float(0)
        self._clock = clock
        self._random = random.Random()

    async def measure(self) -> None:
        """Measure for ever how late the event loop is."""
        while True:
            due_s = self._clock.now_s() + _SAMPLE_S
            await asyncio.sleep(_SAMPLE_S)
            self.note(self._clock.now_s() - due_s)

    def note(self, lateness_s: float) -> None:
        """Take a measurement into the moving average."""
        self.lateness_s += _SMOOTHING * (lateness_s - self.lateness_s)

    def refused_part(self) -> float:
        """Return the part of the submissions to refuse, from 0 to 1."""
        part = (self.lateness_s - _LATE_S) / (_TOO_LATE_S - _LATE_S)
        return min(max(part, float(0)), _MOST)

    def is_refused(self) -> bool:
        """Tell whether to refuse the next submission."""
        return self._random.random() < self.refused_part()
