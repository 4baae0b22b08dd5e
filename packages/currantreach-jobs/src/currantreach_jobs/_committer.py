"""Group commit of job progress records."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._model import JobState
from currantreach_jobs._records import (
    LEADER_KEY,
    encode_ended_job,
    job_key,
    progress_key,
)
from currantreach_jobs._supervision import failure_of
from currantreach_platform import Write
from currantreach_telemetry import Metrics, log_event, log_warning
from currantreach_types import encode_msgpack
from currantreach_types.errors import (
    CallRejectedError,
    PlatformError,
    TransactionConflictError,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_jobs._progress import JobProgress
    from currantreach_jobs._settings import Leadership
    from currantreach_platform import TransactionalStore
    from currantreach_types import Clock

__all__ = ('Committer',)

# Pause after a failed commit. Workers keep their ends listed until these are
# committed, and the store may be back at any moment.
_RETRY_S = 0.1
# Transactions in flight. A slow store takes 0.25 s for one, so that this many
# carry some 240 jobs/s, four times the rate of the largest deployment.
_MAX_IN_FLIGHT = 4
# While a transaction is in flight, changes wait this long for others to share
# the next one. A transaction normally takes some 15 ms.
_GROUP_DELAY_S = 0.04
# A progress record takes two entries of a transaction, an expected revision and
# a write. When a job ends, the record of the job is written as well.
_ENTRIES_PER_OPEN_JOB = 2
_ENTRIES_PER_ENDED_JOB = 3
# Delay before a record that was rejected on its own is retried. Its content
# changes with the progress of its job.
_REJECTED_RETRY_S = 5


@attrs.frozen(slots=True, eq=False)
class _Waiter:
    """A caller that waits for changes of one record.

    :ivar awaited_count: number of changes that have to be in the store.
    """

    awaited_count: int
    future: asyncio.Future[None]


@attrs.frozen(slots=True, kw_only=True)
class _Snapshot:
    """What a transaction writes of one job.

    :ivar change_count: number of changes up to then.
    """

    change_count: int
    state: JobState
    has_started: bool


@attrs.define(slots=True, eq=False)
class _TrackedRecord:
    """Write state of the progress record of one job.

    :ivar revision: revision in the store, 0 for none.
    :ivar change_count: number of changes so far.
    :ivar written_count: number of these changes that are in the store.
    :ivar changed_at_s: time of the oldest unwritten change.
    :ivar is_suspect: whether a transaction with the record was rejected or
        failed; it is then written alone, so that it delays no other record.
    :ivar is_rejected: whether it was rejected alone and waits for a retry.
    """

    revision: int = 0
    change_count: int = 0
    written_count: int = 0
    changed_at_s: float = 0
    is_in_flight: bool = False
    is_suspect: bool = False
    is_rejected: bool = False
    waiters: list[_Waiter] = attrs.field(factory=list)

    @property
    def is_written(self) -> bool:
        """Tell whether all changes are in the store."""
        return self.written_count >= self.change_count

    def mark_written(self, count: int) -> None:
        """Record that a number of changes is in the store."""
        self.written_count = max(self.written_count, count)
        self.is_suspect = False
        waiting = self.waiters
        self.waiters = []
        for waiter in waiting:
            if waiter.awaited_count > self.written_count:
                self.waiters.append(waiter)
            elif not waiter.future.done():
                waiter.future.set_result(None)


class Committer:
    """Writes the progress of changed jobs, many in one transaction.

    Each record is written with its expected revision and only while the leader
    record of this daemon is unchanged. A write that takes effect late can
    therefore replace neither a newer record nor that of a successor.

    Transactions of different jobs run concurrently, so that a slow store does
    not delay all of them, and a caller waits for the records of its own jobs
    only.
    """

    def __init__(
        self,
        store: TransactionalStore,
        leadership: Leadership,
        clock: Clock,
        metrics: Metrics | None = None,
    ) -> None:
        """Create a committer without changes; :meth:`run` writes them.

        :ivar jobs: all jobs by their ids, set after the construction.
        """
        self.jobs: Mapping[str, JobProgress] = {}
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self._records: dict[str, _TrackedRecord] = {}
        # Records with unwritten changes, oldest change first.
        self._dirty: dict[str, _TrackedRecord] = {}
        # Jobs of the dirty records that are not in flight.
        self._queue: dict[str, None] = {}
        self._metrics = metrics or Metrics()
        self._commits: dict[asyncio.Task[None], list[str]] = {}
        self._is_closed = False
        self._wake = asyncio.Event()
        self._paused_until_s: float = 0

    def mark_dirty(self, job_id: str) -> None:
        """Record a change of a job, so that its record is written."""
        record = self._record_of(job_id)
        if record.is_written:
            record.changed_at_s = self._clock.now_s()
            self._dirty[job_id] = record
        record.change_count += 1
        if not record.is_in_flight and job_id not in self._queue:
            self._queue[job_id] = None
            self._wake.set()

    def revision_of(self, job_id: str) -> int:
        """Return the revision of the record of a job, 0 for none."""
        record = self._records.get(job_id)
        return record.revision if record else 0

    def set_revision(self, job_id: str, revision: int) -> None:
        """Set the stored revision of a record."""
        self._record_of(job_id).revision = revision

    def discard(self, job_id: str) -> None:
        """Stop tracking a job whose record was removed."""
        self._records.pop(job_id, None)
        self._dirty.pop(job_id, None)
        self._queue.pop(job_id, None)

    def lag_s(self) -> float:
        """Return the age of the oldest unwritten change."""
        oldest = next(iter(self._dirty.values()), None)
        if oldest is None:
            return 0
        return self._clock.now_s() - oldest.changed_at_s

    async def wait_written(self, job_ids: Sequence[str]) -> None:
        """Wait until all changes of some jobs up to now are in the store."""
        pending: list[asyncio.Future[None]] = []
        for job_id in job_ids:
            record = self._records.get(job_id)
            if record is not None and not record.is_written:
                future: asyncio.Future[None] = (
                    asyncio.get_running_loop().create_future()
                )
                record.waiters.append(_Waiter(record.change_count, future))
                pending.append(future)
        for waited in pending:
            await waited

    async def flush(self) -> None:
        """Wait until all changes up to now are in the store."""
        await self.wait_written(tuple(self._dirty))

    async def run(self) -> None:
        """Write changes until the leadership ends."""
        while not self._leadership.is_over:
            self._wake.clear()
            self._send_batches()
            await self._wait_for_work()

    def close(self) -> None:
        """Cancel the transactions in flight."""
        self._is_closed = True
        for commit in self._commits:
            commit.cancel()

    async def _wait_for_work(self) -> None:
        """Wait for a change, a finished transaction or the group delay."""
        timeout_s = _GROUP_DELAY_S if self._queue else None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()

    def _send_batches(self) -> None:
        while self._can_send():
            batch = self._next_batch()
            for job_id in batch:
                self._queue.pop(job_id)
                self._records[job_id].is_in_flight = True
            commit = asyncio.create_task(self._write(batch))
            self._commits[commit] = batch
            commit.add_done_callback(self._handle_completion)

    def _next_batch(self) -> list[str]:
        """Return the oldest changes that fit into one transaction."""
        # The expected revision of the leader record takes one entry.
        remaining = self._store.max_entries - 1
        batch: list[str] = []
        for job_id in self._queue:
            if self._records[job_id].is_suspect:
                if batch:
                    continue
                return [job_id]
            is_final = self.jobs[job_id].state.is_final
            remaining -= (
                _ENTRIES_PER_ENDED_JOB if is_final else _ENTRIES_PER_OPEN_JOB
            )
            if remaining < 0:
                break
            batch.append(job_id)
        return batch

    def _can_send(self) -> bool:
        if not self._queue or len(self._commits) >= _MAX_IN_FLIGHT:
            return False
        now_s = self._clock.now_s()
        if now_s < self._paused_until_s:
            return False
        max_jobs = self._store.max_entries // _ENTRIES_PER_OPEN_JOB
        if not self._commits or len(self._queue) >= max_jobs:
            return True
        oldest = self._records[next(iter(self._queue))]
        return now_s >= oldest.changed_at_s + _GROUP_DELAY_S

    def _handle_completion(self, commit: asyncio.Task[None]) -> None:
        batch = self._commits.pop(commit)
        self._wake.set()
        failure = failure_of(commit)
        if failure is None or self._is_closed:
            return
        # As after a lost answer, the effect of the commit is not known.
        self._metrics.record_retry('commit_failed')
        log_warning('commit_failed', jobs=len(batch), error=repr(failure))
        self._retry_individually(batch)

    def _retry_individually(self, batch: Sequence[str]) -> None:
        """Find the record for which a transaction failed.

        The records of the transaction are written again one by one. A record
        that is rejected alone is retried later and does not count towards
        :meth:`lag_s`, so that other jobs continue.
        """
        self._paused_until_s = self._clock.now_s() + _RETRY_S
        for job_id in batch:
            record = self._records.get(job_id)
            if record is None:
                continue
            if record.is_suspect:
                record.is_rejected = True
                self.jobs[job_id].is_unwritable = True
                self._dirty.pop(job_id, None)
                self._metrics.record_retry('record_rejected')
                log_warning('record_rejected', job=job_id)
                asyncio.get_running_loop().call_later(
                    _REJECTED_RETRY_S,
                    self._retry_rejected,
                    job_id,
                )
            record.is_suspect = True
            self._requeue(job_id)

    def _retry_rejected(self, job_id: str) -> None:
        record = self._records.get(job_id)
        if record is not None:
            record.is_rejected = False
            self._requeue(job_id)
            self._wake.set()

    async def _write(self, batch: Sequence[str]) -> None:
        written = {job_id: self._snapshot(job_id) for job_id in batch}
        try:
            revision = await self._store.commit(
                {
                    LEADER_KEY: self._leadership.revision,
                    **{
                        progress_key(job_id): self.revision_of(job_id)
                        for job_id in batch
                    },
                },
                self._build_writes(batch),
            )
        except TransactionConflictError as conflict:
            self._handle_conflict(conflict, batch)
        except CallRejectedError as rejected:
            log_warning('commit_rejected', jobs=len(batch), error=rejected)
            self._retry_individually(batch)
            return
        except PlatformError as error:
            log_event('progress_write_failed', jobs=len(batch), error=error)
            self._paused_until_s = self._clock.now_s() + _RETRY_S
        else:
            self._mark_written(written, revision)
        for job_id in batch:
            self._requeue(job_id)

    def _build_writes(self, batch: Sequence[str]) -> list[Write]:
        writes: list[Write] = []
        for job_id in batch:
            progress = self.jobs[job_id]
            record = encode_msgpack(progress.record())
            writes.append(Write(key=progress_key(job_id), stored=record))
            if progress.state.is_final and progress.job.steps:
                ended = encode_ended_job(progress.job)
                writes.append(Write(key=job_key(job_id), stored=ended))
        return writes

    def _requeue(self, job_id: str) -> None:
        """Queue a job again that changed while in flight or was not written."""
        record = self._records.get(job_id)
        if record is None or record.is_rejected:
            return
        record.is_in_flight = False
        if not record.is_written:
            self._queue[job_id] = None

    def _handle_conflict(
        self,
        conflict: TransactionConflictError,
        batch: Sequence[str],
    ) -> None:
        found = conflict.revisions
        if found.get(LEADER_KEY, 0) != self._leadership.revision:
            log_warning('leadership_lost', found_by='commit')
            self._leadership.is_over = True
            return
        for job_id in batch:
            # Only the leader writes the record, so a newer revision is a write
            # of this daemon whose answer was lost.
            self.set_revision(job_id, found.get(progress_key(job_id), 0))

    def _mark_written(
        self,
        written: Mapping[str, _Snapshot],
        revision: int,
    ) -> None:
        for job_id, snapshot in written.items():
            record = self._record_of(job_id)
            record.revision = revision
            record.mark_written(snapshot.change_count)
            self._dirty.pop(job_id, None)
            if not record.is_written:
                record.changed_at_s = self._clock.now_s()
                self._dirty[job_id] = record
            progress = self.jobs[job_id]
            progress.durable_state = snapshot.state
            progress.is_start_durable = snapshot.has_started
            progress.is_unwritable = False
            if snapshot.state.is_final and progress.job.steps:
                progress.drop_work()

    def _snapshot(self, job_id: str) -> _Snapshot:
        progress = self.jobs[job_id]
        return _Snapshot(
            change_count=self._records[job_id].change_count,
            state=progress.state,
            has_started=progress.has_started,
        )

    def _record_of(self, job_id: str) -> _TrackedRecord:
        return self._records.setdefault(job_id, _TrackedRecord())
