"""Search index over the free capacity of a set of workers."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from currantreach_decisions._ledger import WorkerAccount
    from currantreach_types import Resources

__all__ = ('Pool',)

_Amounts = tuple[int, int, int, int, int]
_NONE: _Amounts = (-1, -1, -1, -1, -1)


def _amounts(resources: Resources) -> _Amounts:
    """Return the amounts as a tuple, which is faster to compare."""
    return (
        resources.slot_count,
        resources.cpu_milli,
        resources.memory_mib,
        resources.accelerator_count,
        resources.connection_count,
    )


class Pool:
    """Index of the open workers that match the same constraints.

    A segment tree of the largest free amounts finds any worker that fits. A
    list sorted by free processor time finds the best and worst fits; an
    insertion into a list of 1,300 workers takes less than a microsecond.
    """

    def __init__(self, workers: Iterable[WorkerAccount]) -> None:
        """Index the workers in the order given."""
        self.workers = tuple(workers)
        self._leaf_count = 1
        while self._leaf_count < len(self.workers):
            self._leaf_count *= 2
        self._nodes = list(itertools.repeat(_NONE, 2 * self._leaf_count))
        self._positions: dict[str, int] = {}
        self._by_cpu: list[tuple[int, int]] = []
        for position, worker in enumerate(self.workers):
            self._positions[worker.registration.name] = position
            self.update(worker)

    def update(self, worker: WorkerAccount) -> None:
        """Update the index with the free capacity of a worker."""
        position = self._positions.get(worker.registration.name)
        if position is None:
            return
        node = self._leaf_count + position
        amounts = _amounts(worker.free) if worker.is_open else _NONE
        before = self._nodes[node]
        if amounts == before:
            return
        if before is not _NONE:
            entry = (before[1], position)
            self._by_cpu.pop(bisect.bisect_left(self._by_cpu, entry))
        if amounts is not _NONE:
            bisect.insort(self._by_cpu, (amounts[1], position))
        self._nodes[node] = amounts
        self._update_ancestors(node // 2)

    def best_fit(self, size: Resources, count: int) -> Iterator[WorkerAccount]:
        """Yield fitting workers among the ``count`` with the least CPU free.

        Only workers with enough processor time count.
        """
        first = bisect.bisect_left(self._by_cpu, (size.cpu_milli, -1))
        return self._fitting(self._by_cpu[first : first + count], size)

    def worst_fit(self, size: Resources, count: int) -> Iterator[WorkerAccount]:
        """Yield fitting workers among the ``count`` with the most CPU free."""
        return self._fitting(reversed(self._by_cpu[-count:]), size)

    def fitting(self, size: Resources) -> Iterator[WorkerAccount]:
        """Yield all workers that fit, in the order of the pool."""
        wanted = _amounts(size)
        stack = [1]
        while stack:
            node = stack.pop()
            if not _is_covered(self._nodes[node], wanted):
                continue
            if node >= self._leaf_count:
                yield self.workers[node - self._leaf_count]
            else:
                stack.append(2 * node + 1)
                stack.append(2 * node)

    def _fitting(
        self,
        found: Iterable[tuple[int, int]],
        size: Resources,
    ) -> Iterator[WorkerAccount]:
        """Yield the workers of ``found`` that fit."""
        for _, position in found:
            worker = self.workers[position]
            if size.fits_in(worker.free):
                yield worker

    def _update_ancestors(self, node: int) -> None:
        """Recompute the largest amounts from a node up to the root."""
        nodes = self._nodes
        while node:
            left = nodes[2 * node]
            largest = tuple(map(max, left, nodes[2 * node + 1]))
            if largest == nodes[node]:
                return
            nodes[node] = largest  # type: ignore[assignment]
            node //= 2


def _is_covered(amounts: _Amounts, wanted: _Amounts) -> bool:
    """Tell whether each amount is at least the wanted one."""
    if amounts[0] < wanted[0] or amounts[1] < wanted[1]:
        return False
    return (
        amounts[2] >= wanted[2]
        and amounts[3] >= wanted[3]
        and amounts[4] >= wanted[4]
    )
