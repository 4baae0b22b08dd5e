"""Placements by earlier leaders on workers whose runs are not known yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._progress import JobProgress, Stage

__all__ = ('adopt_inherited', 'inherited_on', 'may_have_unlisted_runs')


def adopt_inherited(cluster: ClusterState, worker_id: str) -> None:
    """Adopt runs of earlier leaders that the lists of a worker may lack."""
    for progress in cluster.open_jobs.values():
        for hidden in progress.inherited_runs(worker_id):
            cluster.adopt(worker_id, hidden, is_listed=False)


def inherited_on(
    jobs: Iterable[JobProgress], worker_id: str
) -> Iterator[tuple[Stage, int]]:
    """Yield the stages and task indices of placements on a worker."""
    for progress in jobs:
        for stage in progress.stages.values():
            for index in stage.inherited_on(worker_id):
                yield stage, index


def may_have_unlisted_runs(cluster: ClusterState, worker_id: str) -> bool:
    """Tell whether a run may be active that a worker has never listed.

    A placement by an earlier leader counts as such a run unless its lease is
    known to be a usual one. Before the jobs are loaded, nothing is known.
    """
    if not cluster.jobs_loaded.is_set():
        return True
    worker = cluster.workers.get(worker_id)
    if worker is not None and worker.has_unlisted_runs():
        return True
    return any(
        index not in stage.usual_leases
        for stage, index in inherited_on(cluster.open_jobs.values(), worker_id)
    )
