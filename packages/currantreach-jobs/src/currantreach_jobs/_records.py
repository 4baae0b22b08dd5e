"""Keys and records of the scheduler in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._bounds import (
    amount,
    check_attempts,
    check_job,
    check_times,
)
from currantreach_jobs._model import Job, JobState, WorkerReport
from currantreach_types import decode_msgpack, encode_msgpack

if TYPE_CHECKING:
    from typing import Final

__all__ = (
    'CELL_PREFIX',
    'DURATIONS_KEY',
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
    'ReleaseEntry',
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
# Below the prefix that all daemons watch, as each of them counts the remaining
# times down.
RELEASES_KEY: Final = 'cell/released'
FLEET_KEY: Final = 'keep/fleet'
DURATIONS_KEY: Final = 'keep/durations'
SECRET_KEY: Final = 'keep/secret'
JOB_PREFIX: Final = 'jobs/'
PROGRESS_PREFIX: Final = 'progress/'
_CANCEL_SUFFIX: Final = '/cancel'


@attrs.frozen(slots=True, kw_only=True)
class LeaderRecord:
    """The leader of the cell.

    :ivar address: address of its link server.
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
    """A member of the cell.

    :ivar address: address of its link server.
    :ivar campaign_delay_s: how long it delays its campaign for the leadership.
    :ivar job_memory_bytes: memory that its host can spare for open jobs, 0 if
        it is not known.
    """

    address: str
    campaign_delay_s: float = attrs.field(default=0, validator=amount)
    failure_domain: str = ''
    job_memory_bytes: int = attrs.field(default=0, validator=amount)


@attrs.frozen(slots=True, kw_only=True)
class FleetRecord:
    """Reports of all workers on which tasks may run.

    A worker that the platform no longer lists may still run tasks, so a
    successor has to know it.
    """

    workers: tuple[WorkerReport, ...] = ()


@attrs.frozen(slots=True, kw_only=True)
class ReleaseEntry:
    """Promise of a leader to send no orders to a silent worker.

    It is in force until a record without it is in the store.

    :ivar release_id: id, which successors keep while it is in force.
    :ivar remaining_ms: longest time for which runs that were ordered before
        may continue, counted from the sending of the record.
    :ivar silent_ms: how long the worker had not answered by then.
    """

    release_id: str
    remaining_ms: int = attrs.field(validator=amount)
    silent_ms: int = attrs.field(default=0, validator=amount)


@attrs.frozen(slots=True, kw_only=True)
class ReleaseRecord:
    """Released workers by their ids; no orders are sent to them."""

    workers: dict[str, ReleaseEntry] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class Placement:
    """Placement of a task: the worker and the attempt number of its run.

    The number tells the run from earlier ones of the same task, whose ends the
    worker may still list. Those are counted already or do not count at all.
    """

    worker_id: str
    attempt: int


@attrs.frozen(slots=True, kw_only=True)
class StageRecord:
    """Ends and placements of the tasks of one step of one occurrence.

    :ivar is_done: whether all tasks are done.
    :ivar done: indices of the tasks that are done, if not all are.
    :ivar failures: numbers of failed runs by task index. Those of a gang as a
        whole are under index 0, so that daemons of earlier builds, which add
        up the numbers of all members, find the same number.
    :ivar counted_attempt: attempt number of the last run of a gang that is
        counted there, 0 if none is or if a daemon of an earlier build has
        counted it.
    :ivar placed: placements by task index, of tasks that may have a run.
    :ivar usual_leases: those of them whose worker has listed the run while its
        lease was no longer than a successor waits for. A stray order may have
        started any other run in a later process, or extended its lease.
    """

    is_done: bool = False
    done: tuple[int, ...] = ()
    failures: dict[int, int] = attrs.field(factory=dict)
    counted_attempt: int = 0
    placed: dict[int, Placement] = attrs.field(factory=dict)
    usual_leases: tuple[int, ...] = ()

    @property
    def has_ends(self) -> bool:
        """Tell whether any run has ended as done or failed."""
        return self.is_done or bool(self.done or self.failures)


@attrs.frozen(slots=True, kw_only=True)
class ProgressRecord:
    """Durable progress of a job; workers may drop the ends that it contains.

    :ivar has_started: whether a worker has confirmed a run of the job. A
        placement is recorded before its start order and proves no start.
    :ivar ended_unix_ms: Unix time of the final state, 0 before.
    :ivar done_occurrences: occurrences that are done. The records of all their
        stages would exceed the size of a value of the store.
    :ivar stages: records of the other occurrences, by ``<occurrence>.<step>``.
    """

    state: JobState = JobState.QUEUED
    has_started: bool = False
    ended_unix_ms: int = 0
    done_occurrences: tuple[int, ...] = ()
    stages: dict[str, StageRecord] = attrs.field(factory=dict)

    @property
    def visible_state(self) -> JobState:
        """Return the state to show while no leader answers.

        A job with a recorded placement is shown as running, as it may run.
        """
        if self.state.is_final:
            return self.state
        may_run = self.has_started or bool(self.done_occurrences or self.stages)
        return JobState.RUNNING if may_run else JobState.QUEUED


def job_key(job_id: str) -> str:
    """Return the key of an accepted job."""
    return f'{JOB_PREFIX}{job_id}'


def cancel_key(job_id: str) -> str:
    """Return the key whose presence marks a job as cancelled."""
    return f'{JOB_PREFIX}{job_id}{_CANCEL_SUFFIX}'


def progress_key(job_id: str) -> str:
    """Return the key of the progress of a job."""
    return f'{PROGRESS_PREFIX}{job_id}'


def encode_job(job: Job) -> bytes:
    """Encode an accepted job."""
    return encode_msgpack(job)


def encode_ended_job(job: Job) -> bytes:
    """Encode an ended job without its payload and steps.

    Its id has to stay known, so that a repeated submission does not run again,
    but a new leader that reads all jobs need not read the payload.
    """
    return encode_msgpack(attrs.evolve(job, payload='', steps=()))


def decode_job(stored: bytes) -> Job:
    """Decode an accepted job.

    :raises MalformedMessageError: if the stored bytes are no valid job.
    """
    return check_job(decode_msgpack(stored, Job))


def decode_progress(stored: bytes) -> ProgressRecord:
    """Decode the progress of a job.

    :raises MalformedMessageError: if the stored bytes are no valid record.
    """
    record = decode_msgpack(stored, ProgressRecord)
    check_times((record.ended_unix_ms,), 'the end of the job')
    for stage in record.stages.values():
        check_attempts(stage.failures.values())
        check_attempts(placed.attempt for placed in stage.placed.values())
        check_attempts((stage.counted_attempt,))
    return record
