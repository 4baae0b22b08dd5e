"""Choice of the workers that a stage asks the placement service about."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._advice import AdvicePurpose
from currantreach_jobs._placement import (
    fits,
    workers_to_probe,
    workers_to_query,
)
from currantreach_jobs._wait_reasons import WaitReason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_jobs._advice import AdviceDispatcher
    from currantreach_jobs._capacity_forecast import CapacityForecast
    from currantreach_jobs._model import AdviceConfig
    from currantreach_jobs._progress import Stage
    from currantreach_jobs._usage import WorkerState
    from currantreach_jobs._worker_ranking import SpeedOrder

__all__ = ('RENEWAL_LEAD_S', 'StageAdvice')

# Fraction of ``AdviceConfig.fixed_s`` by which an urgent call may be longer, to
# query more workers; some milliseconds for the queues in use.
_URGENT_CALL_GROWTH = 0.7
# A ticket that stays valid for less than this after an advice call would
# expire before the start it is used for.
_CALL_MARGIN_S = 0.3
# A call that is made ahead of the expected capacity is to be answered this long
# before it, as runs may end early and calls may take longer.
RENEWAL_LEAD_S = 0.3


class StageAdvice:
    """Asks for the tickets that stages need."""

    def __init__(self, advice_dispatcher: AdviceDispatcher) -> None:
        """Ask through the daemons of the cell."""
        self._advice_dispatcher = advice_dispatcher

    def ask(
        self,
        stage: Stage,
        workers: Sequence[WorkerState],
        forecast: CapacityForecast | None,
        now_s: float,
        is_boosted: bool = False,
        speed_order: SpeedOrder | None = None,
    ) -> WaitReason:
        """Ask for the tickets of a stage that can start.

        :param workers: eligible workers, best first.
        :param forecast: when enough workers that are known to be allowed are
            expected to have capacity, if that is known.
        :param speed_order: order of the speeds of workers, if they differ.
        :returns: why the stage waits.
        """
        advice = stage.job_progress.job.queue.advice
        if advice is None:
            return WaitReason.NO_ROOM
        if forecast is not None and _is_awaited(stage, forecast, advice, now_s):
            return self._renew(stage, advice, forecast, now_s)
        queried = self._choose(
            stage, advice, workers, now_s, is_boosted, speed_order
        )
        if not queried and forecast is not None and not forecast.is_free:
            return self._renew(stage, advice, forecast, now_s)
        return self._send(stage, advice, queried, AdvicePurpose.START)

    def ask_ahead(
        self,
        stage: Stage,
        workers: Sequence[WorkerState],
        now_s: float,
    ) -> WaitReason:
        """Ask for the tickets of a stage whose earlier steps are running.

        The call is made only while enough daemons are idle.
        """
        advice = stage.job_progress.job.queue.advice
        if advice is None or not self.has_spare(advice):
            return WaitReason.NO_ADVISER_FREE
        # Without enough free capacity, the verdicts are still of use.
        queried = self._choose(stage, advice, workers, now_s, is_boosted=True)
        return self._send(stage, advice, queried, AdvicePurpose.AHEAD)

    def has_spare(self, advice: AdviceConfig) -> bool:
        """Tell whether calls that are not urgent may be made."""
        return self._advice_dispatcher.has_spare_member(advice)

    def _choose(
        self,
        stage: Stage,
        advice: AdviceConfig,
        workers: Sequence[WorkerState],
        now_s: float,
        is_boosted: bool,
        speed_order: SpeedOrder | None = None,
    ) -> list[WorkerState]:
        """Return the workers to query that are not known to be forbidden."""
        candidates = [
            worker
            for worker in workers
            if stage.allowed.get(worker.report.worker_id, True)
        ]
        min_count = _min_queried_count(stage, advice)
        needed_count = stage.min_start_count
        should_query = min_count or fits(stage, candidates, needed_count)
        if not should_query and not is_boosted:
            return []
        allowed_fraction = self._advice_dispatcher.allowed_fraction(
            stage.job_progress.job.queue
        )
        queried: list[WorkerState] = []
        if should_query:
            queried = workers_to_query(
                stage,
                candidates,
                allowed_fraction,
                now_s + advice.fixed_s + _CALL_MARGIN_S,
                min_count,
                speed_order,
            )
        if not queried and is_boosted:
            queried = workers_to_probe(
                stage, candidates, allowed_fraction, needed_count
            )
        return queried

    def _renew(
        self,
        stage: Stage,
        advice: AdviceConfig,
        forecast: CapacityForecast,
        now_s: float,
    ) -> WaitReason:
        """Renew tickets in time for the expected capacity.

        Calls of other stages can be used at once, so they come first.
        """
        call_s = advice.fixed_s + advice.per_worker_s * len(forecast.workers)
        if now_s + call_s + RENEWAL_LEAD_S < forecast.start_s:
            return WaitReason.NO_ROOM
        needed_until_s = now_s + call_s + _CALL_MARGIN_S
        expiring = [
            worker
            for worker in forecast.workers
            if not stage.has_ticket(worker.report.worker_id, needed_until_s)
        ]
        if expiring and not self.has_spare(advice):
            return WaitReason.NO_ADVISER_FREE
        return self._send(stage, advice, expiring, AdvicePurpose.RENEWAL)

    def _send(
        self,
        stage: Stage,
        advice: AdviceConfig,
        queried: Sequence[WorkerState],
        purpose: AdvicePurpose,
    ) -> WaitReason:
        if not queried:
            return WaitReason.NO_ROOM
        is_asked = self._advice_dispatcher.ask(
            stage,
            advice,
            [worker.report.worker_id for worker in queried],
            purpose,
        )
        if is_asked:
            return WaitReason.ADVICE_PENDING
        return WaitReason.NO_ADVISER_FREE


def _is_awaited(
    stage: Stage,
    forecast: CapacityForecast,
    advice: AdviceConfig,
    now_s: float,
) -> bool:
    """Tell whether to wait for capacity instead of searching other workers.

    A search would take at least as long. The wait is limited, as a run may
    take several times as long as it is expected to.
    """
    if forecast.is_free or forecast.start_s - now_s > advice.fixed_s:
        stage.awaited_since_s = 0
        return False
    if not stage.awaited_since_s:
        stage.awaited_since_s = now_s
    return now_s - stage.awaited_since_s <= advice.fixed_s + RENEWAL_LEAD_S


def _min_queried_count(stage: Stage, advice: AdviceConfig) -> int:
    """Return for how many workers a stage should have tickets in advance.

    On a full fleet an urgent task needs its ticket before capacity becomes
    free, as tasks that have tickets take the capacity while its call is in
    flight.
    """
    if stage.job_progress.job.queue.priority or not advice.per_worker_s:
        return 0
    return round(_URGENT_CALL_GROWTH * advice.fixed_s / advice.per_worker_s)
