"""HTTP interface for callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from currantreach_daemon._admission import AdmittedSubmission
from currantreach_daemon._caller_bodies import (
    AnswersBody,
    CancelBody,
    IdAnswer,
    IdBody,
    SubmitBody,
    check_amounts,
    task_spec,
)
from currantreach_daemon._replies import (
    answer_response,
    authorization_of,
    json_response,
    read_body,
    refused_query_response,
)
from currantreach_daemon._requests import body_hash_of, not_run_answer
from currantreach_telemetry import log_event
from currantreach_types import (
    Answer,
    Refusal,
    RequestId,
    RequestState,
    decode_json,
    decode_strict_json,
    refusals,
)
from currantreach_types.errors import MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_daemon._admission import AdmissionController
    from currantreach_daemon._router import Router
    from currantreach_telemetry import Metrics

__all__ = ('CallerApi',)

_ANSWER_TIMEOUT_LIMIT_MS = 60000
_ANSWER_TIMEOUT_MS = 10000
_IN_PROGRESS = frozenset((RequestState.accepted, RequestState.running))
_MS_PER_S = 1000
_MAX_DIGITS = 9
_CANCEL_LIMIT = 10000
# Refusals that no owner logs; the end of any other request is logged by its
# owner.
_NOT_LOGGED = frozenset(
    (
        refusals.ID_REUSED.reason,
        refusals.NO_OWNER.reason,
        refusals.OWNER_UNREACHABLE.reason,
    ),
)


class CallerApi:
    """Handlers of the caller's routes."""

    def __init__(
        self, admission: AdmissionController, router: Router, metrics: Metrics
    ) -> None:
        """Admit calls and route them to the owners."""
        self._admission = admission
        self._router = router
        self._metrics = metrics

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Return all routes."""
        return [
            web.post('/v1/request-ids', self.issue_id),
            web.post('/v1/requests', self.submit),
            web.get('/v1/requests', self.list_requests),
            web.get('/v1/requests/{id}', self.status),
            web.get('/v1/requests/{id}/answer', self.answer),
            web.delete('/v1/requests/{id}', self.cancel),
            web.post('/v1/cancellations', self.cancel_many),
        ]

    async def issue_id(self, request: web.Request) -> web.Response:
        """Issue a request id for a later submission."""
        body = decode_json(await read_body(request) or b'{}', IdBody)
        if self._admission.is_stopping:
            return self._refused('', refusals.STOPPING)
        issued = await self._router.issue_id(
            body.resources,
            frozenset(body.passed_over),
        )
        if isinstance(issued, Refusal):
            return self._refused('', issued)
        return json_response(IdAnswer(request_id=issued))

    async def submit(self, request: web.Request) -> web.Response:
        """Submit a request, or answer why it was not run.

        With ``wait_ms`` in the query, wait for the final answer.
        """
        raw = await read_body(request)
        self._check_size(raw)
        body = decode_strict_json(raw, SubmitBody)
        check_amounts(body)
        if body.request_id:
            RequestId.parse(body.request_id)
        admitted = self._admission.admit(
            authorization_of(request),
            body.team,
            body.queue,
        )
        if not isinstance(admitted, AdmittedSubmission):
            return self._not_admitted(body, admitted)
        needed = body.resources.scaled_by(body.gang_size)
        if not needed.fits_in(admitted.team.upper_limit):
            return self._not_admitted(body, refusals.LIMIT_NEVER_FITS)
        wait_s = _timeout_s(request, 'wait_ms', 0)
        with self._admission.track_call(admitted.team.name):
            answer = await self._submit_admitted(body, admitted)
            if wait_s and answer.state in _IN_PROGRESS:
                answer = await self._wait(
                    answer.request_id,
                    admitted.team.name,
                    wait_s,
                )
        return answer_response(answer)

    async def status(self, request: web.Request) -> web.Response:
        """Return the state of a request."""
        return await self._answer_within(request, 0)

    async def answer(self, request: web.Request) -> web.Response:
        """Return the answer to a request when it is final."""
        timeout_s = _timeout_s(request, 'timeout_ms', _ANSWER_TIMEOUT_MS)
        return await self._answer_within(request, timeout_s)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel one request."""
        team = self._team_of(request)
        if isinstance(team, Refusal):
            return self._refused_query(request.match_info['id'], team)
        answers = await self._router.cancel((request.match_info['id'],), team)
        return json_response(answers[0])

    async def cancel_many(self, request: web.Request) -> web.Response:
        """Cancel many requests."""
        body = decode_json(await read_body(request), CancelBody)
        if len(body.request_ids) > _CANCEL_LIMIT:
            raise MalformedMessageError(
                f'request_ids has more than {_CANCEL_LIMIT} entries; split it',
            )
        team = self._team_of(request)
        if isinstance(team, Refusal):
            return self._refused_query('', team)
        answers = await self._router.cancel(body.request_ids, team)
        return json_response(AnswersBody(requests=answers))

    async def list_requests(self, request: web.Request) -> web.Response:
        """List the requests of the key's team."""
        team = self._team_of(request)
        if isinstance(team, Refusal):
            return self._refused_query('', team)
        answers = await self._router.list_requests(team)
        return json_response(AnswersBody(requests=answers))

    async def _submit_admitted(
        self,
        body: SubmitBody,
        admitted: AdmittedSubmission,
    ) -> Answer:
        request_id = body.request_id
        if not request_id:
            issued = await self._router.issue_id(body.resources)
            if isinstance(issued, Refusal):
                refused = not_run_answer('', issued)
                self._report_refusal(refused)
                return refused
            request_id = issued
        spec = task_spec(body, request_id, admitted)
        answer = await self._router.submit(
            spec,
            body_hash_of(spec),
            is_repeated=body.attempt > 1,
        )
        if answer.state == RequestState.not_run:
            self._report_refusal(answer)
        return answer

    def _check_size(self, raw: bytes) -> None:
        cell = self._admission.cell()
        limit_bytes = None if cell is None else cell.limits.body_limit_bytes
        if limit_bytes is not None and len(raw) > limit_bytes:
            raise web.HTTPRequestEntityTooLarge(limit_bytes, len(raw))

    def _report_refusal(self, answer: Answer) -> None:
        """Count and log a refusal unless an owner has done so."""
        if answer.reason not in _NOT_LOGGED:
            return
        self._metrics.record_refusal(answer.reason)
        log_event(
            'request_end',
            request=answer.request_id or '-',
            state=answer.state,
            reason=answer.reason,
        )

    async def _answer_within(
        self,
        request: web.Request,
        timeout_s: float,
    ) -> web.Response:
        team = self._team_of(request)
        if isinstance(team, Refusal):
            return self._refused_query(request.match_info['id'], team)
        request_id = request.match_info['id']
        RequestId.parse(request_id)
        with self._admission.track_call(team):
            answer = await self._wait(request_id, team, timeout_s)
        return answer_response(answer)

    async def _wait(
        self,
        request_id: str,
        team: str,
        timeout_s: float,
    ) -> Answer:
        answering = asyncio.create_task(
            self._router.wait(request_id, team, timeout_s),
        )
        stopping = asyncio.create_task(self._admission.stopping.wait())
        await asyncio.wait(
            {answering, stopping},
            return_when=asyncio.FIRST_COMPLETED,
        )
        stopping.cancel()
        if answering.done():
            return answering.result()
        # A stopping daemon returns the current state instead of waiting.
        answering.cancel()
        return await self._router.wait(request_id, team, 0)

    def _team_of(self, request: web.Request) -> str | Refusal:
        authorization = authorization_of(request)
        if not authorization:
            return self._open_team()
        found = self._admission.authenticate(authorization)
        if isinstance(found, Refusal):
            return found
        return found.team or refusals.KEY_OTHER_TEAM

    def _open_team(self) -> str | Refusal:
        cell = self._admission.cell()
        if cell is None:
            return refusals.CONFIGURATION_STALE
        for queue in cell.queues:
            if queue.is_open:
                return queue.open_team
        return refusals.KEY_MISSING

    def _refused_query(self, request_id: str, refusal: Refusal) -> web.Response:
        self._metrics.record_refusal(refusal.reason)
        return refused_query_response(not_run_answer(request_id, refusal))

    def _not_admitted(
        self,
        body: SubmitBody,
        refusal: Refusal,
    ) -> web.Response:
        """Refuse a submission; a repeated one may have run earlier."""
        if body.attempt > 1:
            return self._refused(body.request_id, refusal, may_have_run=True)
        answer = not_run_answer(body.request_id, refusal)
        self._metrics.record_refusal(refusal.reason)
        log_event(
            'request_end',
            request=body.request_id or '-',
            state=answer.state,
            reason=refusal.reason,
        )
        return answer_response(answer)

    def _refused(
        self,
        request_id: str,
        refusal: Refusal,
        *,
        may_have_run: bool = False,
    ) -> web.Response:
        """Refuse a call, which does not complete any request."""
        self._metrics.record_refusal(refusal.reason)
        log_event(
            'call_refused',
            request=request_id or '-',
            reason=refusal.reason,
        )
        answer = not_run_answer(request_id, refusal)
        if may_have_run:
            answer = attrs.evolve(answer, state=RequestState.unknown)
        return answer_response(answer)


def _timeout_s(request: web.Request, name: str, default_ms: int) -> float:
    text = request.query.get(name, str(default_ms))
    if not text.isdecimal() or len(text) > _MAX_DIGITS:
        raise MalformedMessageError(
            f'{name} must be a whole number of at most {_MAX_DIGITS} digits',
        )
    return min(int(text), _ANSWER_TIMEOUT_LIMIT_MS) / _MS_PER_S
