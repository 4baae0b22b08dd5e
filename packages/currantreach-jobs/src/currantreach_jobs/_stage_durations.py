"""Expected durations of the tasks of a stage, as the leader uses them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from currantreach_jobs._progress import Run, Stage

__all__ = ('StageDurations', 'TaskDuration')


@attrs.frozen(slots=True, kw_only=True)
class TaskDuration:
    """Expected duration of a task on a worker of usual speed.

    :ivar mean_s: mean duration.
    :ivar tail_s: duration that one task in ten exceeds.
    :ivar run_count: finished runs behind it, 0 for a declared estimate.
    """

    mean_s: float
    tail_s: float
    run_count: float = 0


class StageDurations:
    """Durations of tasks and speeds of workers.

    Without finished runs the declared estimates hold, and all workers have the
    usual speed.
    """

    def task(self, stage: Stage) -> TaskDuration:
        """Return the expected duration of a task of a stage."""
        declared_s = stage.step.estimate_s
        return TaskDuration(mean_s=declared_s, tail_s=declared_s)

    def slowdown(self, worker_id: str) -> float:
        """Return by which factor runs take longer on a worker than usual."""
        return 1

    def run_s(self, stage: Stage, worker_id: str) -> float:
        """Return the mean duration of a task of a stage on a worker."""
        return self.task(stage).mean_s * self.slowdown(worker_id)

    def tail_s(self, stage: Stage, worker_id: str) -> float:
        """Return the duration on a worker that one task in ten exceeds."""
        return self.task(stage).tail_s * self.slowdown(worker_id)

    def remaining_s(self, run: Run, now_s: float) -> float:
        """Return the expected time until a run ends, at least 0."""
        began_s = run.confirmed_at_s or now_s
        expected_s = self.run_s(run.stage, run.worker_id)
        return max(0, began_s + expected_s - now_s)
