"""Peer leases that let owners continue during a store outage.

A peer lease is granted by a daemon to a session: until it expires, the daemon
does not take over from that session. An owner that loses the store continues
while every registered daemon grants it a peer lease. Two rules prevent two
daemons from owning a partition at the same time, even if the workers do not
fence stale epochs:

* A daemon that was asked for a peer lease is one that the holder requires. Once
  its leases have expired, the holder has stopped, because an expired
  :class:`PeerLeaseHolder` stays expired until the store lease is renewed.
* A takeover needs the vote of one such daemon, or ``outage_limit_s`` to pass.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Set as AbstractSet

    from currantreach_types import Clock

__all__ = (
    'PeerLeaseGrantor',
    'PeerLeaseHolder',
    'TakeoverRule',
    'TakeoverVote',
)

_MAX_DURATION_S: Final = 3

#: Replies to older rounds arrive too late to extend a lease.
_MAX_ROUNDS: Final = 8

_NO_PEERS: Final[frozenset[str]] = frozenset()


@attrs.frozen(slots=True, kw_only=True)
class TakeoverVote:
    """Vote of a daemon on a takeover from a session.

    :ivar is_given: whether it agrees, as it has no outstanding peer lease.
    :ivar was_asked: whether the session ever asked it for a peer lease.
    """

    is_given: bool
    was_asked: bool


class PeerLeaseGrantor:
    """Peer leases that this daemon granted.

    An instance is used for as long as the daemon stays in the roster.

    :ivar absent_revision: last roster revision that lacks this daemon.
    """

    def __init__(
        self,
        clock: Clock,
        absent_revision: int,
        max_duration_s: float = _MAX_DURATION_S,
    ) -> None:
        """Start without leases after joining the roster.

        :param max_duration_s: longest duration of a lease. For this time after
            the start, leases granted by an earlier process may be outstanding
            for any session.
        """
        self.absent_revision = absent_revision
        self._clock = clock
        self._max_duration_s = max_duration_s
        self._requesters: set[str] = set()
        self._unknown_until_s = clock.now_s() + max_duration_s
        self._expiries_s: dict[str, float] = {}
        self._refused: set[str] = set()
        self._is_closed = False

    def grant(
        self,
        holder: str,
        duration_s: float,
        roster_revision: int,
    ) -> bool:
        """Grant a session a lease, if possible.

        :param roster_revision: see :attr:`PeerLeaseHolder.roster_revision`; a
            request sent before this daemon joined does not prove that the
            holder requires its leases.
        :returns: whether the lease was granted.
        """
        if roster_revision > self.absent_revision:
            self._requesters.add(holder)
        is_refused = self._is_closed or holder in self._refused
        if is_refused or duration_s > self._max_duration_s:
            return False
        self._expiries_s[holder] = max(
            self._expiries_s.get(holder, -math.inf),
            self._clock.now_s() + duration_s,
        )
        return True

    def remaining_s(self, holder: str) -> float:
        """Return the time until all leases of a session have expired."""
        expiry_s = self._expiries_s.get(holder, -math.inf)
        latest_s = max(expiry_s, self._unknown_until_s)
        return max(0, latest_s - self._clock.now_s())

    def refuse(self, holder: str) -> None:
        """Grant no more leases to a session, in order to take over."""
        self._refused.add(holder)

    def vote_on_takeover(self, holder: str) -> TakeoverVote:
        """Vote on a takeover from a session.

        After agreeing, this daemon grants no more leases to the session, so
        that a holder without the store cannot delay its successor.
        """
        if self._is_closed or self.remaining_s(holder) > 0:
            return TakeoverVote(is_given=False, was_asked=False)
        self.refuse(holder)
        return TakeoverVote(is_given=True, was_asked=holder in self._requesters)

    def forget(self, holders: Collection[str]) -> None:
        """Delete ended sessions that have no outstanding lease."""
        for holder in holders:
            if not self.remaining_s(holder):
                self._expiries_s.pop(holder, None)
                self._requesters.discard(holder)
                self._refused.discard(holder)

    def close(self) -> None:
        """Grant no leases and no votes; call it before leaving the roster."""
        self._is_closed = True


class PeerLeaseHolder:
    """Peer leases that one session of this daemon was granted.

    :ivar roster_revision: roster revision read after the last renewal of the
        store lease.
    """

    def __init__(
        self,
        clock: Clock,
        outage_limit_s: float,
        margin_s: float = 0.5,
    ) -> None:
        """Start without a store lease and without peer leases.

        :param outage_limit_s: maximum time to continue without the store.
        :param margin_s: safety margin for clock drift.
        """
        self.roster_revision = 0
        self._clock = clock
        self._outage_limit_s = outage_limit_s
        self._margin_s = margin_s
        self._last_contact_s = -math.inf
        self._lease_deadline_s = -math.inf
        self._required: frozenset[str] = frozenset()
        self._expiries_s: dict[str, float] = {}
        self._rounds_s: dict[int, float] = {}
        self._round_count = 0
        self._is_expired = True

    @property
    def required(self) -> frozenset[str]:
        """Return the daemons whose leases are required."""
        return self._required

    def record_renewal(
        self,
        sent_at_s: float,
        lease_deadline_s: float,
        required: AbstractSet[str],
        roster_revision: int,
    ) -> None:
        """Record a renewed store lease and the roster read after it.

        :param sent_at_s: time before the renewal was sent.
        :param required: the other daemons of the roster.
        :param roster_revision: revision of the roster.
        """
        self._update_expiry()
        self._lease_deadline_s = lease_deadline_s
        if self._clock.now_s() >= lease_deadline_s:
            # The lease may have expired before the roster was read, so a
            # successor may rely on the vote of a daemon that has left since.
            self._required |= required
            return
        self.roster_revision = roster_revision
        self._last_contact_s = sent_at_s
        self._required = frozenset(required)
        self._is_expired = False

    def begin_round(
        self,
        sent_at_s: float,
        required: AbstractSet[str] = _NO_PEERS,
    ) -> int:
        """Begin a round of requests for leases.

        :param sent_at_s: time before the first request was sent.
        :param required: daemons that are required in addition.
        :returns: number of the round, for :meth:`record_grant`.
        """
        self._update_expiry()
        self._required |= required
        self._round_count += 1
        self._rounds_s[self._round_count] = sent_at_s
        self._rounds_s.pop(self._round_count - _MAX_ROUNDS, None)
        return self._round_count

    def record_grant(
        self,
        round_number: int,
        peer_id: str,
        duration_s: float,
        roster_view: AbstractSet[str] = _NO_PEERS,
    ) -> None:
        """Record a granted lease.

        :param round_number: round in which it was requested; the lease counts
            from the start of that round, also if the reply arrives late.
        :param roster_view: other daemons in the roster as the peer knows it.
        """
        self._update_expiry()
        sent_at_s = self._rounds_s.get(round_number)
        if sent_at_s is None:
            return
        expiry_s = sent_at_s + duration_s - self._margin_s
        known_s = self._expiries_s.get(peer_id, -math.inf)
        self._expiries_s[peer_id] = max(known_s, expiry_s)
        self._required |= roster_view

    def deadline_s(self) -> float | None:
        """Return until when all required leases last, if all are granted."""
        self._update_expiry()
        return None if self._is_expired else self._granted_until_s()

    def valid_until_s(self) -> float:
        """Return the time until which the claims of the session are valid."""
        self._update_expiry()
        return -math.inf if self._is_expired else self._latest_s()

    def _update_expiry(self) -> None:
        # Expiry is final: a successor may have won the vote meanwhile, and
        # the daemons that agreed may have restarted and forgotten it.
        if self._clock.now_s() >= self._latest_s():
            self._is_expired = True

    def _latest_s(self) -> float:
        granted_s = self._granted_until_s()
        if granted_s is None:
            return self._lease_deadline_s
        return max(self._lease_deadline_s, granted_s)

    def _granted_until_s(self) -> float | None:
        if not self._required <= self._expiries_s.keys():
            return None
        limit_s = self._last_contact_s + self._outage_limit_s
        expiries_s = (self._expiries_s[peer_id] for peer_id in self._required)
        return min(limit_s, min(expiries_s, default=limit_s))


class TakeoverRule:
    """Rule for taking over a partition from a session.

    The order of steps matters: check that the session has ended, read the
    roster, ask all its daemons except the holder to vote, including this one,
    check this rule, and acquire the claim that was read at first.
    """

    def __init__(self, clock: Clock, outage_limit_s: float) -> None:
        """Use the outage limit, which must be the same for all daemons."""
        self._clock = clock
        self._outage_limit_s = outage_limit_s
        self._ended_since_s: dict[str, float] = {}

    def record_session_end(self, holder: str) -> None:
        """Record that a session has ended."""
        self._ended_since_s.setdefault(holder, self._clock.now_s())

    def allows(
        self,
        holder: str,
        votes: Collection[TakeoverVote],
        *,
        is_fenced: bool,
    ) -> bool:
        """Tell whether a takeover from a session is safe.

        :param votes: votes of this and all reachable other daemons.
        :param is_fenced: whether all workers refuse starts of lower epochs.
        """
        if holder not in self._ended_since_s:
            return False
        if not all(vote.is_given for vote in votes):
            return False
        if is_fenced or any(vote.was_asked for vote in votes):
            return True
        ended_for_s = self._clock.now_s() - self._ended_since_s[holder]
        return ended_for_s >= self._outage_limit_s
