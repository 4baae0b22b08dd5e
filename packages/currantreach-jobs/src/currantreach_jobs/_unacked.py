"""Ends that a worker lists and may not forget yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._model import JobState

if TYPE_CHECKING:
    from currantreach_jobs._cluster_state import ClusterState

__all__ = ('UnackedEnds',)

# Half of what a worker lists at a time, so that the other half shows the ends
# of other jobs.
_MOST_LISTED = 250


class UnackedEnds:
    """Ends that were noted and not acknowledged, in the order of the worker.

    An acknowledgement is cumulative, so an end that has to stay listed keeps
    all later ones listed as well.
    """

    def __init__(self, cluster: ClusterState) -> None:
        """Start with no ends."""
        self._cluster = cluster
        self._job_ids: dict[int, str] = {}

    def __len__(self) -> int:
        """Return the number of ends."""
        return len(self._job_ids)

    def note(self, number: int, job_id: str) -> None:
        """Note an end with a higher number than all others."""
        self._job_ids[number] = job_id

    def clear(self) -> None:
        """Forget all ends, as the worker that listed them has."""
        self._job_ids.clear()

    def leading(self) -> tuple[dict[int, str], list[str]]:
        """Return the ends before the first one that has to stay listed.

        The oldest ends are let go once there are so many that they could hide
        others.

        :returns: the jobs by the numbers of their ends, and the jobs of
            those that are let go.
        """
        ends: dict[int, str] = {}
        let_go: list[str] = []
        for number, job_id in self._job_ids.items():
            if _must_stay(self._cluster, job_id):
                if len(self._job_ids) - len(ends) <= _MOST_LISTED:
                    break
                let_go.append(job_id)
            ends[number] = job_id
        return ends, let_go

    def drop_through(self, number: int) -> None:
        """Forget the ends that are acknowledged."""
        self._job_ids = {
            later: job_id
            for later, job_id in self._job_ids.items()
            if later > number
        }


def _must_stay(cluster: ClusterState, job_id: str) -> bool:
    """Tell whether workers have to go on listing the ends of a job.

    Its record cannot be read or written for now, and a successor that knows
    neither the record nor the ends starts its tasks again. It starts nothing
    of a cancelled job.
    """
    progress = cluster.jobs.get(job_id)
    if progress is None:
        return job_id in cluster.quarantined
    if progress.state is JobState.CANCELLED:
        return False
    return progress.is_unwritable
