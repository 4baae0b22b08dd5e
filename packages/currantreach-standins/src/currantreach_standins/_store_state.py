"""Keys, leases and changes of the store stand-in."""

from __future__ import annotations

import asyncio
import bisect
import heapq
import operator
import secrets
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from currantreach_types import Clock

__all__ = ('Changes', 'LeaseGoneError', 'RevisionError', 'StoreState')

_LEASE_ID_BYTES = 8
# The change log is reduced to one entry for each key when it has grown by
# this many entries, so that its memory depends on the number of keys only.
_LOG_SLACK = 10000


class RevisionError(Exception):
    """A write expected another revision."""

    def __init__(self, current_revision: int) -> None:
        """Keep the revision of the key."""
        super().__init__(current_revision)
        self.current_revision = current_revision


class LeaseGoneError(Exception):
    """The lease has expired or never existed."""


@attrs.frozen(slots=True, kw_only=True)
class StoredKey:
    """A key as it is answered."""

    key: str
    stored: bytes
    revision: int
    lease_id: str = ''


@attrs.frozen(slots=True, kw_only=True)
class Changes:
    """Answer to a list or watch."""

    revision: int
    changed: tuple[StoredKey, ...] = ()
    deleted: tuple[str, ...] = ()


@attrs.define(slots=True)
class _Lease:
    ttl_s: float
    deadline_s: float
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen(slots=True, eq=False)
class _Waiter:
    prefix: str
    woken: asyncio.Future[None]


class StoreState:
    """Compare-and-swap store in memory; leases follow the given clock."""

    def __init__(self, clock: Clock) -> None:
        """Start empty at revision 0."""
        self._clock = clock
        self._revision = 0
        self._entries: dict[str, StoredKey] = {}
        self._leases: dict[str, _Lease] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._log: list[tuple[int, str]] = []
        self._log_limit = _LOG_SLACK
        self._waiting: set[_Waiter] = set()

    def get(self, key: str) -> StoredKey | None:
        """Return a key, or nothing if it is absent."""
        self.expire()
        return self._entries.get(key)

    def list_prefix(self, prefix: str) -> Changes:
        """Return all keys below a prefix."""
        self.expire()
        return Changes(
            revision=self._revision,
            changed=tuple(
                entry
                for key, entry in self._entries.items()
                if key.startswith(prefix)
            ),
        )

    def put(self, key: str, stored: bytes, expected: int, lease_id: str) -> int:
        """Write a key and return its new revision.

        :raises RevisionError: if the key has another revision or the lease
            is gone.
        """
        self._check(key, expected)
        if lease_id and lease_id not in self._leases:
            raise RevisionError(self._revision_of(key))
        self._detach(key)
        self._record(key)
        self._entries[key] = StoredKey(
            key=key,
            stored=stored,
            revision=self._revision,
            lease_id=lease_id,
        )
        if lease_id:
            self._leases[lease_id].keys.add(key)
        return self._revision

    def delete(self, key: str, expected: int) -> None:
        """Remove a key.

        :raises RevisionError: if the key has another revision.
        """
        self._check(key, expected)
        if key in self._entries:
            self._remove(key)

    def grant_lease(self, ttl_s: float) -> str:
        """Create a lease and return its id."""
        lease_id = secrets.token_hex(_LEASE_ID_BYTES)
        deadline_s = self._clock.now_s() + ttl_s
        self._leases[lease_id] = _Lease(ttl_s, deadline_s)
        heapq.heappush(self._deadlines, (deadline_s, lease_id))
        return lease_id

    def renew_lease(self, lease_id: str) -> None:
        """Extend a lease by its time to live.

        :raises LeaseGoneError: if it has expired.
        """
        self.expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseGoneError
        lease.deadline_s = self._clock.now_s() + lease.ttl_s

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and remove its keys."""
        lease = self._leases.pop(lease_id, None)
        if lease is not None:
            for key in sorted(lease.keys):
                self._remove(key)

    def expire(self) -> None:
        """End the leases whose time has run out."""
        now_s = self._clock.now_s()
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, lease_id = heapq.heappop(self._deadlines)
            lease = self._leases.get(lease_id)
            if lease is None:
                continue
            if lease.deadline_s > now_s:
                entry = (lease.deadline_s, lease_id)
                heapq.heappush(self._deadlines, entry)
            else:
                self.revoke_lease(lease_id)

    def changes(self, prefix: str, after_revision: int) -> Changes:
        """Return what changed below a prefix after a revision."""
        self.expire()
        first = bisect.bisect_right(
            self._log,
            after_revision,
            key=operator.itemgetter(0),
        )
        keys = {key for _, key in self._log[first:] if key.startswith(prefix)}
        present = [self._entries[key] for key in keys if key in self._entries]
        present.sort(key=operator.attrgetter('revision'))
        return Changes(
            revision=self._revision,
            changed=tuple(present),
            deleted=tuple(sorted(keys.difference(self._entries))),
        )

    def add_waiter(self, prefix: str, woken: asyncio.Future[None]) -> None:
        """Complete a future at the next change below a prefix."""
        waiter = _Waiter(prefix, woken)
        self._waiting.add(waiter)
        woken.add_done_callback(lambda _: self._waiting.discard(waiter))

    def wake_all(self) -> None:
        """Complete all waiting futures."""
        self._wake('', is_any=True)

    def _check(self, key: str, expected: int) -> None:
        self.expire()
        current = self._revision_of(key)
        if current != expected:
            raise RevisionError(current)

    def _revision_of(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def _detach(self, key: str) -> None:
        entry = self._entries.get(key)
        lease = self._leases.get(entry.lease_id) if entry else None
        if lease is not None:
            lease.keys.discard(key)

    def _remove(self, key: str) -> None:
        self._detach(key)
        self._entries.pop(key)
        self._record(key)

    def _record(self, key: str) -> None:
        self._revision += 1
        self._log.append((self._revision, key))
        if len(self._log) > self._log_limit:
            newest = {logged: revision for revision, logged in self._log}
            self._log = sorted(
                (revision, logged) for logged, revision in newest.items()
            )
            self._log_limit = 2 * len(self._log) + _LOG_SLACK
        self._wake(key)

    def _wake(self, key: str, *, is_any: bool = False) -> None:
        for waiter in tuple(self._waiting):
            if waiter.woken.done():
                continue
            if is_any or key.startswith(waiter.prefix):
                waiter.woken.set_result(None)
