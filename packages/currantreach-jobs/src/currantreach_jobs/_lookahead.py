"""Advice calls for steps whose earlier steps are still running."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._placement import eligible_workers
from currantreach_jobs._stage_advice import RENEWAL_LEAD_S
from currantreach_jobs._wait_reasons import WaitReason

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from currantreach_jobs._capacity_forecast import ForecastCalculator
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._model import AdviceConfig
    from currantreach_jobs._progress import JobProgress, Run, Stage
    from currantreach_jobs._stage_advice import StageAdvice
    from currantreach_jobs._usage import WorkerState

__all__ = ('AdviceLookahead',)

# A pass goes over all open jobs, some milliseconds for 2,500 of them.
_INTERVAL_S = 0.1
# At most this many calls in a pass, so that a pass stays short.
_MAX_CALLS = 4
# At most this many stages in a pass: each of them goes over all workers, some
# 0.9 ms for 176 of them.
_MAX_EXAMINED = 10
# A stage with nothing to ask is examined again after this time. Together with
# the interval of the passes, it is within the margin by which tickets outlast
# a call.
_EXAMINATION_PAUSE_S = 0.2


class AdviceLookahead:
    """Asks for the verdicts of a step before it can start.

    Verdicts never change for a step, and a call of half a second after the end
    of the earlier steps would delay it. The stage itself stays unscheduled
    until its earlier steps are done.
    """

    def __init__(
        self,
        cluster: ClusterState,
        stage_advice: StageAdvice,
        forecasts: ForecastCalculator,
    ) -> None:
        """Create a lookahead over the open jobs of a cluster."""
        self._cluster = cluster
        self._stage_advice = stage_advice
        self._forecasts = forecasts
        self._next_pass_s: float = 0
        # Where the next pass continues, empty for the first job.
        self._next_job_id = ''

    def ask_ahead(self, workers: Sequence[WorkerState], now_s: float) -> None:
        """Ask for stages that can start soon, while enough daemons are idle.

        :param workers: workers on which anything may be started.
        """
        if now_s < self._next_pass_s:
            return
        self._next_pass_s = now_s + _INTERVAL_S
        # Queues for whose calls no daemon is idle.
        busy: set[AdviceConfig | None] = set()
        examined_count = 0
        call_count = 0
        for stage in self._later_stages(busy, now_s):
            wait_reason = self._examine(stage, workers, now_s)
            if wait_reason is WaitReason.NO_ADVISER_FREE:
                busy.add(stage.job_progress.job.queue.advice)
            examined_count += 1
            call_count += wait_reason is WaitReason.ADVICE_PENDING
            if examined_count >= _MAX_EXAMINED or call_count >= _MAX_CALLS:
                self._next_job_id = stage.job_progress.job.job_id
                return
        self._next_job_id = ''

    def _examine(
        self, stage: Stage, workers: Sequence[WorkerState], now_s: float
    ) -> WaitReason:
        eligible = eligible_workers(stage, workers, now_s)
        wait_reason = self._stage_advice.ask_ahead(stage, eligible, now_s)
        if wait_reason is WaitReason.NO_ROOM:
            stage.next_ahead_at_s = now_s + _EXAMINATION_PAUSE_S
        return wait_reason

    def _later_stages(
        self, busy: set[AdviceConfig | None], now_s: float
    ) -> Iterator[Stage]:
        """Yield the stages whose earlier steps are about to end.

        :param busy: queues to skip; the caller adds to them.
        """
        # Whether daemons are idle is found out once for each queue, as it takes
        # longer than all other checks of a job.
        checked: set[AdviceConfig] = set()
        for progress in self._jobs_in_turn():
            advice = progress.job.queue.advice
            if advice is None or not _may_have_due_stages(progress):
                continue
            if advice not in checked:
                checked.add(advice)
                if not self._stage_advice.has_spare(advice):
                    busy.add(advice)
            if advice not in busy:
                yield from self._due_stages(progress, busy, now_s)

    def _jobs_in_turn(self) -> list[JobProgress]:
        """Return the open jobs, from where the last pass has stopped."""
        open_jobs = self._cluster.open_jobs
        jobs = list(open_jobs.values())
        if self._next_job_id not in open_jobs:
            return jobs
        first = list(open_jobs).index(self._next_job_id)
        return jobs[first:] + jobs[:first]

    def _due_stages(
        self,
        progress: JobProgress,
        busy: set[AdviceConfig | None],
        now_s: float,
    ) -> Iterator[Stage]:
        for stage in progress.stages.values():
            if progress.job.queue.advice in busy:
                break
            if self._is_due(stage, now_s):
                yield stage

    def _is_due(self, stage: Stage, now_s: float) -> bool:
        """Tell whether a call for a stage is to be made now."""
        advice = stage.job_progress.job.queue.advice
        if advice is None or not stage.step.after or not stage.waiting:
            return False
        if now_s < max(stage.advice_deadline_s, stage.next_ahead_at_s):
            return False
        runs = _earlier_runs(stage.job_progress, stage)
        if not runs:
            return False
        is_known = True
        for run in runs:
            end_s = self._forecasts.end_s(run, now_s)
            if end_s is None:
                is_known = False
            elif now_s + advice.fixed_s + RENEWAL_LEAD_S < end_s:
                return False
        # Without an estimate, the verdicts are of use whenever the runs end.
        return is_known or not stage.allowed


def _may_have_due_stages(progress: JobProgress) -> bool:
    """Tell whether a job may have steps whose earlier steps are running."""
    if len(progress.job.steps) == 1:
        return False
    return progress.has_started and not progress.is_unwritable


def _earlier_runs(progress: JobProgress, stage: Stage) -> list[Run]:
    """Return the runs that a stage waits for.

    :returns: none if the stage also waits for tasks that have no run yet, or
        for nothing.
    """
    runs: list[Run] = []
    for number in stage.step.after:
        earlier = progress.stages[stage.occurrence, number]
        if earlier.waiting or earlier.inherited:
            return []
        runs.extend(
            task.run
            for task in earlier.tasks
            if task.run is not None and not task.is_done
        )
    return runs
