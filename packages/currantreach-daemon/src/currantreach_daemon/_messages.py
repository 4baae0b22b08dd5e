"""Messages between daemons."""

from __future__ import annotations

import attrs

from currantreach_types import Answer, HostState, Resources, TaskSpec

__all__ = (
    'CancelMessage',
    'ConfigMessage',
    'Heartbeat',
    'IdMessage',
    'IdReply',
    'ListMessage',
    'ListReply',
    'OwnedPartition',
    'PartitionsMessage',
    'PartitionsReply',
    'PeerLeaseMessage',
    'PeerLeaseReply',
    'SubmitMessage',
    'TakeoverVoteMessage',
    'TakeoverVoteReply',
    'TextReply',
    'WaitMessage',
    'WorkerView',
)


@attrs.frozen(slots=True, kw_only=True)
class OwnedPartition:
    """Partition that a daemon owns, with its load.

    :ivar free: room that is free on all open workers.
    :ivar largest: largest amounts that one open worker holds.
    """

    domain: str
    partition: int
    epoch: int
    waiting_count: int
    free: Resources
    largest: Resources


@attrs.frozen(slots=True, kw_only=True)
class Heartbeat:
    """What a daemon tells its peers about itself.

    :ivar session_id: session of the process.
    :ivar config_revision: revision in force in this daemon.
    :ivar config_age_s: seconds since the revision was proved the newest.
    :ivar has_store: whether the store answered lately.
    :ivar is_leaving: whether the daemon is shutting down.
    :ivar has_unsettled_write: whether the daemon may have written a newer
        configuration.
    :ivar limits: revision whose team limits are in force, for each partition
        that the daemon owns.
    """

    daemon_id: str
    domain: str
    session_id: str
    config_revision: int
    config_age_s: float
    has_store: bool
    is_leaving: bool
    owned: tuple[OwnedPartition, ...] = ()
    limits: dict[str, int] = attrs.field(factory=dict)
    has_unsettled_write: bool = False


@attrs.frozen(slots=True, kw_only=True)
class SubmitMessage:
    """Request on its way to the owner of its partition."""

    spec: TaskSpec
    body_hash: str


@attrs.frozen(slots=True, kw_only=True)
class WaitMessage:
    """Question for the state of a request, once it ends or time is up."""

    request_id: str
    team: str
    timeout_s: float


@attrs.frozen(slots=True, kw_only=True)
class CancelMessage:
    """Cancellation of requests of one partition."""

    request_ids: tuple[str, ...]
    team: str


@attrs.frozen(slots=True, kw_only=True)
class ListMessage:
    """Question for the requests of a team; all teams if it is empty."""

    domain: str
    partition: int
    team: str


@attrs.frozen(slots=True, kw_only=True)
class ListReply:
    """Requests of a partition."""

    answers: tuple[Answer, ...]


@attrs.frozen(slots=True, kw_only=True)
class IdMessage:
    """Question for a request id of a partition."""

    domain: str
    partition: int


@attrs.frozen(slots=True, kw_only=True)
class IdReply:
    """A new request id."""

    request_id: str


@attrs.frozen(slots=True, kw_only=True)
class PeerLeaseMessage:
    """Request of an owner without store contact for a promise.

    :ivar holder: session of the owner.
    :ivar roster_revision: roster that the owner read with its last renewal.
    """

    holder: str
    duration_s: float
    roster_revision: int


@attrs.frozen(slots=True, kw_only=True)
class PeerLeaseReply:
    """Promise not to take over from the holder.

    :ivar duration_s: how long it binds, 0 if it is withheld.
    :ivar roster: daemons that are registered as far as the peer knows.
    """

    duration_s: float
    roster: tuple[str, ...]


@attrs.frozen(slots=True, kw_only=True)
class TakeoverVoteMessage:
    """Question whether a takeover is allowed.

    :ivar holder: session of the owner to take over from.
    """

    holder: str


@attrs.frozen(slots=True, kw_only=True)
class TakeoverVoteReply:
    """Answer to a takeover.

    :ivar is_given: whether no promise to the holder is outstanding.
    :ivar was_asked: whether the holder ever asked for a promise.
    """

    is_given: bool
    was_asked: bool


@attrs.frozen(slots=True, kw_only=True)
class ConfigMessage:
    """Question for the configuration, if newer than a revision."""

    revision: int


@attrs.frozen(slots=True, kw_only=True)
class WorkerView:
    """A worker as its owner sees it."""

    name: str
    failure_domain: str
    rack: str
    state: HostState
    is_connected: bool
    is_open: bool


@attrs.frozen(slots=True, kw_only=True)
class PartitionsMessage:
    """Question for the partitions that a daemon owns."""


@attrs.frozen(slots=True, kw_only=True)
class PartitionsReply:
    """State of the partitions that a daemon owns.

    :ivar usage: room taken by each team.
    :ivar granted: allotment of each team.
    """

    workers: tuple[WorkerView, ...]
    usage: dict[str, Resources]
    granted: dict[str, Resources]


@attrs.frozen(slots=True, kw_only=True)
class TextReply:
    """Encoded record or text; empty if there is none."""

    text: str
