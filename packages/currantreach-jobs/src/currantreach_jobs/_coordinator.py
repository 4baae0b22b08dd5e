"""Membership and leader election of the daemons of a cell."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from currantreach_jobs._memory import MIN_LIMIT_BYTES
from currantreach_jobs._messages import CellViewReply
from currantreach_jobs._records import (
    CELL_PREFIX,
    EPOCH_KEY,
    LEADER_KEY,
    MEMBER_PREFIX,
    RELEASES_KEY,
    SECRET_KEY,
    LeaderRecord,
    MemberRecord,
)
from currantreach_jobs._releases import ObservedReleases, decode_releases
from currantreach_jobs._settings import Leadership
from currantreach_platform import KeyValue, Write
from currantreach_telemetry import log_event, log_warning
from currantreach_types import decode_msgpack, encode_msgpack, unix_now_ms
from currantreach_types.errors import (
    ConflictError,
    MalformedMessageError,
    OutcomeUnknownError,
    PlatformError,
    TransactionConflictError,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from currantreach_jobs._settings import JobSettings
    from currantreach_platform import TransactionalStore
    from currantreach_types import Clock

__all__ = ('Coordinator', 'load_shared_secret')

# The length of the digest that authenticates a frame.
_SECRET_BYTES = 32
# Pause after a failed call, a small fraction of the shortest outage.
_RETRY_S = 0.3
# Timeout of a watch, after which a dead connection is noticed.
_WATCH_TIMEOUT_S = 2
# Two watches; an older view of the cell may be outdated.
_VIEW_MAX_AGE_S = 4
# Least difference of the campaign delays for which the leader is replaced. A
# host of half the capacity has a delay that is longer by 0.3 s.
_MIN_ADVANTAGE_S = 0.25
# Random spread of the campaigns of equal hosts, so that few of their
# transactions conflict.
_CAMPAIGN_SPREAD_S = 0.15
_MS_PER_S = 1000


async def load_shared_secret(store: TransactionalStore) -> bytes:
    """Return the shared secret of the links between daemons.

    The first daemon of the cell creates it.
    """
    while True:
        try:
            secret = await _read_or_create_secret(store)
        except TransactionConflictError:
            continue
        except PlatformError as error:
            log_event('secret_read_failed', error=error)
            await asyncio.sleep(_RETRY_S)
            continue
        if secret:
            return secret


async def _read_or_create_secret(store: TransactionalStore) -> bytes:
    """Return the stored secret, or nothing after a write of a new one."""
    found = await store.get(SECRET_KEY)
    if found is not None and len(found.stored) == _SECRET_BYTES:
        return found.stored
    if found is not None:
        # No daemon can use it, so it is replaced.
        log_warning('secret_unreadable', length=len(found.stored))
    created = Write(key=SECRET_KEY, stored=secrets.token_bytes(_SECRET_BYTES))
    await store.commit({SECRET_KEY: found.revision if found else 0}, [created])
    return b''


class Coordinator:
    """Follows the members of the cell and takes part in leader election.

    :ivar members: link addresses of all daemons by their ids.
    :ivar leader: record of the leader, if there is one.
    :ivar releases: released workers, as read from the store.
    :ivar store_answered_at_s: time of the last answer of the store.
    :ivar is_leaving: whether this daemon stops and takes no leadership.
    :ivar fetch_peer_view: asks the daemon at an address for its view.
    :ivar lease_id: store lease of the leader record of this daemon.
    """

    def __init__(
        self,
        daemon_id: str,
        host_name: str,
        address: str,
        store: TransactionalStore,
        settings: JobSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with this daemon as the only known member.

        :param host_name: host of this daemon; a host runs one daemon at a time.
        :param address: address of the link server of this daemon.
        :param rng: source of the spread of campaigns and the choice of peers.
        """
        self.daemon_id = daemon_id
        self.host_name = host_name
        self.address = address
        self.members: dict[str, str] = {daemon_id: address}
        self.leader: LeaderRecord | None = None
        self.releases = ObservedReleases()
        self.store_answered_at_s: float = 0
        self.is_leaving = False
        self.fetch_peer_view: (
            Callable[[str], Awaitable[CellViewReply | None]] | None
        )
        self.fetch_peer_view = None
        self._store = store
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self.lease_id = ''
        self._member_records: dict[str, MemberRecord] = {}
        self._changed = asyncio.Event()
        self._has_read_cell = False
        # Revision up to which the records are read. The answer to a campaign
        # may arrive after the end of the same leadership was read.
        self._seen_revision = 0

    async def follow(self) -> None:
        """Watch the records of the members, the leader and the releases."""
        revision = 0
        while True:
            try:
                if not revision:
                    revision = await self._read_all()
                found = await self._store.watch(
                    CELL_PREFIX,
                    revision,
                    _WATCH_TIMEOUT_S,
                )
            except PlatformError as error:
                log_event('cell_read_failed', error=error)
                revision = 0
                await self._refresh_from_peer()
                await asyncio.sleep(_RETRY_S)
                continue
            revision = found.revision
            self.store_answered_at_s = self._clock.now_s()
            for entry in found.changed:
                self._apply_entry(entry)
            for key in found.deleted:
                self._apply_deletion(key)
            self._seen_revision = revision
            self._changed.set()

    async def maintain_membership(self) -> None:
        """Keep the member record of this daemon alive until it leaves."""
        lease_id = ''
        while not self.is_leaving:
            try:
                lease_id = await self._renew_membership(lease_id)
                self.store_answered_at_s = self._clock.now_s()
            except ConflictError:
                lease_id = ''
                continue
            except PlatformError as error:
                log_event('member_write_failed', error=error)
            await asyncio.sleep(self._settings.member_lease_s / 4)

    async def acquire_leadership(self) -> Leadership:
        """Wait until this daemon is elected and return its leadership."""
        while True:
            await self._wait_for_vacancy()
            spread_s = self._rng.uniform(0, _CAMPAIGN_SPREAD_S)
            await asyncio.sleep(self._settings.campaign_delay_s + spread_s)
            if self.is_leaving:
                await asyncio.sleep(_RETRY_S)
                continue
            leadership = await self._try_campaign()
            if leadership is not None:
                return leadership

    async def maintain_lease(self, leadership: Leadership) -> None:
        """Renew the leader lease until the leadership ends.

        Renewals are sent without waiting for the answers to earlier ones, so
        that a lost answer does not cost the leadership.
        """
        renewals: set[asyncio.Task[None]] = set()
        try:
            while not leadership.is_over:
                renewal = asyncio.create_task(self._renew_once(leadership))
                renewals.add(renewal)
                renewal.add_done_callback(renewals.discard)
                await asyncio.sleep(self._settings.leader_renew_s)
        finally:
            for unanswered in tuple(renewals):
                unanswered.cancel()

    async def resign(self) -> None:
        """Revoke the leader lease, so that another daemon can win at once."""
        try:
            await self._store.revoke_lease(self.lease_id)
        except PlatformError as error:
            log_event('resign_failed', error=error)

    def has_better_candidate(self) -> bool:
        """Tell whether the host of another member is better suited to lead."""
        own_delay_s = self._settings.campaign_delay_s
        delays_s = [
            known.campaign_delay_s for known in self._member_records.values()
        ]
        best_delay_s = min(delays_s, default=own_delay_s)
        return best_delay_s < own_delay_s - _MIN_ADVANTAGE_S

    def job_memory_bytes(self) -> int:
        """Return how much memory each member can spare for open jobs."""
        known = [
            member.job_memory_bytes
            for member in self._member_records.values()
            if member.job_memory_bytes
        ]
        least = min([self._settings.job_memory_bytes, *known])
        return max(MIN_LIMIT_BYTES, least)

    def is_in_same_domain(self, member: str) -> bool:
        """Tell whether a member is in the failure domain of this daemon."""
        known = self._member_records.get(member)
        if known is None:
            return False
        return known.failure_domain == self._settings.failure_domain

    def view(self) -> CellViewReply:
        """Return the view of this daemon, for peers that the store rejects."""
        age_s = self._clock.now_s() - self.store_answered_at_s
        return CellViewReply(
            has_store=age_s < _VIEW_MAX_AGE_S,
            members=dict(self.members),
            leader=self.leader,
        )

    async def _renew_once(self, leadership: Leadership) -> None:
        sent_at_s = self._clock.now_s()
        try:
            await self._store.renew_lease(self.lease_id)
        except ConflictError:
            log_warning('leadership_lost', found_by='renewal')
            leadership.is_over = True
            return
        except PlatformError as error:
            log_event('leader_lease_renewal_failed', error=error)
            return
        leadership.valid_until_s = max(
            leadership.valid_until_s,
            sent_at_s + self._settings.leader_lease_s,
        )
        self.store_answered_at_s = self._clock.now_s()

    async def _read_all(self) -> int:
        found = await self._store.list_prefix(CELL_PREFIX)
        members = {self.daemon_id: self.address}
        self.leader = None
        self.members = members
        self._member_records.clear()
        for entry in found.changed:
            self._apply_entry(entry)
        self._has_read_cell = True
        self._seen_revision = found.revision
        self.store_answered_at_s = self._clock.now_s()
        self._changed.set()
        await self._revoke_predecessor()
        return found.revision

    async def _revoke_predecessor(self) -> None:
        """Revoke the lease of a leader that was killed on this host.

        The cell would have no leader until that lease expired.
        """
        leader = self.leader
        if leader is None or leader.host_name != self.host_name:
            return
        if leader.daemon_id != self.daemon_id and leader.lease_id:
            log_event('predecessor_ended', daemon=leader.daemon_id)
            await self._store.revoke_lease(leader.lease_id)

    def _apply_entry(self, found: KeyValue) -> None:
        if found.key == LEADER_KEY:
            try:
                self.leader = decode_msgpack(found.stored, LeaderRecord)
            except MalformedMessageError as error:
                log_warning('leader_unreadable', error=error)
        elif found.key == RELEASES_KEY:
            record = decode_releases(found)
            if record is not None:
                self.releases.update(record, self._clock.now_s())
        elif found.key.startswith(MEMBER_PREFIX):
            name = found.key.removeprefix(MEMBER_PREFIX)
            try:
                member = decode_msgpack(found.stored, MemberRecord)
            except MalformedMessageError as fault:
                log_warning('member_unreadable', member=name, error=fault)
                return
            self.members[name] = member.address
            self._member_records[name] = member

    def _apply_deletion(self, key: str) -> None:
        if key == LEADER_KEY:
            log_event('leader_gone')
            self.leader = None
        elif key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            if name != self.daemon_id:
                self.members.pop(name, None)
                self._member_records.pop(name, None)

    async def _renew_membership(self, lease_id: str) -> str:
        if lease_id:
            await self._store.renew_lease(lease_id)
            return lease_id
        lease_id = await self._store.grant_lease(self._settings.member_lease_s)
        record = MemberRecord(
            address=self.address,
            campaign_delay_s=self._settings.campaign_delay_s,
            failure_domain=self._settings.failure_domain,
            job_memory_bytes=self._settings.job_memory_bytes,
        )
        await self._store.commit(
            {},
            [
                Write(
                    key=f'{MEMBER_PREFIX}{self.daemon_id}',
                    stored=encode_msgpack(record),
                    lease_id=lease_id,
                ),
            ],
        )
        return lease_id

    async def _refresh_from_peer(self) -> None:
        """Adopt the view of a random peer if the store answers that one."""
        others = [name for name in self.members if name != self.daemon_id]
        if not others or self.fetch_peer_view is None:
            return
        name = self._rng.choice(others)
        view = await self.fetch_peer_view(self.members[name])
        if view is None or not view.has_store:
            return
        self.members = {**view.members, self.daemon_id: self.address}
        if self.leader != view.leader:
            log_event('leader_learned_from_peer', by=name, leader=view.leader)
            self.leader = view.leader

    async def _wait_for_vacancy(self) -> None:
        """Wait until the cell has no leader."""
        while self.leader is not None or not self._has_read_cell:
            self._changed.clear()
            await self._changed.wait()

    async def _try_campaign(self) -> Leadership | None:
        if self.leader is not None:
            return None
        try:
            leadership = await self._campaign()
        except PlatformError as error:
            log_event('campaign_failed', error=error)
            await asyncio.sleep(_RETRY_S)
            return None
        if leadership is not None and self.is_leaving:
            # The daemon was told to stop during the campaign.
            await self.resign()
            return None
        return leadership

    async def _campaign(self) -> Leadership | None:
        sent_at_s = self._clock.now_s()
        lease_s = self._settings.leader_lease_s
        self.lease_id = await self._store.grant_lease(lease_s)
        found = await self._store.get(EPOCH_KEY)
        if found is None:
            found = KeyValue(key=EPOCH_KEY, stored=b'0', revision=0)
        epoch = _next_epoch(found)
        try:
            revision = await self._store.commit(
                {LEADER_KEY: 0, EPOCH_KEY: found.revision},
                self._claim_writes(epoch),
            )
        except TransactionConflictError:
            await self._read_all()
            return None
        except OutcomeUnknownError:
            await self._store.revoke_lease(self.lease_id)
            raise
        log_event('leadership_acquired', epoch=epoch)
        if self._seen_revision < revision:
            self.leader = self._leader_record(epoch)
        return Leadership(
            epoch=epoch,
            revision=revision,
            valid_until_s=sent_at_s + lease_s,
            acquired_at_s=self._clock.now_s(),
        )

    def _leader_record(self, epoch: int) -> LeaderRecord:
        return LeaderRecord(
            daemon_id=self.daemon_id,
            address=self.address,
            epoch=epoch,
            host_name=self.host_name,
            lease_id=self.lease_id,
        )

    def _claim_writes(self, epoch: int) -> list[Write]:
        return [
            Write(
                key=LEADER_KEY,
                stored=encode_msgpack(self._leader_record(epoch)),
                lease_id=self.lease_id,
            ),
            Write(key=EPOCH_KEY, stored=str(epoch).encode()),
        ]


def _next_epoch(found: KeyValue) -> int:
    """Return an epoch above all earlier ones.

    Epochs count elections, so the Unix time in seconds is higher than any of
    them and replaces a stored epoch that cannot be read.
    """
    try:
        return 1 + int(found.stored)
    except ValueError:
        log_warning('epoch_unreadable', stored=found.stored)
        return unix_now_ms() // _MS_PER_S
