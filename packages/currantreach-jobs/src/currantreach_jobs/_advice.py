"""Calls for advice, spread over the daemons of the cell."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from currantreach_jobs._messages import AdviceReply, AdviceRequest
from currantreach_jobs._supervision import failure_of
from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from currantreach_jobs._clients import PlacementClient
    from currantreach_jobs._coordinator import Coordinator
    from currantreach_jobs._links import Links
    from currantreach_jobs._model import AdviceConfig
    from currantreach_jobs._progress import Stage
    from currantreach_telemetry import Metrics
    from currantreach_types import Clock

__all__ = ('AdviceDispatcher', 'AdviceService')

# A call this long delays a short one that waits behind it by more than the
# aim of a prompt job.
_LONG_CALL_S = 0.2
# A call that takes this much longer than the queue says has been lost.
_TIMEOUT_S = 1.5
# A call may be sent this long before the service is expected to take it,
# which covers the way there.
_QUEUED_S = 0.02
# An exchange with a daemon of the same failure domain and of another one.
_NEAR_S = 0.002
_FAR_S = 0.015
# A daemon whose call failed is asked again after this time; a cut lasts for
# seconds.
_SUSPECT_S = 3
# Before anything is known of a queue, half of the workers are taken to be
# allowed, with the weight of one call that names this many workers.
_FIRST_LIKELIHOOD = 0.5
_FIRST_NAMED = 20
# Time that a ticket loses on its way to the worker.
_TICKET_SLACK_S = 0.15


class AdviceService:
    """Asks the placement service from this daemon."""

    def __init__(self, port: PlacementClient) -> None:
        """Use the connection of this daemon to the service."""
        self._port = port

    async def ask(self, request: AdviceRequest) -> AdviceReply:
        """Ask for tickets.

        :raises PlatformError: if the service does not give any.
        """
        tickets = await self._port.advise(
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
    """Chooses for each call the daemon at which it waits least.

    The service answers one call at a time for each calling host. Long calls
    go to one half of the daemons only, so that short ones never wait behind
    them.
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
        """Start without outstanding calls.

        :param wake: called when a stage has new tickets.
        """
        self._coordinator = coordinator
        self._links = links
        self._advice_service = advice_service
        self._clock = clock
        self._wake = wake
        self._metrics = metrics
        self._busy_until_s: dict[str, float] = collections.defaultdict(float)
        self._suspect_until_s: dict[str, float] = {}
        self._named: collections.Counter[str] = collections.Counter()
        self._allowed: collections.Counter[str] = collections.Counter()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._calls: dict[asyncio.Task[None], tuple[AdviceRequest, str]] = {}
        self._is_closed = False

    def ask(
        self,
        stage: Stage,
        advice: AdviceConfig,
        worker_ids: Sequence[str],
    ) -> bool:
        """Ask for tickets in the background.

        :returns: whether a daemon is free to ask. Calls that have to wait
            are not sent, so that the most urgent stage is next.
        """
        now_s = self._clock.now_s()
        took_s = advice.fixed_s + advice.per_worker_s * len(worker_ids)
        member = self._choose(took_s, now_s)
        begin_s = max(now_s, self._busy_until_s[member])
        if begin_s > now_s + _QUEUED_S:
            return False
        self._busy_until_s[member] = begin_s + took_s
        self._in_flight[member] += 1
        timeout_s = begin_s + took_s - now_s + _TIMEOUT_S
        stage.asked_until_s = now_s + timeout_s + _TIMEOUT_S
        request = AdviceRequest(
            job_id=stage.owner.job.job_id,
            occurrence=stage.occurrence,
            step=stage.number,
            worker_ids=tuple(worker_ids),
            timeout_s=timeout_s,
        )
        call = asyncio.create_task(self._call(stage, advice, member, request))
        self._calls[call] = request, member
        call.add_done_callback(self._note_end)
        return True

    def likelihood(self, queue_name: str) -> float:
        """Return the part of the workers that a queue was allowed so far."""
        allowed = self._allowed[queue_name] + _FIRST_LIKELIHOOD * _FIRST_NAMED
        return allowed / (self._named[queue_name] + _FIRST_NAMED)

    async def close(self) -> None:
        """Give up all outstanding calls."""
        self._is_closed = True
        for call in self._calls:
            call.cancel()
        if self._calls:
            await asyncio.wait(tuple(self._calls))

    def _choose(self, took_s: float, now_s: float) -> str:
        """Return the daemon through which a call is answered first."""
        # The nearest half takes the short calls, whose way counts most.
        members = sorted(
            self._trusted(now_s),
            key=lambda name: (self._distance_s(name), name),
        )
        middle = (len(members) + 1) // 2
        if took_s >= _LONG_CALL_S:
            members = members[len(members) - middle :]
        else:
            members = members[:middle]
        return min(
            members,
            key=lambda name: max(
                now_s + self._distance_s(name),
                self._busy_until_s[name],
            ),
        )

    def _trusted(self, now_s: float) -> Collection[str]:
        """Return the daemons whose last call did not fail, if there are any.

        A cut takes away all daemons of a failure domain, which may be the
        half that takes the long calls.
        """
        trusted = [
            member
            for member in self._coordinator.members
            if now_s >= self._suspect_until_s.get(member, 0)
        ]
        return trusted or self._coordinator.members

    def _distance_s(self, member: str) -> float:
        """Return roughly how long a message to a daemon takes, both ways."""
        if member == self._coordinator.daemon_id:
            return 0
        return (
            _NEAR_S if self._coordinator.is_in_same_domain(member) else _FAR_S
        )

    async def _call(
        self,
        stage: Stage,
        advice: AdviceConfig,
        member: str,
        request: AdviceRequest,
    ) -> None:
        asked_at_s = self._clock.now_s()
        is_answered = False
        try:
            reply = await self._send(member, request)
            log_event(
                'advice_given',
                job=request.job_id,
                step=request.step,
                member=member,
                named=len(request.worker_ids),
                allowed=len(reply.tickets),
                after_s=round(self._clock.now_s() - asked_at_s, 3),
            )
            self._take(stage, advice, request, reply)
            is_answered = True
        finally:
            self._free(stage, member, is_answered)

    def _take(
        self,
        stage: Stage,
        advice: AdviceConfig,
        request: AdviceRequest,
        reply: AdviceReply,
    ) -> None:
        """Note the verdicts and tickets of a call."""
        valid_until_s = self._clock.now_s() + advice.ticket_s - _TICKET_SLACK_S
        self._learn(stage, request, reply)
        for worker_id in request.worker_ids:
            code = reply.tickets.get(worker_id)
            stage.allowed[worker_id] = code is not None
            if code is not None:
                stage.tickets[worker_id] = (code, valid_until_s)

    def _note_end(self, call: asyncio.Task[None]) -> None:
        """Report a call that failed, for whatever reason."""
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

    def _learn(
        self,
        stage: Stage,
        request: AdviceRequest,
        reply: AdviceReply,
    ) -> None:
        """Count new verdicts; those of a step never change."""
        queue_name = stage.owner.job.queue.name
        for worker_id in request.worker_ids:
            if worker_id not in stage.allowed:
                self._named[queue_name] += 1
                self._allowed[queue_name] += worker_id in reply.tickets

    def _free(self, stage: Stage, member: str, is_answered: bool) -> None:
        """Note that a call ended, maybe earlier than expected."""
        stage.asked_until_s = 0
        stage.next_look_s = 0
        now_s = self._clock.now_s()
        self._in_flight[member] -= 1
        if not is_answered:
            self._busy_until_s[member] = now_s + _SUSPECT_S
            self._suspect_until_s[member] = now_s + _SUSPECT_S
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
