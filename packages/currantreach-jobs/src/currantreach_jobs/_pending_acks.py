"""Ends that a worker still lists because they are not acknowledged yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._model import JobState

if TYPE_CHECKING:
    from currantreach_jobs._cluster_state import ClusterState

__all__ = ('PendingAcks',)

# Half of the ends that a worker lists at a time, so that the other half is left
# for the ends of other jobs.
_MAX_PENDING = 250


class PendingAcks:
    """Recorded ends that are not acknowledged, in the order of the worker.

    Acknowledgements are cumulative, so an end that has to stay listed keeps
    all later ones listed as well.
    """

    def __init__(self, cluster: ClusterState) -> None:
        """Create an empty list."""
        self._cluster = cluster
        self._job_ids: dict[int, str] = {}

    def __len__(self) -> int:
        """Return the number of ends."""
        return len(self._job_ids)

    def add(self, number: int, job_id: str) -> None:
        """Add an end, whose number has to be higher than all others."""
        self._job_ids[number] = job_id

    def clear(self) -> None:
        """Discard all ends, as the worker has restarted and lost them."""
        self._job_ids.clear()

    def acknowledgeable(self) -> tuple[dict[int, str], list[str]]:
        """Return the ends before the first one that has to stay listed.

        If there are so many ends that they could hide others, the oldest ones
        are returned even though they are not in the store, and thus
        acknowledged unstored.

        :returns: the jobs by the numbers of their ends, and the jobs whose
            ends are acknowledged unstored.
        """
        ends: dict[int, str] = {}
        unstored: list[str] = []
        for number, job_id in self._job_ids.items():
            if _is_blocked(self._cluster, job_id):
                if len(self._job_ids) - len(ends) <= _MAX_PENDING:
                    break
                unstored.append(job_id)
            ends[number] = job_id
        return ends, unstored

    def discard_through(self, number: int) -> None:
        """Discard the ends that are acknowledged, up to a number."""
        self._job_ids = {
            later: job_id
            for later, job_id in self._job_ids.items()
            if later > number
        }


def _is_blocked(cluster: ClusterState, job_id: str) -> bool:
    """Tell whether the ends of a job must not be acknowledged.

    This applies while the record of the job cannot be read or written. A later
    leader that knows neither the record nor the ends would start the tasks
    again, unless the job is cancelled.
    """
    progress = cluster.jobs.get(job_id)
    if progress is None:
        return job_id in cluster.quarantined
    if progress.state is JobState.CANCELLED:
        return False
    return progress.is_unwritable
