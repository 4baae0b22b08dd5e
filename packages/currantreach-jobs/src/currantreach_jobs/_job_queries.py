"""Queries for the state of accepted jobs at any daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._messages import (
    CountReply,
    CountRequest,
    StateReply,
    StateRequest,
)
from currantreach_jobs._model import JobState
from currantreach_jobs._records import (
    decode_job,
    decode_progress,
    job_key,
    progress_key,
)
from currantreach_telemetry import log_event, log_warning
from currantreach_types.errors import CurrantreachError, MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantreach_jobs._coordinator import Coordinator
    from currantreach_jobs._job_scheduler import JobScheduler
    from currantreach_jobs._links import Links
    from currantreach_platform import KeyValue, TransactionalStore

__all__ = ('JobQueries',)

# A call across failure domains takes some 40 ms, including the connection
# set-up.
_CALL_TIMEOUT_S = 0.6


class JobQueries:
    """Answers queries of callers and other daemons about jobs.

    The leader knows the newest state. If it does not answer, the state in the
    store is used, which may be one commit older.
    """

    def __init__(
        self,
        store: TransactionalStore,
        coordinator: Coordinator,
        links: Links,
        get_scheduler: Callable[[], JobScheduler | None],
    ) -> None:
        """Create the service.

        :param get_scheduler: returns the scheduler of this daemon while it is
            the leader.
        """
        self._store = store
        self._coordinator = coordinator
        self._links = links
        self._get_scheduler = get_scheduler

    async def state(
        self,
        job_id: str,
        queue: str,
        team: str,
    ) -> JobState | None:
        """Return the state of a job, nothing if there is no such job.

        :raises PlatformError: if neither the leader nor the store answers.
        """
        reply = await self._ask_state(job_id)
        if not reply.state:
            reply = await self._read_state(job_id)
        if not reply.state or reply.queue != queue or reply.team != team:
            return None
        return JobState(reply.state)

    async def pending_count(self, queue: str) -> int | None:
        """Return the number of jobs that have not started, if known."""
        scheduler = self._get_scheduler()
        if scheduler is not None and scheduler.is_ready:
            return scheduler.cluster.pending_count(queue)
        leader = self._coordinator.leader
        if leader is None or leader.daemon_id == self._coordinator.daemon_id:
            return None
        try:
            reply = await self._links.call(
                leader.address,
                'count',
                CountRequest(queue=queue),
                CountReply,
                _CALL_TIMEOUT_S,
            )
        except CurrantreachError as error:
            log_event('leader_unreachable', asked='count', error=error)
            return None
        return reply.pending_count if reply.is_deciding else None

    def answer_state(self, request: StateRequest) -> StateReply:
        """Return the state of a job, if this daemon is the leader."""
        scheduler = self._get_scheduler()
        if scheduler is None or not scheduler.is_ready:
            return StateReply()
        progress = scheduler.cluster.jobs.get(request.job_id)
        if progress is None:
            return StateReply(is_deciding=True)
        return StateReply(
            is_deciding=True,
            state=progress.visible_state,
            queue=progress.job.queue.name,
            team=progress.job.team,
        )

    def answer_count(self, request: CountRequest) -> CountReply:
        """Return the count for a queue, if this daemon is the leader."""
        scheduler = self._get_scheduler()
        if scheduler is None or not scheduler.is_ready:
            return CountReply()
        return CountReply(
            is_deciding=True,
            pending_count=scheduler.cluster.pending_count(request.queue),
        )

    async def _ask_state(self, job_id: str) -> StateReply:
        request = StateRequest(job_id=job_id)
        leader = self._coordinator.leader
        if leader is None:
            return StateReply()
        if leader.daemon_id == self._coordinator.daemon_id:
            return self.answer_state(request)
        try:
            return await self._links.call(
                leader.address,
                'state',
                request,
                StateReply,
                _CALL_TIMEOUT_S,
            )
        except CurrantreachError as error:
            log_event('leader_unreachable', asked='state', error=error)
            return StateReply()

    async def _read_state(self, job_id: str) -> StateReply:
        found = await self._store.get(job_key(job_id))
        if found is None:
            return StateReply()
        job = decode_job(found.stored)
        progress = await self._store.get(progress_key(job_id))
        state = JobState.QUEUED
        if progress is not None:
            state = _stored_state(job_id, progress)
        return StateReply(state=state, queue=job.queue.name, team=job.team)


def _stored_state(job_id: str, progress: KeyValue) -> JobState:
    """Return the state in a record; running if the record is unreadable."""
    try:
        return decode_progress(progress.stored).visible_state
    except MalformedMessageError as error:
        log_warning('progress_unreadable', job=job_id, error=error)
        return JobState.RUNNING
