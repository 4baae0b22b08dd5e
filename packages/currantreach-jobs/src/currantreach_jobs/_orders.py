"""Orders to one worker that are under way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_jobs._supervision import failure_of
from currantreach_telemetry import log_warning

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantreach_jobs._model import TaskKey

__all__ = ('BackgroundOrders',)

# A stop takes at most 0.9 s on the platform; one that has not ended a run
# after this long had no effect.
_REPEAT_STOP_S = 2


class BackgroundOrders:
    """Starts and stops that run in the background.

    A failed order is reported here. Its session sees with the next list of
    the worker that the run is not settled and that no order is under way.
    """

    def __init__(
        self,
        worker_id: str,
        count_retry: Callable[[str], None],
    ) -> None:
        """Start without orders.

        :param count_retry: counts a retry, by its reason.
        """
        self._worker_id = worker_id
        self._count_retry = count_retry
        self._orders: dict[asyncio.Future[None], tuple[TaskKey, int]] = {}
        self._stopped_at_s: dict[tuple[TaskKey, int], float] = {}
        self._is_closed = False

    def runs(self) -> set[tuple[TaskKey, int]]:
        """Return the runs with an order under way."""
        return set(self._orders.values())

    def due_stops(
        self,
        orphans: set[tuple[TaskKey, int]],
        now_s: float,
    ) -> list[tuple[TaskKey, int]]:
        """Return the unwanted runs that have to be stopped now.

        A run is due again if it is still there some time after its stop.

        :param orphans: all unwanted runs that the worker lists.
        """
        known = {
            orphan: at_s
            for orphan, at_s in self._stopped_at_s.items()
            if orphan in orphans
        }
        due = [
            orphan
            for orphan in orphans - self.runs()
            if orphan not in known or now_s >= known[orphan] + _REPEAT_STOP_S
        ]
        for _ in known.keys() & due:
            self._count_retry('orphan_stop')
        self._stopped_at_s = known | dict.fromkeys(due, now_s)
        return due

    def send(
        self,
        task: TaskKey,
        attempt: int,
        order: Awaitable[None],
    ) -> None:
        """Carry out an order to a run in the background."""
        sending = asyncio.ensure_future(order)
        self._orders[sending] = task, attempt
        sending.add_done_callback(self._note_end)

    async def close(self) -> None:
        """Cancel all orders."""
        self._is_closed = True
        for sending in self._orders:
            sending.cancel()
        if self._orders:
            await asyncio.wait(tuple(self._orders))

    def _note_end(self, sent: asyncio.Future[None]) -> None:
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
