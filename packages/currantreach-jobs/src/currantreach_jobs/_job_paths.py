"""Expected durations of the remaining steps of jobs, as learned so far."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from currantreach_telemetry import log_warning

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantreach_jobs._progress import JobProgress, Stage
    from currantreach_jobs._stage_durations import StageDurations

__all__ = ('update_paths',)

# Learned durations change little within this time.
_PATH_AGE_S = 2
# A new leader with thousands of waiting jobs must not update them all in one
# scheduling round, which would take tens of milliseconds.
_MAX_UPDATES = 20


def update_paths(
    stages: Iterable[Stage],
    durations: StageDurations,
    now_s: float,
) -> None:
    """Update the expected times of the jobs of waiting stages.

    The objective of a job is a multiple of its critical path, so it follows the
    learned durations like the remaining path does. Otherwise jobs with too low
    an estimate would be late from the start.
    """
    outdated = {
        stage.job_progress.job.job_id: stage.job_progress
        for stage in stages
        if now_s >= stage.job_progress.path_valid_until_s
    }
    if not outdated:
        return
    for progress in heapq.nsmallest(
        _MAX_UPDATES, outdated.values(), key=_valid_until
    ):
        progress.path_valid_until_s = now_s + _PATH_AGE_S
        try:
            _update_path(progress, durations)
        except Exception as error:
            # The former times stay in force.
            log_warning(
                'path_unknown',
                job=progress.job.job_id,
                error=repr(error),
            )


def _update_path(progress: JobProgress, durations: StageDurations) -> None:
    # All occurrences have the same steps.
    stages = {number: stage for (_, number), stage in progress.stages.items()}
    tasks = [
        durations.task(stages[number])
        for number in range(len(progress.job.steps))
    ]
    lengths_s = [task.mean_s for task in tasks]
    progress.objective_s = progress.job.objective_s(lengths_s)
    remaining_path_s = progress.job.remaining_path_s(lengths_s)
    for (_, step_number), stage in progress.stages.items():
        stage.mean_s = tasks[step_number].mean_s
        stage.tail_s = tasks[step_number].tail_s
        stage.remaining_s = remaining_path_s[step_number]


def _valid_until(progress: JobProgress) -> float:
    return progress.path_valid_until_s
