"""Membership of the daemons and the leader among them."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import TYPE_CHECKING

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
from currantreach_jobs._releases import HeardReleases, decode_releases
from currantreach_jobs._settings import Leadership
from currantreach_platform import KeyValue, Write
from currantreach_telemetry import log_event, log_warning
from currantreach_types import decode_packed, encode_packed, unix_now_ms
from currantreach_types.errors import (
    ConflictError,
    LostAnswerError,
    MalformedMessageError,
    PlatformError,
    TransactionConflictError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantreach_jobs._settings import JobSettings
    from currantreach_platform import TransactionalStore
    from currantreach_types import Clock

__all__ = ('Coordinator', 'shared_secret')

# As long as the digest that authenticates a frame.
_SECRET_BYTES = 32
# Pause after a failed call, a small part of the shortest outage.
_RETRY_S = 0.3
# A connection that went silent is noticed this late.
_WATCH_S = 2
# A view that is older than two watches says nothing of the present.
_FRESH_S = 4
# Half the strength is worth a change of the leader.
_NOTABLE_S = 0.25
# Equal hosts spread over this time so that few of their transactions fail.
_CAMPAIGN_SPREAD_S = 0.15
_MS_PER_S = 1000


async def shared_secret(store: TransactionalStore) -> bytes:
    """Return the secret of the links, which the first daemon creates."""
    while True:
        try:
            found = await store.get(SECRET_KEY)
            if found is not None:
                return found.stored
            await store.commit(
                {SECRET_KEY: 0},
                [
                    Write(
                        key=SECRET_KEY,
                        stored=secrets.token_bytes(_SECRET_BYTES),
                    ),
                ],
            )
        except TransactionConflictError:
            continue
        except PlatformError as error:
            log_event('secret_unread', error=error)
            await asyncio.sleep(_RETRY_S)


class Coordinator:
    """What this daemon knows of the others, and its own place.

    :ivar members: addresses of the links of all daemons by their ids.
    :ivar leader: record of the daemon that decides, if there is one.
    :ivar releases: waits for silent workers, as heard from the store.
    """

    def __init__(
        self,
        daemon_id: str,
        host_name: str,
        address: str,
        store: TransactionalStore,
        settings: JobSettings,
        clock: Clock,
    ) -> None:
        """Know nobody yet.

        :param host_name: host of this daemon, on which no other one runs.
        :param address: address of the link server of this daemon.
        """
        self.daemon_id = daemon_id
        self.host_name = host_name
        self.address = address
        self.members: dict[str, str] = {daemon_id: address}
        self.leader: LeaderRecord | None = None
        self.releases = HeardReleases()
        self.store_answered_at_s: float = 0
        self.is_leaving = False
        self.read_peer: Callable[[str], Awaitable[CellViewReply | None]] | None
        self.read_peer = None
        self._store = store
        self._settings = settings
        self._clock = clock
        self.lease_id = ''
        self._records: dict[str, MemberRecord] = {}
        self._changed = asyncio.Event()
        self._is_known = False
        # The answer to a claim may come after the end of the lead was heard.
        self._heard_revision = 0

    async def follow(self) -> None:
        """Follow the records of the daemons."""
        revision = 0
        while True:
            try:
                if not revision:
                    revision = await self._read_all()
                found = await self._store.watch(
                    CELL_PREFIX,
                    revision,
                    _WATCH_S,
                )
            except PlatformError as error:
                log_event('cell_unread', error=error)
                revision = 0
                await self._ask_peer()
                await asyncio.sleep(_RETRY_S)
                continue
            revision = found.revision
            self.store_answered_at_s = self._clock.now_s()
            for entry in found.changed:
                self._note(entry)
            for key in found.deleted:
                self._note_deleted(key)
            self._heard_revision = revision
            self._changed.set()

    async def keep_member(self) -> None:
        """Keep the own record until the daemon leaves."""
        lease_id = ''
        while not self.is_leaving:
            try:
                lease_id = await self._keep_member(lease_id)
                self.store_answered_at_s = self._clock.now_s()
            except ConflictError:
                lease_id = ''
                continue
            except PlatformError as error:
                log_event('member_unkept', error=error)
            await asyncio.sleep(self._settings.member_lease_s / 4)

    async def acquire(self) -> Leadership:
        """Wait until this daemon decides and return its tenure."""
        while True:
            await self._vacancy()
            spread_s = random.uniform(0, _CAMPAIGN_SPREAD_S)
            await asyncio.sleep(self._settings.campaign_delay_s + spread_s)
            if self.is_leaving:
                await asyncio.sleep(_RETRY_S)
                continue
            leadership = await self._try_campaign()
            if leadership is not None:
                return leadership

    async def keep(self, leadership: Leadership) -> None:
        """Renew the leader's lease until the tenure is over.

        A renewal is sent whether or not the ones before were answered, so
        that a lost answer does not cost the lead.
        """
        renewals: set[asyncio.Task[None]] = set()
        try:
            while not leadership.is_over:
                renewal = asyncio.create_task(self._renew(leadership))
                renewals.add(renewal)
                renewal.add_done_callback(renewals.discard)
                await asyncio.sleep(self._settings.leader_renew_s)
        finally:
            for unanswered in tuple(renewals):
                unanswered.cancel()

    async def resign(self) -> None:
        """Let another daemon decide at once."""
        try:
            await self._store.revoke_lease(self.lease_id)
        except PlatformError as error:
            log_event('resign_failed', error=error)

    def has_stronger(self) -> bool:
        """Tell whether another daemon's host is fitter to lead."""
        own_s = self._settings.campaign_delay_s
        delays_s = [known.campaign_delay_s for known in self._records.values()]
        best_s = min(delays_s, default=own_s)
        return best_s < own_s - _NOTABLE_S

    def is_in_same_domain(self, member: str) -> bool:
        """Tell whether a daemon is in the failure domain of this one."""
        known = self._records.get(member)
        if known is None:
            return False
        return known.failure_domain == self._settings.failure_domain

    def view(self) -> CellViewReply:
        """Return what this daemon knows, for one that the store rejects."""
        age_s = self._clock.now_s() - self.store_answered_at_s
        return CellViewReply(
            has_store=age_s < _FRESH_S,
            members=dict(self.members),
            leader=self.leader,
        )

    async def _renew(self, leadership: Leadership) -> None:
        sent_at_s = self._clock.now_s()
        try:
            await self._store.renew_lease(self.lease_id)
        except ConflictError:
            log_warning('leadership_lost', found_by='renewal')
            leadership.is_over = True
            return
        except PlatformError as error:
            log_event('leader_lease_unkept', error=error)
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
        self._records.clear()
        for entry in found.changed:
            self._note(entry)
        self._is_known = True
        self._heard_revision = found.revision
        self.store_answered_at_s = self._clock.now_s()
        self._changed.set()
        await self._end_predecessor()
        return found.revision

    async def _end_predecessor(self) -> None:
        """Remove the record of a leader that was killed on this host.

        Until its lease runs out the lead would stay vacant.
        """
        leader = self.leader
        if leader is None or leader.host_name != self.host_name:
            return
        if leader.daemon_id != self.daemon_id and leader.lease_id:
            log_event('predecessor_ended', daemon=leader.daemon_id)
            await self._store.revoke_lease(leader.lease_id)

    def _note(self, found: KeyValue) -> None:
        if found.key == LEADER_KEY:
            try:
                self.leader = decode_packed(found.stored, LeaderRecord)
            except MalformedMessageError as error:
                log_warning('leader_unreadable', error=error)
        elif found.key == RELEASES_KEY:
            record = decode_releases(found)
            if record is not None:
                self.releases.note(record, self._clock.now_s())
        elif found.key.startswith(MEMBER_PREFIX):
            name = found.key.removeprefix(MEMBER_PREFIX)
            try:
                member = decode_packed(found.stored, MemberRecord)
            except MalformedMessageError as fault:
                log_warning('member_unreadable', member=name, error=fault)
                return
            self.members[name] = member.address
            self._records[name] = member

    def _note_deleted(self, key: str) -> None:
        if key == LEADER_KEY:
            log_event('leader_gone')
            self.leader = None
        elif key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            if name != self.daemon_id:
                self.members.pop(name, None)
                self._records.pop(name, None)

    async def _keep_member(self, lease_id: str) -> str:
        if lease_id:
            await self._store.renew_lease(lease_id)
            return lease_id
        lease_id = await self._store.grant_lease(self._settings.member_lease_s)
        record = MemberRecord(
            address=self.address,
            campaign_delay_s=self._settings.campaign_delay_s,
            failure_domain=self._settings.failure_domain,
        )
        await self._store.commit(
            {},
            [
                Write(
                    key=f'{MEMBER_PREFIX}{self.daemon_id}',
                    stored=encode_packed(record),
                    lease_id=lease_id,
                ),
            ],
        )
        return lease_id

    async def _ask_peer(self) -> None:
        """Take over the view of a daemon that the store answers."""
        others = [name for name in self.members if name != self.daemon_id]
        if not others or self.read_peer is None:
            return
        name = random.choice(others)
        view = await self.read_peer(self.members[name])
        if view is None or not view.has_store:
            return
        self.members = {**view.members, self.daemon_id: self.address}
        if self.leader != view.leader:
            log_event('leader_told', by=name, leader=view.leader)
            self.leader = view.leader

    async def _vacancy(self) -> None:
        """Wait until no daemon decides."""
        while self.leader is not None or not self._is_known:
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
            # The stop arrived during the campaign.
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
                self._claim(epoch),
            )
        except TransactionConflictError:
            await self._read_all()
            return None
        except LostAnswerError:
            await self._store.revoke_lease(self.lease_id)
            raise
        log_event('leadership_acquired', epoch=epoch)
        if self._heard_revision < revision:
            self.leader = self._record(epoch)
        return Leadership(
            epoch=epoch,
            revision=revision,
            valid_until_s=sent_at_s + lease_s,
            acquired_at_s=self._clock.now_s(),
        )

    def _record(self, epoch: int) -> LeaderRecord:
        return LeaderRecord(
            daemon_id=self.daemon_id,
            address=self.address,
            epoch=epoch,
            host_name=self.host_name,
            lease_id=self.lease_id,
        )

    def _claim(self, epoch: int) -> list[Write]:
        return [
            Write(
                key=LEADER_KEY,
                stored=encode_packed(self._record(epoch)),
                lease_id=self.lease_id,
            ),
            Write(key=EPOCH_KEY, stored=str(epoch).encode()),
        ]


def _next_epoch(found: KeyValue) -> int:
    """Return an epoch above all earlier ones.

    Epochs count elections, so the time of day in seconds is above them.
    """
    try:
        return 1 + int(found.stored)
    except ValueError:
        log_warning('epoch_unreadable', stored=found.stored)
        return unix_now_ms() // _MS_PER_S
