"""How long new jobs would wait, and which of them are refused at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._model import Job
    from currantreach_jobs._progress import JobProgress

__all__ = ('Load', 'measure_load', 'wait_before_retry_s')

_MILLI = 1000
# Beyond its share a team only uses what is idle; with this much work waiting
# nothing is.
_EXCESS_WAIT_S = 1
# A job that ends later than three times its objective is worth nothing to its
# caller, so it is refused when two objectives pass before its turn.
_WORTHLESS_WAIT_FACTOR = 2
# A caller is not sent away for longer than this, as the load changes faster.
_LONGEST_RETRY_S = 15


@attrs.frozen(slots=True, kw_only=True)
class Load:
    """Work that waits before a new job.

    :ivar urgent_wait_s: time to do what waits on urgent queues.
    :ivar share_wait_s: time to do what waits within the shares of teams.
    :ivar wait_s: time to do all that waits.
    :ivar ahead_teams: teams that have sent more than their share.
    """

    urgent_wait_s: float = 0
    share_wait_s: float = 0
    wait_s: float = 0
    ahead_teams: frozenset[str] = frozenset()


def measure_load(cluster: ClusterState, now_s: float) -> Load:
    """Return the present load of the fleet."""
    # Workers that do not answer yet count as well: right after a takeover
    # most of them are adopted within moments.
    core_count = sum(
        room.report.room.cpu_milli / _MILLI
        for room in cluster.workers.values()
        if room.is_listed and not room.report.is_draining
    )
    urgent_core_s: float = 0
    share_core_s: float = 0
    all_core_s: float = 0
    for progress in cluster.open_jobs.values():
        work_core_s = _waiting_core_s(progress)
        all_core_s += work_core_s
        # Jobs beyond a share or without worth wait behind all others.
        if progress.is_excess or progress.is_worthless(now_s):
            continue
        share_core_s += work_core_s
        if not progress.job.queue.priority:
            urgent_core_s += work_core_s
    if not core_count:
        return Load()
    return Load(
        urgent_wait_s=urgent_core_s / core_count,
        share_wait_s=share_core_s / core_count,
        wait_s=all_core_s / core_count,
        ahead_teams=frozenset(cluster.pace.ahead(now_s)),
    )


def wait_before_retry_s(load: Load, job: Job) -> float:
    """Return how long a caller has to stay away, 0 if its job is taken."""
    bound_s = _WORTHLESS_WAIT_FACTOR * job.objective_s()
    wait_s = load.share_wait_s if job.queue.priority else load.urgent_wait_s
    if job.team in load.ahead_teams:
        bound_s = _EXCESS_WAIT_S
        wait_s = load.wait_s
    if wait_s <= bound_s:
        return 0
    return min(_LONGEST_RETRY_S, max(1, wait_s - bound_s))


def _waiting_core_s(progress: JobProgress) -> float:
    return sum(
        len(stage.waiting)
        * stage.step.needed.cpu_milli
        * stage.step.estimate_s
        / _MILLI
        for stage in progress.stages.values()
        if not stage.step.is_lasting and not stage.step.is_filling
    )
