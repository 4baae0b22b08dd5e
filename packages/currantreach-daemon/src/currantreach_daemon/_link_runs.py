"""Runs that the link to one worker has ordered or heard of."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from currantreach_decisions import Placement

if TYPE_CHECKING:
    from currantreach_types import WorkerTask

__all__ = ('LinkRuns', 'RunNumber')

# Epoch and number of a run; those of a later run of the same task are higher.
RunNumber: TypeAlias = tuple[int, int]


@attrs.define(slots=True, eq=False)
class LinkRuns:
    """Runs on one worker that have not ended, by task id.

    A worker may list a run that has been processed and deleted once more, as
    its answers to different calls overtake each other.

    :ivar epoch: epoch of the owner.
    :ivar queued: placements whose start orders are not sent yet.
    :ivar in_flight: placements whose start orders are not answered yet, with
        the latest start on the worker's clock.
    :ivar running: numbers of the runs that the worker has started.
    """

    epoch: int
    queued: dict[str, Placement] = attrs.field(factory=dict, init=False)
    in_flight: dict[str, tuple[Placement, int]] = attrs.field(
        factory=dict, init=False
    )
    running: dict[str, RunNumber] = attrs.field(factory=dict, init=False)

    def is_former(self, task: WorkerTask) -> bool:
        """Tell whether a report is about a run before the last one."""
        return self.run_of(task) < self._last_run(task.task_id)

    def run_of(self, task: WorkerTask) -> RunNumber:
        """Return the number of the run that a worker reports.

        If the worker does not tell, it is taken for the last run of its epoch.
        """
        last_run = self._last_run(task.task_id)
        if not task.attempt and task.epoch == last_run[0]:
            return last_run
        return task.epoch, task.attempt

    def _last_run(self, task_id: str) -> RunNumber:
        placement = self.queued.get(task_id)
        if placement is None and task_id in self.in_flight:
            placement, _start_by_ms = self.in_flight[task_id]
        if placement is not None:
            return self.epoch, placement.attempt
        return self.running.get(task_id, (0, 0))
