"""Group commit of the progress of jobs."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._records import (
    LEADER_KEY,
    encode_ended_job,
    job_key,
    progress_key,
)
from currantreach_jobs._supervision import failure_of
from currantreach_platform import Write
from currantreach_telemetry import Metrics, log_event, log_warning
from currantreach_types import encode_packed
from currantreach_types.errors import (
    CallRejectedError,
    PlatformError,
    TransactionConflictError,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_jobs._model import JobState
    from currantreach_jobs._progress import JobProgress
    from currantreach_jobs._settings import Leadership
    from currantreach_platform import TransactionalStore
    from currantreach_types import Clock

__all__ = ('Committer',)

# Ends wait at the workers meanwhile; the store may be back at any moment.
_RETRY_S = 0.1
# A slow store takes 0.25 s for a transaction; this many at once carry some
# 240 jobs/s then, four times the rate of the largest deployment.
_MOST_IN_FLIGHT = 4
# Changes wait this long for others to share a transaction, while one is under
# way; a transaction takes some 15 ms on a calm day.
_GROUP_S = 0.04
# A record takes an expected revision and a write; when a job ends, its job is
# written as well.
_ENTRIES_OF_OPEN = 2
_ENTRIES_OF_ENDED = 3
# Pause before a record that was rejected on its own is tried again; it changes
# with the progress of its job.
_REJECTED_RETRY_S = 5


@attrs.frozen(slots=True, eq=False)
class _Waiter:
    """Somebody who waits until a number of changes is in the store."""

    wanted_count: int
    settled: asyncio.Future[None]


@attrs.define(slots=True, eq=False)
class _Entry:
    """State of the record of one job.

    :ivar revision: revision in the store, 0 for none.
    :ivar marked_count: changes noted so far.
    :ivar written_count: changes that are in the store.
    :ivar changed_at_s: time of the oldest change that is not written.
    :ivar is_suspect: whether a transaction with the record was rejected or
        failed; it is then written alone, so that it holds up no other one.
    :ivar is_rejected: whether it was rejected alone and waits for a retry.
    """

    revision: int = 0
    marked_count: int = 0
    written_count: int = 0
    changed_at_s: float = 0
    is_in_flight: bool = False
    is_suspect: bool = False
    is_rejected: bool = False
    waiters: list[_Waiter] = attrs.field(factory=list)

    @property
    def is_written(self) -> bool:
        """Tell whether all changes are in the store."""
        return self.written_count >= self.marked_count

    def note_written(self, count: int) -> None:
        """Note that a number of changes is in the store."""
        self.written_count = max(self.written_count, count)
        self.is_suspect = False
        waiting = self.waiters
        self.waiters = []
        for waiter in waiting:
            if waiter.wanted_count > self.written_count:
                self.waiters.append(waiter)
            elif not waiter.settled.done():
                waiter.settled.set_result(None)


class Committer:
    """Writes the progress of changed jobs, many in one transaction.

    Each record is written at its expected revision and only while this
    daemon's leader record is unchanged. A write that takes effect late can
    therefore replace neither a newer record nor that of a successor.

    Transactions of different jobs run at the same time, so that a slow store
    does not hold up all of them, and whoever waits for a job waits for its
    record only.
    """

    def __init__(
        self,
        store: TransactionalStore,
        leadership: Leadership,
        clock: Clock,
        metrics: Metrics | None = None,
    ) -> None:
        """Start with nothing to write.

        :ivar jobs: jobs by their ids, of which the marked ones are written.
        """
        self.jobs: Mapping[str, JobProgress] = {}
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        # Jobs with unwritten changes, oldest first.
        self._unwritten: dict[str, _Entry] = {}
        # Those of them that are not in flight.
        self._queue: dict[str, None] = {}
        self._metrics = metrics or Metrics()
        self._commits: dict[asyncio.Task[None], list[str]] = {}
        self._is_closed = False
        self._wake = asyncio.Event()
        self._paused_until_s: float = 0

    def mark_dirty(self, job_id: str) -> None:
        """Note that the record of a job has to be written."""
        entry = self._entry_of(job_id)
        if entry.is_written:
            entry.changed_at_s = self._clock.now_s()
            self._unwritten[job_id] = entry
        entry.marked_count += 1
        if not entry.is_in_flight and job_id not in self._queue:
            self._queue[job_id] = None
            self._wake.set()

    def revision_of(self, job_id: str) -> int:
        """Return the revision of the record of a job, 0 for none."""
        entry = self._entries.get(job_id)
        return entry.revision if entry else 0

    def set_revision(self, job_id: str, revision: int) -> None:
        """Note the revision of a record that an earlier owner wrote."""
        self._entry_of(job_id).revision = revision

    def forget(self, job_id: str) -> None:
        """Forget a job whose record was removed."""
        self._entries.pop(job_id, None)
        self._unwritten.pop(job_id, None)
        self._queue.pop(job_id, None)

    def lag_s(self) -> float:
        """Return for how long the oldest change has not been written."""
        oldest = next(iter(self._unwritten.values()), None)
        if oldest is None:
            return 0
        return self._clock.now_s() - oldest.changed_at_s

    async def wait_written(self, job_ids: Sequence[str]) -> None:
        """Wait until all changes of some jobs noted so far are in the store."""
        pending: list[asyncio.Future[None]] = []
        for job_id in job_ids:
            entry = self._entries.get(job_id)
            if entry is not None and not entry.is_written:
                settled: asyncio.Future[None] = (
                    asyncio.get_running_loop().create_future()
                )
                entry.waiters.append(_Waiter(entry.marked_count, settled))
                pending.append(settled)
        for waited in pending:
            await waited

    async def flush(self) -> None:
        """Wait until all changes noted so far are in the store."""
        await self.wait_written(tuple(self._unwritten))

    async def run(self) -> None:
        """Write changes until the tenure is over."""
        try:
            while not self._leadership.is_over:
                self._wake.clear()
                self._send_batches()
                await self._pause()
        finally:
            self._is_closed = True
            for commit in self._commits:
                commit.cancel()

    async def _pause(self) -> None:
        """Wait for a change, a finished transaction or the next group."""
        timeout_s = _GROUP_S if self._queue else None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()

    def _send_batches(self) -> None:
        while self._may_send():
            batch = self._next_batch()
            for job_id in batch:
                self._queue.pop(job_id)
                self._entries[job_id].is_in_flight = True
            commit = asyncio.create_task(self._write(batch))
            self._commits[commit] = batch
            commit.add_done_callback(self._note_end)

    def _next_batch(self) -> list[str]:
        """Return the oldest changes that fit into one transaction."""
        # The leader's record takes one entry of its own.
        left = self._store.max_entries - 1
        batch: list[str] = []
        for job_id in self._queue:
            if self._entries[job_id].is_suspect:
                if batch:
                    continue
                return [job_id]
            is_final = self.jobs[job_id].state.is_final
            left -= _ENTRIES_OF_ENDED if is_final else _ENTRIES_OF_OPEN
            if left < 0:
                break
            batch.append(job_id)
        return batch

    def _may_send(self) -> bool:
        if not self._queue or len(self._commits) >= _MOST_IN_FLIGHT:
            return False
        now_s = self._clock.now_s()
        if now_s < self._paused_until_s:
            return False
        most = self._store.max_entries // _ENTRIES_OF_OPEN
        if not self._commits or len(self._queue) >= most:
            return True
        oldest = self._entries[next(iter(self._queue))]
        return now_s >= oldest.changed_at_s + _GROUP_S

    def _note_end(self, commit: asyncio.Task[None]) -> None:
        batch = self._commits.pop(commit)
        self._wake.set()
        failure = failure_of(commit)
        if failure is None or self._is_closed:
            return
        # What it has done is not known, like after a lost answer.
        self._metrics.record_retry('commit_failed')
        log_warning('commit_failed', jobs=len(batch), error=repr(failure))
        self._separate(batch)

    def _separate(self, batch: Sequence[str]) -> None:
        """Find the record for which a transaction is never carried out.

        Its records are written alone. One that is rejected alone is tried
        again later and does not count as late, so that other jobs go on.
        """
        self._paused_until_s = self._clock.now_s() + _RETRY_S
        for job_id in batch:
            entry = self._entries.get(job_id)
            if entry is None:
                continue
            if entry.is_suspect:
                entry.is_rejected = True
                self.jobs[job_id].is_unwritable = True
                self._unwritten.pop(job_id, None)
                self._metrics.record_retry('record_rejected')
                log_warning('record_rejected', job=job_id)
                asyncio.get_running_loop().call_later(
                    _REJECTED_RETRY_S,
                    self._retry_rejected,
                    job_id,
                )
            entry.is_suspect = True
            self._requeue(job_id)

    def _retry_rejected(self, job_id: str) -> None:
        entry = self._entries.get(job_id)
        if entry is not None:
            entry.is_rejected = False
            self._requeue(job_id)
            self._wake.set()

    async def _write(self, batch: Sequence[str]) -> None:
        counts = {
            job_id: self._entries[job_id].marked_count for job_id in batch
        }
        states = {job_id: self.jobs[job_id].state for job_id in batch}
        try:
            revision = await self._store.commit(
                {
                    LEADER_KEY: self._leadership.revision,
                    **{
                        progress_key(job_id): self.revision_of(job_id)
                        for job_id in batch
                    },
                },
                self._writes_of(batch),
            )
        except TransactionConflictError as conflict:
            self._note_conflict(conflict, batch)
        except CallRejectedError as rejected:
            log_warning('commit_rejected', jobs=len(batch), error=rejected)
            self._separate(batch)
            return
        except PlatformError as error:
            log_event('progress_unwritten', jobs=len(batch), error=error)
            self._paused_until_s = self._clock.now_s() + _RETRY_S
        else:
            self._note_written(counts, states, revision)
        for job_id in batch:
            self._requeue(job_id)

    def _writes_of(self, batch: Sequence[str]) -> list[Write]:
        writes: list[Write] = []
        for job_id in batch:
            progress = self.jobs[job_id]
            record = encode_packed(progress.record())
            writes.append(Write(key=progress_key(job_id), stored=record))
            if progress.state.is_final and progress.job.steps:
                ended = encode_ended_job(progress.job)
                writes.append(Write(key=job_key(job_id), stored=ended))
        return writes

    def _requeue(self, job_id: str) -> None:
        """Queue a job again that changed or failed while in flight."""
        entry = self._entries.get(job_id)
        if entry is None or entry.is_rejected:
            return
        entry.is_in_flight = False
        if not entry.is_written:
            self._queue[job_id] = None

    def _note_conflict(
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
            # Only this daemon writes the record, so a newer revision is an
            # own write whose answer was lost.
            self.set_revision(job_id, found.get(progress_key(job_id), 0))

    def _note_written(
        self,
        counts: Mapping[str, int],
        states: Mapping[str, JobState],
        revision: int,
    ) -> None:
        for job_id, count in counts.items():
            entry = self._entry_of(job_id)
            entry.revision = revision
            entry.note_written(count)
            self._unwritten.pop(job_id, None)
            if not entry.is_written:
                entry.changed_at_s = self._clock.now_s()
                self._unwritten[job_id] = entry
            self.jobs[job_id].durable_state = states[job_id]
            self.jobs[job_id].is_unwritable = False

    def _entry_of(self, job_id: str) -> _Entry:
        return self._entries.setdefault(job_id, _Entry())
