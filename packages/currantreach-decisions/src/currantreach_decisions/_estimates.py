"""Sizes and run times estimated from the usage of earlier tasks."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from currantreach_decisions._ledger import EMPTY
from currantreach_durations import DurationModel, FinishedRun, ModelLimits, Work
from currantreach_types import Resources

if TYPE_CHECKING:
    from currantreach_decisions._backlogs import WaitingRequest
    from currantreach_decisions._ledger import Ledger, PlacedTask
    from currantreach_types import TaskSpec

__all__ = ('Estimator', 'TaskSizer')

_ESTIMATE_LIMIT = 4096
# Batch tasks run for days; a run above 30 days was measured wrongly.
_MAX_RUN_S = 2592000
# A workload is the queue of its runs. The defaults are for sites with a few
# queues and tasks of seconds.
_DURATION_LIMITS = ModelLimits(
    max_queues=_ESTIMATE_LIMIT,
    max_teams=_ESTIMATE_LIMIT,
    max_doubts=_ESTIMATE_LIMIT,
    max_run_s=_MAX_RUN_S,
)
# A size rises by 18 % when a task used more and falls by 2 % otherwise, so it
# converges to the 90th percentile: one task in ten uses more.
_RISE = 1.18
_FALL = 0.98


@attrs.define(slots=True, eq=False)
class _SizeEstimate:
    """Estimated size of the tasks of one team and workload."""

    size: Resources = EMPTY


class Estimator:
    """Estimates of size and run time by team and workload."""

    def __init__(self) -> None:
        """Start without estimates."""
        self._estimates: collections.OrderedDict[tuple[str, str], _SizeEstimate]
        self._estimates = collections.OrderedDict()
        self._durations = DurationModel(_DURATION_LIMITS)

    def size(self, spec: TaskSpec) -> Resources:
        """Return the larger of the declared and the estimated size."""
        estimate = self._estimates.get((spec.team, spec.workload))
        if estimate is None or estimate.size is EMPTY:
            return spec.resources
        return spec.resources.elementwise_max(estimate.size)

    def run_s(self, spec: TaskSpec) -> float:
        """Return the mean run time, or the declared one if unknown."""
        estimate = self._durations.estimate(_work_of(spec), 0)
        return estimate.mean_s if estimate.run_count else spec.expected_run_s

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

    def learn_run(self, task: PlacedTask, now_s: float) -> None:
        """Learn from the run time of a finished task.

        The tasks of a gang end together, so they tell nothing about the speed
        of their workers.
        """
        is_gang = task.spec.gang_size > 1
        self._durations.learn(
            FinishedRun(
                work=_work_of(task.spec),
                worker_id='' if is_gang else task.worker,
                run_s=now_s - task.started_at_s,
                ended_at_s=now_s,
            ),
        )

    def _estimate(self, spec: TaskSpec) -> _SizeEstimate:
        """Return the estimate for a request, which may be new."""
        key = (spec.team, spec.workload)
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = _SizeEstimate()
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


def _work_of(spec: TaskSpec) -> Work:
    """Return what is known of a task; jobs of one workload are alike."""
    return Work(
        queue=spec.workload,
        team=spec.team,
        declared_s=spec.expected_run_s,
    )


def _track_quantile(estimate: int, observed: int) -> int:
    """Move an estimate towards the 90th percentile of the observations."""
    if observed > estimate:
        return min(observed, int(estimate * _RISE) + 1)
    return max(observed, int(estimate * _FALL))
