"""Accounts of the room that tasks take from workers and teams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_types import Resources, TaskSpec, WorkerInfo

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantreach_decisions._scheduler import Placement, TeamQuota

__all__ = (
    'EMPTY',
    'Ledger',
    'PlacedTask',
    'TeamAccount',
    'WorkerRoom',
    'is_within',
    'unit_count',
)

EMPTY = Resources()
_UNBOUNDED = 1000000


def is_within(used: Resources, limit: Resources) -> bool:
    """Tell whether a team stays within its allotment.

    Team limits do not cover connections.
    """
    if used.slot_count > limit.slot_count or used.cpu_milli > limit.cpu_milli:
        return False
    return (
        used.memory_mib <= limit.memory_mib
        and used.accelerator_count <= limit.accelerator_count
    )


def unit_count(room: Resources, unit: Resources) -> int:
    """Return how many tasks of size ``unit`` fit into ``room``."""
    count = _UNBOUNDED
    if unit.slot_count:
        count = room.slot_count // unit.slot_count
    if unit.cpu_milli:
        count = min(count, room.cpu_milli // unit.cpu_milli)
    if unit.memory_mib:
        count = min(count, room.memory_mib // unit.memory_mib)
    if unit.accelerator_count:
        count = min(count, room.accelerator_count // unit.accelerator_count)
    if unit.connection_count:
        count = min(count, room.connection_count // unit.connection_count)
    return max(count, 0)


@attrs.define(slots=True, kw_only=True, eq=False)
class PlacedTask:
    """A task that has room set aside.

    :ivar room: room taken, at least what is declared or observed.
    :ivar started_s: time of the placement.
    :ivar is_leaving: whether it was told to checkpoint.
    :ivar observed: largest use that was reported.
    """

    task_id: str
    spec: TaskSpec
    worker: str
    room: Resources
    started_s: float
    is_leaving: bool = False
    observed: Resources = EMPTY


@attrs.define(slots=True, kw_only=True, eq=False)
class WorkerRoom:
    """A worker and its free room, which may be negative.

    :ivar is_open: whether it receives new tasks.
    :ivar is_admitted: whether the owner lets it receive new tasks.
    """

    host: WorkerInfo
    free: Resources
    is_open: bool
    labels: dict[str, str]
    is_admitted: bool = True

    def matches(self, constraints: Mapping[str, str]) -> bool:
        """Tell whether the worker has all labels of ``constraints``."""
        return all(
            self.labels.get(label) == wanted
            for label, wanted in constraints.items()
        )


@attrs.define(slots=True, eq=False)
class TeamAccount:
    """What a team may use and what it takes."""

    share: float = 1
    allotment: Resources = EMPTY
    used: Resources = EMPTY
    wanted: Resources = EMPTY

    def admits(self, room: Resources) -> bool:
        """Tell whether ``room`` more stays within the allotment."""
        return is_within(self.used + room, self.allotment)


class Ledger:
    """Workers, teams and placed tasks of one partition."""

    def __init__(self) -> None:
        """Start without workers and teams."""
        self.workers: dict[str, WorkerRoom] = {}
        self.teams: dict[str, TeamAccount] = {}
        self.tasks: dict[str, PlacedTask] = {}
        self.capacity = EMPTY
        self._by_worker: dict[str, dict[str, PlacedTask]] = {}
        self._shapes: dict[str, dict[Resources, int]] = {}

    def apply_terms(self, teams: Mapping[str, TeamQuota]) -> None:
        """Replace the terms; a team left out may start nothing."""
        for account in self.teams.values():
            account.allotment = EMPTY
        for name, terms in teams.items():
            known = self.team(name)
            known.share = terms.share
            known.allotment = terms.allotment

    def team(self, name: str) -> TeamAccount:
        """Return the account of a team, which may be new."""
        account = self.teams.get(name)
        if account is None:
            account = TeamAccount()
            self.teams[name] = account
        return account

    def set_worker(self, worker: WorkerInfo, *, is_open: bool) -> WorkerRoom:
        """Add or update a worker."""
        self.drop_worker(worker.name)
        free = worker.capacity
        for task in self.tasks_on(worker.name).values():
            free -= task.room
        labels = {
            **worker.labels,
            'rack': worker.rack,
            'worker': worker.name,
        }
        room = WorkerRoom(
            host=worker,
            free=free,
            is_open=is_open,
            is_admitted=is_open,
            labels=labels,
        )
        self.workers[worker.name] = room
        self.capacity += worker.capacity
        self._shapes.clear()
        return room

    def drop_worker(self, name: str) -> None:
        """Forget a worker but not the tasks placed on it."""
        room = self.workers.pop(name, None)
        if room is not None:
            self.capacity -= room.host.capacity
            self._shapes.clear()

    def tasks_on(self, name: str) -> Mapping[str, PlacedTask]:
        """Return the tasks placed on a worker, by id."""
        return self._by_worker.get(name, {})

    def place(self, placement: Placement, now_s: float) -> PlacedTask:
        """Count a task."""
        task = PlacedTask(
            task_id=placement.task_id,
            spec=placement.spec,
            worker=placement.worker,
            room=EMPTY,
            started_s=now_s,
        )
        self.tasks[task.task_id] = task
        self._by_worker.setdefault(task.worker, {})[task.task_id] = task
        self.resize(task, placement.resources)
        return task

    def release(self, task_id: str) -> PlacedTask | None:
        """Give back the room of a task, if it is known."""
        task = self.tasks.pop(task_id, None)
        if task is None:
            return None
        on_worker = self._by_worker[task.worker]
        on_worker.pop(task_id)
        if not on_worker:
            self._by_worker.pop(task.worker)
        self.resize(task, EMPTY)
        return task

    def resize(self, task: PlacedTask, room: Resources) -> None:
        """Change the room that a task takes."""
        change = room - task.room
        task.room = room
        account = self.team(task.spec.team)
        account.used += change
        worker = self.workers.get(task.worker)
        if worker is not None:
            worker.free -= change

    def can_ever_hold(self, spec: TaskSpec) -> bool:
        """Tell whether the fleet could hold a request if it was empty.

        An empty fleet says nothing, since its workers are still unknown.
        """
        if not self.workers:
            return True
        needed = spec.gang_size
        for capacity, count in self._capacities(spec.constraints).items():
            needed -= count * unit_count(capacity, spec.resources)
            if needed <= 0:
                return True
        return False

    def can_hold(self, size: Resources, spec: TaskSpec) -> bool:
        """Tell whether an empty worker holds a size, within the allotment."""
        account = self.team(spec.team)
        if not is_within(size.times(spec.gang_size), account.allotment):
            return False
        return any(
            size.fits_in(capacity)
            for capacity in self._capacities(spec.constraints)
        )

    def _capacities(
        self,
        constraints: Mapping[str, str],
    ) -> dict[Resources, int]:
        """Count the matching workers of each capacity."""
        key = repr(sorted(constraints.items()))
        shapes = self._shapes.get(key)
        if shapes is None:
            shapes = {}
            for room in self.workers.values():
                if room.matches(constraints):
                    capacity = room.host.capacity
                    shapes[capacity] = shapes.get(capacity, 0) + 1
            self._shapes[key] = shapes
        return shapes
