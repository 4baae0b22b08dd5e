"""Workers kept for the one gang or large task that comes next."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from currantreach_decisions._ledger import EMPTY, unit_count
from currantreach_types import PolicyKind

if TYPE_CHECKING:
    from currantreach_decisions._estimates import Estimator
    from currantreach_decisions._fleet import Fleet
    from currantreach_decisions._lanes import Waiting
    from currantreach_decisions._ledger import Ledger, PlacedTask, WorkerRoom
    from currantreach_types import Resources

__all__ = ('Reservation',)

# Bounds the work of a plan in a large fleet.
_PLANNED_WORKERS = 96
_PLAN_AGE_S = 5
# A task that outlived its estimate is expected to run half as long again.
_OVERRUN = 0.5


class Reservation:
    """Reservation with backfill.

    Only one request at a time holds workers, so that two gangs cannot block
    each other. Others may use these workers for tasks that are expected to
    end before the holder can start.

    :ivar holder: request that holds the workers.
    """

    def __init__(
        self,
        ledger: Ledger,
        fleet: Fleet,
        estimator: Estimator,
    ) -> None:
        """Start without a holder."""
        self.holder: Waiting | None = None
        self._ledger = ledger
        self._fleet = fleet
        self._estimator = estimator
        self._workers: frozenset[str] = frozenset()
        self._start_s: float = 0
        self._planned_s: float = 0

    def hold(self, holder: Waiting, size: Resources, now_s: float) -> None:
        """Choose the workers that have room for the holder first."""
        if self.holder is holder and now_s < self._planned_s + _PLAN_AGE_S:
            return
        self.holder = holder
        self._planned_s = now_s
        needed = holder.spec.gang_size
        pool = self._fleet.pool(holder.spec)
        events: list[tuple[float, str]] = []
        for room in itertools.islice(pool.rooms, _PLANNED_WORKERS):
            if room.is_open:
                events += self._room_in_time(room, size, needed, now_s)
        chosen = sorted(events)[:needed]
        if len(chosen) < needed:
            chosen = []
        self._workers = frozenset(name for _, name in chosen)
        self._start_s = chosen[-1][0] if chosen else now_s
        self._fleet.invalidate()

    def drop(self) -> None:
        """Release the workers."""
        if self.holder is not None:
            self.holder = None
            self._workers = frozenset()
            self._fleet.invalidate()

    def allows(self, room: WorkerRoom, waiting: Waiting, now_s: float) -> bool:
        """Tell whether a request may use a worker."""
        if room.host.name not in self._workers or waiting is self.holder:
            return True
        spec = waiting.spec
        if spec.policy is PolicyKind.prompt or spec.is_urgent:
            return True
        return now_s + self._estimator.run_s(spec) <= self._start_s

    def _room_in_time(
        self,
        room: WorkerRoom,
        size: Resources,
        needed: int,
        now_s: float,
    ) -> list[tuple[float, str]]:
        """Return when a worker is expected to have room for each task."""
        name = room.host.name
        free = room.free
        units = min(unit_count(free, size), needed)
        events = list(itertools.repeat((now_s, name), units))
        for end_s, task in self._ends(name, now_s):
            if len(events) >= needed:
                break
            free += task.room
            gained = min(unit_count(free, size), needed) - len(events)
            events += itertools.repeat((end_s, name), gained)
        return events

    def _ends(
        self,
        worker: str,
        now_s: float,
    ) -> list[tuple[float, PlacedTask]]:
        """Return the tasks of a worker by their expected end."""
        ends = []
        for task in self._ledger.tasks_on(worker).values():
            if task.spec.policy is PolicyKind.service or task.room is EMPTY:
                continue
            end_s = task.started_s + self._estimator.run_s(task.spec)
            if end_s < now_s:
                end_s = now_s + _OVERRUN * (now_s - task.started_s)
            ends.append((end_s, task))
        ends.sort(key=lambda end: end[0])
        return ends
