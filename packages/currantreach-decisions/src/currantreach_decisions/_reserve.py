"""Headroom for prompt tasks, adapted to their demand.

The reserve is capacity that other tasks leave free at all times, on any worker.
A reservation (see ``_reservation``) is a set of workers for one gang or large
task.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from currantreach_decisions._ledger import EMPTY
from currantreach_types import Resources

if TYPE_CHECKING:
    from currantreach_decisions._fleet import Fleet

__all__ = ('PromptReserve',)

_UPDATE_INTERVAL_S = 1
# The moving average of the rate rises within seconds of a burst and falls
# over a minute, so that a short gap does not release the reserve.
_RISE_WEIGHT = 0.5
_FALL_WEIGHT = 0.02
_SIZE_SMOOTHING = 0.05
_RUN_TIME_SMOOTHING = 0.05
# Arrivals are close to a Poisson process: 3 standard deviations above the mean
# cover the demand 99.9 % of the time.
_STANDARD_DEVIATIONS = 3
_MAX_FLEET_RATIO = 0.15


class PromptReserve:
    """Headroom of free capacity for prompt tasks.

    :ivar count: size of the reserve as a number of typical prompt tasks.
    :ivar running: number of running prompt tasks.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Keep nothing free until the first prompt request arrives."""
        self.count = 0
        self.running = 0
        self._fleet = fleet
        self._rate: float = 0
        self._run_s: float = 0
        self._arrivals = 0
        self._starts = 0
        self._start_rate: float = 0
        self._is_saturated = False
        self._updated_at_s: float = 0
        self._typical_size = EMPTY

    def record_arrival(self, size: Resources, run_s: float) -> None:
        """Count the arrival of a prompt request."""
        self._arrivals += 1
        if self._typical_size is EMPTY:
            self._typical_size = size
            self._run_s = run_s
        weight = _SIZE_SMOOTHING
        self._typical_size = Resources(
            max(1, size.slot_count),
            _mean(self._typical_size.cpu_milli, size.cpu_milli, weight),
            _mean(self._typical_size.memory_mib, size.memory_mib, weight),
            0,
            max(self._typical_size.connection_count, size.connection_count),
        )
        self._run_s += _RUN_TIME_SMOOTHING * (run_s - self._run_s)

    def record_start(self) -> None:
        """Count the start of a prompt task."""
        self.running += 1
        self._starts += 1

    def record_round(self, waiting_count: int) -> None:
        """Record how many prompt requests a round left waiting.

        If there are none, the rate of starts was that of the arrivals and
        does not show how many tasks the fleet can start.
        """
        if not waiting_count:
            self._is_saturated = False
            self._start_rate = 0

    def expected_wait_s(self, request_count: int) -> float:
        """Return the time to start that many requests, 0 if unknown."""
        if not self._start_rate:
            return 0
        return request_count / self._start_rate

    def update(self, now_s: float) -> None:
        """Adapt the reserve to the demand once a second."""
        passed_s = now_s - self._updated_at_s
        if passed_s < _UPDATE_INTERVAL_S or self._typical_size is EMPTY:
            return
        rate = self._arrivals / min(passed_s, 60)
        weight = _RISE_WEIGHT if rate > self._rate else _FALL_WEIGHT
        self._rate += weight * (rate - self._rate)
        self._start_rate = self._starts / passed_s if self._is_saturated else 0
        self._is_saturated = True
        self._arrivals = 0
        self._starts = 0
        self._updated_at_s = now_s
        self._update_unit()
        self._update_count()

    def allows(self, units_lost: int) -> bool:
        """Tell whether the reserve stays free if a task takes capacity.

        :param units_lost: prompt tasks that would no longer fit.
        """
        if not units_lost:
            return True
        return self._fleet.free_prompt_units - units_lost >= self.count

    def _update_unit(self) -> None:
        """Update the unit of the fleet once it is off by over a quarter."""
        unit = self._fleet.prompt_unit
        change = abs(unit.cpu_milli - self._typical_size.cpu_milli)
        change_mib = abs(unit.memory_mib - self._typical_size.memory_mib)
        if 4 * change > unit.cpu_milli or 4 * change_mib > unit.memory_mib:
            self._fleet.recount_prompt_units(self._typical_size)

    def _update_count(self) -> None:
        """Compute the size of the reserve from the demand."""
        mean = self._rate * self._run_s
        target = mean + _STANDARD_DEVIATIONS * math.sqrt(mean)
        all_units = self.running + self._fleet.free_prompt_units
        upper_bound = _MAX_FLEET_RATIO * all_units
        count = math.ceil(min(target - self.running, upper_bound))
        before = self.count
        self.count = max(count, 0)
        if self.count < before:
            self._fleet.invalidate()


def _mean(mean: int, amount: int, weight: float) -> int:
    """Return the exponentially weighted moving average."""
    return round(mean + weight * (amount - mean))
