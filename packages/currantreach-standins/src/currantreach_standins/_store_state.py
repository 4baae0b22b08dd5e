"""In-memory state of the store stand-in: keys, leases and change log."""

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

__all__ = (
    'Changes',
    'LeaseNotFoundError',
    'RevisionConflictError',
    'StoreState',
)

_LEASE_ID_BYTES = 8
# The change log is compacted to one entry per key whenever it has grown by
# this many entries, so that its size is bounded by the number of keys.
_LOG_SLACK = 10000


class RevisionConflictError(Exception):
    """The expected revision of a write is not the current one."""

    def __init__(self, current_revision: int) -> None:
        """Store the current revision of the key."""
        super().__init__(current_revision)
        self.current_revision = current_revision


class LeaseNotFoundError(Exception):
    """The lease has expired or never existed."""


@attrs.frozen(slots=True, kw_only=True)
class StoredKey:
    """A key with its value and revision."""

    key: str
    stored: bytes
    revision: int
    lease_id: str = ''


@attrs.frozen(slots=True, kw_only=True)
class Changes:
    """Changed and deleted keys, as returned by list and watch."""

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
    """In-memory compare-and-swap store with leases."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty store at revision 0.

        :param clock: decides when leases expire.
        """
        self._clock = clock
        self._revision = 0
        self._entries: dict[str, StoredKey] = {}
        self._leases: dict[str, _Lease] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._change_log: list[tuple[int, str]] = []
        self._compaction_threshold = _LOG_SLACK
        self._waiters: set[_Waiter] = set()

    def get(self, key: str) -> StoredKey | None:
        """Return a key, or ``None`` if it does not exist."""
        self.expire_leases()
        return self._entries.get(key)

    def list_prefix(self, prefix: str) -> Changes:
        """Return all keys with a prefix."""
        self.expire_leases()
        return Changes(
            revision=self._revision,
            changed=tuple(
                entry
                for key, entry in self._entries.items()
                if key.startswith(prefix)
            ),
        )

    def put(
        self, key: str, stored: bytes, expected_revision: int, lease_id: str
    ) -> int:
        """Write a key and return its new revision.

        :raises RevisionConflictError: if the key has another revision or the
            lease does not exist.
        """
        self._check_revision(key, expected_revision)
        if lease_id and lease_id not in self._leases:
            raise RevisionConflictError(self._revision_of(key))
        self._detach_from_lease(key)
        self._append_change(key)
        self._entries[key] = StoredKey(
            key=key,
            stored=stored,
            revision=self._revision,
            lease_id=lease_id,
        )
        if lease_id:
            self._leases[lease_id].keys.add(key)
        return self._revision

    def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key.
        :raises RevisionConflictError: if the key has another revision.
        """
        self._check_revision(key, expected_revision)
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
        """Renew a lease for its time to live.

        :raises LeaseNotFoundError: if it does not exist.
        """
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseNotFoundError
        lease.deadline_s = self._clock.now_s() + lease.ttl_s

    def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease and delete its keys."""
        lease = self._leases.pop(lease_id, None)
        if lease is not None:
            for key in sorted(lease.keys):
                self._remove(key)

    def expire_leases(self) -> None:
        """Revoke the leases that have expired."""
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
        """Return the changes of keys with a prefix after a revision."""
        self.expire_leases()
        first = bisect.bisect_right(
            self._change_log,
            after_revision,
            key=operator.itemgetter(0),
        )
        keys = {
            key for _, key in self._change_log[first:] if key.startswith(prefix)
        }
        present = [self._entries[key] for key in keys if key in self._entries]
        present.sort(key=operator.attrgetter('revision'))
        return Changes(
            revision=self._revision,
            changed=tuple(present),
            deleted=tuple(sorted(keys.difference(self._entries))),
        )

    def add_waiter(self, prefix: str, woken: asyncio.Future[None]) -> None:
        """Complete a future at the next change of a key with a prefix."""
        waiter = _Waiter(prefix, woken)
        self._waiters.add(waiter)
        woken.add_done_callback(lambda _: self._waiters.discard(waiter))

    def wake_all(self) -> None:
        """Complete all waiting futures."""
        self._wake('', is_broadcast=True)

    def _check_revision(self, key: str, expected_revision: int) -> None:
        self.expire_leases()
        current = self._revision_of(key)
        if current != expected_revision:
            raise RevisionConflictError(current)

    def _revision_of(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def _detach_from_lease(self, key: str) -> None:
        entry = self._entries.get(key)
        lease = self._leases.get(entry.lease_id) if entry else None
        if lease is not None:
            lease.keys.discard(key)

    def _remove(self, key: str) -> None:
        self._detach_from_lease(key)
        self._entries.pop(key)
        self._append_change(key)

    def _append_change(self, key: str) -> None:
        self._revision += 1
        self._change_log.append((self._revision, key))
        if len(self._change_log) > self._compaction_threshold:
            newest = {logged: revision for revision, logged in self._change_log}
            self._change_log = sorted(
                (revision, logged) for logged, revision in newest.items()
            )
            self._compaction_threshold = 2 * len(self._change_log) + _LOG_SLACK
        self._wake(key)

    def _wake(self, key: str, *, is_broadcast: bool = False) -> None:
        for waiter in tuple(self._waiters):
            if waiter.woken.done():
                continue
            if is_broadcast or key.startswith(waiter.prefix):
                waiter.woken.set_result(None)
