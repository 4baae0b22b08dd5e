"""Keys and values that the scheduler keeps in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._model import Job, JobState, WorkerReport
from currantreach_types import decode_packed, encode_packed

if TYPE_CHECKING:
    from typing import Final

__all__ = (
    'CELL_PREFIX',
    'EPOCH_KEY',
    'FLEET_KEY',
    'JOB_PREFIX',
    'LEADER_KEY',
    'MEMBER_PREFIX',
    'PROGRESS_PREFIX',
    'RELEASES_KEY',
    'SECRET_KEY',
    'FleetRecord',
    'LeaderRecord',
    'MemberRecord',
    'Placement',
    'ProgressRecord',
    'Release',
    'ReleaseRecord',
    'StageRecord',
    'cancel_key',
    'decode_job',
    'decode_progress',
    'encode_ended_job',
    'encode_job',
    'job_key',
    'progress_key',
)

CELL_PREFIX: Final = 'cell/'
LEADER_KEY: Final = 'cell/leader'
MEMBER_PREFIX: Final = 'cell/members/'
EPOCH_KEY: Final = 'keep/epoch'
# Below the prefix that all daemons watch, so that each of them counts the wait.
RELEASES_KEY: Final = 'cell/released'
FLEET_KEY: Final = 'keep/fleet'
SECRET_KEY: Final = 'keep/secret'
JOB_PREFIX: Final = 'jobs/'
PROGRESS_PREFIX: Final = 'progress/'
_CANCEL_SUFFIX: Final = '/cancel'


@attrs.frozen(slots=True, kw_only=True)
class LeaderRecord:
    """The daemon that decides.

    :ivar epoch: fencing token of all its orders.
    :ivar host_name: host of the daemon; a host runs one daemon at a time.
    :ivar lease_id: store lease that the record is attached to.
    """

    daemon_id: str
    address: str
    epoch: int
    host_name: str = ''
    lease_id: str = ''


@attrs.frozen(slots=True, kw_only=True)
class MemberRecord:
    """A daemon.

    :ivar address: address of its links.
    :ivar campaign_delay_s: how long it leaves the lead to stronger hosts.
    """

    address: str
    campaign_delay_s: float = 0
    failure_domain: str = ''


@attrs.frozen(slots=True, kw_only=True)
class FleetRecord:
    """Addresses of all workers on which something may run.

    A worker that fell out of the platform's list may still run tasks, so a
    successor has to know of it.
    """

    workers: tuple[WorkerReport, ...] = ()


@attrs.frozen(slots=True, kw_only=True)
class Release:
    """Promise of a leader to order nothing on a worker that is silent.

    It holds until a record without it is in the store.

    :ivar release_id: identity, which successors keep as long as it holds.
    :ivar remaining_ms: how long runs that were ordered before may go on at
        most, counted from the sending of the record.
    :ivar silent_ms: how long the worker had been silent by then.
    """

    release_id: str
    remaining_ms: int
    silent_ms: int = 0


@attrs.frozen(slots=True, kw_only=True)
class ReleaseRecord:
    """Workers on which nothing is ordered, by their ids."""

    workers: dict[str, Release] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class Placement:
    """Worker and number of a run.

    A worker may still list ends of earlier runs of the task, which are
    counted already or do not count at all.
    """

    worker_id: str
    attempt: int


@attrs.frozen(slots=True, kw_only=True)
class StageRecord:
    """Ends and places of the tasks of one step of one occurrence.

    :ivar is_done: whether all tasks are done.
    :ivar done: indices of the tasks that are done, if not all are.
    :ivar failures: failed runs by the index of the task.
    :ivar placed: run that a task which is not done may have.
    """

    is_done: bool = False
    done: tuple[int, ...] = ()
    failures: dict[int, int] = attrs.field(factory=dict)
    placed: dict[int, Placement] = attrs.field(factory=dict)


@attrs.frozen(slots=True, kw_only=True)
class ProgressRecord:
    """Ends of a job that its workers may forget.

    :ivar ended_unix_ms: time of day of the final state, 0 before.
    :ivar stages: records by ``<occurrence>.<step>``.
    """

    state: JobState = JobState.QUEUED
    ended_unix_ms: int = 0
    stages: dict[str, StageRecord] = attrs.field(factory=dict)


def job_key(job_id: str) -> str:
    """Return the key of an accepted job."""
    return f'{JOB_PREFIX}{job_id}'


def cancel_key(job_id: str) -> str:
    """Return the key that is written when a job is cancelled."""
    return f'{JOB_PREFIX}{job_id}{_CANCEL_SUFFIX}'


def progress_key(job_id: str) -> str:
    """Return the key of the progress of a job."""
    return f'{PROGRESS_PREFIX}{job_id}'


def encode_job(job: Job) -> bytes:
    """Encode an accepted job."""
    return encode_packed(job)


def encode_ended_job(job: Job) -> bytes:
    """Encode what is left of a job that has ended.

    Its id must stay known, so that a repeated submission does not run again,
    but a successor that reads all jobs need not read its payload.
    """
    return encode_packed(attrs.evolve(job, payload='', steps=()))


def decode_job(stored: bytes) -> Job:
    """Decode an accepted job.

    :raises MalformedMessageError: if the value is no job.
    """
    return decode_packed(stored, Job)


def decode_progress(stored: bytes) -> ProgressRecord:
    """Decode the progress of a job.

    :raises MalformedMessageError: if the value is no progress.
    """
    return decode_packed(stored, ProgressRecord)
