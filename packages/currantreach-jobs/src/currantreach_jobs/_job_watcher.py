"""Accepted jobs, cancellations and progress, as read from the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._model import Job
from currantreach_jobs._records import (
    JOB_PREFIX,
    PROGRESS_PREFIX,
    ProgressRecord,
    decode_job,
    decode_progress,
)
from currantreach_telemetry import log_event, log_warning
from currantreach_types.errors import MalformedMessageError, PlatformError

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantreach_platform import KeyValue, Store

__all__ = (
    'AcceptedJobs',
    'JobWatcher',
    'StoredProgress',
    'read_jobs',
    'read_progress',
)

# Timeout of a watch, after which a dead connection is noticed.
_WATCH_TIMEOUT_S = 2
# Pause after a failed call, a small fraction of the shortest outage.
_RETRY_S = 0.2


@attrs.define(slots=True, eq=False)
class AcceptedJobs:
    """Jobs and cancellations of a list or a watch, as of a revision.

    :ivar jobs: accepted jobs by their ids.
    :ivar cancelled: ids of cancelled jobs.
    :ivar unreadable: ids of jobs whose stored record is malformed.
    """

    revision: int = 0
    jobs: dict[str, Job] = attrs.field(factory=dict)
    cancelled: list[str] = attrs.field(factory=list)
    unreadable: list[str] = attrs.field(factory=list)

    def add_entry(self, entry: KeyValue) -> None:
        """Add the entry of a job or of its cancellation."""
        name = entry.key.removeprefix(JOB_PREFIX)
        job_id, _, rest = name.partition('/')
        if rest:
            self.cancelled.append(job_id)
            return
        try:
            self.jobs[job_id] = decode_job(entry.stored)
        except MalformedMessageError as error:
            log_warning('job_unreadable', job=job_id, error=error)
            self.unreadable.append(job_id)


@attrs.define(slots=True, eq=False)
class StoredProgress:
    """Progress of all jobs in the store.

    :ivar records: records and their revisions by job id.
    :ivar unreadable: ids of jobs whose progress record is malformed.
    """

    records: dict[str, tuple[ProgressRecord, int]] = attrs.field(factory=dict)
    unreadable: set[str] = attrs.field(factory=set)


async def read_jobs(store: Store) -> AcceptedJobs:
    """Read all jobs and cancellations.

    :raises PlatformError: if the store does not answer.
    """
    found = await store.list_prefix(JOB_PREFIX)
    accepted = AcceptedJobs(found.revision)
    for entry in found.changed:
        accepted.add_entry(entry)
    return accepted


async def read_progress(store: Store) -> StoredProgress:
    """Read the progress of all jobs.

    :raises PlatformError: if the store does not answer.
    """
    found = await store.list_prefix(PROGRESS_PREFIX)
    progress = StoredProgress()
    for entry in found.changed:
        job_id = entry.key.removeprefix(PROGRESS_PREFIX)
        try:
            record = decode_progress(entry.stored)
        except MalformedMessageError as error:
            log_warning('progress_unreadable', job=job_id, error=error)
            progress.unreadable.add(job_id)
        else:
            progress.records[job_id] = record, entry.revision
    return progress


class JobWatcher:
    """Watches the store for jobs that any daemon of the cell accepts.

    The leader runs it.
    """

    def __init__(
        self,
        store: Store,
        add_job: Callable[[Job], None],
        cancel: Callable[[str], None],
    ) -> None:
        """Prepare to watch the store.

        :param add_job: called with each accepted job.
        :param cancel: called with the id of each cancelled job.
        """
        self._store = store
        self._add_job = add_job
        self._cancel = cancel
        self._revision = 0

    def begin_after(self, revision: int) -> None:
        """Watch for changes after a revision, up to which all are known."""
        self._revision = revision

    async def follow(self) -> None:
        """Watch the jobs; read all of them after a failure."""
        while True:
            revision = self._revision
            # Until the changes are applied, it is not known which are missed.
            self._revision = 0
            try:
                self._revision = await self._read_changes(revision)
            except PlatformError as error:
                log_event('jobs_read_failed', error=error)
                await asyncio.sleep(_RETRY_S)

    async def _read_changes(self, revision: int) -> int:
        if not revision:
            accepted = await read_jobs(self._store)
            self._apply(accepted)
            return accepted.revision
        found = await self._store.watch(JOB_PREFIX, revision, _WATCH_TIMEOUT_S)
        changes = AcceptedJobs(found.revision)
        for entry in found.changed:
            changes.add_entry(entry)
        self._apply(changes)
        return found.revision

    def _apply(self, accepted: AcceptedJobs) -> None:
        for job in accepted.jobs.values():
            self._add_job(job)
        for job_id in accepted.cancelled:
            self._cancel(job_id)
