"""Accepted jobs and cancellations, as they reach the store."""

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
    'JobFeed',
    'StoredProgress',
    'read_jobs',
    'read_progress',
)

# A connection that went silent is noticed this late.
_WATCH_S = 2
# Pause after a failed call, a small part of the shortest outage.
_RETRY_S = 0.2


@attrs.define(slots=True, eq=False)
class AcceptedJobs:
    """All jobs in the store, as of a revision.

    :ivar unreadable: ids under which something else than a job is stored.
    """

    revision: int = 0
    jobs: dict[str, Job] = attrs.field(factory=dict)
    cancelled: list[str] = attrs.field(factory=list)
    unreadable: list[str] = attrs.field(factory=list)

    def note(self, entry: KeyValue) -> None:
        """Note a key of a job or of its cancellation."""
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

    :ivar records: records by job, with their revisions.
    :ivar unreadable: jobs whose record is none.
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
        accepted.note(entry)
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


class JobFeed:
    """Hands jobs that any daemon accepted to the one that decides."""

    def __init__(
        self,
        store: Store,
        add_job: Callable[[Job], None],
        cancel: Callable[[str], None],
    ) -> None:
        """Prepare to follow the store."""
        self._store = store
        self._add_job = add_job
        self._cancel = cancel

    async def follow(self, revision: int) -> None:
        """Follow the jobs from a revision on."""
        while True:
            try:
                revision = await self._next(revision)
            except PlatformError as error:
                log_event('jobs_unread', error=error)
                revision = 0
                await asyncio.sleep(_RETRY_S)

    async def _next(self, revision: int) -> int:
        if not revision:
            accepted = await read_jobs(self._store)
            self._hand_over(accepted)
            return accepted.revision
        found = await self._store.watch(JOB_PREFIX, revision, _WATCH_S)
        changes = AcceptedJobs(found.revision)
        for entry in found.changed:
            changes.note(entry)
        self._hand_over(changes)
        return found.revision

    def _hand_over(self, accepted: AcceptedJobs) -> None:
        for job in accepted.jobs.values():
            self._add_job(job)
        for job_id in accepted.cancelled:
            self._cancel(job_id)
