"""Promises that let owners continue without the store.

The holder of a promise is a session. An owner that loses the store continues
while every registered daemon promises not to take over. The rules that keep
two daemons from owning a partition at once without the help of the workers:

* A daemon that was asked for a promise is one of those that the holder needs.
  If its promises have expired, the holder has stopped for good, because a
  :class:`PeerLeaseHolder` that has lapsed once stays so until the lease is renewed.
* A takeover needs the consent of one such daemon, or ``outage_limit_s``.
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

_LONGEST_PROMISE_S: Final = 3

#: Replies to rounds older than the last few are too late to be of use.
_KEPT_ROUNDS: Final = 8

_NOBODY: Final[frozenset[str]] = frozenset()


@attrs.frozen(slots=True, kw_only=True)
class TakeoverVote:
    """Answer of a daemon to another that wants to take over.

    :ivar is_given: whether it has no promise outstanding.
    :ivar was_asked: whether the holder ever asked it for a promise.
    """

    is_given: bool
    was_asked: bool


class PeerLeaseGrantor:
    """Promises that this daemon gave.

    One book lasts while the daemon stays in the roster.

    :ivar absent_revision: last roster revision without this daemon.
    """

    def __init__(
        self,
        clock: Clock,
        absent_revision: int,
        longest_s: float = _LONGEST_PROMISE_S,
    ) -> None:
        """Start an empty book after joining the roster.

        :param longest_s: longest promise. For as long after the start,
            promises of an earlier process may be outstanding to anyone.
        """
        self.absent_revision = absent_revision
        self._clock = clock
        self._longest_s = longest_s
        self._askers: set[str] = set()
        self._quiet_until_s = clock.now_s() + longest_s
        self._expiries_s: dict[str, float] = {}
        self._refused: set[str] = set()
        self._is_closed = False

    def grant(
        self,
        holder: str,
        duration_s: float,
        roster_revision: int,
    ) -> bool:
        """Promise a session not to take over from it, if possible.

        :param roster_revision: see :attr:`PromiseRun.roster_revision`; a
            request on its way since before this daemon joined does not prove
            that the holder needs its promises.
        """
        if roster_revision > self.absent_revision:
            self._askers.add(holder)
        is_refused = self._is_closed or holder in self._refused
        if is_refused or duration_s > self._longest_s:
            return False
        self._expiries_s[holder] = max(
            self._expiries_s.get(holder, -math.inf),
            self._clock.now_s() + duration_s,
        )
        return True

    def outstanding_for(self, holder: str) -> float:
        """Return the seconds until no promise to a session is outstanding."""
        expiry_s = self._expiries_s.get(holder, -math.inf)
        latest_s = max(expiry_s, self._quiet_until_s)
        return max(0, latest_s - self._clock.now_s())

    def refuse(self, holder: str) -> None:
        """Give no more promises to a session, in order to take over."""
        self._refused.add(holder)

    def vote_on_takeover(self, holder: str) -> TakeoverVote:
        """Answer a daemon that wants to take over from a session.

        A consent ends the promises to that session, so that a holder without
        the store cannot put off its successor.
        """
        if self._is_closed or self.outstanding_for(holder) > 0:
            return TakeoverVote(is_given=False, was_asked=False)
        self.refuse(holder)
        return TakeoverVote(is_given=True, was_asked=holder in self._askers)

    def forget(self, holders: Collection[str]) -> None:
        """Drop sessions that ended and hold no promise any more."""
        for holder in holders:
            if not self.outstanding_for(holder):
                self._expiries_s.pop(holder, None)
                self._askers.discard(holder)
                self._refused.discard(holder)

    def close(self) -> None:
        """Give neither promises nor consents; call it before leaving."""
        self._is_closed = True


class PeerLeaseHolder:
    """Promises that one session of this daemon collected.

    :ivar roster_revision: roster revision of the last renewal.
    """

    def __init__(
        self,
        clock: Clock,
        outage_limit_s: float,
        margin_s: float = 0.5,
    ) -> None:
        """Start without store contact and promises.

        :param outage_limit_s: longest operation without the store.
        :param margin_s: allowance for clocks that run at different rates.
        """
        self.roster_revision = 0
        self._clock = clock
        self._outage_limit_s = outage_limit_s
        self._margin_s = margin_s
        self._contact_s = -math.inf
        self._lease_deadline_s = -math.inf
        self._required: frozenset[str] = frozenset()
        self._expiries_s: dict[str, float] = {}
        self._rounds_s: dict[int, float] = {}
        self._round_count = 0
        self._is_lapsed = True

    @property
    def required(self) -> frozenset[str]:
        """Return the daemons to ask in the next round."""
        return self._required

    def record_renewal(
        self,
        sent_at_s: float,
        lease_deadline_s: float,
        required: AbstractSet[str],
        roster_revision: int,
    ) -> None:
        """Take over a renewed lease and the roster that was read after it.

        :param sent_at_s: time before the renewal was sent.
        :param required: the other daemons of the roster.
        :param roster_revision: revision of the roster.
        """
        self._check()
        self._lease_deadline_s = lease_deadline_s
        if self._clock.now_s() >= lease_deadline_s:
            # The lease may have ended before the roster was read, and a
            # successor may rely on a daemon that has left since.
            self._required |= required
            return
        self.roster_revision = roster_revision
        self._contact_s = sent_at_s
        self._required = frozenset(required)
        self._is_lapsed = False

    def begin_round(
        self,
        sent_at_s: float,
        required: AbstractSet[str] = _NOBODY,
    ) -> int:
        """Begin to ask for promises.

        :param sent_at_s: time before the first request was sent.
        :param required: daemons that are required besides the known ones.
        :returns: number of the round, for :meth:`record_grant`.
        """
        self._check()
        self._required |= required
        self._round_count += 1
        self._rounds_s[self._round_count] = sent_at_s
        self._rounds_s.pop(self._round_count - _KEPT_ROUNDS, None)
        return self._round_count

    def record_grant(
        self,
        round_number: int,
        peer_id: str,
        duration_s: float,
        roster_view: AbstractSet[str] = _NOBODY,
    ) -> None:
        """Record a promise.

        :param round_number: round in which it was asked for; a late reply
            must not count from the sending of a later round.
        :param roster_view: other daemons in the roster that the peer knows.
        """
        self._check()
        sent_at_s = self._rounds_s.get(round_number)
        if sent_at_s is None:
            return
        expiry_s = sent_at_s + duration_s - self._margin_s
        known_s = self._expiries_s.get(peer_id, -math.inf)
        self._expiries_s[peer_id] = max(known_s, expiry_s)
        self._required |= roster_view

    def deadline_s(self) -> float | None:
        """Return the time up to which all promises last, if there are all."""
        self._check()
        return None if self._is_lapsed else self._promised_until_s()

    def valid_until_s(self) -> float:
        """Return the time up to which the claims of the session hold."""
        self._check()
        return -math.inf if self._is_lapsed else self._latest_s()

    def _check(self) -> None:
        # A lapse is final: a successor may have got consent meanwhile, and
        # the daemons that gave it may have restarted and forgotten it.
        if self._clock.now_s() >= self._latest_s():
            self._is_lapsed = True

    def _latest_s(self) -> float:
        promised_s = self._promised_until_s()
        if promised_s is None:
            return self._lease_deadline_s
        return max(self._lease_deadline_s, promised_s)

    def _promised_until_s(self) -> float | None:
        if not self._required <= self._expiries_s.keys():
            return None
        limit_s = self._contact_s + self._outage_limit_s
        expiries_s = (self._expiries_s[peer_id] for peer_id in self._required)
        return min(limit_s, min(expiries_s, default=limit_s))


class TakeoverRule:
    """Decides whether a partition may be taken from a session.

    The order matters: read that the session is gone, read the roster, ask
    all its daemons but the holder for consent, this one included, then ask
    this rule, then take the claim that was read at first.
    """

    def __init__(self, clock: Clock, outage_limit_s: float) -> None:
        """Use the outage limit that all daemons share."""
        self._clock = clock
        self._outage_limit_s = outage_limit_s
        self._gone_since_s: dict[str, float] = {}

    def record_session_end(self, holder: str) -> None:
        """Note that a session was seen to be gone."""
        self._gone_since_s.setdefault(holder, self._clock.now_s())

    def allows(
        self,
        holder: str,
        votes: Collection[TakeoverVote],
        *,
        is_fenced: bool,
    ) -> bool:
        """Tell whether a takeover from a session is safe.

        :param votes: answers of this and all reachable other daemons.
        :param is_fenced: whether all workers refuse starts of lower epochs.
        """
        if holder not in self._gone_since_s:
            return False
        if not all(consent.is_given for consent in votes):
            return False
        if is_fenced or any(consent.was_asked for consent in votes):
            return True
        gone_s = self._clock.now_s() - self._gone_since_s[holder]
        return gone_s >= self._outage_limit_s
