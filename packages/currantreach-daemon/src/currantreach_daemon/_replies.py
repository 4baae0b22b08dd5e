"""Request bodies and responses of the HTTP interface."""

from __future__ import annotations

import types
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from currantreach_http import ConnectionLimiter
from currantreach_types import RequestState, encode_json, refusals
from currantreach_types.errors import MalformedMessageError

if TYPE_CHECKING:
    from currantreach_types import Answer

__all__ = (
    'GUARD',
    'answer_response',
    'authorization_of',
    'json_response',
    'read_body',
    'refused_query_response',
)

# Key of the connection limiter in the application.
GUARD = web.AppKey('GUARD', ConnectionLimiter)
_STATUS_BY_REASON = types.MappingProxyType(
    {
        refusals.KEY_MISSING.reason: HTTPStatus.UNAUTHORIZED,
        refusals.KEY_UNKNOWN.reason: HTTPStatus.UNAUTHORIZED,
        refusals.KEY_WITHDRAWN.reason: HTTPStatus.UNAUTHORIZED,
        refusals.KEY_OTHER_TEAM.reason: HTTPStatus.FORBIDDEN,
        refusals.QUEUE_NOT_OPEN.reason: HTTPStatus.FORBIDDEN,
        refusals.ID_REUSED.reason: HTTPStatus.CONFLICT,
        refusals.TEAM_RATE.reason: HTTPStatus.TOO_MANY_REQUESTS,
    },
)
# Status of calls that can be retried, and of those that cannot.
_UNKNOWN = (HTTPStatus.GATEWAY_TIMEOUT, HTTPStatus.NOT_FOUND)
_NOT_RUN = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.UNPROCESSABLE_ENTITY)


async def read_body(request: web.Request) -> bytes:
    """Read the body of a request within the time limit.

    :raises MalformedMessageError: if the body does not arrive in time.
    """
    try:
        return await request.app[GUARD].read_body(request)
    except TimeoutError as exc:
        raise MalformedMessageError(
            'the body did not end in time; send it faster',
        ) from exc


def authorization_of(request: web.Request) -> str:
    """Return the ``Authorization`` header, or an empty string."""
    return request.headers.get('Authorization', '')


def json_response(
    message: object,
    status: HTTPStatus = HTTPStatus.OK,
) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=encode_json(message),
        status=status,
        content_type='application/json',
    )


def answer_response(answer: Answer) -> web.Response:
    """Return an answer with the matching HTTP status."""
    response = json_response(answer, _status_of(answer))
    if answer.retry_after_s:
        response.headers['Retry-After'] = str(int(answer.retry_after_s) or 1)
    return response


def refused_query_response(answer: Answer) -> web.Response:
    """Return the refusal of a call about an earlier submission.

    The request may have run although the call is refused, so its state is
    reported as unknown instead of not run.
    """
    response = answer_response(answer)
    unknown = attrs.evolve(answer, state=RequestState.unknown)
    response.body = encode_json(unknown)
    return response


def _status_of(answer: Answer) -> HTTPStatus:
    if answer.state in {RequestState.accepted, RequestState.running}:
        return HTTPStatus.ACCEPTED
    if answer.state == RequestState.unknown:
        can_retry, cannot_retry = _UNKNOWN
    elif answer.state == RequestState.not_run:
        can_retry, cannot_retry = _NOT_RUN
    else:
        return HTTPStatus.OK
    default = can_retry if answer.can_retry else cannot_retry
    return _STATUS_BY_REASON.get(answer.reason, default)
