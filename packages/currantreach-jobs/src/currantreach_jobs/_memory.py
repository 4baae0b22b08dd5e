"""Estimated memory of open jobs, and its bound.

Every daemon of a cell may have to lead it, so open jobs take no more memory
than the smallest host can spare.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

from currantreach_jobs._bounds import MAX_INTEGER

if TYPE_CHECKING:
    from currantreach_jobs._model import Job
    from currantreach_jobs._progress import JobProgress

__all__ = (
    'MIN_LIMIT_BYTES',
    'JobMemory',
    'TeamBytes',
    'accepted_bytes',
    'occurrence_bytes',
)

# Sizes on 64-bit CPython, rounded up.
_JOB_BYTES: Final = 1000
_STEP_BYTES: Final = 600
_STAGE_BYTES: Final = 1300
_TASK_BYTES: Final = 250
# Twice the memory of the largest job, which has 1000 steps and 20,000 tasks.
MIN_LIMIT_BYTES: Final = 16_000_000


def occurrence_bytes(job: Job) -> int:
    """Return the memory of the stages and tasks of one occurrence."""
    task_count = sum(step.task_count for step in job.steps)
    return _STAGE_BYTES * len(job.steps) + _TASK_BYTES * task_count


def accepted_bytes(job: Job) -> int:
    """Return the memory of an accepted job with one open occurrence."""
    steps_bytes = _STEP_BYTES * len(job.steps)
    job_bytes = _JOB_BYTES + steps_bytes + len(job.payload)
    return job_bytes + occurrence_bytes(job)


class TeamBytes:
    """Memory by team, with a limit for all teams together.

    :ivar total_bytes: memory of all teams.
    """

    def __init__(self) -> None:
        """Start with nothing in use."""
        self.total_bytes = 0
        self._by_team: collections.Counter[str] = collections.Counter()

    def add(self, team: str, size_bytes: int) -> None:
        """Add memory of a team; a negative size frees it."""
        self.total_bytes += size_bytes
        self._by_team[team] += size_bytes

    def bytes_of(self, team: str) -> int:
        """Return the memory of a team."""
        return self._by_team[team]

    def fits(self, team: str, size_bytes: int, limit_bytes: int) -> bool:
        """Tell whether a team may use more memory.

        A team leaves as much free as it uses itself. One team then uses half of
        the limit at most, and the others still find memory.
        """
        free_bytes = limit_bytes - self.total_bytes - size_bytes
        return self._by_team[team] + size_bytes <= free_bytes

    def large_teams(self, least_bytes: int) -> dict[str, int]:
        """Return the memory of the teams that use at least so much."""
        return {
            team: size_bytes
            for team, size_bytes in self._by_team.items()
            if size_bytes >= least_bytes
        }


class JobMemory:
    """Memory of the open jobs of a cell.

    :ivar limit_bytes: limit on ``accepted`` and on ``opened``, each for itself.
    :ivar accepted: open jobs, with one occurrence each.
    :ivar opened: open occurrences.
    """

    def __init__(self) -> None:
        """Start without a job and without a limit."""
        self.limit_bytes = MAX_INTEGER
        self.accepted = TeamBytes()
        self.opened = TeamBytes()
        self._accepted_sizes: dict[str, tuple[str, int]] = {}
        self._opened_sizes: dict[str, int] = {}

    def add(self, progress: JobProgress) -> None:
        """Add an open job with the occurrences that are open."""
        job = progress.job
        size_bytes = accepted_bytes(job)
        self._accepted_sizes[job.job_id] = job.team, size_bytes
        self.accepted.add(job.team, size_bytes)
        self.update(progress)

    def update(self, progress: JobProgress) -> None:
        """Apply that occurrences of a job were opened or closed."""
        job = progress.job
        size_bytes = progress.open_occurrence_count * occurrence_bytes(job)
        former_bytes = self._opened_sizes.get(job.job_id, 0)
        self._opened_sizes[job.job_id] = size_bytes
        self.opened.add(job.team, size_bytes - former_bytes)

    def discard(self, job_id: str) -> None:
        """Remove a job that has ended."""
        team, accepted_size = self._accepted_sizes.pop(job_id, ('', 0))
        self.accepted.add(team, -accepted_size)
        self.opened.add(team, -self._opened_sizes.pop(job_id, 0))

    def can_open(self, job: Job) -> bool:
        """Tell whether another occurrence of a job may be opened."""
        return self.opened.fits(
            job.team, occurrence_bytes(job), self.limit_bytes
        )

    def by_kind(self) -> dict[str, float]:
        """Return the memory in use and its limit, as a metric."""
        return {
            'accepted': self.accepted.total_bytes,
            'opened': self.opened.total_bytes,
            'limit': self.limit_bytes,
        }
