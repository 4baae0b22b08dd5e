"""Load shedding by the lag of the event loop."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_types import Clock

__all__ = ('LoadShedder',)

_SAMPLE_S = 0.02
# Below the first lag all submissions are admitted; the refused ratio grows
# linearly from there to the second one. Prompt requests have a deadline of
# about 1 s, so the upper lag stays well below that.
_MIN_LAG_S = 0.05
_MAX_LAG_S = 0.25
_MAX_REFUSAL_RATIO = 0.95
_SMOOTHING = 0.2


class LoadShedder:
    """Refuses a ratio of the submissions before their bodies are read.

    A daemon that has reached the limit of its CPU core would otherwise spend
    on refusals the time that task starts and lease renewals need.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with a lag of zero."""
        self.lag_s = float(0)
        self._clock = clock
        self._random = random.Random()

    async def measure(self) -> None:
        """Measure the lag of the event loop until cancelled."""
        while True:
            due_s = self._clock.now_s() + _SAMPLE_S
            await asyncio.sleep(_SAMPLE_S)
            self.record_lag(self._clock.now_s() - due_s)

    def record_lag(self, lag_s: float) -> None:
        """Add a measurement to the moving average."""
        self.lag_s += _SMOOTHING * (lag_s - self.lag_s)

    def refusal_ratio(self) -> float:
        """Return the ratio of submissions to refuse, from 0 to 1."""
        ratio = (self.lag_s - _MIN_LAG_S) / (_MAX_LAG_S - _MIN_LAG_S)
        return min(max(ratio, float(0)), _MAX_REFUSAL_RATIO)

    def should_refuse(self) -> bool:
        """Return whether to refuse the next submission."""
        return self._random.random() < self.refusal_ratio()
