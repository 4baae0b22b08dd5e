"""Calls to the placement service, distributed over the daemons of the cell."""

from __future__ import annotations

import asyncio
import collections
import enum
from typing import TYPE_CHECKING

from currantreach_jobs._advice_planning import prior_of
from currantreach_jobs._messages import AdviceReply, AdviceRequest
from currantreach_jobs._supervision import failure_of
from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from currantreach_jobs._clients import AdviceClient
    from currantreach_jobs._coordinator import Coordinator
    from currantreach_jobs._links import Links
    from currantreach_jobs._model import AdviceConfig, Queue
    from currantreach_jobs._progress import Stage
    from currantreach_telemetry import Metrics
    from currantreach_types import Clock

__all__ = ('AdviceDispatcher', 'AdvicePurpose', 'AdviceService')

# A call this long would delay a short call queued behind it by more than the
# objective of an urgent job.
_LONG_CALL_S = 0.2
# A call that takes this much longer than the queue's configuration says is
# regarded as lost.
_TIMEOUT_S = 1.5
# A call may be sent this long before the service is expected to accept it,
# which covers the network latency.
_SEND_AHEAD_S = 0.02
# Round-trip times to daemons of the same and of another failure domain.
_NEAR_ROUND_TRIP_S = 0.002
_FAR_ROUND_TRIP_S = 0.015
# A daemon whose call failed is used again after this time; a network partition
# lasts for seconds.
_AVOID_S = 3
# Part of a ticket's validity that may pass before it reaches the worker.
_TICKET_SLACK_S = 0.15
# Calls that are not urgent are made only while this many daemons are idle, so
# that the call of a stage that can start always finds one. In a small cell, all
# daemons that send such calls have to be idle.
_MIN_SPARE = 3


class AdvicePurpose(enum.StrEnum):
    """What an advice call is made for.

    :cvar START: tickets for capacity that is free, or that is needed at once.
    :cvar RENEWAL: tickets for capacity that is about to become free on workers
        that are known to be allowed.
    :cvar AHEAD: verdicts for a step whose earlier steps are running.
    """

    START = 'start'
    RENEWAL = 'renewal'
    AHEAD = 'ahead'


class AdviceService:
    """Sends calls to the placement service from this daemon."""

    def __init__(self, client: AdviceClient) -> None:
        """Use the connection of this daemon to the service."""
        self._client = client

    async def ask(self, request: AdviceRequest) -> AdviceReply:
        """Ask for tickets.

        :raises PlatformError: if the service does not answer the call.
        """
        tickets = await self._client.advise(
            request.job_id,
            request.occurrence,
            request.step,
            request.worker_ids,
            request.timeout_s,
        )
        return AdviceReply(
            tickets={ticket.worker_id: ticket.code for ticket in tickets},
        )


