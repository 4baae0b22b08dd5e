"""Workers of the worker stand-in, driven by one heap of due times."""

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
    """Entry of the workers file; unknown fields are ignored."""

    name: str
    capacity: Resources


@attrs.frozen(slots=True, kw_only=True)
class FleetSettings:
    """Settings that apply to all workers.

    :ivar usage_lag_s: delay between a change of usage and its report.
    :ivar refuses_stale_starts: whether stale and late starts are refused.
    """

    usage_lag_s: float = 1
    refuses_stale_starts: bool = True


class Fleet:
    """Simulated workers whose tasks progress with the given clock.

    One heap holds the next change of every task, because one asyncio timer
    for each of 35,000 tasks is too expensive.

    :ivar checkpoints: progress in milliseconds, by id of the task.
    :ivar on_earlier_due: called when the first due time moves forward.
    """

    def __init__(
        self,
        entries: Iterable[WorkerEntry],
        settings: FleetSettings,
        clock: Clock,
        log: TaskLog,
    ) -> None:
        """Create the workers without tasks."""
        self.settings = settings
        self.clock = clock
        self.log = log
        self.checkpoints: dict[str, float] = {}
        self.on_earlier_due: Callable[[], None] | None = None
        self.workers = {
            entry.name: FleetWorker(entry.name, entry.capacity, self)
            for entry in entries
        }
        self._heap: list[tuple[float, int, FleetWorker, RunningTask]] = []
        self._tie_breakers = itertools.count()

    def schedule(self, worker: FleetWorker, task: RunningTask) -> None:
        """Schedule the next change of a task.

        Only an earlier due time adds an entry to the heap. A task whose next
        change was postponed is rescheduled when its existing entry is due.
        """
        due_s = task.next_change_at_s()
        if due_s >= task.scheduled_at_s:
            return
        task.scheduled_at_s = due_s
        entry = (due_s, next(self._tie_breakers), worker, task)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry and self.on_earlier_due is not None:
            self.on_earlier_due()

    def next_due_at_s(self) -> float:
        """Return the earliest due time, or infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self) -> None:
        """Apply all changes that are due."""
        now_s = self.clock.now_s()
        while self._heap and self._heap[0][0] <= now_s:
            due_s, _, worker, task = heapq.heappop(self._heap)
            if task.is_running and task.scheduled_at_s == due_s:
                task.scheduled_at_s = math.inf
                worker.apply_due_changes(task, now_s)
