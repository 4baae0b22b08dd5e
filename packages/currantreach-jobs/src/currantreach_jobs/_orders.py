"""Start and stop orders to one worker that are in flight."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_jobs._supervision import failure_of
from currantreach_telemetry import log_warning

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantreach_jobs._model import TaskKey

__all__ = ('BackgroundOrders',)

# A stop is sent again after this time. On the platform it takes at most 0.9 s;
# one that has not ended a run by then had no effect.
_STOP_RETRY_S = 2


class BackgroundOrders:
    """Sends start and stop orders in background tasks.

    A failed order is logged here. The session learns of it from the next list
    of the worker: the run is not confirmed and has no order in flight.
    """

    def __init__(
        self,
        worker_id: str,
        count_retry: Callable[[str], None],
    ) -> None:
        """Create an empty set of orders.

        :param count_retry: called with the reason of each retry.
        """
        self._worker_id = worker_id
        self._count_retry = count_retry
        self._orders: dict[asyncio.Future[None], tuple[TaskKey, int]] = {}
        self._stops_sent_at_s: dict[tuple[TaskKey, int], float] = {}
        self._is_closed = False

    def in_flight(self) -> set[tuple[TaskKey, int]]:
        """Return the runs that have an order in flight."""
        return set(self._orders.values())

    def due_stops(
        self,
        orphans: set[tuple[TaskKey, int]],
        now_s: float,
    ) -> list[tuple[TaskKey, int]]:
        """Return the runs that no job needs and that have to be stopped now.

        A run is due again if it is still listed some time after its stop.

        :param orphans: all runs that the worker lists and no job needs.
        """
        known = {
            orphan: at_s
            for orphan, at_s in self._stops_sent_at_s.items()
            if orphan in orphans
        }
        due = [
            orphan
            for orphan in orphans - self.in_flight()
            if orphan not in known or now_s >= known[orphan] + _STOP_RETRY_S
        ]
        for _ in known.keys() & due:
            self._count_retry('orphan_stop')
        self._stops_sent_at_s = known | dict.fromkeys(due, now_s)
        return due

    def forget_stops(self) -> None:
        """Forget the stops of orphans, as the worker has restarted.

        An order that was on its way may have started them again.
        """
        self._stops_sent_at_s.clear()

    def send(
        self,
        task: TaskKey,
        attempt: int,
        order: Awaitable[None],
    ) -> None:
        """Send an order for a run in a background task."""
        sending = asyncio.ensure_future(order)
        self._orders[sending] = task, attempt
        sending.add_done_callback(self._handle_completion)

    async def close(self) -> None:
        """Cancel all orders in flight."""
        self._is_closed = True
        for sending in self._orders:
            sending.cancel()
        if self._orders:
            await asyncio.wait(tuple(self._orders))

    def _handle_completion(self, sent: asyncio.Future[None]) -> None:
        task, attempt = self._orders.pop(sent)
        failure = failure_of(sent)
        if failure is None or self._is_closed:
            return
        self._count_retry('order_failed')
        log_warning(
            'order_failed',
            job=task.job_id,
            step=task.step,
            task=task.index,
            attempt=attempt,
            worker=self._worker_id,
            error=repr(failure),
        )