class AdviceDispatcher:
    """Sends each advice call through the daemon that can send it first.

    The service answers one call at a time for each calling host. Long calls
    are sent through one half of the daemons only, so that short calls never
    wait behind them.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        links: Links,
        advice_service: AdviceService,
        clock: Clock,
        wake: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Create a dispatcher without calls in flight.

        :param wake: called when a call has ended, so that a stage may have
            new tickets.
        """
        self._coordinator = coordinator
        self._links = links
        self._advice_service = advice_service
        self._clock = clock
        self._wake = wake
        self._metrics = metrics
        self._busy_until_s: dict[str, float] = collections.defaultdict(float)
        self._avoid_until_s: dict[str, float] = {}
        self._queried_count: collections.Counter[str] = collections.Counter()
        self._allowed_count: collections.Counter[str] = collections.Counter()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._calls: dict[asyncio.Task[None], tuple[AdviceRequest, str]] = {}
        self._is_closed = False

    def ask(
        self,
        stage: Stage,
        advice: AdviceConfig,
        worker_ids: Sequence[str],
        purpose: AdvicePurpose = AdvicePurpose.START,
    ) -> bool:
        """Ask for tickets in the background.

        :returns: whether a daemon was free to send the call. Otherwise the
            call is dropped, so that the most urgent stage asks next.
        """
        now_s = self._clock.now_s()
        duration_s = advice.fixed_s + advice.per_worker_s * len(worker_ids)
        member = self._choose_member(duration_s, now_s)
        begin_s = max(now_s, self._busy_until_s[member])
        if begin_s > now_s + _SEND_AHEAD_S:
            return False
        self._busy_until_s[member] = begin_s + duration_s
        self._in_flight[member] += 1
        timeout_s = begin_s + duration_s - now_s + _TIMEOUT_S
        stage.advice_deadline_s = now_s + timeout_s + _TIMEOUT_S
        request = AdviceRequest(
            job_id=stage.job_progress.job.job_id,
            occurrence=stage.occurrence,
            step=stage.step_number,
            worker_ids=tuple(worker_ids),
            timeout_s=timeout_s,
        )
        stage.advice_call_count += 1
        call = asyncio.create_task(
            self._call(stage, advice, member, request, purpose),
        )
        self._calls[call] = request, member
        call.add_done_callback(self._on_call_end)
        return True

    def allowed_fraction(self, queue: Queue) -> float:
        """Return the fraction of workers that a queue was allowed so far."""
        prior_fraction, prior_count = prior_of(queue.advice)
        allowed = self._allowed_count[queue.name] + prior_fraction * prior_count
        return allowed / (self._queried_count[queue.name] + prior_count)

    def has_spare_member(self, advice: AdviceConfig) -> bool:
        """Tell whether enough daemons are idle for a call that can wait."""
        now_s = self._clock.now_s()
        idle_count = sum(
            1
            for member in self._members_for(advice.fixed_s, now_s)
            if now_s >= self._busy_until_s[member]
            and not self._in_flight[member]
        )
        # Daemons that are avoided count, so that an outage does not lower this.
        class_count = _class_size(len(self._coordinator.members))
        return idle_count >= min(_MIN_SPARE, class_count)

    async def close(self) -> None:
        """Cancel all calls in flight."""
        self._is_closed = True
        for call in self._calls:
            call.cancel()
        if self._calls:
            await asyncio.wait(tuple(self._calls))

    def _choose_member(self, duration_s: float, now_s: float) -> str:
        """Return the daemon through which a call is answered first."""
        return min(
            self._members_for(duration_s, now_s),
            key=lambda name: max(
                now_s + self._round_trip_s(name),
                self._busy_until_s[name],
            ),
        )

    def _members_for(self, duration_s: float, now_s: float) -> Sequence[str]:
        """Return the daemons that send calls of a duration."""
        # The nearer half sends the short calls, for which latency matters
        # most.
        members = sorted(
            self._responsive_members(now_s),
            key=lambda name: (self._round_trip_s(name), name),
        )
        middle = _class_size(len(members))
        if duration_s >= _LONG_CALL_S:
            return members[len(members) - middle :]
        return members[:middle]

    def _responsive_members(self, now_s: float) -> Collection[str]:
        """Return the daemons without a recent failure, or all if none is left.

        A network partition cuts off all daemons of a failure domain, which may
        be the half that sends the long calls.
        """
        responsive = [
            member
            for member in self._coordinator.members
            if now_s >= self._avoid_until_s.get(member, 0)
        ]
        return responsive or self._coordinator.members

    def _round_trip_s(self, member: str) -> float:
        """Return the approximate round-trip time to a daemon."""
        if member == self._coordinator.daemon_id:
            return 0
        return (
            _NEAR_ROUND_TRIP_S
            if self._coordinator.is_in_same_domain(member)
            else _FAR_ROUND_TRIP_S
        )

    async def _call(
        self,
        stage: Stage,
        advice: AdviceConfig,
        member: str,
        request: AdviceRequest,
        purpose: AdvicePurpose,
    ) -> None:
        call_number = stage.advice_call_count
        asked_at_s = self._clock.now_s()
        is_answered = False
        try:
            reply = await self._send(member, request)
            log_event(
                'advice_given',
                job=request.job_id,
                step=request.step,
                member=member,
                purpose=purpose,
                call=call_number,
                named=len(request.worker_ids),
                allowed=len(reply.tickets),
                after_s=round(self._clock.now_s() - asked_at_s, 3),
            )
            self._store_reply(stage, advice, request, reply)
            is_answered = True
        finally:
            self._free_member(stage, member, is_answered)

    def _store_reply(
        self,
        stage: Stage,
        advice: AdviceConfig,
        request: AdviceRequest,
        reply: AdviceReply,
    ) -> None:
        """Store the answers and tickets of a call in its stage."""
        valid_until_s = self._clock.now_s() + advice.ticket_s - _TICKET_SLACK_S
        self._count_answers(stage, request, reply)
        for worker_id in request.worker_ids:
            code = reply.tickets.get(worker_id)
            stage.allowed[worker_id] = code is not None
            if code is not None:
                stage.tickets[worker_id] = (code, valid_until_s)

    def _on_call_end(self, call: asyncio.Task[None]) -> None:
        """Log and count a call that failed for any reason."""
        request, member = self._calls.pop(call)
        failure = failure_of(call)
        if failure is None or self._is_closed:
            return
        self._metrics.record_retry('advice_failed')
        log_event(
            'advice_failed',
            job=request.job_id,
            step=request.step,
            member=member,
            error=repr(failure),
        )

    def _count_answers(
        self,
        stage: Stage,
        request: AdviceRequest,
        reply: AdviceReply,
    ) -> None:
        """Count new answers; the answers for a step never change."""
        queue_name = stage.job_progress.job.queue.name
        for worker_id in request.worker_ids:
            if worker_id not in stage.allowed:
                self._queried_count[queue_name] += 1
                self._allowed_count[queue_name] += worker_id in reply.tickets

    def _free_member(
        self, stage: Stage, member: str, is_answered: bool
    ) -> None:
        """Free a daemon for the next call; its call has ended, maybe early."""
        stage.advice_deadline_s = 0
        stage.next_search_at_s = 0
        stage.next_forecast_at_s = 0
        now_s = self._clock.now_s()
        self._in_flight[member] -= 1
        if not is_answered:
            self._busy_until_s[member] = now_s + _AVOID_S
            self._avoid_until_s[member] = now_s + _AVOID_S
        elif not self._in_flight[member]:
            self._busy_until_s[member] = now_s
        self._wake()

    async def _send(self, member: str, request: AdviceRequest) -> AdviceReply:
        if member == self._coordinator.daemon_id:
            return await self._advice_service.ask(request)
        return await self._links.call(
            self._coordinator.members[member],
            'advise',
            request,
            AdviceReply,
            request.timeout_s + _TIMEOUT_S / 2,
        )


def _class_size(member_count: int) -> int:
    """Return how many daemons send the short, or the long, calls."""
    return (member_count + 1) // 2
