"""HTTP requests with a timeout to one address of the platform."""

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
    'Channel',
    'HttpRequest',
    'HttpResponse',
    'NoResponseError',
    'NotSentError',
)

# At most two sessions are open after a timeout, so an address has at most 64
# connections.
_CONNECTIONS_PER_SESSION = 32
_KEEPALIVE_S = 15
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
    """

    method: str
    path: str
    query: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None
    wait_s: float = 0

    def url(self, base_url: str) -> URL:
        """Return the URL of the request."""
        query = f'?{urlencode(self.query)}' if self.query else ''
        return URL(f'{base_url}{self.path}{query}', encoded=True)


@attrs.frozen(slots=True, kw_only=True)
class HttpResponse:
    """A response that was read completely."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.define(slots=True)
class _Attempt:
    """Progress of one request.

    :ivar can_retry: whether aiohttp may send the request again.
    :ivar is_sent: whether any byte may have been sent.
    """

    can_retry: bool
    is_sent: bool = False

    def to_error(self, reason: str) -> NotSentError | NoResponseError:
        """Return the error for a request that got no response."""
        return NoResponseError(reason) if self.is_sent else NotSentError(reason)


async def _mark_headers_sent(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    attempt: _Attempt = context.trace_request_ctx
    # aiohttp resends PUT and DELETE when a keep-alive connection closes. The
    # first request may have taken effect, and the second would then report a
    # conflict with the caller's own write.
    if attempt.is_sent and not attempt.can_retry:
        raise NoResponseError('the connection was closed before a response')
    attempt.is_sent = True


def _is_current_task_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


class Channel:
    """Connection pool for one address.

    After a timeout, new requests use a new pool, because all idle connections
    of the old one may have become unresponsive at the same time.
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Create the pool; requires a running event loop.

        :param timeout_s: total time limit of a request.
        :param headers: headers sent with every request.
        """
        self.in_flight = 0
        self._base_url = base_url.rstrip('/')
        self._timeout_s = timeout_s
        self._headers = dict(headers or {})
        self._session = self._open_session()
        self._retired_session: aiohttp.ClientSession | None = None

    async def send(self, request: HttpRequest) -> HttpResponse:
        """Send a request and read the complete response.

        :raises NotSentError: if nothing was sent.
        :raises NoResponseError: if no complete response arrived in time.
        """
        attempt = _Attempt(can_retry=request.method == 'GET')
        session = self._session
        self.in_flight += 1
        try:
            async with asyncio.timeout(self._timeout_s + request.wait_s):
                return await self._exchange(session, request, attempt)
        except TimeoutError as late:
            if attempt.is_sent:
                await self._replace_session(session)
                raise NoResponseError(
                    'no response within the timeout'
                ) from late
            raise NotSentError('no connection within the timeout') from late
        except asyncio.CancelledError as cancelled:
            # Closing a session also cancels requests that wait for one of
            # its connections, although their tasks were not cancelled.
            if _is_current_task_cancelled():
                raise
            raise attempt.to_error('the session was closed') from cancelled
        except _CONNECTION_ERRORS as exc:
            raise attempt.to_error(str(exc) or repr(exc)) from exc
        finally:
            self.in_flight -= 1

    async def close(self) -> None:
        """Close all connections."""
        if self._retired_session is not None:
            await self._retired_session.close()
        await self._session.close()

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        request: HttpRequest,
        attempt: _Attempt,
    ) -> HttpResponse:
        async with session.request(
            request.method,
            request.url(self._base_url),
            data=request.body,
            allow_redirects=False,
            trace_request_ctx=attempt,
        ) as response:
            body = await response.read()
            return HttpResponse(
                status=response.status,
                headers=response.headers,
                body=body,
            )

    async def _replace_session(self, session: aiohttp.ClientSession) -> None:
        if session is not self._session:
            return
        retired_session = self._retired_session
        self._retired_session = session
        self._session = self._open_session()
        if retired_session is not None:
            await retired_session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        tracing = aiohttp.TraceConfig()
        tracing.on_request_headers_sent.append(_mark_headers_sent)
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=_CONNECTIONS_PER_SESSION,
                keepalive_timeout=_KEEPALIVE_S,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            headers=self._headers,
            # asyncio.timeout() covers connecting, sending and reading.
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
            trace_configs=[tracing],
        )
