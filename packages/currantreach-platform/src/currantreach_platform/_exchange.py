"""HTTP exchanges with a timeout, and their errors."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import aiohttp
import attrs
from yarl import URL

if TYPE_CHECKING:
    from types import SimpleNamespace

__all__ = (
    'Attempt',
    'HttpRequest',
    'HttpResponse',
    'NoResponseError',
    'NotSentError',
    'exchange',
    'open_session',
)

_KEEPALIVE_S = 15
# A page of the store with the records of all open jobs is smaller, since their
# memory is bounded and several times the size of their records.
_RESPONSE_LIMIT_BYTES = 16_777_216
# Raised by aiohttp for a lost connection, a closed session or an invalid
# address.
_CONNECTION_ERRORS = aiohttp.ClientError, OSError, RuntimeError, ValueError


class NotSentError(Exception):
    """No byte of the request was sent, so it had no effect."""


class NoResponseError(Exception):
    """All or part of the request was sent, but no response was received."""


@attrs.frozen(slots=True, kw_only=True)
class HttpRequest:
    """An HTTP request.

    :ivar method: HTTP method.
    :ivar path: percent-encoded path.
    :ivar query: query parameters, not yet encoded.
    :ivar body: request body, if any.
    :ivar wait_s: duration of a long poll, added to the timeout.
    :ivar response_limit_bytes: largest body of the response; a larger one is
        not read to its end.
    """

    method: str
    path: str
    query: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None
    wait_s: float = 0
    response_limit_bytes: int = _RESPONSE_LIMIT_BYTES

    def url(self, base_url: str) -> URL:
        """Return the URL of the request."""
        query = f'?{urlencode(self.query)}' if self.query else ''
        return URL(f'{base_url}{self.path}{query}', encoded=True)


@attrs.frozen(slots=True, kw_only=True)
class HttpResponse:
    """A response that was read completely.

    :ivar is_last: whether the server has announced that it closes the
        connection after the response.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    is_last: bool = False


@attrs.define(slots=True)
class Attempt:
    """Progress of one request.

    :ivar can_retry: whether aiohttp may send the request again.
    :ivar can_connect: whether aiohttp may open a connection for it.
    :ivar is_sent: whether any byte may have been sent.
    :ivar is_unanswered: whether it was sent and got no response in time.
    """

    can_retry: bool
    can_connect: bool = True
    is_sent: bool = False
    is_unanswered: bool = False

    def to_error(self, reason: str) -> NotSentError | NoResponseError:
        """Return the error for a request that got no response."""
        return NoResponseError(reason) if self.is_sent else NotSentError(reason)


async def exchange(
    session: aiohttp.ClientSession,
    base_url: str,
    request: HttpRequest,
    attempt: Attempt,
    expires_at_s: float,
) -> HttpResponse:
    """Send a request and read the complete response.

    :param expires_at_s: end of the exchange on the clock of the event loop.
    :raises NotSentError: if nothing was sent.
    :raises NoResponseError: if no complete response arrived in time.
    """
    try:
        async with asyncio.timeout_at(expires_at_s):
            return await _exchange(session, base_url, request, attempt)
    except TimeoutError as late:
        if attempt.is_sent:
            attempt.is_unanswered = True
            raise NoResponseError('no response within the timeout') from late
        raise NotSentError('no connection within the timeout') from late
    except asyncio.CancelledError as cancelled:
        # Closing a session also cancels requests that wait for one of its
        # connections, although their tasks were not cancelled.
        if _is_current_task_cancelled():
            raise
        raise attempt.to_error('the session was closed') from cancelled
    except _CONNECTION_ERRORS as exc:
        raise attempt.to_error(str(exc) or repr(exc)) from exc


def open_session(
    connection_limit: int,
    headers: Mapping[str, str],
    tracing: aiohttp.TraceConfig,
) -> aiohttp.ClientSession:
    """Open a session without cookies and without timeouts of its own.

    :param tracing: callbacks, to which one is added for resent requests.
    """
    tracing.on_request_headers_sent.append(_mark_headers_sent)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=connection_limit,
            keepalive_timeout=_KEEPALIVE_S,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        headers=headers,
        # asyncio.timeout_at() covers connecting, sending and reading.
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
        trace_configs=[tracing],
    )


async def _exchange(
    session: aiohttp.ClientSession,
    base_url: str,
    request: HttpRequest,
    attempt: Attempt,
) -> HttpResponse:
    async with session.request(
        request.method,
        request.url(base_url),
        data=request.body,
        allow_redirects=False,
        trace_request_ctx=attempt,
    ) as response:
        body = await _read_body(response, request.response_limit_bytes)
        return HttpResponse(
            status=response.status,
            headers=response.headers,
            body=body,
            is_last=_closes_connection(response),
        )


async def _read_body(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    """Read the body of a response, however it is sent.

    :raises NoResponseError: if it is too large; the connection is closed.
    """
    body = bytearray()
    is_too_large = (response.content_length or 0) > limit_bytes
    while not is_too_large and not response.content.at_eof():
        body += await response.content.readany()
        is_too_large = len(body) > limit_bytes
    if is_too_large:
        response.close()
        raise NoResponseError(
            f'the response has more than {limit_bytes} bytes; '
            'check what answers at this address',
        )
    return bytes(body)


def _closes_connection(response: aiohttp.ClientResponse) -> bool:
    announced = response.headers.get('Connection', '').lower()
    if response.version == aiohttp.HttpVersion10:
        return announced != 'keep-alive'
    return announced == 'close'


async def _mark_headers_sent(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    attempt: Attempt = context.trace_request_ctx
    # aiohttp resends PUT and DELETE when a keep-alive connection closes. The
    # first request may have taken effect, and the second would then report a
    # conflict with the caller's own write.
    if attempt.is_sent and not attempt.can_retry:
        raise NoResponseError('the connection was closed before a response')
    attempt.is_sent = True


def _is_current_task_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
