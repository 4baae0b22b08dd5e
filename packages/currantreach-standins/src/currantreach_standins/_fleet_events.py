"""Numbered task events of one worker, and the long polls waiting for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from currantreach_standins._fleet_tasks import RunningTask

__all__ = ('EventLog',)


class EventLog:
    """Latest event of each task, ordered by sequence number."""

    def __init__(self) -> None:
        """Start at sequence number 0."""
        self.sequence = 0
        self._latest: dict[str, RunningTask] = {}
        self._waiters: set[asyncio.Future[None]] = set()

    def record(self, task: RunningTask) -> None:
        """Assign the next sequence number to a task and wake the polls."""
        self.sequence += 1
        task.sequence = self.sequence
        self._latest.pop(task.order.task_id, None)
        self._latest[task.order.task_id] = task
        self.wake()

    def discard(self, task_id: str) -> None:
        """Remove the event of a task."""
        self._latest.pop(task_id, None)

    def clear(self) -> None:
        """Remove all events; the sequence numbers continue."""
        self._latest.clear()

    def after(self, sequence: int) -> list[RunningTask]:
        """Return the tasks whose latest event follows a sequence number."""
        changed = []
        for task in reversed(self._latest.values()):
            if task.sequence <= sequence:
                break
            changed.append(task)
        changed.reverse()
        return changed

    def add_waiter(self, woken: asyncio.Future[None]) -> None:
        """Complete a future at the next event or change of the fault."""
        self._waiters.add(woken)
        woken.add_done_callback(self._waiters.discard)

    def wake(self) -> None:
        """Complete all waiting futures."""
        for woken in tuple(self._waiters):
            if not woken.done():
                woken.set_result(None)
