"""Room kept free for prompt work, following its demand."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from currantreach_decisions._ledger import EMPTY
from currantreach_types import Resources

if TYPE_CHECKING:
    from currantreach_decisions._fleet import Fleet

__all__ = ('PromptReserve',)

_STEP_S = 1
# The rate rises within seconds of a burst and falls over a minute, so that
# a short gap does not give the room away.
_RISE_WEIGHT = 0.5
_FALL_WEIGHT = 0.02
_UNIT_WEIGHT = 0.05
_RUN_WEIGHT = 0.05
# Demand is close to a Poisson process: 3 standard deviations above the mean
# cover all but one moment in a thousand.
_DEVIATIONS = 3
_LARGEST_PART = 0.15


class PromptReserve:
    """Prompt tasks for which room stays free.

    :ivar count: number of typical prompt tasks.
    :ivar running: prompt tasks that run now.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Keep nothing until prompt work arrives."""
        self.count = 0
        self.running = 0
        self._fleet = fleet
        self._rate: float = 0
        self._run_s: float = 0
        self._arrivals = 0
        self._starts = 0
        self._start_rate: float = 0
        self._step_at_s: float = 0
        self._size = EMPTY

    def arrived(self, size: Resources, run_s: float) -> None:
        """Count a prompt request."""
        self._arrivals += 1
        if self._size is EMPTY:
            self._size = size
            self._run_s = run_s
        weight = _UNIT_WEIGHT
        self._size = Resources(
            max(1, size.slot_count),
            _mean(self._size.cpu_milli, size.cpu_milli, weight),
            _mean(self._size.memory_mib, size.memory_mib, weight),
            0,
            max(self._size.connection_count, size.connection_count),
        )
        self._run_s += _RUN_WEIGHT * (run_s - self._run_s)

    def started(self) -> None:
        """Count a prompt task that starts."""
        self.running += 1
        self._starts += 1

    def expected_wait_s(self, backlog: int) -> float:
        """Return how long it takes to start a backlog, 0 if not known."""
        if not self._start_rate:
            return 0
        return backlog / self._start_rate

    def step(self, now_s: float) -> None:
        """Follow the demand once a second."""
        passed_s = now_s - self._step_at_s
        if passed_s < _STEP_S or self._size is EMPTY:
            return
        rate = self._arrivals / min(passed_s, 60)
        weight = _RISE_WEIGHT if rate > self._rate else _FALL_WEIGHT
        self._rate += weight * (rate - self._rate)
        self._start_rate = self._starts / passed_s
        self._arrivals = 0
        self._starts = 0
        self._step_at_s = now_s
        self._measure()
        self._follow()

    def allows(self, units_lost: int) -> bool:
        """Tell whether enough room is left for prompt work."""
        if not units_lost:
            return True
        return self._fleet.prompt_units - units_lost >= self.count

    def _measure(self) -> None:
        """Take over the typical size when it has changed by a quarter."""
        unit = self._fleet.prompt_unit
        change = abs(unit.cpu_milli - self._size.cpu_milli)
        change_mib = abs(unit.memory_mib - self._size.memory_mib)
        if 4 * change > unit.cpu_milli or 4 * change_mib > unit.memory_mib:
            self._fleet.measure_in(self._size)

    def _follow(self) -> None:
        """Choose the number of tasks for which room stays free."""
        mean = self._rate * self._run_s
        target = mean + _DEVIATIONS * math.sqrt(mean)
        all_units = self.running + self._fleet.prompt_units
        most = _LARGEST_PART * all_units
        count = math.ceil(min(target - self.running, most))
        before = self.count
        self.count = max(count, 0)
        if self.count < before:
            self._fleet.invalidate()


def _mean(mean: int, amount: int, weight: float) -> int:
    """Return the moving mean."""
    return round(mean + weight * (amount - mean))
