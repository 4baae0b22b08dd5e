"""Interface of the platform's key-value store."""

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
    """A key with its value.

    :ivar key: name of the key.
    :ivar stored: the value, at most 1 MB.
    :ivar revision: store revision of the last write to the key.
    """

    key: str
    stored: bytes
    revision: int


@attrs.frozen(slots=True, kw_only=True)
class WatchResult:
    """Changes below a prefix.

    :ivar revision: store revision up to which the changes are complete.
    :ivar changed: keys written, with their newest value.
    :ivar deleted: keys removed or expired with their lease.
    """

    revision: int
    changed: tuple[KeyValue, ...] = ()
    deleted: tuple[str, ...] = ()


class Store(abc.ABC):
    """Compare-and-swap store with leases and watches.

    Every method raises
    :class:`~currantreach_types.errors.StoreUnavailableError` when the call
    certainly had no effect and
    :class:`~currantreach_types.errors.LostAnswerError` when its effect is
    not known.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or nothing if it is absent."""

    @abc.abstractmethod
    async def list_prefix(self, prefix: str) -> WatchResult:
        """Return all keys below a prefix and the revision of the reading."""

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        stored: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Write a key if its revision is the expected one.

        :param expected_revision: revision that was read, 0 for an absent key.
        :param lease_id: lease with which the key expires, if any.
        :returns: the new revision.
        :raises ConflictError: if the key has another revision.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected_revision: int) -> None:
        """Remove a key if its revision is the expected one.

        :raises ConflictError: if the key has another revision.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> str:
        """Create a lease and return its id."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: str) -> None:
        """Extend a lease by its time to live.

        :raises ConflictError: if the lease has expired.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and remove its keys."""

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout_s: float,
    ) -> WatchResult:
        """Wait for changes below a prefix.

        Returns as soon as there is a change after ``after_revision``, or an
        empty result after ``timeout_s`` seconds.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@attrs.frozen(slots=True, kw_only=True)
class Write:
    """A key to be written by a transaction.

    :ivar lease_id: lease with which the key expires, if any.
    """

    key: str
    stored: bytes
    lease_id: str = ''


class TransactionalStore(Store):
    """Store that changes several keys at once.

    :ivar max_entries: expected keys, writes and removals of a transaction
        together.
    """

    max_entries: int

    @abc.abstractmethod
    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Sequence[Write],
        removed: Sequence[str] = (),
    ) -> int:
        """Change all keys if every expected revision is present.

        :param expected: revisions by key, 0 for an absent key.
        :returns: the new revision of all written keys.
        :raises TransactionConflictError: if a key has another revision.
        :raises ConflictError: if a lease has expired.
        """
