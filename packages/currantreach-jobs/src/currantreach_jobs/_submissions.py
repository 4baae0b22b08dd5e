"""Submission and cancellation of jobs at any daemon."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._load import (
    Load,
    exceeds_memory,
    fits_no_worker,
    wait_before_retry_s,
)
from currantreach_jobs._memory import TeamBytes, accepted_bytes
from currantreach_jobs._messages import (
    AnnounceReply,
    CancelRequest,
    ForwardReply,
    LoadReply,
    SubmitRequest,
)
from currantreach_jobs._records import (
    cancel_key,
    decode_job,
    encode_job,
    job_key,
)
from currantreach_links import NotSentError
from currantreach_telemetry import log_event, log_warning
from currantreach_types import unix_now_ms
from currantreach_types.errors import (
    CurrantreachError,
    MalformedMessageError,
    PlatformError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantreach_jobs._coordinator import Coordinator
    from currantreach_jobs._job_scheduler import JobScheduler
    from currantreach_jobs._key_writer import KeyWriter
    from currantreach_jobs._links import Links
    from currantreach_jobs._model import Job, SiteConfig
    from currantreach_platform import TransactionalStore
    from currantreach_types import Clock

__all__ = (
    'CallerResponse',
    'Outcome',
    'SubmissionService',
    'build_forward_reply',
)

# A call across failure domains takes some 40 ms, including the connection
# set-up.
_CALL_TIMEOUT_S = 0.6
# Interval between two requests for the load; the backlog changes little within
# this time.
_LOAD_INTERVAL_S = 0.5
# Number of other daemons that are tried after a failed local write.
_FORWARD_TRIES = 2
# After a failed write, calls are forwarded to other daemons for this long.
_STORE_BACKOFF_S = 0.5
# Pause between two attempts of a daemon that reaches neither store nor peers.
_ISOLATION_S = 0.5
# Time after which a caller may retry when the store is unavailable; the store
# is tried again about then.
_STORE_RETRY_S = 1
# Time after which a caller may retry when the open jobs take all memory for
# them. It becomes free when jobs end, and most of them take that long.
_MEMORY_RETRY_S = 15
# Time after which a caller may retry when all workers of a service are
# evacuated. Only the operator knows the end of an evacuation, so this bounds
# how long after it the callers are back.
_EVACUATED_RETRY_S = 5


class Outcome(enum.Enum):
    """Outcomes of a submission or cancellation."""

    ACCEPTED = 'accepted'
    CANCELLED = 'cancelled'
    UNKNOWN_JOB = 'unknown_job'
    ID_REUSED = 'id_reused'
    NEVER_FITS = 'never_fits'
    OVERLOADED = 'overloaded'
    MEMORY_FULL = 'memory_full'
    EVACUATED = 'evacuated'
    STORE_UNAVAILABLE = 'store_unavailable'
    UNKNOWN = 'unknown'


_OUTCOMES = frozenset(outcome.value for outcome in Outcome)


@attrs.frozen(slots=True, kw_only=True)
class CallerResponse:
    """Response to a caller.

    :ivar retry_after_s: time after which the same call may succeed, 0 if
        never.
    :ivar is_record_unreadable: whether the outcome is unknown because of one
        unreadable record, which says nothing about the store.
    """

    outcome: Outcome
    retry_after_s: float = 0
    is_record_unreadable: bool = False


_UNAVAILABLE = CallerResponse(
    outcome=Outcome.STORE_UNAVAILABLE,
    retry_after_s=_STORE_RETRY_S,
)


_MEMORY_FULL = CallerResponse(
    outcome=Outcome.MEMORY_FULL,
    retry_after_s=_MEMORY_RETRY_S,
)


_EVACUATED = CallerResponse(
    outcome=Outcome.EVACUATED,
    retry_after_s=_EVACUATED_RETRY_S,
)


_UNREADABLE = CallerResponse(outcome=Outcome.UNKNOWN, is_record_unreadable=True)


def build_forward_reply(response: CallerResponse) -> ForwardReply:
    """Return the message that carries a response to another daemon."""
    return ForwardReply(
        outcome=response.outcome.value,
        retry_after_s=response.retry_after_s,
        is_record_unreadable=response.is_record_unreadable,
    )


class SubmissionService:
    """Accepts jobs and cancellations durably.

    The daemon that receives a job writes it under a key made from its id, so
    a repeated id is the same job wherever it arrives.
    """

    def __init__(
        self,
        store: TransactionalStore,
        writer: KeyWriter,
        coordinator: Coordinator,
        links: Links,
        clock: Clock,
        get_scheduler: Callable[[], JobScheduler | None],
        read_config: Callable[[], SiteConfig | None],
    ) -> None:
        """Create the service.

        :ivar load: load of the fleet, as last received from the leader.
        :param writer: creates the keys of jobs and cancellations.
        :param get_scheduler: returns the scheduler of this daemon while it is
            the leader.
        """
        self._store = store
        self._writer = writer
        self._coordinator = coordinator
        self._links = links
        self._clock = clock
        self._get_scheduler = get_scheduler
        self._read_config = read_config
        self.load = Load()
        # Jobs accepted here that the leader's last load does not include.
        self._unreported = TeamBytes()
        self._store_backoff_until_s: float = 0
        self._store_unanswered_at_s: float = 0
        self._isolated_until_s: float = 0
        self._active_call_count = 0
        self._announcements: set[asyncio.Task[None]] = set()

    async def submit(self, job: Job) -> CallerResponse:
        """Accept a job durably, or refuse it."""
        if self._exceeds_team_limit(job) or fits_no_worker(self.load, job):
            return await self._refuse(
                job, CallerResponse(outcome=Outcome.NEVER_FITS)
            )
        if job.queue.service in self.load.evacuated_services:
            return await self._refuse(job, _EVACUATED)
        wait_s = wait_before_retry_s(self.load, job)
        if wait_s:
            return await self._refuse(
                job,
                CallerResponse(
                    outcome=Outcome.OVERLOADED, retry_after_s=wait_s
                ),
            )
        if exceeds_memory(self.load, job, self._unreported):
            return await self._refuse(job, _MEMORY_FULL)
        return await self._write_or_forward(
            job.job_id,
            lambda: self.submit_locally(job),
            'submit',
            SubmitRequest(job=job),
        )

    async def cancel(
        self, job_id: str, queue: str, team: str
    ) -> CallerResponse:
        """Cancel a job durably."""
        return await self._write_or_forward(
            job_id,
            lambda: self.cancel_locally(job_id, queue, team),
            'cancel',
            CancelRequest(job_id=job_id, queue=queue, team=team),
        )

    async def submit_locally(self, job: Job) -> CallerResponse:
        """Accept a job with a write by this daemon."""
        stamped = attrs.evolve(
            job,
            accepted_unix_ms=unix_now_ms(),
        )
        key = job_key(job.job_id)
        try:
            is_new = await self._writer.create(key, encode_job(stamped))
            if is_new:
                log_event(
                    'job_accepted',
                    job=job.job_id,
                    queue=job.queue.name,
                    team=job.team,
                    steps=len(job.steps),
                    tasks=sum(step.task_count for step in job.steps),
                )
                self._unreported.add(job.team, accepted_bytes(job))
                self._announce(stamped)
                return CallerResponse(outcome=Outcome.ACCEPTED)
            return await self._reply_to_repeat(job)
        except StoreUnavailableError as error:
            log_event('job_refused', job=job.job_id, error=error)
            return _UNAVAILABLE
        except MalformedMessageError as unreadable:
            log_warning('job_unreadable', job=job.job_id, error=unreadable)
            return _UNREADABLE
        except PlatformError as unknown:
            log_event('job_unknown', job=job.job_id, error=unknown)
            return CallerResponse(outcome=Outcome.UNKNOWN)

    async def cancel_locally(
        self, job_id: str, queue: str, team: str
    ) -> CallerResponse:
        """Cancel a job with a write by this daemon."""
        try:
            found = await self._store.get(job_key(job_id))
            if found is None:
                return CallerResponse(outcome=Outcome.UNKNOWN_JOB)
            job = decode_job(found.stored)
            if job.queue.name != queue or job.team != team:
                return CallerResponse(outcome=Outcome.UNKNOWN_JOB)
            await self._writer.create(cancel_key(job_id), b'')
        except StoreUnavailableError as error:
            log_event('cancel_refused', job=job_id, error=error)
            return _UNAVAILABLE
        except MalformedMessageError as unreadable:
            log_warning('job_unreadable', job=job_id, error=unreadable)
            return _UNREADABLE
        except PlatformError as unknown:
            log_event('cancel_unknown', job=job_id, error=unknown)
            return CallerResponse(outcome=Outcome.UNKNOWN)
        log_event('cancel_accepted', job=job_id)
        return CallerResponse(outcome=Outcome.CANCELLED)

    def accept_announced_job(self, job: Job) -> None:
        """Add a job that another daemon has accepted to the scheduler."""
        scheduler = self._get_scheduler()
        if scheduler is not None and scheduler.is_ready:
            scheduler.add_accepted_job(job)

    async def follow_load(self) -> None:
        """Request the load of the fleet from the leader, twice a second."""
        while True:
            await asyncio.sleep(_LOAD_INTERVAL_S)
            reply = await self._ask_load()
            if reply.is_deciding:
                self._unreported = TeamBytes()
                self.load = _load_of(reply)
            else:
                # The open jobs are still there when a new leader decides, and
                # so are the evacuations.
                self.load = Load(
                    free_bytes=self.load.free_bytes,
                    bytes_by_team=self.load.bytes_by_team,
                    evacuated_services=self.load.evacuated_services,
                )

    def answer_load(self) -> LoadReply:
        """Return the load, if this daemon is the leader."""
        scheduler = self._get_scheduler()
        if scheduler is None or not scheduler.is_ready:
            return LoadReply()
        load = scheduler.load()
        return LoadReply(
            is_deciding=True,
            urgent_wait_s=load.urgent_wait_s,
            share_wait_s=load.share_wait_s,
            wait_s=load.wait_s,
            ahead_teams=tuple(load.teams_over_share),
            largest_rooms=dict(load.largest_rooms),
            free_bytes=load.free_bytes,
            bytes_by_team=dict(load.bytes_by_team),
            evacuated_services=tuple(load.evacuated_services),
        )

    async def _refuse(
        self, job: Job, refusal: CallerResponse
    ) -> CallerResponse:
        """Refuse a job, unless an earlier call has accepted it.

        A limit or a load may have changed since that call.
        """
        try:
            if await self._store.get(job_key(job.job_id)) is not None:
                return await self._reply_to_repeat(job)
        except MalformedMessageError as unreadable:
            log_warning('job_unreadable', job=job.job_id, error=unreadable)
            return _UNREADABLE
        except PlatformError as error:
            log_event('job_unknown', job=job.job_id, error=error)
            return CallerResponse(outcome=Outcome.UNKNOWN)
        log_event(
            'job_refused',
            job=job.job_id,
            reason=refusal.outcome.value,
            queue=job.queue.name,
            team=job.team,
            is_ahead=job.team in self.load.teams_over_share,
            urgent_wait_s=round(self.load.urgent_wait_s, 2),
            share_wait_s=round(self.load.share_wait_s, 2),
            wait_s=round(self.load.wait_s, 2),
            free_bytes=self.load.free_bytes,
            retry_after_s=round(refusal.retry_after_s, 1),
        )
        return refusal

    def _announce(self, job: Job) -> None:
        """Send an accepted job to the leader before its watch reports it.

        The watch is as slow as the store. The leader ignores a job that it
        knows already.
        """
        leader = self._coordinator.leader
        if leader is None or leader.daemon_id == self._coordinator.daemon_id:
            self.accept_announced_job(job)
            return
        announcement = asyncio.create_task(
            self._send_announcement(leader.address, job)
        )
        self._announcements.add(announcement)
        announcement.add_done_callback(self._announcements.discard)

    async def _send_announcement(self, address: str, job: Job) -> None:
        try:
            await self._links.call(
                address,
                'announce',
                SubmitRequest(job=job),
                AnnounceReply,
                _CALL_TIMEOUT_S,
            )
        except CurrantreachError as error:
            log_event('not_announced', job=job.job_id, error=error)

    async def _write_or_forward(
        self,
        job_id: str,
        write_locally: Callable[[], Awaitable[CallerResponse]],
        method: str,
        request: object,
    ) -> CallerResponse:
        """Write locally, or forward the call if that fails.

        While neither store nor peers answer, one call at a time tries them
        and the others are refused at once.
        """
        if self._is_isolated():
            log_event('refused_isolated', job=job_id, method=method)
            return _UNAVAILABLE
        self._active_call_count += 1
        try:
            response = _UNAVAILABLE
            if self._can_write():
                response = await write_locally()
                if not self._update_store_health(response):
                    self._isolated_until_s = 0
                    return response
            return await self._forward(method, request, response)
        finally:
            self._active_call_count -= 1

    def _is_isolated(self) -> bool:
        if not self._isolated_until_s:
            return False
        is_paused = self._clock.now_s() < self._isolated_until_s
        return is_paused or self._active_call_count > 0

    def _can_write(self) -> bool:
        """Tell whether the store is expected to answer this daemon.

        After a refusal the store is tried again soon. A store that does not
        answer is not tried before the cell's own calls have an answer again,
        as callers would wait for the timeout.
        """
        if self._coordinator.store_answered_at_s < self._store_unanswered_at_s:
            return False
        return self._clock.now_s() >= self._store_backoff_until_s

    def _update_store_health(self, response: CallerResponse) -> bool:
        """Record whether the store has answered; return whether it has not."""
        if response.is_record_unreadable:
            return False
        is_failed = response.outcome in {
            Outcome.STORE_UNAVAILABLE,
            Outcome.UNKNOWN,
        }
        if is_failed:
            self._store_backoff_until_s = self._clock.now_s() + _STORE_BACKOFF_S
        if response.outcome is Outcome.UNKNOWN:
            self._store_unanswered_at_s = self._clock.now_s()
        return is_failed

    async def _forward(
        self,
        method: str,
        request: object,
        response: CallerResponse,
    ) -> CallerResponse:
        """Forward a call to another daemon after a failed local write.

        :param response: response of the local attempt.
        """
        leader = self._coordinator.leader
        others = [
            address
            for name, address in self._coordinator.members.items()
            if name != self._coordinator.daemon_id
        ]
        if leader is not None and leader.address in others:
            others.remove(leader.address)
            others.insert(0, leader.address)
        for address in others[:_FORWARD_TRIES]:
            try:
                reply = await self._links.call(
                    address,
                    method,
                    request,
                    ForwardReply,
                    _CALL_TIMEOUT_S,
                )
            except NotSentError as unsent:
                log_event('forward_failed', method=method, error=unsent)
                continue
            except CurrantreachError as error:
                log_event('forward_unanswered', method=method, error=error)
                response = CallerResponse(outcome=Outcome.UNKNOWN)
                continue
            forwarded = CallerResponse(
                outcome=_forwarded_outcome(reply),
                retry_after_s=reply.retry_after_s,
                is_record_unreadable=reply.is_record_unreadable,
            )
            if forwarded.is_record_unreadable:
                self._isolated_until_s = 0
                return forwarded
            if forwarded.outcome is Outcome.UNKNOWN:
                response = forwarded
            elif forwarded.outcome is not Outcome.STORE_UNAVAILABLE:
                self._isolated_until_s = 0
                return forwarded
        # Neither the store nor a peer accepts the call: the next callers are
        # refused at once instead of after the same timeouts.
        self._isolated_until_s = self._clock.now_s() + _ISOLATION_S
        return response

    async def _ask_load(self) -> LoadReply:
        """Return the load; an empty one if no leader answers."""
        leader = self._coordinator.leader
        if leader is None:
            return LoadReply()
        if leader.daemon_id == self._coordinator.daemon_id:
            return self.answer_load()
        try:
            return await self._links.call(
                leader.address,
                'load',
                None,
                LoadReply,
                _CALL_TIMEOUT_S,
            )
        except CurrantreachError as error:
            log_event('leader_unreachable', asked='load', error=error)
            return LoadReply()

    def _exceeds_team_limit(self, job: Job) -> bool:
        """Tell whether a step needs more than the limit of its team."""
        config = self._read_config()
        team = config.teams.get(job.team) if config else None
        if team is None:
            return False
        for step in job.steps:
            needed = step.needed
            if step.is_gang:
                needed = needed.scaled_by(step.task_count)
            limits = (
                (needed.cpu_milli, team.limit.cpu_milli),
                (needed.memory_mib, team.limit.memory_mib),
                (needed.accelerator_count, team.limit.accelerator_count),
            )
            if any(limit and need > limit for need, limit in limits):
                return True
        return False

    async def _reply_to_repeat(self, job: Job) -> CallerResponse:
        found = await self._store.get(job_key(job.job_id))
        if found is None:
            raise StoreUnavailableError('the job was removed; submit it again')
        first = decode_job(found.stored)
        is_same = first.queue.name == job.queue.name and first.team == job.team
        log_event('job_repeated', job=job.job_id, is_same=is_same)
        return CallerResponse(
            outcome=Outcome.ACCEPTED if is_same else Outcome.ID_REUSED,
        )


def _load_of(reply: LoadReply) -> Load:
    return Load(
        urgent_wait_s=reply.urgent_wait_s,
        share_wait_s=reply.share_wait_s,
        wait_s=reply.wait_s,
        teams_over_share=frozenset(reply.ahead_teams),
        largest_rooms=reply.largest_rooms,
        free_bytes=reply.free_bytes,
        bytes_by_team=reply.bytes_by_team,
        evacuated_services=frozenset(reply.evacuated_services),
    )


def _forwarded_outcome(reply: ForwardReply) -> Outcome:
    """Return the outcome of a forwarded call, unknown if it is unreadable."""
    if reply.outcome in _OUTCOMES:
        return Outcome(reply.outcome)
    log_warning('outcome_unreadable', outcome=reply.outcome)
    return Outcome.UNKNOWN
