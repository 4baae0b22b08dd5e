"""Load of the fleet, and refusal of jobs that would wait too long."""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._bounds import MAX_INTEGER
from currantreach_jobs._evacuations import evacuated_services
from currantreach_jobs._memory import accepted_bytes
from currantreach_jobs._progress import resource_demand
from currantreach_jobs._worker_ranking import read_slowdowns
from currantreach_types import Resources

if TYPE_CHECKING:
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._memory import TeamBytes
    from currantreach_jobs._model import Job
    from currantreach_jobs._progress import JobProgress

__all__ = (
    'Load',
    'exceeds_memory',
    'fits_no_worker',
    'measure_load',
    'wait_before_retry_s',
)

_MILLI = 1000
# Beyond its share a team may use idle capacity only, and there is none with
# this much work waiting.
_EXCESS_WAIT_S = 1
# A job that ends later than three times its objective is of no use to its
# caller, so it is refused if it would wait for more than two objectives.
_MAX_WAIT_FACTOR = 2
# A caller is asked to retry after at most 15 s, with the spread, as the load
# changes faster.
_MAX_RETRY_S = 12
# Callers that were refused together are told times up to this fraction above
# the expected one, so that they do not return together. The times are whole
# seconds, as Retry-After has no others.
_RETRY_SPREAD = 0.25
# Teams that use less than this part of the memory for jobs are not named, so
# that the load stays a short message.
_LARGE_TEAM_DIVISOR = 50


@attrs.frozen(slots=True, kw_only=True)
class Load:
    """Expected waits of a new job behind the waiting work.

    :ivar urgent_wait_s: time to do the waiting work of urgent queues.
    :ivar share_wait_s: time to do the waiting work within the shares of teams.
    :ivar wait_s: time to do all waiting work.
    :ivar teams_over_share: teams that have submitted more than their share.
    :ivar largest_rooms: largest amounts of resources of a worker by service.
    :ivar free_bytes: memory that is left for further jobs.
    :ivar bytes_by_team: memory of the jobs of the teams that use much of it.
    :ivar evacuated_services: services whose workers are all evacuated.
    """

    urgent_wait_s: float = 0
    share_wait_s: float = 0
    wait_s: float = 0
    teams_over_share: frozenset[str] = frozenset()
    largest_rooms: Mapping[str, Resources] = attrs.field(factory=dict)
    free_bytes: int = MAX_INTEGER
    bytes_by_team: Mapping[str, int] = attrs.field(factory=dict)
    evacuated_services: frozenset[str] = frozenset()


def measure_load(cluster: ClusterState, now_s: float) -> Load:
    """Return the current load of the fleet."""
    core_count = _usual_core_count(cluster)
    urgent_core_s: float = 0
    share_core_s: float = 0
    all_core_s: float = 0
    for progress in cluster.open_jobs.values():
        work_core_s = _waiting_core_s(progress)
        all_core_s += work_core_s
        # Jobs beyond a share or past their deadline wait behind all others.
        if progress.is_over_share or progress.is_past_deadline(now_s):
            continue
        share_core_s += work_core_s
        if not progress.job.queue.priority:
            urgent_core_s += work_core_s
    memory = cluster.memory
    load = Load(
        largest_rooms=dict(cluster.largest_rooms),
        free_bytes=max(0, memory.limit_bytes - memory.accepted.total_bytes),
        bytes_by_team=memory.accepted.large_teams(
            memory.limit_bytes // _LARGE_TEAM_DIVISOR
        ),
        evacuated_services=evacuated_services(cluster.workers.values()),
    )
    if not core_count:
        return load
    return attrs.evolve(
        load,
        urgent_wait_s=urgent_core_s / core_count,
        share_wait_s=share_core_s / core_count,
        wait_s=all_core_s / core_count,
        teams_over_share=frozenset(cluster.team_rates.teams_over_share(now_s)),
    )


def fits_no_worker(load: Load, job: Job) -> bool:
    """Tell whether a task needs more than any worker of its service has had."""
    largest = load.largest_rooms.get(job.queue.service)
    if largest is None:
        return False
    return any(not resource_demand(step).fits_in(largest) for step in job.steps)


def exceeds_memory(load: Load, job: Job, unreported: TeamBytes) -> bool:
    """Tell whether a leader might not hold a job beside all others.

    :param unreported: jobs that were accepted after the load was measured.
    """
    reported_bytes = load.bytes_by_team.get(job.team, 0)
    return not unreported.fits(
        job.team, accepted_bytes(job), load.free_bytes - reported_bytes
    )


def wait_before_retry_s(load: Load, job: Job) -> float:
    """Return after what time a caller may retry, 0 if its job is accepted."""
    bound_s = _MAX_WAIT_FACTOR * job.objective_s()
    wait_s = load.share_wait_s if job.queue.priority else load.urgent_wait_s
    if job.team in load.teams_over_share:
        bound_s = _EXCESS_WAIT_S
        wait_s = load.wait_s
    if wait_s <= bound_s:
        return 0
    retry_s = min(_MAX_RETRY_S, max(1, wait_s - bound_s))
    earliest_s = math.ceil(retry_s)
    choice_count = 1 + math.floor(retry_s * (1 + _RETRY_SPREAD)) - earliest_s
    if choice_count < 2:
        return retry_s
    # The same job is told the same time by every daemon.
    return earliest_s + zlib.crc32(job.job_id.encode()) % choice_count


def _usual_core_count(cluster: ClusterState) -> float:
    """Return how many cores of usual speed do as much as those of the fleet."""
    listed = {
        worker_id: worker.report.room.cpu_milli / _MILLI
        for worker_id, worker in cluster.workers.items()
        if worker.is_in_service
    }
    slowdowns = read_slowdowns(listed, cluster.durations)
    return sum(
        core_count / slowdowns[worker_id]
        for worker_id, core_count in listed.items()
    )


def _waiting_core_s(progress: JobProgress) -> float:
    return sum(
        len(stage.waiting) * stage.step.needed.cpu_milli * stage.mean_s / _MILLI
        for stage in progress.stages.values()
        if not stage.step.is_lasting and not stage.step.is_filling
    )
