"""Jobs whose records cannot be used, and what workers still run of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._progress import taken_room

if TYPE_CHECKING:
    from collections.abc import Collection

    from currantreach_jobs._model import Job, Step, TaskKey
    from currantreach_jobs._usage import TeamUse, WorkerState

__all__ = ('LeftOutJobs',)


class LeftOutJobs:
    """Jobs of which nothing is started, stopped or acknowledged.

    What they have running and done is known again to the leader that can
    read the corrected records.
    """

    def __init__(self, teams: TeamUse) -> None:
        """Start without jobs."""
        self._jobs: dict[str, Job | None] = {}
        self._teams = teams

    def __contains__(self, job_id: str) -> bool:
        """Tell whether the runs and ends of a job are left alone."""
        return job_id in self._jobs

    def add(self, job_id: str, job: Job | None) -> None:
        """Leave a job out.

        :param job: the job, unless it is its own record that is unreadable.
        """
        self._jobs[job_id] = job

    def cancel(self, job_id: str) -> None:
        """Note that a job was cancelled, so that nothing of it is wanted."""
        self._jobs.pop(job_id, None)

    def update_runs(
        self,
        room: WorkerState,
        listed: Collection[tuple[TaskKey, int]],
    ) -> None:
        """Count the room of all runs of such jobs on a worker.

        A run of a job that is not known at all counts as an orphan, which
        keeps everything else away from the worker.

        :param listed: runs that the worker lists and nobody has ordered.
        """
        steps = {run: self._step_of(run[0]) for run in listed}
        room.orphans = {run for run in listed if steps[run] is None}
        for gone in room.quarantined.keys() - steps.keys():
            team, step = room.quarantined.pop(gone)
            room.free += taken_room(step)
            self._teams.remove(team, step.needed)
        for run, found in steps.items():
            if found is None or run in room.quarantined:
                continue
            room.quarantined[run] = found
            room.free -= taken_room(found[1])
            self._teams.add(found[0], found[1].needed)

    def _step_of(self, task: TaskKey) -> tuple[str, Step] | None:
        """Return the team and the step of a task, if they are known."""
        job = self._jobs.get(task.job_id)
        if job is None or task.step >= len(job.steps):
            return None
        return job.team, job.steps[task.step]
