"""Durable queue of one partition, with group commit."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import TYPE_CHECKING, TypeAlias

import attrs

from currantreach_state._journal_keys import JournalKeys
from currantreach_state._journal_layout import (
    HEAD_LIMIT_BYTES,
    VALUE_LIMIT_BYTES,
    Head,
    JournalRecord,
    Layout,
    Plan,
    RecordKind,
    Segment,
    size_bytes,
)
from currantreach_types.errors import (
    ConflictError,
    CurrantreachError,
    LostAnswerError,
    MalformedMessageError,
    PlatformError,
    StaleEpochError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from currantreach_platform import Store
    from currantreach_types import Clock

__all__ = ('Journal', 'JournalRecord', 'RecordKind')

# A batch and a full head together stay below the limit of a value.
_RECORD_LIMIT_BYTES = VALUE_LIMIT_BYTES - HEAD_LIMIT_BYTES
_OPEN_ATTEMPTS = 8
_FIRST_PAUSE_S = 0.05
# Several attempts fit in the time that a caller waits.
_LONGEST_PAUSE_S = 0.5

_Outcome: TypeAlias = bool | CurrantreachError


@attrs.define(eq=False, slots=True)
class _Waiter:
    """A record that waits for its commit.

    :ivar outcome: whether the record was written, or why this is not known.
    :ivar is_doubtful: whether it is part of a write without an answer.
    """

    record: JournalRecord
    size_bytes: int
    outcome: asyncio.Future[_Outcome]
    is_doubtful: bool = False

    def resolve(self, outcome: _Outcome) -> None:
        """Set the outcome once."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


@attrs.frozen(eq=False, slots=True)
class _Commit:
    """A write of the head and the records that depend on it."""

    plan: Plan
    waiters: tuple[_Waiter, ...]


