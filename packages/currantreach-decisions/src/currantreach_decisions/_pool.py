"""Free amounts of a set of workers, ordered for search."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from currantreach_decisions._ledger import WorkerRoom
    from currantreach_types import Resources

__all__ = ('Pool',)

_Amounts = tuple[int, int, int, int, int]
_NONE: _Amounts = (-1, -1, -1, -1, -1)


def _amounts(room: Resources) -> _Amounts:
    """Return the amounts as a tuple, which compares faster."""
    return (
        room.slot_count,
        room.cpu_milli,
        room.memory_mib,
        room.accelerator_count,
        room.connection_count,
    )


class Pool:
    """Index of the open workers that share some labels.

    A tree whose nodes hold the largest free amounts below them finds a worker
    that fits; a list sorted by free processor time finds the tight ones. Moving
    the entries of a list of 1,300 workers takes less than a microsecond.
    """

    def __init__(self, rooms: Iterable[WorkerRoom]) -> None:
        """Index the workers in the order given."""
        self.rooms = tuple(rooms)
        self._leaf_count = 1
        while self._leaf_count < len(self.rooms):
            self._leaf_count *= 2
        self._nodes = list(itertools.repeat(_NONE, 2 * self._leaf_count))
        self._positions: dict[str, int] = {}
        self._by_cpu: list[tuple[int, int]] = []
        for position, room in enumerate(self.rooms):
            self._positions[room.host.name] = position
            self.update(room)

    def update(self, room: WorkerRoom) -> None:
        """Take over the free room of a worker."""
        position = self._positions.get(room.host.name)
        if position is None:
            return
        node = self._leaf_count + position
        amounts = _amounts(room.free) if room.is_open else _NONE
        before = self._nodes[node]
        if amounts == before:
            return
        if before is not _NONE:
            entry = (before[1], position)
            self._by_cpu.pop(bisect.bisect_left(self._by_cpu, entry))
        if amounts is not _NONE:
            bisect.insort(self._by_cpu, (amounts[1], position))
        self._nodes[node] = amounts
        self._climb(node // 2)

    def tight(self, size: Resources, count: int) -> Iterator[WorkerRoom]:
        """Yield those that fit among the ``count`` with the least processor."""
        first = bisect.bisect_left(self._by_cpu, (size.cpu_milli, -1))
        return self._fitting(self._by_cpu[first : first + count], size)

    def roomy(self, size: Resources, count: int) -> Iterator[WorkerRoom]:
        """Yield those that fit among the ``count`` with the most processor."""
        return self._fitting(reversed(self._by_cpu[-count:]), size)

    def fitting(self, size: Resources) -> Iterator[WorkerRoom]:
        """Yield all workers that fit, in the order of the pool."""
        wanted = _amounts(size)
        stack = [1]
        while stack:
            node = stack.pop()
            if not _covers(self._nodes[node], wanted):
                continue
            if node >= self._leaf_count:
                yield self.rooms[node - self._leaf_count]
            else:
                stack.append(2 * node + 1)
                stack.append(2 * node)

    def _fitting(
        self,
        found: Iterable[tuple[int, int]],
        size: Resources,
    ) -> Iterator[WorkerRoom]:
        """Yield the workers that fit."""
        for _, position in found:
            room = self.rooms[position]
            if size.fits_in(room.free):
                yield room

    def _climb(self, node: int) -> None:
        """Correct the largest amounts above a leaf."""
        nodes = self._nodes
        while node:
            left = nodes[2 * node]
            largest = tuple(map(max, left, nodes[2 * node + 1]))
            if largest == nodes[node]:
                return
            nodes[node] = largest  # type: ignore[assignment]
            node //= 2


def _covers(amounts: _Amounts, wanted: _Amounts) -> bool:
    """Tell whether each amount is at least the wanted one."""
    if amounts[0] < wanted[0] or amounts[1] < wanted[1]:
        return False
    return (
        amounts[2] >= wanted[2]
        and amounts[3] >= wanted[3]
        and amounts[4] >= wanted[4]
    )
