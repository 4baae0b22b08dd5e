"""Spread of service tasks over racks and workers."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from currantreach_types import PolicyKind

if TYPE_CHECKING:
    from currantreach_decisions._ledger import PlacedTask, WorkerAccount
    from currantreach_types import TaskSpec

__all__ = ('TopologySpread',)


class TopologySpread:
    """Number of tasks of each service by rack and by worker."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._counts: collections.Counter[tuple[str, str, str]]
        self._counts = collections.Counter()
        self._racks: dict[str, str] = {}

    def placement_key(
        self,
        spec: TaskSpec,
        worker: WorkerAccount,
    ) -> tuple[int, int, int]:
        """Return the sort key of a worker for a task; the lowest is best.

        It holds the tasks of the service in the rack and on the worker, and
        the negated free processor time.
        """
        rack_name = worker.registration.rack
        rack_key = (spec.team, spec.workload, f'rack {rack_name}')
        worker_key = (spec.team, spec.workload, worker.registration.name)
        counts = self._counts
        return counts[rack_key], counts[worker_key], -worker.free.cpu_milli

    def add(self, task: PlacedTask, rack: str) -> None:
        """Count a task of a service."""
        if task.spec.policy is PolicyKind.service:
            self._racks[task.task_id] = rack
            self._change(task, rack, 1)

    def remove(self, task: PlacedTask) -> None:
        """Stop counting a task of a service."""
        rack = self._racks.pop(task.task_id, None)
        if rack is not None:
            self._change(task, rack, -1)

    def _change(self, task: PlacedTask, rack: str, change: int) -> None:
        """Add ``change`` to the counts of a rack and a worker."""
        spec = task.spec
        for place in (f'rack {rack}', task.worker):
            key = (spec.team, spec.workload, place)
            self._counts[key] += change
            if not self._counts[key]:
                self._counts.pop(key)
