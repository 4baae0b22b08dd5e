"""Mapping of errors to HTTP responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
import msgspec
from aiohttp import web

from currantreach_config import ConfigurationFaultsError
from currantreach_daemon._replies import json_response, read_body
from currantreach_daemon._requests import not_run_answer
from currantreach_telemetry import log_event
from currantreach_types import Answer, RequestState, refusals
from currantreach_types.errors import (
    ConfigurationError,
    CurrantreachError,
    MalformedMessageError,
    OutcomeUnknownError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantreach_daemon._admission import AdmissionController
    from currantreach_daemon._shedding import LoadShedder
    from currantreach_http import ConnectionLimiter
    from currantreach_telemetry import Metrics
    from currantreach_types import Refusal

    _Call = Callable[[web.Request], Awaitable[web.StreamResponse]]

__all__ = ('ErrorMiddleware',)

_SUBMISSION = ('POST', '/v1/requests')
_CLOSING_STATUSES = frozenset(
    (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, HTTPStatus.SERVICE_UNAVAILABLE),
)


class ErrorMiddleware:
    """Middleware that answers failed calls with a reason and a remedy."""

    def __init__(
        self,
        admission: AdmissionController,
        metrics: Metrics,
        shedder: LoadShedder,
        limiter: ConnectionLimiter,
    ) -> None:
        """Refuse connections above the limit and shed excess load."""
        self._limiter = limiter
        self._admission = admission
        self._metrics = metrics
        self._shedder = shedder

    @web.middleware
    async def run(
        self,
        request: web.Request,
        handler: _Call,  # noqa: WPS110
    ) -> web.StreamResponse:
        """Run a handler and map the errors that it raises to responses."""
        self._limiter.begin_request(request)
        try:
            return await self._answer(request, handler)
        finally:
            self._limiter.end_request(request)

    async def _answer(
        self,
        request: web.Request,
        handler: _Call,  # noqa: WPS110
    ) -> web.StreamResponse:
        # Idle connections above the limit are closed first, so that only an
        # excess of busy ones is refused.
        if not await self._limiter.close_excess():
            return self._refused(
                request,
                refusals.CONNECTION_LIMIT,
                HTTPStatus.SERVICE_UNAVAILABLE,
                # The body was not read, so this may repeat a submission that
                # has run.
                may_have_run=True,
            )
        if _is_submission(request) and self._shedder.should_refuse():
            return self._refused(
                request,
                refusals.OVERLOADED,
                HTTPStatus.SERVICE_UNAVAILABLE,
                may_have_run=True,
            )
        try:
            if request.can_read_body:
                # The limiter closes a connection that is still receiving its
                # body after the body timeout, even while a handler runs. The
                # body is therefore read here, even if the handler ignores it.
                await read_body(request)
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            return self._refused(
                request,
                refusals.BODY_TOO_LARGE,
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
        except CurrantreachError as exc:
            return self._failed(request, exc)

    def _failed(
        self,
        request: web.Request,
        error: CurrantreachError,
    ) -> web.Response:
        if isinstance(error, ConfigurationFaultsError):
            faults = [msgspec.to_builtins(fault) for fault in error.faults]
            return json_response({'faults': faults}, HTTPStatus.BAD_REQUEST)
        if isinstance(error, MalformedMessageError | ConfigurationError):
            return self._refused(
                request,
                refusals.BODY_MALFORMED,
                HTTPStatus.BAD_REQUEST,
                str(error),
            )
        if isinstance(error, OutcomeUnknownError):
            return _unknown_outcome(str(error))
        return self._refused(
            request,
            refusals.STORE_UNAVAILABLE,
            HTTPStatus.SERVICE_UNAVAILABLE,
            str(error),
            may_have_run=not isinstance(error, StoreUnavailableError),
        )

    def _refused(
        self,
        request: web.Request,
        refusal: Refusal,
        status: HTTPStatus,
        text: str = '',
        *,
        may_have_run: bool = False,
    ) -> web.Response:
        self._metrics.record_refusal(refusal.reason)
        log_event(
            'request_end' if _is_submission(request) else 'call_refused',
            request='-',
            state=RequestState.not_run,
            reason=refusal.reason,
        )
        answer = not_run_answer('', refusal)
        if may_have_run:
            answer = attrs.evolve(answer, state=RequestState.unknown)
        if text:
            answer = attrs.evolve(answer, remedy=f'{answer.remedy}: {text}')
        response = json_response(answer, status)
        if status in _CLOSING_STATUSES:
            response.force_close()
        return response


def _is_submission(request: web.Request) -> bool:
    return (request.method, request.path) == _SUBMISSION


def _unknown_outcome(text: str) -> web.Response:
    return json_response(
        Answer(
            request_id='',
            state=RequestState.unknown,
            reason='store_answer_lost',
            remedy=f'read the state before you repeat the call: {text}',
            can_retry=True,
            retry_after_s=1,
        ),
        HTTPStatus.GATEWAY_TIMEOUT,
    )
