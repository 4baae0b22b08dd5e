"""Search for workers with free room."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from currantreach_decisions._ledger import EMPTY, unit_count
from currantreach_decisions._pool import Pool

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantreach_decisions._ledger import WorkerRoom
    from currantreach_types import Resources, TaskSpec

__all__ = ('Fleet',)

# Pools are built for the constraints in use; the least recently used goes.
_POOL_LIMIT = 32
# Older growth than this is not looked up worker by worker.
_GROWTH_LIMIT = 64
_FEW_GROWN = 4


class Fleet:
    """Index of the free room of all workers.

    :ivar version: rises whenever room may have become free.
    :ivar prompt_unit: size of a typical prompt task.
    :ivar prompt_units: prompt tasks that fit into the free room.
    """

    def __init__(self, rooms: Mapping[str, WorkerRoom]) -> None:
        """Index workers that are added later to ``rooms``."""
        self.version = 0
        self.prompt_unit = EMPTY
        self.prompt_units = 0
        self._rooms = rooms
        self._asked = (0, 0)
        self._answer: tuple[WorkerRoom, ...] = ()
        self._units: dict[str, int] = {}
        self._pools: collections.OrderedDict[str, Pool]
        self._pools = collections.OrderedDict()
        self._grown: collections.deque[str]
        self._grown = collections.deque(maxlen=_GROWTH_LIMIT)

    def rebuild(self) -> None:
        """Forget all pools after a worker came, went or changed."""
        self._pools.clear()
        self._asked = (0, 0)
        self.measure_in(self.prompt_unit)
        self.invalidate()

    def invalidate(self) -> None:
        """Make all waiting requests look at the whole fleet again."""
        self._grown.clear()
        self.version += _GROWTH_LIMIT + 1

    def touch(self) -> None:
        """Make waiting requests try again though no worker has grown."""
        self._grown.append('')
        self.version += 1

    def update(self, room: WorkerRoom, *, has_grown: bool) -> None:
        """Take over the free room of a worker."""
        for pool in self._pools.values():
            pool.update(room)
        self._count_units(room)
        if has_grown and room.is_open:
            self._grown.append(room.host.name)
            self.version += 1

    def grown_since(self, version: int) -> tuple[WorkerRoom, ...] | None:
        """Return workers that gave back room, or None if they are many."""
        count = self.version - version
        if version < 0 or count > min(_FEW_GROWN, len(self._grown)):
            return None
        asked = (self.version, version)
        if asked != self._asked:
            names = {self._grown[-index - 1] for index in range(count)}
            rooms = self._rooms
            self._answer = tuple(rooms[name] for name in names if name in rooms)
            self._asked = asked
        return self._answer

    def pool(self, spec: TaskSpec) -> Pool:
        """Return the index of the workers that a request can use."""
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

    def measure_in(self, unit: Resources) -> None:
        """Count the free room in units of a typical prompt task."""
        self.prompt_unit = unit
        self._units.clear()
        self.prompt_units = 0
        if unit is not EMPTY:
            for room in self._rooms.values():
                self._count_units(room)

    def units_lost(self, room: WorkerRoom, size: Resources) -> int:
        """Return how many prompt tasks fewer fit beside a task."""
        if self.prompt_unit is EMPTY:
            return 0
        left = unit_count(room.free - size, self.prompt_unit)
        return self._units.get(room.host.name, 0) - left

    def _matching(
        self,
        constraints: Mapping[str, str],
        needs_accelerator: bool,
    ) -> list[WorkerRoom]:
        """Return the workers with some labels, rack by rack."""
        matching = [
            room
            for room in self._rooms.values()
            if room.matches(constraints)
            and room.host.capacity.accelerator_count >= needs_accelerator
        ]
        return sorted(
            matching,
            key=lambda room: (room.host.rack, room.host.name),
        )

    def _count_units(self, room: WorkerRoom) -> None:
        """Correct the number of prompt tasks that fit."""
        if self.prompt_unit is EMPTY:
            return
        units = unit_count(room.free, self.prompt_unit) if room.is_open else 0
        before = self._units.get(room.host.name, 0)
        self._units[room.host.name] = units
        self.prompt_units += units - before
