"""Opening of the occurrences of jobs when they are due."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from currantreach_jobs._memory import JobMemory
    from currantreach_jobs._progress import JobProgress

__all__ = ('DueOccurrences',)


class DueOccurrences:
    """Jobs with occurrences that are not opened yet."""

    def __init__(self, memory: JobMemory) -> None:
        """Start without a job.

        :param memory: limits the occurrences that are open at the same time.
        """
        self._memory = memory
        self._jobs: dict[str, JobProgress] = {}
        # Jobs with an occurrence that is due and waits for memory.
        self._deferred: set[str] = set()

    def add(self, progress: JobProgress, unix_ms: int) -> None:
        """Add a job and open its occurrences that are due."""
        self._jobs[progress.job.job_id] = progress
        self._open_due_of(progress, unix_ms)

    def discard(self, job_id: str) -> None:
        """Open no further occurrence of a job."""
        self._jobs.pop(job_id, None)
        self._deferred.discard(job_id)

    def open_due(self, unix_ms: int) -> None:
        """Open the occurrences of all jobs that are due."""
        for progress in tuple(self._jobs.values()):
            self._open_due_of(progress, unix_ms)

    def _open_due_of(self, progress: JobProgress, unix_ms: int) -> None:
        while progress.is_next_due(unix_ms):
            if not self._memory.can_open(progress.job):
                self._defer(progress)
                return
            self._deferred.discard(progress.job.job_id)
            progress.open_next()
            self._memory.update(progress)
        if not progress.has_unopened_occurrences:
            self.discard(progress.job.job_id)

    def _defer(self, progress: JobProgress) -> None:
        """Log that an occurrence waits until others have ended."""
        job = progress.job
        if job.job_id in self._deferred:
            return
        self._deferred.add(job.job_id)
        log_event(
            'occurrence_deferred',
            job=job.job_id,
            team=job.team,
            team_bytes=self._memory.opened.bytes_of(job.team),
            opened_bytes=self._memory.opened.total_bytes,
            limit_bytes=self._memory.limit_bytes,
        )
