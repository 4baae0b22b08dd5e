"""Creation of keys by callers' calls, many in one transaction."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

import attrs

from currantreach_platform import Write
from currantreach_types.errors import (
    LostAnswerError,
    PlatformError,
    StoreUnavailableError,
    TransactionConflictError,
)

if TYPE_CHECKING:
    from currantreach_platform import TransactionalStore

__all__ = ('KeyWriter',)

# Tries of a write whose answers are lost, 0.8 s each. A caller that hears so
# within two seconds repeats its call at another daemon.
_WRITE_TRIES = 2
# Pause after a refused repetition, so that the store is not pressed.
_RETRY_S = 0.1


@attrs.define(slots=True, eq=False)
class _Waiting:
    """A key that waits for the next transaction."""

    write: Write
    settled: asyncio.Future[bool]


class KeyWriter:
    """Creates keys that must not exist yet."""

    def __init__(self, store: TransactionalStore) -> None:
        """Start with nothing to write."""
        self._store = store
        self._waiting: list[_Waiting] = []
        self._has_waiting = asyncio.Event()

    async def run(self) -> None:
        """Write keys until cancelled, many in one transaction."""
        while True:
            await self._has_waiting.wait()
            self._has_waiting.clear()
            while self._waiting:
                size = self._store.max_entries // 2
                batch = self._waiting[:size]
                self._waiting = self._waiting[size:]
                await self._write(batch)

    async def create(self, key: str, stored: bytes) -> bool:
        """Create a key; return false if it was there already.

        :raises StoreUnavailableError: if the key was certainly not written.
        :raises PlatformError: if it may have been written.
        """
        settled: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append(
            _Waiting(Write(key=key, stored=stored), settled),
        )
        self._has_waiting.set()
        return await settled

    async def _write(self, batch: list[_Waiting]) -> None:
        unique: dict[str, _Waiting] = {}
        for waiting in batch:
            first = unique.setdefault(waiting.write.key, waiting)
            if first is not waiting:
                first.settled.add_done_callback(
                    functools.partial(_copy_result, waiting.settled),
                )
        failure: PlatformError = StoreUnavailableError('retry later')
        for _ in range(_WRITE_TRIES):
            if not unique:
                return
            failure = await self._try_write(unique, failure)
            if not unique:
                return
            if not isinstance(failure, LostAnswerError):
                break
        for left in unique.values():
            if not left.settled.done():
                left.settled.set_exception(failure)

    async def _try_write(
        self,
        unique: dict[str, _Waiting],
        failure: PlatformError,
    ) -> PlatformError:
        """Write keys once and remove those that are settled.

        :param failure: failure of the tries before.
        :returns: what the keys that are left have failed with; once an
            answer was lost, only the presence of a key tells what happened.
        """
        is_unsure = isinstance(failure, LostAnswerError)
        try:
            await self._store.commit(
                dict.fromkeys(unique, 0),
                [waiting.write for waiting in unique.values()],
            )
        except TransactionConflictError as conflict:
            for key, revision in conflict.revisions.items():
                if revision:
                    # After a lost answer the key may be an own write.
                    _settle(unique.pop(key), is_unsure)
            return await self._try_write(unique, failure) if unique else failure
        except StoreUnavailableError as error:
            if not is_unsure:
                return error
            await asyncio.sleep(_RETRY_S)
            return failure
        except PlatformError as lost:
            return LostAnswerError(f'{lost}; ask for the job')
        for written in unique.values():
            _settle(written, True)
        unique.clear()
        return failure


def _settle(waiting: _Waiting, is_new: bool) -> None:
    if not waiting.settled.done():
        waiting.settled.set_result(is_new)


def _copy_result(
    target: asyncio.Future[bool],
    source: asyncio.Future[bool],
) -> None:
    """Settle the second write of a key like the first one."""
    if target.done() or source.cancelled():
        return
    error = source.exception()
    if error is None:
        target.set_result(False)
    else:
        target.set_exception(error)
