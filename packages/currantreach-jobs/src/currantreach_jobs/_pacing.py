"""Pace of best-effort tasks that share a worker with services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._model import RunningRun, Step, TaskKey
from currantreach_telemetry import log_event
from currantreach_types.errors import PlatformError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from currantreach_jobs._clients import RunClient
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._orders import BackgroundOrders
    from currantreach_jobs._usage import WorkerState
    from currantreach_types import Clock

__all__ = ('FillPacer', 'PaceOrder', 'PaceOrders')

_MAX_PERCENT = 100
# Above this fraction of its target, the tail of a service is about to miss it.
_HIGH_TAIL = 0.8
# Below this fraction there is room for more best-effort work.
_LOW_TAIL = 0.6
# Percentage points by which the pace grows. Best-effort work reaches its full
# pace within ten seconds, while the disturbance may change within seconds.
_STEP_PERCENT = 10
# A pace takes effect after 0.1 s, and a tail is measured over half a second.
_SETTLE_S = 0.6
# A tail above its target is to be noticed well within four seconds.
_POLL_S = 0.5
# An order without an answer may take effect this much later, after newer ones.
_LATE_ORDER_S = 15
# Meanwhile the pace is ordered again at this interval.
_REPEAT_S = 1
# Pace of a run that an earlier leader or a late order may have changed.
_UNKNOWN_PERCENT = -1


@attrs.frozen(slots=True)
class PaceOrder:
    """New pace of a run.

    :ivar percent: share of its processor time that the run may use.
    """

    task: TaskKey
    attempt: int
    percent: int


class FillPacer:
    """Paces the best-effort tasks on one worker by the tails of its services.

    A tail above its target stops all best-effort work at once, so that the
    service is not disturbed for longer than two answers of the worker. The pace
    then grows in steps for as long as all tails stay low.

    :ivar percent: pace of all best-effort tasks while a service runs beside
        them.
    """

    def __init__(self) -> None:
        """Start at full pace, as a new run does."""
        self.percent = _MAX_PERCENT
        self._settled_at_s: float = 0
        # Paces that the worker has confirmed; other runs have the full pace.
        self._confirmed: dict[tuple[TaskKey, int], int] = {}
        # Until when a late order may change the pace of a run.
        self._unsure_until_s: dict[tuple[TaskKey, int], float] = {}
        self._repeat_at_s: float = 0

    def adopt(self, running: Iterable[RunningRun]) -> None:
        """Take over runs whose pace an earlier leader may have changed.

        Best-effort tasks beside services begin anew at the lowest pace.
        """
        self.percent = 0
        self._confirmed = {
            (found.task, found.attempt): _UNKNOWN_PERCENT for found in running
        }

    def confirm(self, order: PaceOrder) -> None:
        """Record that the worker has applied an order."""
        self._confirmed[order.task, order.attempt] = order.percent

    def record_failure(self, order: PaceOrder, now_s: float) -> None:
        """Record that an order got no answer, or was refused."""
        until_s = now_s + _LATE_ORDER_S
        self._unsure_until_s[order.task, order.attempt] = until_s

    def update(
        self,
        worker: WorkerState,
        running: Iterable[RunningRun],
        now_s: float,
    ) -> list[PaceOrder]:
        """Adjust the pace and return the orders that are not confirmed yet.

        :param running: runs that the worker has just listed.
        """
        steps = worker.steps_by_run()
        listed = {(found.task, found.attempt): found for found in running}
        self._confirmed = {
            key: percent
            for key, percent in self._confirmed.items()
            if key in listed
        }
        self._forget_unsure(now_s)
        tail_ratio = _worst_tail_ratio(steps, listed)
        percent = _MAX_PERCENT
        if tail_ratio is not None:
            self._adjust(tail_ratio, now_s, worker)
            percent = self.percent
        return [
            PaceOrder(*key, percent)
            for key in listed
            if key in steps
            and steps[key].is_filling
            and self._confirmed.get(key, _MAX_PERCENT) != percent
        ]

    def _forget_unsure(self, now_s: float) -> None:
        """Forget the paces that late orders may have changed, now and then."""
        if now_s < self._repeat_at_s:
            return
        self._repeat_at_s = now_s + _REPEAT_S
        self._unsure_until_s = {
            key: until_s
            for key, until_s in self._unsure_until_s.items()
            if now_s < until_s
        }
        for unsure in self._unsure_until_s.keys() & self._confirmed.keys():
            self._confirmed[unsure] = _UNKNOWN_PERCENT

    def _adjust(
        self, tail_ratio: float, now_s: float, worker: WorkerState
    ) -> None:
        """Adjust the pace to the highest tail in relation to its target."""
        former = self.percent
        if tail_ratio > 1:
            self.percent = 0
        elif now_s < self._settled_at_s:
            return
        elif tail_ratio > _HIGH_TAIL:
            self.percent //= 2
        elif tail_ratio < _LOW_TAIL:
            self.percent = min(_MAX_PERCENT, self.percent + _STEP_PERCENT)
        if self.percent == former:
            return
        self._settled_at_s = now_s + _SETTLE_S
        if self.percent < former:
            log_event(
                'fill_slowed',
                worker=worker.report.worker_id,
                percent=self.percent,
                former=former,
                tail_ratio=round(tail_ratio, 2),
            )


class PaceOrders:
    """Sends the paces of the best-effort tasks on one worker."""

    def __init__(
        self,
        worker_id: str,
        client: RunClient,
        cluster: ClusterState,
        orders: BackgroundOrders,
        clock: Clock,
        handle_refused_token: Callable[[int], None],
    ) -> None:
        """Start without any order.

        :param orders: orders to the worker that are in flight.
        :param handle_refused_token: called with a token that is too low.
        """
        self._worker_id = worker_id
        self._client = client
        self._cluster = cluster
        self._orders = orders
        self._clock = clock
        self._handle_refused_token = handle_refused_token
        self._pacer = FillPacer()

    def adopt(self, running: Iterable[RunningRun]) -> None:
        """Take over the runs of an earlier leader."""
        self._pacer.adopt(running)

    def poll_s(self, long_poll_s: float) -> float:
        """Return how long the worker may delay its next reply.

        The paces follow the tails of services, which the replies list.

        :param long_poll_s: the delay without best-effort tasks.
        """
        worker = self._cluster.workers.get(self._worker_id)
        if worker is not None and worker.has_filling():
            return min(long_poll_s, _POLL_S)
        return long_poll_s

    def update(self, running: Iterable[RunningRun], token: int) -> None:
        """Order the paces that best-effort tasks are to have by now.

        :param running: runs that the worker has just listed.
        """
        worker = self._cluster.workers.get(self._worker_id)
        if worker is None or not worker.has_filling():
            return
        in_flight = self._orders.in_flight()
        for order in self._pacer.update(worker, running, self._clock.now_s()):
            if (order.task, order.attempt) not in in_flight:
                self._orders.send(
                    order.task, order.attempt, self._send(order, token)
                )

    async def _send(self, order: PaceOrder, token: int) -> None:
        """Send a pace; after a failure, the next reply leads to another try."""
        try:
            is_obeyed = await self._client.pace(
                order.task, order.attempt, order.percent, token
            )
        except PlatformError as error:
            self._pacer.record_failure(order, self._clock.now_s())
            self._cluster.count_retry('pace_failed')
            log_event(
                'pace_failed',
                job=order.task.job_id,
                worker=self._worker_id,
                error=error,
            )
            return
        if is_obeyed:
            self._pacer.confirm(order)
        else:
            self._handle_refused_token(token)


def _worst_tail_ratio(
    steps: Mapping[tuple[TaskKey, int], Step],
    listed: Mapping[tuple[TaskKey, int], RunningRun],
) -> float | None:
    """Return the highest tail in relation to its target.

    :returns: nothing if no service with a target shares the worker with a
        best-effort task.
    """
    shared = [steps[key] for key in listed if key in steps]
    if not any(step.is_filling for step in shared):
        return None
    return max(
        (
            listed[key].recent_load / steps[key].tail_target_ms
            for key in listed
            if key in steps and steps[key].tail_target_ms
        ),
        default=None,
    )
