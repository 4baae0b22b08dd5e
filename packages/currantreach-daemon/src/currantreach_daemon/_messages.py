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

    :ivar free: free resources of all open workers.
    :ivar largest: largest capacity of an open worker, by resource.
    """

    domain: str
    partition: int
    epoch: int
    waiting_count: int
    free: Resources
    largest: Resources


@attrs.frozen(slots=True, kw_only=True)
class Heartbeat:
    """State that a daemon reports to its peers.

    :ivar session_id: session of the process.
    :ivar config_revision: configuration revision in force in this daemon.
    :ivar config_age_s: seconds since the revision was confirmed as the newest.
    :ivar has_store: whether the last renewal reached the store.
    :ivar is_leaving: whether the daemon is shutting down.
    :ivar has_unsettled_write: whether the daemon may have written a newer
        configuration, since the outcome of a write is unknown.
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
    """Submission of a request to the owner of its partition."""

    spec: TaskSpec
    body_hash: str


@attrs.frozen(slots=True, kw_only=True)
class WaitMessage:
    """Call for the answer to a request, when it ends or after a timeout."""

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
    """Call for the requests of a team; an empty team stands for all teams."""

    domain: str
    partition: int
    team: str


@attrs.frozen(slots=True, kw_only=True)
class ListReply:
    """Requests of a partition."""

    answers: tuple[Answer, ...]


@attrs.frozen(slots=True, kw_only=True)
class IdMessage:
    """Call for a new request id of a partition."""

    domain: str
    partition: int


@attrs.frozen(slots=True, kw_only=True)
class IdReply:
    """A new request id."""

    request_id: str


@attrs.frozen(slots=True, kw_only=True)
class PeerLeaseMessage:
    """Request of a daemon without store contact for a peer lease.

    :ivar holder: session of the daemon.
    :ivar duration_s: requested duration of the lease.
    :ivar roster_revision: revision of the roster that the daemon read with
        its last renewal.
    """

    holder: str
    duration_s: float
    roster_revision: int


@attrs.frozen(slots=True, kw_only=True)
class PeerLeaseReply:
    """Peer lease: the peer does not take over from the holder.

    :ivar duration_s: duration of the lease, 0 if it is refused.
    :ivar roster: daemons that are registered according to the peer.
    """

    duration_s: float
    roster: tuple[str, ...]


@attrs.frozen(slots=True, kw_only=True)
class TakeoverVoteMessage:
    """Request for a vote on a takeover.

    :ivar holder: session of the owner to take over from.
    """

    holder: str


@attrs.frozen(slots=True, kw_only=True)
class TakeoverVoteReply:
    """Vote on a takeover.

    :ivar is_given: whether the vote is in favour, as no peer lease of the
        holder is outstanding.
    :ivar was_asked: whether the holder ever requested a peer lease.
    """

    is_given: bool
    was_asked: bool


@attrs.frozen(slots=True, kw_only=True)
class ConfigMessage:
    """Call for the configuration, if it is newer than a revision."""

    revision: int


@attrs.frozen(slots=True, kw_only=True)
class WorkerView:
    """State of a worker as known to the owner of its partition."""

    name: str
    failure_domain: str
    rack: str
    state: HostState
    is_connected: bool
    is_open: bool


@attrs.frozen(slots=True, kw_only=True)
class PartitionsMessage:
    """Call for the state of the partitions that a daemon owns."""


@attrs.frozen(slots=True, kw_only=True)
class PartitionsReply:
    """State of the partitions that a daemon owns.

    :ivar usage: resources that each team uses.
    :ivar granted: allotment of each team.
    """

    workers: tuple[WorkerView, ...]
    usage: dict[str, Resources]
    granted: dict[str, Resources]


@attrs.frozen(slots=True, kw_only=True)
class TextReply:
    """Text or encoded record; empty if there is none."""

    text: str
