"""Interface to the platform's key-value store."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = (
    'KeyValue',
    'Store',
    'TransactionalStore',
    'WatchResult',
    'Write',
)


@attrs.frozen(slots=True, kw_only=True)
class KeyValue:
    """A key and its value.

    :ivar stored: the value, at most 1 MB.
    :ivar revision: store revision of the last write to the key.
    """

    key: str
    stored: bytes
    revision: int


@attrs.frozen(slots=True, kw_only=True)
class WatchResult:
    """Changes to the keys with a prefix.

    :ivar revision: store revision up to which all changes are included.
    :ivar changed: written keys with their latest values.
    :ivar deleted: keys that were deleted or expired with their lease.
    """

    revision: int
    changed: tuple[KeyValue, ...] = ()
    deleted: tuple[str, ...] = ()


class Store(abc.ABC):
    """Compare-and-swap store with leases and watches.

    Every method raises
    :class:`~currantreach_types.errors.StoreUnavailableError` if the call had
    no effect and :class:`~currantreach_types.errors.OutcomeUnknownError` if it
    is unknown whether it had one.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> KeyValue | None:
        """Return a key, or ``None`` if it does not exist."""

    @abc.abstractmethod
    async def list_prefix(self, prefix: str) -> WatchResult:
        """Return all keys with a prefix and the store revision of the read."""

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        stored: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Write a key if it has the expected revision.

        :param expected_revision: revision last read, 0 for a new key.
        :param lease_id: lease with which the key expires, if any.
        :returns: the new revision.
        :raises ConflictError: if the key has another revision.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if it has the expected revision.

        :raises ConflictError: if the key has another revision.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> str:
        """Create a lease and return its ID."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: str) -> None:
        """Extend a lease by its time to live.

        :raises ConflictError: if the lease has expired.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease and delete its keys."""

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout_s: float,
    ) -> WatchResult:
        """Wait for changes to the keys with a prefix.

        Returns as soon as there is a change after ``after_revision``, or an
        empty result once ``timeout_s`` has elapsed.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@attrs.frozen(slots=True, kw_only=True)
class Write:
    """A write in a transaction.

    :ivar lease_id: lease with which the key expires, if any.
    """

    key: str
    stored: bytes
    lease_id: str = ''


class TransactionalStore(Store):
    """Store with atomic transactions over several keys.

    :ivar max_entries: limit on the sum of expected revisions, writes and
        deletions in a transaction.
    """

    max_entries: int

    @abc.abstractmethod
    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Sequence[Write],
        removed: Sequence[str] = (),
    ) -> int:
        """Apply all changes if every key has its expected revision.

        :param expected: expected revisions by key, 0 for an absent key.
        :param removed: keys to delete.
        :returns: the new revision of all written keys.
        :raises TransactionConflictError: if a key has another revision.
        :raises ConflictError: if a lease has expired.
        """
