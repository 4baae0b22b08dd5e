"""Durable journal of the requests of one partition, with group commit."""

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
    MalformedMessageError,
    OutcomeUnknownError,
    PlatformError,
    StaleEpochError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from currantreach_platform import Store
    from currantreach_types import Clock

__all__ = ('Journal', 'JournalRecord', 'RecordKind')

# A batch together with a full head stays below the size limit of a value.
_RECORD_LIMIT_BYTES = VALUE_LIMIT_BYTES - HEAD_LIMIT_BYTES
_OPEN_ATTEMPTS = 8
_MIN_BACKOFF_S = 0.05
# Several attempts fit into the time that a caller waits.
_MAX_BACKOFF_S = 0.5

_Outcome: TypeAlias = bool | CurrantreachError


@attrs.define(eq=False, slots=True)
class _PendingAppend:
    """A record that waits to be committed.

    :ivar outcome: whether the record was written, or why this is not known.
    :ivar is_uncertain: whether it is part of a write whose outcome is unknown.
    """

    record: JournalRecord
    size_bytes: int
    outcome: asyncio.Future[_Outcome]
    is_uncertain: bool = False

    def complete(self, outcome: _Outcome) -> None:
        """Set the outcome unless it is already set."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


@attrs.frozen(eq=False, slots=True)
class _Commit:
    """A write of the head and the records that it commits."""

    plan: Plan
    entries: tuple[_PendingAppend, ...]


class Journal:
    """Journal of the partition that this process owns.

    The head key holds the newest records and names the segments, so a single
    compare-and-swap decides each commit and fences earlier owners.
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
        self._pending: dict[_PendingAppend, None] = {}
        self._in_flight: tuple[_PendingAppend, ...] = ()
        self._uncertain: list[_Commit] = []
        self._is_head_stale = False
        self._unresolved: dict[JournalRecord, asyncio.Future[_Outcome]] = {}
        self._obsolete_segments: list[str] = []
        self._started_s = float('-inf')
        self._task: asyncio.Task[None] | None = None
        self._close_error: CurrantreachError | None = StoreUnavailableError(
            'the journal is not open; open it first',
        )

    async def open(self) -> tuple[JournalRecord, ...]:
        """Fence earlier owners and return all live records.

        It may be called again after an error.

        :raises StaleEpochError: if an owner with a higher epoch has opened
            the journal.
        """
        head = await self._acquire_head()
        names = frozenset(head.segments)
        stored = await self._keys.list_segments()
        if not names <= stored.keys():
            raise StoreUnavailableError(
                'the store did not return all segments; open the journal again',
            )
        self._layout = Layout()
        records = self._layout.load(head, stored)
        self._obsolete_segments.extend(stored.keys() - names)
        self._close_error = None
        return records

    async def append(self, record: JournalRecord) -> None:
        """Append a record and return when it is durable.

        :raises StoreUnavailableError: if it is certain that the record was not
            written.
        :raises OutcomeUnknownError: if this is unknown; call :meth:`resolve`.
        :raises StaleEpochError: if another owner has opened the journal; the
            record was not written.
        """
        entry = self._add_pending(record)
        with contextlib.ExitStack() as on_exit:
            on_exit.callback(self._pending.pop, entry, None)
            await asyncio.wait((entry.outcome,), timeout=self._wait_limit_s)
        if entry.is_uncertain or entry in self._in_flight:
            self._unresolved[record] = entry.outcome
            raise OutcomeUnknownError(
                'the store did not say whether it recorded the request; '
                'ask for its state by its id',
            )
        if entry.outcome.done():
            _raise_error(entry.outcome.result())
            return
        raise StoreUnavailableError('the request was not recorded; retry')

    async def resolve(self, record: JournalRecord) -> bool:
        """Wait until it is known whether a record was written.

        Call it once for each :exc:`OutcomeUnknownError` of :meth:`append`.

        :returns: whether the record was written.
        :raises StaleEpochError: if only the next owner can find out.
        :raises KeyError: if the outcome of this record is not pending.
        """
        outcome = await asyncio.shield(self._unresolved[record])
        self._unresolved.pop(record, None)
        return _raise_error(outcome)

    async def close(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))
        self._fail(StoreUnavailableError('the journal is closed; retry'))

    async def _acquire_head(self) -> Head:
        attempt_count = 0
        while attempt_count < _OPEN_ATTEMPTS:
            attempt_count += 1
            head, revision = await self._keys.read_head()
            self._revision = revision
            if head.epoch > self._epoch:
                raise _stale_error(head)
            if head.owner == self._owner:
                return head
            head = self._new_head(head.records, head.segments)
            with contextlib.suppress(ConflictError, OutcomeUnknownError):
                self._revision = await self._keys.write_head(
                    head,
                    self._revision,
                )
                return head
        raise OutcomeUnknownError(
            'the journal could not be acquired; open it again',
        )

    def _add_pending(self, record: JournalRecord) -> _PendingAppend:
        if self._close_error is not None:
            raise self._close_error
        if record.kind == RecordKind.retired:
            # A tombstone only hides older records and needs no content.
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
        entry = _PendingAppend(record, size, outcome)
        self._pending[entry] = None
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return entry

    async def _run(self) -> None:
        backoff_s: float = 0
        while self._pending or self._uncertain:
            due_s = self._started_s + self._commit_interval_s
            await asyncio.sleep(max(backoff_s, due_s - self._clock.now_s()))
            self._started_s = self._clock.now_s()
            try:
                await self._commit_once()
            except StaleEpochError as exc:
                self._fail(exc)
            except PlatformError:
                backoff_s = min(
                    max(backoff_s * 2, _MIN_BACKOFF_S),
                    _MAX_BACKOFF_S,
                )
            else:
                backoff_s = 0

    async def _commit_once(self) -> None:
        if self._is_head_stale or self._uncertain:
            await self._read_head()
        if not (self._pending or self._uncertain):
            return
        rolled = await self._roll_segment()
        compacted = None if rolled else await self._read_sparse()
        await self._write(rolled, compacted)
        with contextlib.suppress(PlatformError):
            await self._delete_obsolete_segments()

    async def _read_head(self) -> None:
        """Find out which of the uncertain writes took effect."""
        head, revision = await self._keys.read_head()
        if revision < self._revision:
            raise StoreUnavailableError('the store returned an old head; retry')
        if head.owner != self._owner:
            raise _stale_error(head)
        self._is_head_stale = False
        if revision == self._revision:
            # A delayed write can still arrive. The next write expects the
            # same revision, so at most one of them takes effect.
            return
        for commit in self._uncertain:
            if commit.plan.head.commit_id == head.commit_id:
                self._confirm(commit, revision)
                return
        raise StaleEpochError(
            'another process changed the journal; open it again',
        )

    async def _roll_segment(self) -> Segment | None:
        records = self._layout.head.records
        if size_bytes(records) <= HEAD_LIMIT_BYTES:
            return None
        name = f'{self._epoch}-{self._owner}-{self._segment_count}'
        rolled = Segment(name, records)
        # A conflict means that an earlier attempt without an answer already
        # wrote the same records under this name.
        with contextlib.suppress(ConflictError):
            await self._keys.write_segment(rolled)
        return rolled

    async def _read_sparse(self) -> Segment | None:
        name = self._layout.sparse_segment()
        return await self._keys.read_segment(name) if name else None

    async def _write(
        self,
        rolled: Segment | None,
        compacted: Segment | None,
    ) -> None:
        entries = self._next_batch(rolled, compacted)
        head = self._new_head(tuple(entry.record for entry in entries))
        commit = _Commit(self._layout.plan(head, rolled, compacted), entries)
        self._in_flight = entries
        try:
            revision = await self._keys.write_head(
                commit.plan.head,
                self._revision,
            )
        except (OutcomeUnknownError, asyncio.CancelledError):
            self._mark_uncertain(commit)
            raise
        except ConflictError:
            self._is_head_stale = True
            self._reject(commit)
            raise
        except StoreUnavailableError:
            self._reject(commit)
            raise
        finally:
            self._in_flight = ()
        self._confirm(commit, revision)

    def _next_batch(
        self,
        rolled: Segment | None,
        compacted: Segment | None,
    ) -> tuple[_PendingAppend, ...]:
        available_bytes = VALUE_LIMIT_BYTES
        if not rolled:
            available_bytes -= size_bytes(self._layout.head.records)
        if compacted:
            available_bytes -= size_bytes(self._layout.live_records(compacted))
        entries = []
        for entry in self._pending:
            available_bytes -= entry.size_bytes
            if available_bytes < 0:
                break
            entries.append(entry)
        return tuple(entries)

    def _mark_uncertain(self, commit: _Commit) -> None:
        self._uncertain.append(commit)
        for entry in commit.entries:
            entry.is_uncertain = True

    def _reject(self, commit: _Commit) -> None:
        """Complete appends whose callers timed out during a failed write."""
        for entry in commit.entries:
            if entry not in self._pending and not entry.is_uncertain:
                entry.complete(outcome=False)

    def _confirm(self, commit: _Commit, revision: int) -> None:
        self._layout.apply(commit.plan)
        self._revision = revision
        if commit.plan.rolled:
            self._segment_count += 1
        self._obsolete_segments.extend(commit.plan.dropped)
        for recorded in commit.entries:
            recorded.is_uncertain = False
            recorded.complete(outcome=True)
            self._pending.pop(recorded, None)
        for other in self._uncertain:
            for entry in other.entries:
                entry.is_uncertain = False
                if entry not in self._pending:
                    entry.complete(outcome=False)
        self._uncertain.clear()

    def _fail(self, error: CurrantreachError) -> None:
        self._close_error = error
        for commit in self._uncertain:
            for uncertain in commit.entries:
                # It stays uncertain: the write may have taken effect.
                uncertain.complete(error)
                self._pending.pop(uncertain, None)
        self._uncertain.clear()
        for entry in self._pending:
            entry.complete(error)
        self._pending.clear()

    async def _delete_obsolete_segments(self) -> None:
        """Delete obsolete segments, only one if records are pending."""
        while self._obsolete_segments:
            await self._keys.delete_segment(self._obsolete_segments[-1])
            self._obsolete_segments.pop()
            if self._pending:
                return

    def _new_head(
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
        f'an owner with epoch {head.epoch} has opened the journal; ask it',
    )


def _raise_error(outcome: _Outcome) -> bool:
    if isinstance(outcome, bool):
        return outcome
    raise outcome
