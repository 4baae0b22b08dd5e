"""Numbered events of one worker and the polls that wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from currantreach_standins._fleet_tasks import RunningTask

__all__ = ('EventFeed',)


class EventFeed:
    """The last event of each task, in the order of the events."""

    def __init__(self) -> None:
        """Start at sequence number 0."""
        self.sequence = 0
        self._latest: dict[str, RunningTask] = {}
        self._waiting: set[asyncio.Future[None]] = set()

    def note(self, task: RunningTask) -> None:
        """Number an event of a task and wake the polls."""
        self.sequence += 1
        task.sequence = self.sequence
        self._latest.pop(task.order.task_id, None)
        self._latest[task.order.task_id] = task
        self.wake()

    def forget(self, task_id: str) -> None:
        """Drop a task."""
        self._latest.pop(task_id, None)

    def clear(self) -> None:
        """Drop all tasks; the numbers go on."""
        self._latest.clear()

    def after(self, sequence: int) -> list[RunningTask]:
        """Return the tasks with an event after a sequence number."""
        changed = []
        for task in reversed(self._latest.values()):
            if task.sequence <= sequence:
                break
            changed.append(task)
        changed.reverse()
        return changed

    def add_waiter(self, woken: asyncio.Future[None]) -> None:
        """Complete a future at the next event or change of faults."""
        self._waiting.add(woken)
        woken.add_done_callback(self._waiting.discard)

    def wake(self) -> None:
        """Complete all waiting futures."""
        for woken in tuple(self._waiting):
            if not woken.done():
                woken.set_result(None)
