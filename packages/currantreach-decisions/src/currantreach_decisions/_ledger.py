"""Accounting of the resources of workers, teams and tasks."""

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
    'WorkerAccount',
    'is_within',
    'unit_count',
)

EMPTY = Resources()
_UNBOUNDED = 1000000


def is_within(used: Resources, limit: Resources) -> bool:
    """Tell whether usage stays within an allotment.

    Connections are not limited by team.
    """
    if used.slot_count > limit.slot_count or used.cpu_milli > limit.cpu_milli:
        return False
    return (
        used.memory_mib <= limit.memory_mib
        and used.accelerator_count <= limit.accelerator_count
    )


def unit_count(free: Resources, unit: Resources) -> int:
    """Return how many tasks of size ``unit`` fit into ``free``."""
    count = _UNBOUNDED
    if unit.slot_count:
        count = free.slot_count // unit.slot_count
    if unit.cpu_milli:
        count = min(count, free.cpu_milli // unit.cpu_milli)
    if unit.memory_mib:
        count = min(count, free.memory_mib // unit.memory_mib)
    if unit.accelerator_count:
        count = min(count, free.accelerator_count // unit.accelerator_count)
    if unit.connection_count:
        count = min(count, free.connection_count // unit.connection_count)
    return max(count, 0)


@attrs.define(slots=True, kw_only=True, eq=False)
class PlacedTask:
    """A task with allocated resources.

    :ivar allocated: at least the declared and the observed resources.
    :ivar started_at_s: time of the placement.
    :ivar is_preempted: whether it was chosen for preemption.
    :ivar observed: peak of the reported usage.
    :ivar attempt: number of the run that it belongs to.
    """

    task_id: str
    spec: TaskSpec
    worker: str
    allocated: Resources
    started_at_s: float
    attempt: int
    is_preempted: bool = False
    observed: Resources = EMPTY


@attrs.define(slots=True, kw_only=True, eq=False)
class WorkerAccount:
    """A worker and its free capacity.

    :ivar registration: entry of the worker in the host list.
    :ivar free: free capacity; negative if the tasks exceed the capacity.
    :ivar is_open: whether it receives new tasks; a quarantined worker does
        not.
    :ivar is_admitted: whether the owner lets it receive new tasks.
    """

    registration: WorkerInfo
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
    """Quota, usage and demand of a team.

    :ivar used: resources allocated to its tasks.
    :ivar demand: resources that its waiting requests ask for.
    """

    share: float = 1
    allotment: Resources = EMPTY
    used: Resources = EMPTY
    demand: Resources = EMPTY

    def admits(self, requested: Resources) -> bool:
        """Tell whether ``requested`` fits into the rest of the allotment."""
        return is_within(self.used + requested, self.allotment)


class Ledger:
    """Workers, teams and placed tasks of one partition."""

    def __init__(self) -> None:
        """Start without workers and teams."""
        self.workers: dict[str, WorkerAccount] = {}
        self.teams: dict[str, TeamAccount] = {}
        self.tasks: dict[str, PlacedTask] = {}
        self.capacity = EMPTY
        self._by_worker: dict[str, dict[str, PlacedTask]] = {}
        self._capacity_counts: dict[str, dict[Resources, int]] = {}

    def apply_quotas(self, teams: Mapping[str, TeamQuota]) -> None:
        """Replace the quotas; a team without one may start nothing."""
        for account in self.teams.values():
            account.allotment = EMPTY
        for name, quota in teams.items():
            known = self.team(name)
            known.share = quota.share
            known.allotment = quota.allotment

    def team(self, name: str) -> TeamAccount:
        """Return the account of a team, which may be new."""
        account = self.teams.get(name)
        if account is None:
            account = TeamAccount()
            self.teams[name] = account
        return account

    def set_worker(
        self, worker: WorkerInfo, *, is_admitted: bool
    ) -> WorkerAccount:
        """Add or update a worker."""
        self.drop_worker(worker.name)
        free = worker.capacity
        for task in self.tasks_on(worker.name).values():
            free -= task.allocated
        labels = {
            **worker.labels,
            'rack': worker.rack,
            'worker': worker.name,
        }
        account = WorkerAccount(
            registration=worker,
            free=free,
            is_open=is_admitted,
            is_admitted=is_admitted,
            labels=labels,
        )
        self.workers[worker.name] = account
        self.capacity += worker.capacity
        self._capacity_counts.clear()
        return account

    def drop_worker(self, name: str) -> None:
        """Remove a worker but not the tasks placed on it."""
        account = self.workers.pop(name, None)
        if account is not None:
            self.capacity -= account.registration.capacity
            self._capacity_counts.clear()

    def tasks_on(self, name: str) -> Mapping[str, PlacedTask]:
        """Return the tasks placed on a worker, by id."""
        return self._by_worker.get(name, {})

    def place(self, placement: Placement, now_s: float) -> PlacedTask:
        """Allocate the resources of a placement."""
        task = PlacedTask(
            task_id=placement.task_id,
            spec=placement.spec,
            worker=placement.worker,
            allocated=EMPTY,
            started_at_s=now_s,
            attempt=placement.attempt,
        )
        self.tasks[task.task_id] = task
        self._by_worker.setdefault(task.worker, {})[task.task_id] = task
        self.resize(task, placement.resources)
        return task

    def release(self, task_id: str) -> PlacedTask | None:
        """Release the resources of a task, if it is known."""
        task = self.tasks.pop(task_id, None)
        if task is None:
            return None
        on_worker = self._by_worker[task.worker]
        on_worker.pop(task_id)
        if not on_worker:
            self._by_worker.pop(task.worker)
        self.resize(task, EMPTY)
        return task

    def resize(self, task: PlacedTask, allocated: Resources) -> None:
        """Change the resources allocated to a task."""
        change = allocated - task.allocated
        task.allocated = allocated
        account = self.team(task.spec.team)
        account.used += change
        worker = self.workers.get(task.worker)
        if worker is not None:
            worker.free -= change

    def fits_empty_fleet(self, spec: TaskSpec) -> bool:
        """Tell whether a request would fit into the fleet without tasks.

        This is assumed while no worker is known.
        """
        if not self.workers:
            return True
        needed = spec.gang_size
        for capacity, count in self._matching_capacities(
            spec.constraints
        ).items():
            needed -= count * unit_count(capacity, spec.resources)
            if needed <= 0:
                return True
        return False

    def fits_empty_worker(self, size: Resources, spec: TaskSpec) -> bool:
        """Tell whether a size fits an idle worker and the allotment."""
        account = self.team(spec.team)
        if not is_within(size.scaled_by(spec.gang_size), account.allotment):
            return False
        return any(
            size.fits_in(capacity)
            for capacity in self._matching_capacities(spec.constraints)
        )

    def _matching_capacities(
        self,
        constraints: Mapping[str, str],
    ) -> dict[Resources, int]:
        """Return the number of matching workers by capacity."""
        key = repr(sorted(constraints.items()))
        capacity_counts = self._capacity_counts.get(key)
        if capacity_counts is None:
            capacity_counts = {}
            for worker in self.workers.values():
                if worker.matches(constraints):
                    capacity = worker.registration.capacity
                    capacity_counts[capacity] = (
                        capacity_counts.get(capacity, 0) + 1
                    )
            self._capacity_counts[key] = capacity_counts
        return capacity_counts
