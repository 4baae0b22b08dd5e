"""Search for workers with free capacity."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from currantreach_decisions._ledger import EMPTY, unit_count
from currantreach_decisions._pool import Pool

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantreach_decisions._ledger import WorkerAccount
    from currantreach_types import Resources, TaskSpec

__all__ = ('Fleet',)

# Pools are built per set of constraints; the least recently used is evicted.
_POOL_LIMIT = 32
# Number of workers that freed resources to remember; after more of them the
# whole fleet is searched.
_FREED_LIMIT = 64
_FREED_SEARCH_LIMIT = 4


class Fleet:
    """Index of the free capacity of all workers.

    :ivar version: increases whenever resources may have been freed.
    :ivar prompt_unit: size of a typical prompt task.
    :ivar free_prompt_units: number of such tasks that fit into the free
        capacity.
    """

    def __init__(self, workers: Mapping[str, WorkerAccount]) -> None:
        """Index ``workers``, to which workers are added later."""
        self.version = 0
        self.prompt_unit = EMPTY
        self.free_prompt_units = 0
        self._workers = workers
        self._cached_range = (0, 0)
        self._cached_freed: tuple[WorkerAccount, ...] = ()
        self._units_by_worker: dict[str, int] = {}
        self._pools: collections.OrderedDict[str, Pool]
        self._pools = collections.OrderedDict()
        self._freed: collections.deque[str]
        self._freed = collections.deque(maxlen=_FREED_LIMIT)

    def rebuild(self) -> None:
        """Discard all pools after a worker was added, removed or changed."""
        self._pools.clear()
        self._cached_range = (0, 0)
        self.recount_prompt_units(self.prompt_unit)
        self.invalidate()

    def invalidate(self) -> None:
        """Make all waiting requests search the whole fleet again."""
        self._freed.clear()
        self.version += _FREED_LIMIT + 1

    def bump_version(self) -> None:
        """Make waiting requests retry although no worker freed resources."""
        self._freed.append('')
        self.version += 1

    def update(self, worker: WorkerAccount, *, has_freed: bool) -> None:
        """Update the index with the free capacity of a worker."""
        for pool in self._pools.values():
            pool.update(worker)
        self._update_units(worker)
        if has_freed and worker.is_open:
            self._freed.append(worker.registration.name)
            self.version += 1

    def freed_since(self, version: int) -> tuple[WorkerAccount, ...] | None:
        """Return the workers that freed resources since a version.

        :returns: None if they are too many or no longer known, so that the
            whole fleet has to be searched.
        """
        count = self.version - version
        if version < 0 or count > min(_FREED_SEARCH_LIMIT, len(self._freed)):
            return None
        version_range = (self.version, version)
        if version_range != self._cached_range:
            names = {self._freed[-index - 1] for index in range(count)}
            workers = self._workers
            self._cached_freed = tuple(
                workers[name] for name in names if name in workers
            )
            self._cached_range = version_range
        return self._cached_freed

    def pool(self, spec: TaskSpec) -> Pool:
        """Return the pool of the workers that match a request."""
        needs_accelerator = spec.resources.accelerator_count > 0
        key = str(needs_accelerator)
        if spec.constraints:
            key += repr(sorted(spec.constraints.items()))
        pool = self._pools.get(key)
        if pool is None:
            pool = Pool(self._matching(spec.constraints, needs_accelerator))
            self._pools[key] = pool
            if len(self._pools) > _POOL_LIMIT:
                self._pools.popitem(last=False)
        else:
            self._pools.move_to_end(key)
        return pool

    def recount_prompt_units(self, unit: Resources) -> None:
        """Recount the free capacity in units of a typical prompt task."""
        self.prompt_unit = unit
        self._units_by_worker.clear()
        self.free_prompt_units = 0
        if unit is not EMPTY:
            for worker in self._workers.values():
                self._update_units(worker)

    def units_lost(self, worker: WorkerAccount, size: Resources) -> int:
        """Return how many fewer prompt tasks fit once ``size`` is placed."""
        if self.prompt_unit is EMPTY:
            return 0
        remaining_units = unit_count(worker.free - size, self.prompt_unit)
        return (
            self._units_by_worker.get(worker.registration.name, 0)
            - remaining_units
        )

    def _matching(
        self,
        constraints: Mapping[str, str],
        needs_accelerator: bool,
    ) -> list[WorkerAccount]:
        """Return the matching workers, ordered by rack and name."""
        matching = [
            worker
            for worker in self._workers.values()
            if worker.matches(constraints)
            and worker.registration.capacity.accelerator_count
            >= needs_accelerator
        ]
        return sorted(
            matching,
            key=lambda worker: (
                worker.registration.rack,
                worker.registration.name,
            ),
        )

    def _update_units(self, worker: WorkerAccount) -> None:
        """Update the number of prompt tasks that fit on a worker."""
        if self.prompt_unit is EMPTY:
            return
        units = (
            unit_count(worker.free, self.prompt_unit) if worker.is_open else 0
        )
        before = self._units_by_worker.get(worker.registration.name, 0)
        self._units_by_worker[worker.registration.name] = units
        self.free_prompt_units += units - before
