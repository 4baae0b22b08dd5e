"""Where the tasks of each service run."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from currantreach_types import PolicyKind

if TYPE_CHECKING:
    from currantreach_decisions._ledger import PlacedTask, WorkerRoom
    from currantreach_types import TaskSpec

__all__ = ('Spread',)


class Spread:
    """Tasks of each service by rack and by worker."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._counts: collections.Counter[tuple[str, str, str]]
        self._counts = collections.Counter()
        self._racks: dict[str, str] = {}

    def nearby(self, spec: TaskSpec, room: WorkerRoom) -> tuple[int, int, int]:
        """Order workers by rack, then worker, then most free processor."""
        rack_name = room.host.rack
        rack = (spec.team, spec.workload, f'rack {rack_name}')
        worker = (spec.team, spec.workload, room.host.name)
        counts = self._counts
        return counts[rack], counts[worker], -room.free.cpu_milli

    def add(self, task: PlacedTask, rack: str) -> None:
        """Count a task of a service."""
        if task.spec.policy is PolicyKind.service:
            self._racks[task.task_id] = rack
            self._change(task, rack, 1)

    def remove(self, task: PlacedTask) -> None:
        """Forget a task of a service."""
        rack = self._racks.pop(task.task_id, None)
        if rack is not None:
            self._change(task, rack, -1)

    def _change(self, task: PlacedTask, rack: str, change: int) -> None:
        """Change the counts of a rack and a worker."""
        spec = task.spec
        for place in (f'rack {rack}', task.worker):
            key = (spec.team, spec.workload, place)
            self._counts[key] += change
            if not self._counts[key]:
                self._counts.pop(key)