class Journal:
    """Journal of the partition that this process owns.

    The head key holds the newest records and names the segments, so one
    compare-and-swap decides each commit and fences an earlier owner.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        domain: str,
        partition: int,
        epoch: int,
        commit_interval_s: float = 0.025,
        wait_limit_s: float = 2,
    ) -> None:
        """Prepare the journal; :meth:`open` makes it usable."""
        self._keys = JournalKeys(store, domain, partition)
        self._clock = clock
        self._epoch = epoch
        self._commit_interval_s = commit_interval_s
        self._wait_limit_s = wait_limit_s
        self._owner = secrets.token_hex(4)
        self._layout = Layout()
        self._revision = 0
        self._segment_count = 0
        self._pending: dict[_Waiter, None] = {}
        self._in_flight: tuple[_Waiter, ...] = ()
        self._doubtful: list[_Commit] = []
        self._must_read = False
        self._unsettled: dict[JournalRecord, asyncio.Future[_Outcome]] = {}
        self._garbage: list[str] = []
        self._started_s = float('-inf')
        self._task: asyncio.Task[None] | None = None
        self._closed_by: CurrantreachError | None = StoreUnavailableError(
            'the journal is not open; open it first',
        )

    async def open(self) -> tuple[JournalRecord, ...]:
        """Fence earlier owners and return all live records.

        It may be called again after an error.

        :raises StaleEpochError: if a higher epoch has the journal.
        """
        head = await self._take_head()
        names = frozenset(head.segments)
        stored = await self._keys.list_segments()
        if not names <= stored.keys():
            raise StoreUnavailableError(
                'the store did not return all segments; open again',
            )
        self._layout = Layout()
        records = self._layout.load(head, stored)
        self._garbage.extend(stored.keys() - names)
        self._closed_by = None
        return records

    async def append(self, record: JournalRecord) -> None:
        """Return when the record is durable.

        :raises StoreUnavailableError: if it certainly was not recorded.
        :raises LostAnswerError: if this is not known; call :meth:`resolve`.
        :raises StaleEpochError: if another owner has the journal; the
            record was not recorded.
        """
        waiter = self._enqueue(record)
        with contextlib.ExitStack() as on_exit:
            on_exit.callback(self._pending.pop, waiter, None)
            await asyncio.wait((waiter.outcome,), timeout=self._wait_limit_s)
        if waiter.is_doubtful or waiter in self._in_flight:
            self._unsettled[record] = waiter.outcome
            raise LostAnswerError(
                'the store did not say whether it recorded the request; '
                'ask for its state by its id',
            )
        if waiter.outcome.done():
            _raise_error(waiter.outcome.result())
            return
        raise StoreUnavailableError('the request was not recorded; retry')

    async def resolve(self, record: JournalRecord) -> bool:
        """Wait until it is known whether a record was recorded.

        Call it once for each :exc:`LostAnswerError` of :meth:`append`.

        :raises StaleEpochError: if only the next owner can know.
        :raises KeyError: if no answer about this record is missing.
        """
        outcome = await asyncio.shield(self._unsettled[record])
        self._unsettled.pop(record, None)
        return _raise_error(outcome)

    async def close(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))
        self._fail(StoreUnavailableError('the journal is closed; retry'))

    async def _take_head(self) -> Head:
        attempt_count = 0
        while attempt_count < _OPEN_ATTEMPTS:
            attempt_count += 1
            head, revision = await self._keys.read_head()
            self._revision = revision
            if head.epoch > self._epoch:
                raise _stale_error(head)
            if head.owner == self._owner:
                return head
            head = self._signed(head.records, head.segments)
            with contextlib.suppress(ConflictError, LostAnswerError):
                self._revision = await self._keys.write_head(
                    head,
                    self._revision,
                )
                return head
        raise LostAnswerError('the journal could not be taken; open it again')

    def _enqueue(self, record: JournalRecord) -> _Waiter:
        if self._closed_by is not None:
            raise self._closed_by
        if record.kind == RecordKind.retired:
            # It only hides older records, so it needs no content.
            record = JournalRecord(
                request_id=record.request_id,
                kind=record.kind,
            )
        size = size_bytes(record)
        if size > _RECORD_LIMIT_BYTES:
            raise MalformedMessageError(
                f'a record of {size} bytes exceeds {_RECORD_LIMIT_BYTES}; '
                'send a smaller request',
            )
        outcome: asyncio.Future[_Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(record, size, outcome)
        self._pending[waiter] = None
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return waiter

    async def _run(self) -> None:
        pause_s: float = 0
        while self._pending or self._doubtful:
            due_s = self._started_s + self._commit_interval_s
            await asyncio.sleep(max(pause_s, due_s - self._clock.now_s()))
            self._started_s = self._clock.now_s()
            try:
                await self._step()
            except StaleEpochError as exc:
                self._fail(exc)
            except PlatformError:
                pause_s = min(
                    max(pause_s * 2, _FIRST_PAUSE_S),
                    _LONGEST_PAUSE_S,
                )
            else:
                pause_s = 0

    async def _step(self) -> None:
        if self._must_read or self._doubtful:
            await self._read_head()
        if not (self._pending or self._doubtful):
            return
        rolled = await self._roll()
        refilled = None if rolled else await self._read_sparse()
        await self._write(rolled, refilled)
        with contextlib.suppress(PlatformError):
            await self._delete_garbage()

    async def _read_head(self) -> None:
        """Find out which of the writes without an answer was recorded."""
        head, revision = await self._keys.read_head()
        if revision < self._revision:
            raise StoreUnavailableError('the store answered with old data')
        if head.owner != self._owner:
            raise _stale_error(head)
        self._must_read = False
        if revision == self._revision:
            # A lost write can still arrive. The next write uses the same
            # expected revision, so at most one of them takes effect.
            return
        for commit in self._doubtful:
            if commit.plan.head.commit_id == head.commit_id:
                self._accept(commit, revision)
                return
        raise StaleEpochError('the head was changed by someone else; reopen')

    async def _roll(self) -> Segment | None:
        records = self._layout.head.records
        if size_bytes(records) <= HEAD_LIMIT_BYTES:
            return None
        name = f'{self._epoch}-{self._owner}-{self._segment_count}'
        rolled = Segment(name, records)
        # On a conflict an earlier attempt whose answer was lost wrote the
        # same records under this name.
        with contextlib.suppress(ConflictError):
            await self._keys.write_segment(rolled)
        return rolled

    async def _read_sparse(self) -> Segment | None:
        name = self._layout.sparse_segment()
        return await self._keys.read_segment(name) if name else None

    async def _write(
        self,
        rolled: Segment | None,
        refilled: Segment | None,
    ) -> None:
        waiters = self._batch(rolled, refilled)
        head = self._signed(tuple(waiter.record for waiter in waiters))
        commit = _Commit(self._layout.plan(head, rolled, refilled), waiters)
        self._in_flight = waiters
        try:
            revision = await self._keys.write_head(
                commit.plan.head,
                self._revision,
            )
        except (LostAnswerError, asyncio.CancelledError):
            self._doubt(commit)
            raise
        except ConflictError:
            self._must_read = True
            self._release(commit)
            raise
        except StoreUnavailableError:
            self._release(commit)
            raise
        finally:
            self._in_flight = ()
        self._accept(commit, revision)

    def _batch(
        self,
        rolled: Segment | None,
        refilled: Segment | None,
    ) -> tuple[_Waiter, ...]:
        room_bytes = VALUE_LIMIT_BYTES
        if not rolled:
            room_bytes -= size_bytes(self._layout.head.records)
        if refilled:
            room_bytes -= size_bytes(self._layout.needed(refilled))
        waiters = []
        for waiter in self._pending:
            room_bytes -= waiter.size_bytes
            if room_bytes < 0:
                break
            waiters.append(waiter)
        return tuple(waiters)

    def _doubt(self, commit: _Commit) -> None:
        self._doubtful.append(commit)
        for waiter in commit.waiters:
            waiter.is_doubtful = True

    def _release(self, commit: _Commit) -> None:
        """Settle records that gave up during a write without effect."""
        for waiter in commit.waiters:
            if waiter not in self._pending and not waiter.is_doubtful:
                waiter.resolve(outcome=False)

    def _accept(self, commit: _Commit, revision: int) -> None:
        self._layout.apply(commit.plan)
        self._revision = revision
        if commit.plan.rolled:
            self._segment_count += 1
        self._garbage.extend(commit.plan.dropped)
        for recorded in commit.waiters:
            recorded.is_doubtful = False
            recorded.resolve(outcome=True)
            self._pending.pop(recorded, None)
        for other in self._doubtful:
            for waiter in other.waiters:
                waiter.is_doubtful = False
                if waiter not in self._pending:
                    waiter.resolve(outcome=False)
        self._doubtful.clear()

    def _fail(self, error: CurrantreachError) -> None:
        self._closed_by = error
        for commit in self._doubtful:
            for doubtful in commit.waiters:
                # It stays doubtful: the write may have been recorded.
                doubtful.resolve(error)
                self._pending.pop(doubtful, None)
        self._doubtful.clear()
        for waiter in self._pending:
            waiter.resolve(error)
        self._pending.clear()

    async def _delete_garbage(self) -> None:
        """Delete unused segments, one at a time while records wait."""
        while self._garbage:
            await self._keys.delete_segment(self._garbage[-1])
            self._garbage.pop()
            if self._pending:
                return

    def _signed(
        self,
        records: tuple[JournalRecord, ...],
        segments: tuple[str, ...] = (),
    ) -> Head:
        return Head(
            epoch=self._epoch,
            owner=self._owner,
            commit_id=secrets.token_hex(8),
            segments=segments,
            records=records,
        )


def _stale_error(head: Head) -> StaleEpochError:
    return StaleEpochError(
        f'epoch {head.epoch} has the journal; ask its owner',
    )


def _raise_error(outcome: _Outcome) -> bool:
    if isinstance(outcome, bool):
        return outcome
    raise outcome
