"""Batched creation of keys in the store."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

import attrs

from currantreach_platform import Write
from currantreach_types.errors import (
    OutcomeUnknownError,
    PlatformError,
    StoreUnavailableError,
    TransactionConflictError,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_platform import TransactionalStore

__all__ = ('KeyWriter',)

# Attempts of a write whose answers are lost, 0.8 s each. A caller that gets
# the failure within two seconds repeats its call at another daemon.
_WRITE_ATTEMPTS = 2
# A write without an answer for this long means that the store is silent; a slow
# store takes 0.25 s. Later writes are refused unsent, so that their callers try
# again instead of waiting for an unknown outcome.
_SILENCE_S = 0.4
# Pause after a refused retry, so that the store is not overloaded.
_RETRY_S = 0.1


@attrs.define(slots=True, eq=False)
class _PendingWrite:
    """A write that waits for the next transaction."""

    write: Write
    outcome: asyncio.Future[bool]


class KeyWriter:
    """Creates keys that must not exist yet."""

    def __init__(self, store: TransactionalStore) -> None:
        """Create a writer without pending writes."""
        self._store = store
        self._pending: list[_PendingWrite] = []
        self._has_pending = asyncio.Event()
        self._is_store_silent = False

    async def run(self) -> None:
        """Write pending keys in batches until cancelled."""
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            while self._pending:
                size = self._store.max_entries // 2
                batch = self._pending[:size]
                self._pending = self._pending[size:]
                await self._write_or_abandon(batch)

    async def create(self, key: str, stored: bytes) -> bool:
        """Create a key; return false if it existed before.

        :raises StoreUnavailableError: if the key was certainly not written.
        :raises PlatformError: if it may have been written.
        """
        if self._is_store_silent:
            raise _unsent_error()
        outcome: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(
            _PendingWrite(Write(key=key, stored=stored), outcome),
        )
        self._has_pending.set()
        return await outcome

    async def _write_or_abandon(self, batch: list[_PendingWrite]) -> None:
        """Write a batch, and refuse later writes while it has no answer."""
        writing = asyncio.ensure_future(self._write(batch))
        try:
            await asyncio.wait({writing}, timeout=_SILENCE_S)
            if not writing.done():
                self._is_store_silent = True
                self._refuse_pending()
            await writing
        except Exception:
            _abandon(batch)
            raise
        finally:
            self._is_store_silent = False
            writing.cancel()

    def _refuse_pending(self) -> None:
        """Fail the writes that have not been sent."""
        unsent = self._pending
        self._pending = []
        for pending in unsent:
            if not pending.outcome.done():
                pending.outcome.set_exception(_unsent_error())

    async def _write(self, batch: list[_PendingWrite]) -> None:
        unique: dict[str, _PendingWrite] = {}
        for pending in batch:
            first = unique.setdefault(pending.write.key, pending)
            if first is not pending:
                first.outcome.add_done_callback(
                    functools.partial(_copy_result, pending.outcome),
                )
        failure: PlatformError = StoreUnavailableError('retry later')
        for _ in range(_WRITE_ATTEMPTS):
            if not unique:
                return
            failure = await self._try_write(unique, failure)
            if not unique:
                return
            if not isinstance(failure, OutcomeUnknownError):
                break
        for remaining in unique.values():
            if not remaining.outcome.done():
                remaining.outcome.set_exception(failure)

    async def _try_write(
        self,
        unique: dict[str, _PendingWrite],
        failure: PlatformError,
    ) -> PlatformError:
        """Try to write keys once and remove those with a known outcome.

        :param failure: failure of the previous attempts.
        :returns: failure of the remaining keys. Once an answer was lost, only
            the presence of a key tells whether it was written.
        """
        is_outcome_unknown = isinstance(failure, OutcomeUnknownError)
        try:
            await self._store.commit(
                dict.fromkeys(unique, 0),
                [pending.write for pending in unique.values()],
            )
        except TransactionConflictError as conflict:
            for key, revision in conflict.revisions.items():
                if revision:
                    # After a lost answer, an earlier attempt may have written
                    # the key.
                    _resolve(unique.pop(key), is_outcome_unknown)
            return await self._try_write(unique, failure) if unique else failure
        except StoreUnavailableError as error:
            if not is_outcome_unknown:
                return error
            await asyncio.sleep(_RETRY_S)
            return failure
        except PlatformError as lost:
            return OutcomeUnknownError(f'{lost}; query the state of the job')
        for written in unique.values():
            _resolve(written, True)
        unique.clear()
        return failure


def _unsent_error() -> StoreUnavailableError:
    return StoreUnavailableError(
        'an earlier write has no answer, and this one was not sent; retry later'
    )


def _abandon(batch: Sequence[_PendingWrite]) -> None:
    """Fail the writes of a batch that has ended without their outcome."""
    for pending in batch:
        if not pending.outcome.done():
            pending.outcome.set_exception(
                OutcomeUnknownError('the write was cut short; query the job'),
            )


def _resolve(pending: _PendingWrite, is_new: bool) -> None:
    if not pending.outcome.done():
        pending.outcome.set_result(is_new)


def _copy_result(
    target: asyncio.Future[bool],
    source: asyncio.Future[bool],
) -> None:
    """Resolve a second write of a key after the first one."""
    if target.done() or source.cancelled():
        return
    error = source.exception()
    if error is None:
        target.set_result(False)
    else:
        target.set_exception(error)
