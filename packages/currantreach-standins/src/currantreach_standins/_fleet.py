"""All workers of the worker stand-in, on one heap of due times."""

from __future__ import annotations

import heapq
import itertools
import math
from typing import TYPE_CHECKING

import attrs

from currantreach_standins._fleet_worker import FleetWorker
from currantreach_types import Resources

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from currantreach_standins._fleet_tasks import RunningTask
    from currantreach_standins._task_log import TaskLog
    from currantreach_types import Clock

__all__ = ('Fleet', 'FleetSettings', 'WorkerEntry')


@attrs.frozen(slots=True, kw_only=True)
class WorkerEntry:
    """Entry of the file of workers; other fields are ignored."""

    name: str
    capacity: Resources


@attrs.frozen(slots=True, kw_only=True)
class FleetSettings:
    """Behaviour of all workers.

    :ivar usage_lag_s: time from a change of use to its report.
    :ivar refuses: whether stale and late starts are refused.
    """

    usage_lag_s: float = 1
    refuses: bool = True


class Fleet:
    """Workers whose tasks end by the given clock.

    One heap carries the next change of every task, because one asyncio
    timer for each of 35,000 tasks is too expensive.
    """

    def __init__(
        self,
        entries: Iterable[WorkerEntry],
        settings: FleetSettings,
        clock: Clock,
        log: TaskLog,
    ) -> None:
        """Start all workers without tasks."""
        self.settings = settings
        self.clock = clock
        self.log = log
        self.checkpoints: dict[str, float] = {}
        self.on_due: Callable[[], None] | None = None
        self.workers = {
            entry.name: FleetWorker(entry.name, entry.capacity, self)
            for entry in entries
        }
        self._heap: list[tuple[float, int, FleetWorker, RunningTask]] = []
        self._numbers = itertools.count()

    def schedule(self, worker: FleetWorker, task: RunningTask) -> None:
        """Look at a task again at its next change.

        The entry in the heap is only replaced by an earlier one. A task
        whose next change moved to later is put back when its entry is due.
        """
        due_s = task.next_change_s()
        if due_s >= task.wake_at_s:
            return
        task.wake_at_s = due_s
        entry = (due_s, next(self._numbers), worker, task)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry and self.on_due is not None:
            self.on_due()

    def next_due_s(self) -> float:
        """Return the time of the first change, infinite for none."""
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self) -> None:
        """Make the changes that are due."""
        now_s = self.clock.now_s()
        while self._heap and self._heap[0][0] <= now_s:
            due_s, _, worker, task = heapq.heappop(self._heap)
            if task.is_running and task.wake_at_s == due_s:
                task.wake_at_s = math.inf
                worker.change(task, now_s)
