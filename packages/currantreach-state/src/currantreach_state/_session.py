"""Membership session of a daemon, bound to a store lease."""

from __future__ import annotations

import contextlib
import math
import secrets
from typing import TYPE_CHECKING, Final

import attrs

from currantreach_types import decode_json, encode_json
from currantreach_types.errors import (
    ConflictError,
    OutcomeUnknownError,
    PlatformError,
)

if TYPE_CHECKING:
    from currantreach_platform import Store
    from currantreach_types import Clock

__all__ = ('MemberRecord', 'Session', 'has_session_ended', 'member_key')

_SESSION_ID_BYTES: Final = 8
_ATTEMPTS: Final = 4


@attrs.frozen(slots=True, kw_only=True)
class MemberRecord:
    """Record that the store holds while a session lasts."""

    session_id: str


def member_key(domain: str, daemon_id: str) -> str:
    """Return the key of a daemon's member record."""
    return f'members/{domain}/{daemon_id}'


class Session:
    """Store lease that proves that a daemon is alive.

    Only one process may run under a daemon id: a new process overwrites the
    member record of its predecessor without waiting for the lease to expire.
    The address that a daemon binds must therefore be part of its id.

    :ivar session_id: random id of the session, empty while it is closed.
    :ivar deadline_s: time until which the lease is guaranteed to exist.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        domain: str,
        daemon_id: str,
        ttl_s: float = 4,
        margin_s: float = 0.5,
    ) -> None:
        """Prepare a session; :meth:`open` starts it.

        :param ttl_s: duration of the lease.
        :param margin_s: safety margin for clock drift.
        """
        self.session_id = ''
        self.deadline_s = -math.inf
        self._store = store
        self._clock = clock
        self._key = member_key(domain, daemon_id)
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self._lease_id = ''

    async def open(self) -> None:
        """Start a session under a new id.

        On an error the session keeps its previous id, so that a daemon whose
        lease expired during a store outage can continue under peer leases.

        :raises PlatformError: if the session could not be started.
        """
        sent_at_s = self._clock.now_s()
        lease_id = await self._store.grant_lease(self._ttl_s)
        session_id = secrets.token_hex(_SESSION_ID_BYTES)
        await self._write_member(session_id, lease_id)
        self._lease_id = lease_id
        self.session_id = session_id
        self.deadline_s = self._deadline(sent_at_s)

    async def renew(self) -> bool:
        """Renew the lease, or start a new session if the lease was lost.

        :returns: whether the session continues; if not, all claims acquired
            under its previous id are invalid.
        :raises PlatformError: if the outcome is unknown.
        """
        sent_at_s = self._clock.now_s()
        if not self._lease_id:
            await self.open()
            return False
        try:
            await self._store.renew_lease(self._lease_id)
        except ConflictError:
            await self.open()
            return False
        # The store renews the lease after the request was sent, so counting
        # from the time of sending is safe.
        self.deadline_s = self._deadline(sent_at_s)
        return True

    async def close(self) -> None:
        """End the session; if the store is unreachable, its lease expires.

        All claims of the session become invalid, including those whose
        writes are still in flight.
        """
        self.session_id = ''
        self.deadline_s = -math.inf
        lease_id = self._lease_id
        self._lease_id = ''
        if lease_id:
            with contextlib.suppress(PlatformError):
                await self._store.revoke_lease(lease_id)

    def _deadline(self, sent_at_s: float) -> float:
        return sent_at_s + self._ttl_s - self._margin_s

    async def _write_member(self, session_id: str, lease_id: str) -> None:
        record = encode_json(MemberRecord(session_id=session_id))
        attempts_left = _ATTEMPTS
        while attempts_left:
            if await self._try_write(record, lease_id):
                return
            attempts_left -= 1
        raise OutcomeUnknownError(
            f'{self._key} is contended; open the session again'
        )

    async def _try_write(self, record: bytes, lease_id: str) -> bool:
        current = await self._store.get(self._key)
        if current is not None and current.stored == record:
            return True
        revision = 0 if current is None else current.revision
        with contextlib.suppress(ConflictError, OutcomeUnknownError):
            await self._store.put(self._key, record, revision, lease_id)
            return True
        return False


async def has_session_ended(
    store: Store,
    domain: str,
    daemon_id: str,
    session_id: str,
) -> bool:
    """Tell whether a session has ended; a session id is never reused."""
    current = await store.get(member_key(domain, daemon_id))
    if current is None:
        return True
    return decode_json(current.stored, MemberRecord).session_id != session_id
