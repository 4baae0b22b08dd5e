"""Group commit of the progress of jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_jobs._records import LEADER_KEY, progress_key
from currantreach_platform import Write
from currantreach_telemetry import log_event, log_problem
from currantreach_types import encode_packed
from currantreach_types.errors import PlatformError, TransactionConflictError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantreach_jobs._model import JobState
    from currantreach_jobs._progress import JobProgress
    from currantreach_jobs._terms import Tenure
    from currantreach_platform import TransactionalStore

__all__ = ('Committer',)

# Ends wait at the workers meanwhile; the store may be back at any moment.
_RETRY_S = 0.1


class Committer:
    """Writes the progress of changed jobs, many in one transaction.

    Each record is written at its expected revision and only while this
    daemon's leader record is unchanged. A write that takes effect late can
    therefore replace neither a newer record nor that of a successor.
    """

    def __init__(
        self,
        store: TransactionalStore,
        tenure: Tenure,
    ) -> None:
        """Start with nothing to write.

        :ivar jobs: jobs by their ids, of which the marked ones are written.
        """
        self.jobs: Mapping[str, JobProgress] = {}
        self._store = store
        self._tenure = tenure
        self._revisions: dict[str, int] = {}
        self._changed: dict[str, int] = {}
        self._mark_count = 0
        self._settled_through = 0
        self._has_work = asyncio.Event()
        self._progressed = asyncio.Event()

    def mark(self, job_id: str) -> None:
        """Note that the record of a job has to be written."""
        self._mark_count += 1
        self._changed.setdefault(job_id, self._mark_count)
        self._has_work.set()

    def revision_of(self, job_id: str) -> int:
        """Return the revision of the record of a job, 0 for none."""
        return self._revisions.get(job_id, 0)

    def note_revision(self, job_id: str, revision: int) -> None:
        """Note the revision of a record that an earlier owner wrote."""
        self._revisions[job_id] = revision

    def forget(self, job_id: str) -> None:
        """Forget a job whose record was removed."""
        self._revisions.pop(job_id, None)

    async def flush(self) -> None:
        """Wait until all changes noted so far are in the store."""
        target = self._mark_count
        while self._settled_through < target:
            await self._progressed.wait()

    async def run(self) -> None:
        """Write changes until the tenure is over."""
        while not self._tenure.is_over:
            await self._has_work.wait()
            self._has_work.clear()
            while self._changed and not self._tenure.is_over:
                await self._write_batch()

    async def _write_batch(self) -> None:
        # Each record takes an expected revision and a write; the leader's
        # record takes one more entry.
        size = (self._store.max_entries - 1) // 2
        batch = dict(tuple(self._changed.items())[:size])
        for job_id in batch:
            self._changed.pop(job_id)
        states = {job_id: self.jobs[job_id].state for job_id in batch}
        try:
            revision = await self._store.commit(
                {
                    LEADER_KEY: self._tenure.revision,
                    **{
                        progress_key(job_id): self.revision_of(job_id)
                        for job_id in batch
                    },
                },
                self._writes_of(batch),
            )
        except TransactionConflictError as conflict:
            self._note_conflict(conflict, batch)
            self._restore(batch)
        except PlatformError as error:
            log_event('progress_unwritten', jobs=len(batch), error=error)
            self._restore(batch)
            await asyncio.sleep(_RETRY_S)
        else:
            self._note_written(states, revision)

    def _writes_of(self, batch: Mapping[str, int]) -> list[Write]:
        return [
            Write(
                key=progress_key(job_id),
                stored=encode_packed(self.jobs[job_id].record()),
            )
            for job_id in batch
        ]

    def _restore(self, batch: Mapping[str, int]) -> None:
        """Put records back in front of the changes that came meanwhile."""
        self._changed = {**self._changed, **batch}
        self._has_work.set()

    def _note_conflict(
        self,
        conflict: TransactionConflictError,
        batch: Mapping[str, int],
    ) -> None:
        found = conflict.revisions
        if found.get(LEADER_KEY, 0) != self._tenure.revision:
            log_problem('leadership_lost', found_by='commit')
            self._tenure.is_over = True
            return
        for job_id in batch:
            # Only this daemon writes the record, so a newer revision is an
            # own write whose answer was lost.
            self._revisions[job_id] = found.get(progress_key(job_id), 0)

    def _note_written(self, states: dict[str, JobState], revision: int) -> None:
        for job_id, state in states.items():
            self._revisions[job_id] = revision
            self.jobs[job_id].durable_state = state
        self._settled_through = (
            min(
                self._changed.values(),
                default=self._mark_count + 1,
            )
            - 1
        )
        self._progressed.set()
        self._progressed.clear()
