"""Session, claims and peer leases of a daemon."""

from __future__ import annotations

import asyncio
import functools
import hashlib
from typing import TYPE_CHECKING

from currantreach_config import LimitsConfig
from currantreach_daemon._messages import (
    PeerLeaseMessage,
    PeerLeaseReply,
    TakeoverVoteMessage,
    TakeoverVoteReply,
)
from currantreach_daemon._takeover import CALL_TIMEOUT_S, Takeover
from currantreach_state import (
    ClaimStore,
    PeerLeaseGrantor,
    PeerLeaseHolder,
    Roster,
    Session,
    TakeoverRule,
)
from currantreach_telemetry import log_debug, log_event, log_warning
from currantreach_types.errors import (
    ConflictError,
    CurrantreachError,
    PlatformError,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from currantreach_config import DaemonSettings
    from currantreach_daemon._owner import Owner
    from currantreach_daemon._peers import Peer, PeerTable
    from currantreach_platform import Store
    from currantreach_state import Claim, RosterView
    from currantreach_types import Clock

__all__ = ('Membership',)

_PEER_LEASE_S = 3


class Membership:
    """Renews the session, acquires claims and runs an owner for each claim.

    Without store contact a daemon continues under peer leases: each peer that
    grants one promises not to take over its claims. A takeover needs the
    votes of the other daemons.

    :ivar owners: owner of each partition claimed by this daemon.
    :ivar peers: all peers, set before the first use.
    :ivar make_owner: creates the owner of a claim; the second argument says
        whether all registered daemons voted on the takeover.
    :ivar has_store: whether the last renewal reached the store.
    :ivar is_leaving: whether the daemon is stopping and acquires no claims.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        clock: Clock,
        store: Store,
    ) -> None:
        """Start without a session and without claims."""
        domain = settings.failure_domain
        self.owners: dict[int, Owner] = {}
        self.peers: PeerTable
        self.make_owner: Callable[[Claim, bool], Owner]
        self.has_store = False
        self.is_leaving = False
        self._settings = settings
        self._clock = clock
        self._session = Session(
            store,
            clock,
            domain,
            settings.daemon_id,
            settings.session_ttl_s,
            settings.claim_margin_s,
        )
        self._roster = Roster(store, domain)
        self._claims = ClaimStore(
            store,
            domain,
            settings.daemon_id,
            self._session,
        )
        self._lease_grantor: PeerLeaseGrantor | None = None
        self._lease_holder = self._new_lease_holder()
        self._takeover = Takeover(
            settings,
            self._claims,
            self._roster,
            TakeoverRule(clock, LimitsConfig().outage_limit_s),
            self.consent,
        )
        self._registered: frozenset[str] = frozenset()
        self._owner_tasks: dict[int, asyncio.Task[None]] = {}

    @property
    def session_id(self) -> str:
        """Return the session id of this process."""
        return self._session.session_id

    def claim_valid_until_s(self) -> float:
        """Return the time after which no task may be started."""
        return self._lease_holder.valid_until_s()

    async def run_renewals(self) -> None:
        """Renew the session, or collect peer leases, until cancelled."""
        while True:
            began_s = self._clock.now_s()
            try:
                await self._renew()
            except PlatformError as exc:
                self.has_store = False
                log_warning('renewal_failed', error=exc)
                await self._collect_peer_leases()
            elapsed_s = self._clock.now_s() - began_s
            await asyncio.sleep(
                max(0, self._settings.renew_interval_s - elapsed_s),
            )

    async def claim_partitions(self) -> None:
        """Acquire claims on partitions without an owner until cancelled."""
        while True:
            if self.has_store and not self.is_leaving:
                for partition in range(self._settings.partition_count):
                    await self._try_claim(partition)
            await asyncio.sleep(self._settings.renew_interval_s)

    def promise(self, message: PeerLeaseMessage) -> PeerLeaseReply:
        """Grant a peer lease: do not take over from a session for a time.

        Handles the peer call ``promise``, hence the name.
        """
        is_given = (
            self._lease_grantor is not None
            and self._lease_grantor.grant(
                message.holder,
                message.duration_s,
                message.roster_revision,
            )
        )
        return PeerLeaseReply(
            duration_s=message.duration_s if is_given else 0,
            roster=tuple(sorted(self._registered)),
        )

    def consent(self, message: TakeoverVoteMessage) -> TakeoverVoteReply:
        """Vote on a takeover from a session.

        Handles the peer call ``consent``, hence the name.
        """
        if self._lease_grantor is None:
            return TakeoverVoteReply(is_given=False, was_asked=False)
        vote = self._lease_grantor.vote_on_takeover(message.holder)
        return TakeoverVoteReply(
            is_given=vote.is_given,
            was_asked=vote.was_asked,
        )

    async def transfer_claims(self) -> None:
        """Transfer all claims to reachable peers of this failure domain."""
        for partition, owner in tuple(self.owners.items()):
            successor = self._successor(partition)
            await self._stop_owner(partition)
            if successor is None or successor.heartbeat is None:
                continue
            try:
                await self._claims.transfer(
                    owner.claim,
                    successor.peer_id,
                    successor.heartbeat.session_id,
                )
            except PlatformError as exc:
                log_warning('hand_over_failed', error=exc)
        await self._leave()

    async def _leave(self) -> None:
        if self._lease_grantor is not None:
            self._lease_grantor.close()
        try:
            await self._roster.leave(
                self._settings.daemon_id,
                self._session.session_id,
            )
        except PlatformError as exc:
            log_warning('leave_failed', error=exc)
        await self._session.close()

    async def _renew(self) -> None:
        sent_at_s = self._clock.now_s()
        if not await self._session.renew():
            await self._stop_all_owners()
            self._lease_holder = self._new_lease_holder()
        view = await self._roster.members()
        if not self._is_registered(view):
            view = await self._roster.join(
                self._settings.daemon_id,
                self._session.session_id,
                f'{self._settings.peer_host}:{self._settings.peer_port}',
            )
        self._update_roster(view)
        self._lease_holder.record_renewal(
            sent_at_s,
            self._session.deadline_s,
            self._registered - {self._settings.daemon_id},
            view.revision,
        )
        self.has_store = True

    def _is_registered(self, view: RosterView) -> bool:
        entry = view.members.get(self._settings.daemon_id)
        return entry is not None and entry.session_id == self.session_id

    def _update_roster(self, view: RosterView) -> None:
        self._registered = frozenset(view.members)
        absent_revision = view.members[self._settings.daemon_id].absent_revision
        grantor = self._lease_grantor
        if grantor is None or grantor.absent_revision != absent_revision:
            self._lease_grantor = PeerLeaseGrantor(self._clock, absent_revision)

    def _new_lease_holder(self) -> PeerLeaseHolder:
        return PeerLeaseHolder(
            self._clock,
            LimitsConfig().outage_limit_s,
            self._settings.claim_margin_s,
        )

    async def _collect_peer_leases(self) -> None:
        if not self.owners:
            return
        round_number = self._lease_holder.begin_round(self._clock.now_s())
        await asyncio.gather(
            *(
                self._request_peer_lease(peer, round_number)
                for peer in self._domain_peers()
            ),
        )

    async def _request_peer_lease(self, peer: Peer, round_number: int) -> None:
        try:
            reply = await peer.link.call(
                'promise',
                PeerLeaseMessage(
                    holder=self.session_id,
                    duration_s=_PEER_LEASE_S,
                    roster_revision=self._lease_holder.roster_revision,
                ),
                PeerLeaseReply,
                CALL_TIMEOUT_S,
            )
        except CurrantreachError as exc:
            # An error of a peer must not stop the renewals of this daemon.
            log_debug('promise_failed', peer=peer.peer_id, error=exc)
            return
        if reply.duration_s > 0:
            self._lease_holder.record_grant(
                round_number,
                peer.peer_id,
                reply.duration_s,
                frozenset(reply.roster) - {self._settings.daemon_id},
            )

    async def _try_claim(self, partition: int) -> None:
        if partition in self.owners:
            return
        try:
            claim = await self._takeover.acquire(
                partition,
                self._preferred_owner(partition),
                self._domain_peers(),
            )
        except ConflictError:
            return
        except PlatformError as exc:
            log_warning('claim_failed', error=exc)
            return
        if claim is not None:
            self._start_owner(*claim)

    def _start_owner(self, claim: Claim, is_vote_complete: bool) -> None:
        log_event(
            'claim_taken',
            domain=claim.domain,
            partition=claim.partition,
            epoch=claim.epoch,
            is_vote_complete=is_vote_complete,
        )
        owner = self.make_owner(claim, is_vote_complete)
        self.owners[claim.partition] = owner
        self.peers.announce()
        running = asyncio.create_task(self._run_owner(claim, owner))
        self._owner_tasks[claim.partition] = running
        running.add_done_callback(_log_failure)

    async def _run_owner(self, claim: Claim, owner: Owner) -> None:
        try:
            await owner.run()
        finally:
            if self.owners.get(claim.partition) is owner:
                self.owners.pop(claim.partition)
                self.peers.announce()

    async def _stop_all_owners(self) -> None:
        for partition in tuple(self.owners):
            await self._stop_owner(partition)

    async def _stop_owner(self, partition: int) -> None:
        self.owners.pop(partition, None)
        running = self._owner_tasks.pop(partition, None)
        if running is not None:
            running.cancel()
            await asyncio.wait((running,))

    def _preferred_owner(self, partition: int) -> str:
        candidates = {self._settings.daemon_id, *self._candidates()}
        return _rendezvous(partition, candidates)

    def _successor(self, partition: int) -> Peer | None:
        candidates = self._candidates()
        return (
            candidates[_rendezvous(partition, candidates)]
            if candidates
            else None
        )

    def _candidates(self) -> dict[str, Peer]:
        return {
            peer.peer_id: peer
            for peer in self.peers.reachable()
            if self._is_candidate(peer)
        }

    def _is_candidate(self, peer: Peer) -> bool:
        beat = peer.heartbeat
        return (
            peer.domain == self._settings.failure_domain
            and beat is not None
            and beat.has_store
            and not beat.is_leaving
        )

    def _domain_peers(self) -> tuple[Peer, ...]:
        return tuple(
            peer
            for peer in self.peers.peers.values()
            if peer.domain == self._settings.failure_domain
        )


def _log_failure(running: asyncio.Task[None]) -> None:
    if not running.cancelled() and running.exception() is not None:
        log_warning('owner_failed', error=running.exception())


def _rendezvous(partition: int, candidates: Iterable[str]) -> str:
    """Return the candidate with the highest hash for a partition."""
    return max(candidates, key=functools.partial(_rendezvous_hash, partition))


def _rendezvous_hash(partition: int, candidate: str) -> bytes:
    key = f'{partition}/{candidate}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()
