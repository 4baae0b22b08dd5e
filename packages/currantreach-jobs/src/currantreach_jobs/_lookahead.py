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

    def ask_ahead(self, workers: Sequence[WorkerState], now_s: float) -> None:
        """Ask for stages that can start soon, while enough daemons are idle.

        :param workers: workers on which anything may be started.
        """
        if now_s < self._next_pass_s:
            return
        self._next_pass_s = now_s + _INTERVAL_S
        call_count = 0
        for stage in self._later_stages(now_s):
            eligible = eligible_workers(stage, workers, now_s)
            wait_reason = self._stage_advice.ask_ahead(stage, eligible, now_s)
            call_count += wait_reason is WaitReason.ADVICE_PENDING
            if call_count >= _MAX_CALLS:
                break

    def _later_stages(self, now_s: float) -> Iterator[Stage]:
        """Yield the stages whose earlier steps are about to end."""
        # Whether daemons are idle is found out once for each queue, as it takes
        # longer than all other checks of a job.
        has_spare: dict[AdviceConfig, bool] = {}
        for progress in self._cluster.open_jobs.values():
            if len(progress.job.steps) == 1 or not progress.has_started:
                continue
            advice = progress.job.queue.advice
            if advice is None or progress.is_unwritable:
                continue
            if advice not in has_spare:
                has_spare[advice] = self._stage_advice.has_spare(advice)
            if has_spare[advice]:
                yield from self._due_stages(progress, now_s)

    def _due_stages(
        self, progress: JobProgress, now_s: float
    ) -> Iterator[Stage]:
        for stage in progress.stages.values():
            if self._is_due(stage, now_s):
                yield stage

    def _is_due(self, stage: Stage, now_s: float) -> bool:
        """Tell whether a call for a stage is to be made now."""
        advice = stage.job_progress.job.queue.advice
        if advice is None or not stage.step.after or not stage.waiting:
            return False
        if now_s < stage.advice_deadline_s:
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
