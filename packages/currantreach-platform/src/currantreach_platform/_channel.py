"""HTTP calls with a deadline to one address of the platform."""

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

__all__ = ('Call', 'Channel', 'NoAnswerError', 'NotSentError', 'Reply')

# Two sessions exist at most after a timeout, so that the address sees at
# most 64 connections.
_CONNECTIONS_PER_SESSION = 32
_IDLE_S = 15
# What aiohttp raises for a lost connection, for a closed session and for an
# address that is none.
_FAILURES = aiohttp.ClientError, OSError, RuntimeError, ValueError


class NotSentError(Exception):
    """No byte of the request was sent; it certainly had no effect."""


class NoAnswerError(Exception):
    """The request was sent, at least in part, and no answer arrived."""


@attrs.frozen(slots=True, kw_only=True)
class Call:
    """One request.

    :ivar method: HTTP method.
    :ivar path: path, already quoted.
    :ivar query: parameters after the path.
    :ivar body: body of the request.
    :ivar wait_s: time the server may wait on purpose, added to the deadline.
    """

    method: str
    path: str
    query: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None
    wait_s: float = 0

    def url(self, base_url: str) -> URL:
        """Return the complete address."""
        query = f'?{urlencode(self.query)}' if self.query else ''
        return URL(f'{base_url}{self.path}{query}', encoded=True)


@attrs.frozen(slots=True, kw_only=True)
class Reply:
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.define(slots=True)
class _Attempt:
    """Progress of one call.

    :ivar can_repeat: whether aiohttp may send the request a second time.
    :ivar is_sent: whether any byte may have been sent.
    """

    can_repeat: bool
    is_sent: bool = False

    def failure(self, reason: str) -> NotSentError | NoAnswerError:
        """Return the error of a call that got no answer."""
        return NoAnswerError(reason) if self.is_sent else NotSentError(reason)


async def _note_sending(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    attempt: _Attempt = context.trace_request_ctx
    # aiohttp sends PUT and DELETE again when a kept connection closes. The
    # first one may have taken effect, and the second would then report a
    # conflict with the caller's own write.
    if attempt.is_sent and not attempt.can_repeat:
        raise NoAnswerError('the connection was closed without an answer')
    attempt.is_sent = True


def _is_being_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


class Channel:
    """Connections to one address.

    After a timeout new calls use new connections, because the kept ones may
    all have gone silent together.
    """

    def __init__(
        self,
        base_url: str,
        deadline_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Prepare the connections; must be called in a running event loop.

        :param deadline_s: total time of one call.
        :param headers: headers of every request.
        """
        self.in_flight = 0
        self._base_url = base_url.rstrip('/')
        self._deadline_s = deadline_s
        self._headers = dict(headers or {})
        self._session = self._open()
        self._retired: aiohttp.ClientSession | None = None

    async def call(self, call: Call) -> Reply:
        """Send a request and read the complete answer.

        :raises NotSentError: if nothing was sent.
        :raises NoAnswerError: if no complete answer arrived in time.
        """
        attempt = _Attempt(can_repeat=call.method == 'GET')
        session = self._session
        self.in_flight += 1
        try:
            async with asyncio.timeout(self._deadline_s + call.wait_s):
                return await self._exchange(session, call, attempt)
        except TimeoutError as late:
            if attempt.is_sent:
                await self._replace(session)
                raise NoAnswerError('the deadline passed') from late
            raise NotSentError('no connection within the deadline') from late
        except asyncio.CancelledError as cancelled:
            # Closing a session cancels the calls that wait for one of its
            # connections, although nobody has cancelled their tasks.
            if _is_being_cancelled():
                raise
            raise attempt.failure('the session was closed') from cancelled
        except _FAILURES as exc:
            raise attempt.failure(str(exc) or repr(exc)) from exc
        finally:
            self.in_flight -= 1

    async def close(self) -> None:
        """Close all connections."""
        if self._retired is not None:
            await self._retired.close()
        await self._session.close()

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        call: Call,
        attempt: _Attempt,
    ) -> Reply:
        async with session.request(
            call.method,
            call.url(self._base_url),
            data=call.body,
            allow_redirects=False,
            trace_request_ctx=attempt,
        ) as answer:
            body = await answer.read()
            return Reply(
                status=answer.status,
                headers=answer.headers,
                body=body,
            )

    async def _replace(self, session: aiohttp.ClientSession) -> None:
        if session is not self._session:
            return
        retired = self._retired
        self._retired = session
        self._session = self._open()
        if retired is not None:
            await retired.close()

    def _open(self) -> aiohttp.ClientSession:
        tracing = aiohttp.TraceConfig()
        tracing.on_request_headers_sent.append(_note_sending)
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=_CONNECTIONS_PER_SESSION,
                keepalive_timeout=_IDLE_S,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            headers=self._headers,
            # The deadline covers connecting, sending and reading together.
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
            trace_configs=[tracing],
        )
