"""Jobs whose records cannot be used, and their runs on workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._progress import resource_demand

if TYPE_CHECKING:
    from collections.abc import Collection

    from currantreach_jobs._model import Job, Step, TaskKey
    from currantreach_jobs._usage import TeamUsage, WorkerState

__all__ = ('QuarantinedJobs',)


class QuarantinedJobs:
    """Jobs whose tasks are neither started, stopped nor acknowledged.

    Their runs and ends stay listed by the workers, so that a leader that can
    read the corrected records learns of them.
    """

    def __init__(self, teams: TeamUsage) -> None:
        """Create an empty quarantine.

        :param teams: use of resources, in which the runs are counted.
        """
        self._jobs: dict[str, Job | None] = {}
        self._teams = teams

    def __contains__(self, job_id: str) -> bool:
        """Tell whether a job is quarantined."""
        return job_id in self._jobs

    def add(self, job_id: str, job: Job | None) -> None:
        """Quarantine a job.

        :param job: the job, or nothing if its own record is unreadable.
        """
        self._jobs[job_id] = job

    def cancel(self, job_id: str) -> None:
        """Remove a cancelled job, so that its runs are stopped."""
        self._jobs.pop(job_id, None)

    def update_runs(
        self,
        worker: WorkerState,
        unexpected: Collection[tuple[TaskKey, int]],
    ) -> None:
        """Count the resources of all runs of quarantined jobs on a worker.

        A run whose step is not known is unaccounted: its use of resources is
        not known either, so nothing is started on the worker.

        :param unexpected: runs that the worker lists and this leader neither
            started nor adopted.
        """
        steps = {run: self._step_of(run[0]) for run in unexpected}
        worker.orphans = {run for run in unexpected if steps[run] is None}
        for ended_run in worker.quarantined.keys() - steps.keys():
            team, step = worker.quarantined.pop(ended_run)
            worker.free += resource_demand(step)
            self._teams.remove(team, step.needed)
        for run, team_and_step in steps.items():
            if team_and_step is None or run in worker.quarantined:
                continue
            worker.quarantined[run] = team_and_step
            worker.free -= resource_demand(team_and_step[1])
            self._teams.add(team_and_step[0], team_and_step[1].needed)

    def _step_of(self, task: TaskKey) -> tuple[str, Step] | None:
        """Return the team and the step of a task, if they are known."""
        job = self._jobs.get(task.job_id)
        if job is None or task.step >= len(job.steps):
            return None
        return job.team, job.steps[task.step]
