"""Sizes and run times estimated from the usage of earlier tasks."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from currantreach_decisions._ledger import EMPTY
from currantreach_types import Resources

if TYPE_CHECKING:
    from currantreach_decisions._backlogs import WaitingRequest
    from currantreach_decisions._ledger import Ledger
    from currantreach_types import TaskSpec

__all__ = ('Estimator', 'TaskSizer')

_ESTIMATE_LIMIT = 4096
# A size rises by 18 % when a task used more and falls by 2 % otherwise, so it
# converges to the 90th percentile: one task in ten uses more.
_RISE = 1.18
_FALL = 0.98
_RUN_TIME_SMOOTHING = 0.1


@attrs.define(slots=True, eq=False)
class _WorkloadEstimate:
    """Estimates for the tasks of one team and workload."""

    size: Resources = EMPTY
    run_s: float = 0


class Estimator:
    """Estimates of size and run time by team and workload."""

    def __init__(self) -> None:
        """Start without estimates."""
        self._estimates: collections.OrderedDict[
            tuple[str, str], _WorkloadEstimate
        ]
        self._estimates = collections.OrderedDict()

    def size(self, spec: TaskSpec) -> Resources:
        """Return the larger of the declared and the estimated size."""
        estimate = self._estimates.get((spec.team, spec.workload))
        if estimate is None or estimate.size is EMPTY:
            return spec.resources
        return spec.resources.elementwise_max(estimate.size)

    def run_s(self, spec: TaskSpec) -> float:
        """Return the average run time, or the declared one if unknown."""
        estimate = self._estimates.get((spec.team, spec.workload))
        if estimate is None or not estimate.run_s:
            return spec.expected_run_s
        return estimate.run_s

    def learn_size(self, spec: TaskSpec, observed: Resources) -> None:
        """Update the size with the peak usage of a task that ended."""
        estimate = self._estimate(spec)
        if estimate.size is EMPTY:
            estimate.size = observed
            return
        estimate.size = Resources(
            0,
            _track_quantile(estimate.size.cpu_milli, observed.cpu_milli),
            _track_quantile(estimate.size.memory_mib, observed.memory_mib),
        )

    def learn_run(self, spec: TaskSpec, run_s: float) -> None:
        """Update the average with the run time of a finished task."""
        estimate = self._estimate(spec)
        if not estimate.run_s:
            estimate.run_s = run_s
        estimate.run_s += _RUN_TIME_SMOOTHING * (run_s - estimate.run_s)

    def _estimate(self, spec: TaskSpec) -> _WorkloadEstimate:
        """Return the estimate for a request, which may be new."""
        key = (spec.team, spec.workload)
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = _WorkloadEstimate()
            self._estimates[key] = estimate
            if len(self._estimates) > _ESTIMATE_LIMIT:
                self._estimates.popitem(last=False)
        return estimate


class TaskSizer:
    """Estimated sizes, limited by the fleet and the allotment."""

    def __init__(self, ledger: Ledger, estimator: Estimator) -> None:
        """Use the estimates of ``estimator``."""
        self._ledger = ledger
        self._estimator = estimator

    def size(self, request: WaitingRequest) -> Resources:
        """Return the resources to allocate to each task of a request.

        This is at least the declared size. An estimate that no worker can
        fit is ignored, because it would block the request forever.
        """
        spec = request.spec
        size = self._estimator.size(spec)
        if size is spec.resources or size == spec.resources:
            return spec.resources
        if self._ledger.fits_empty_worker(size, spec):
            return size
        return spec.resources


def _track_quantile(estimate: int, observed: int) -> int:
    """Move an estimate towards the 90th percentile of the observations."""
    if observed > estimate:
        return min(observed, int(estimate * _RISE) + 1)
    return max(observed, int(estimate * _FALL))
