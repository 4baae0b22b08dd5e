"""Batched creation of keys in the store."""

from __future__ import annotations

import asyncio
import collections
import functools
from typing import TYPE_CHECKING

import attrs

from currantreach_platform import Write
from currantreach_telemetry import log_warning
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
# A transaction without an answer for this long has lost it, or the store is
# silent; a slow store takes 0.25 s.
_SILENCE_S = 0.4
# After this many transactions in a row without an answer the store counts as
# silent. A store that is alive and loses four answers in ten loses this many in
# a row rarely.
_MAX_UNANSWERED = 3
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
        self._unanswered_count = 0
        self._in_flight: set[asyncio.Task[None]] = set()
        self._sent_keys: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Write pending keys in batches until cancelled.

        The next batch is sent once one has its answer, or has none for a
        while. Writes are refused unsent while the store is silent, so that
        their callers try again instead of waiting for an unknown outcome.
        """
        try:
            while True:
                await self._has_pending.wait()
                self._has_pending.clear()
                while self._pending:
                    await self._send_batch()
        finally:
            for writing in self._in_flight:
                writing.cancel()

    async def create(self, key: str, stored: bytes) -> bool:
        """Create a key; return false if it existed before.

        :raises StoreUnavailableError: if the key was certainly not written.
        :raises PlatformError: if it may have been written.
        """
        if self._is_store_silent:
            raise self._refusal_of(key)
        outcome: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(
            _PendingWrite(Write(key=key, stored=stored), outcome),
        )
        self._has_pending.set()
        return await outcome

    async def _send_batch(self) -> None:
        size = self._store.max_entries // 2
        batch = self._pending[:size]
        self._pending = self._pending[size:]
        writing = asyncio.create_task(self._write_or_abandon(batch))
        self._in_flight.add(writing)
        writing.add_done_callback(self._in_flight.discard)
        await asyncio.wait({writing}, timeout=_SILENCE_S)
        if writing.done():
            return
        self._unanswered_count += 1
        if self._unanswered_count >= _MAX_UNANSWERED:
            self._is_store_silent = True
            self._refuse_pending()
            await asyncio.wait(
                tuple(self._in_flight),
                return_when=asyncio.FIRST_COMPLETED,
            )
            self._is_store_silent = False

    async def _write_or_abandon(self, batch: list[_PendingWrite]) -> None:
        keys = [pending.write.key for pending in batch]
        self._sent_keys.update(keys)
        try:
            await self._write(batch)
        except Exception as error:
            log_warning('key_write_failed', keys=len(batch), error=repr(error))
            _abandon(batch)
        finally:
            self._sent_keys.subtract(keys)
            self._sent_keys = +self._sent_keys

    def _refuse_pending(self) -> None:
        """Fail the writes that have not been sent."""
        unsent = self._pending
        self._pending = []
        for pending in unsent:
            if not pending.outcome.done():
                pending.outcome.set_exception(
                    self._refusal_of(pending.write.key)
                )

    def _refusal_of(self, key: str) -> PlatformError:
        """Return the error for a write that is not sent.

        An earlier call for the same key may be on its way to the store.
        """
        if key in self._sent_keys:
            return OutcomeUnknownError(
                'an earlier write of the key has no answer; query the job'
            )
        return StoreUnavailableError(
            'an earlier write has no answer, and this one was not sent; '
            'retry later'
        )

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
            self._unanswered_count = 0
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
        self._unanswered_count = 0
        for written in unique.values():
            _resolve(written, True)
        unique.clear()
        return failure


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
