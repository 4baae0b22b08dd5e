"""Messages between daemons."""

from __future__ import annotations

import attrs

from currantreach_jobs._bounds import MAX_INTEGER, amount
from currantreach_jobs._model import Job, JobState
from currantreach_jobs._records import LeaderRecord
from currantreach_types import Resources

__all__ = (
    'AdviceReply',
    'AdviceRequest',
    'AnnounceReply',
    'CancelRequest',
    'CellViewReply',
    'CountReply',
    'CountRequest',
    'ForwardReply',
    'LoadReply',
    'StateReply',
    'StateRequest',
    'SubmitRequest',
)


@attrs.frozen(slots=True, kw_only=True)
class StateRequest:
    """Query for the state of a job."""

    job_id: str


@attrs.frozen(slots=True, kw_only=True)
class StateReply:
    """State of a job.

    :ivar is_deciding: whether the replying daemon is the leader.
    :ivar state: state of the job, empty if the job is not known.
    """

    is_deciding: bool = False
    state: str = attrs.field(
        default='', validator=attrs.validators.in_(('', *JobState))
    )
    queue: str = ''
    team: str = ''


@attrs.frozen(slots=True, kw_only=True)
class LoadReply:
    """Load of the fleet, as measured by the leader.

    :ivar is_deciding: whether the replying daemon is the leader.
    """

    is_deciding: bool = False
    urgent_wait_s: float = attrs.field(default=0, validator=amount)
    share_wait_s: float = attrs.field(default=0, validator=amount)
    wait_s: float = attrs.field(default=0, validator=amount)
    ahead_teams: tuple[str, ...] = ()
    largest_rooms: dict[str, Resources] = attrs.field(factory=dict)
    free_bytes: int = attrs.field(default=MAX_INTEGER, validator=amount)
    bytes_by_team: dict[str, int] = attrs.field(factory=dict)
    evacuated_services: tuple[str, ...] = ()


@attrs.frozen(slots=True, kw_only=True)
class CountRequest:
    """Query for the number of jobs of a queue that have not started."""

    queue: str


@attrs.frozen(slots=True, kw_only=True)
class CountReply:
    """Number of jobs of a queue that have not started.

    :ivar is_deciding: whether the replying daemon is the leader.
    """

    is_deciding: bool = False
    pending_count: int = 0


@attrs.frozen(slots=True, kw_only=True)
class AdviceRequest:
    """Request of the leader that another daemon asks the placement service."""

    job_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]
    timeout_s: float = attrs.field(validator=amount)


@attrs.frozen(slots=True, kw_only=True)
class AdviceReply:
    """Reply with the codes of the tickets by worker id."""

    tickets: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(slots=True, kw_only=True)
class SubmitRequest:
    """Job that is forwarded to another daemon.

    The sender could not store it, or announces a stored one to the leader.
    """

    job: Job


@attrs.frozen(slots=True)
class AnnounceReply:
    """Acknowledgement of an announced job."""


@attrs.frozen(slots=True, kw_only=True)
class CancelRequest:
    """Cancellation that is forwarded by a daemon that could not store it."""

    job_id: str
    queue: str
    team: str


@attrs.frozen(slots=True, kw_only=True)
class ForwardReply:
    """Outcome of a forwarded call.

    :ivar outcome: value of an :class:`~currantreach_jobs.Outcome`.
    :ivar is_record_unreadable: whether it is unknown because of one unreadable
        record.
    """

    outcome: str
    retry_after_s: float = attrs.field(default=0, validator=amount)
    is_record_unreadable: bool = False


@attrs.frozen(slots=True, kw_only=True)
class CellViewReply:
    """A daemon's view of the cell.

    :ivar has_store: whether the store has answered the daemon recently.
    :ivar members: link addresses by daemon id.
    :ivar leader: record of the leader, if there is one.
    """

    has_store: bool
    members: dict[str, str] = attrs.field(factory=dict)
    leader: LeaderRecord | None = None
