"""Messages between daemons."""

from __future__ import annotations

import attrs

from currantreach_jobs._model import Job
from currantreach_jobs._records import LeaderRecord

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
    """Question for the state of a job."""

    job_id: str


@attrs.frozen(slots=True, kw_only=True)
class StateReply:
    """State of a job.

    :ivar is_deciding: whether the daemon asked decides at present.
    :ivar state: state of the job, empty if it is not known.
    """

    is_deciding: bool = False
    state: str = ''
    queue: str = ''
    team: str = ''


@attrs.frozen(slots=True, kw_only=True)
class LoadReply:
    """Load of the fleet, as the deciding daemon sees it."""

    is_deciding: bool = False
    urgent_wait_s: float = 0
    share_wait_s: float = 0
    wait_s: float = 0
    ahead_teams: tuple[str, ...] = ()


@attrs.frozen(slots=True, kw_only=True)
class CountRequest:
    """Question for the jobs of a queue that have not begun."""

    queue: str


@attrs.frozen(slots=True, kw_only=True)
class CountReply:
    """Number of jobs of a queue that have not begun."""

    is_deciding: bool = False
    pending_count: int = 0


@attrs.frozen(slots=True, kw_only=True)
class AdviceRequest:
    """Request to ask the placement service on behalf of the leader."""

    job_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]
    timeout_s: float


@attrs.frozen(slots=True, kw_only=True)
class AdviceReply:
    """Codes of the tickets by worker."""

    tickets: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(slots=True, kw_only=True)
class SubmitRequest:
    """Job that another daemon could not store."""

    job: Job


@attrs.frozen(slots=True)
class AnnounceReply:
    """Receipt of a job that was announced."""


@attrs.frozen(slots=True, kw_only=True)
class CancelRequest:
    """Cancellation that another daemon could not store."""

    job_id: str
    queue: str
    team: str


@attrs.frozen(slots=True, kw_only=True)
class ForwardReply:
    """What became of a call that was passed on.

    :ivar outcome: value of an :class:`~currantreach_jobs.Outcome`.
    """

    outcome: str
    retry_after_s: float = 0


@attrs.frozen(slots=True, kw_only=True)
class CellViewReply:
    """View of the cell of a daemon that hears the store.

    :ivar has_store: whether the store answered the daemon lately.
    """

    has_store: bool
    members: dict[str, str] = attrs.field(factory=dict)
    leader: LeaderRecord | None = None
