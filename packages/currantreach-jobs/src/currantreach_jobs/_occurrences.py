"""Opening of the occurrences of jobs when they are due."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_jobs._progress import JobProgress

__all__ = ('DueOccurrences',)


class DueOccurrences:
    """Jobs with occurrences that are not opened yet."""

    def __init__(self) -> None:
        """Start without a job."""
        self._jobs: dict[str, JobProgress] = {}

    def add(self, progress: JobProgress, unix_ms: int) -> None:
        """Add a job and open its occurrences that are due."""
        self._jobs[progress.job.job_id] = progress
        self._open_due_of(progress, unix_ms)

    def discard(self, job_id: str) -> None:
        """Open no further occurrence of a job."""
        self._jobs.pop(job_id, None)

    def open_due(self, unix_ms: int) -> None:
        """Open the occurrences of all jobs that are due."""
        for progress in tuple(self._jobs.values()):
            self._open_due_of(progress, unix_ms)

    def _open_due_of(self, progress: JobProgress, unix_ms: int) -> None:
        has_opened = True
        while has_opened:
            has_opened = progress.open_next_due(unix_ms)
        if not progress.has_unopened_occurrences:
            self.discard(progress.job.job_id)
