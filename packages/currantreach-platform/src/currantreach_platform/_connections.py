"""Connections to one address whose other end is identified."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp

from currantreach_platform._exchange import (
    Attempt,
    NoResponseError,
    NotSentError,
    exchange,
    open_session,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping
    from types import SimpleNamespace

    from currantreach_platform._exchange import HttpRequest, HttpResponse

__all__ = ('Connection', 'ConnectionEndedError', 'ConnectionPool')

_CONNECTION_LIMIT = 64
_IDLE_LIMIT_S = 15


class ConnectionEndedError(NotSentError):
    """The connection ended before the request was sent on it."""


class Connection:
    """A connection to the process that accepted it.

    It is opened by the first request, and again by a request that finds it
    closed, unless that request is bound to it.

    :ivar label: identifies the process at the other end, 0 if it is not known.
        A new connection has none.
    :ivar is_reusable: whether the last request got a response.
    :ivar is_silent: whether the last request got no response in time.
    :ivar idle_since_s: end of the last request on the clock of the event loop.
    """

    def __init__(self, base_url: str, headers: Mapping[str, str]) -> None:
        """Prepare a connection; requires a running event loop."""
        self.label = 0
        self.is_reusable = True
        self.is_silent = False
        self.idle_since_s: float = 0
        self._base_url = base_url
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_start.append(self._begin_connection)
        self._session = open_session(1, headers, tracing)

    async def send(
        self,
        request: HttpRequest,
        expires_at_s: float,
        is_bound: bool = False,
    ) -> HttpResponse:
        """Send a request and read the complete response.

        :param expires_at_s: end of the exchange on the clock of the event loop.
        :param is_bound: whether the request may be sent to the process that
            answered the last one only.
        :raises ConnectionEndedError: if a bound request was not sent, as the
            connection has ended.
        :raises NotSentError: if nothing was sent.
        :raises NoResponseError: if no complete response arrived in time.
        """
        attempt = Attempt(can_retry=False, can_connect=not is_bound)
        self.is_reusable = False
        try:
            response = await exchange(
                self._session, self._base_url, request, attempt, expires_at_s
            )
        finally:
            self.is_silent = attempt.is_unanswered
        self.is_reusable = True
        return response

    async def close(self) -> None:
        """Close the connection."""
        await self._session.close()

    async def _begin_connection(
        self,
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        _: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        attempt: Attempt = context.trace_request_ctx
        self.label = 0
        if attempt.can_connect:
            return
        # aiohttp resends a PUT or DELETE when its connection ends.
        if attempt.is_sent:
            raise NoResponseError('the connection was closed before a response')
        raise ConnectionEndedError('the connection has ended')


class ConnectionPool:
    """Connections to one address, each used by one caller at a time.

    The most recently used connection is used first. After a timeout, no
    connection that was idle is used again, as all of them may have become
    unresponsive at the same time.
    """

    def __init__(
        self,
        base_url: str,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Create a pool without connections.

        :param headers: headers sent with every request.
        """
        self._base_url = base_url.rstrip('/')
        self._headers = dict(headers or {})
        # Idle connections in the order of their last use.
        self._idle: list[Connection] = []
        self._used: set[Connection] = set()
        self._slots = asyncio.Semaphore(_CONNECTION_LIMIT)
        self._is_closed = False

    @contextlib.asynccontextmanager
    async def connection(
        self, expires_at_s: float
    ) -> AsyncIterator[Connection]:
        """Lend a connection.

        :param expires_at_s: end of the wait for a free one, on the clock of the
            event loop.
        :raises NotSentError: if none became free in time.
        """
        await self._wait_for_slot(expires_at_s)
        connection = self._idle.pop() if self._idle else self._open()
        self._used.add(connection)
        try:
            yield connection
        finally:
            await self._close_all(self._take_back(connection))

    async def close(self) -> None:
        """Close all connections."""
        self._is_closed = True
        await self._close_all(self._idle + list(self._used))

    async def _wait_for_slot(self, expires_at_s: float) -> None:
        try:
            async with asyncio.timeout_at(expires_at_s):
                await self._slots.acquire()
        except TimeoutError as late:
            raise NotSentError('no connection within the timeout') from late
        if self._is_closed:
            self._slots.release()
            raise NotSentError('the connections are closed')

    def _open(self) -> Connection:
        return Connection(self._base_url, self._headers)

    def _take_back(self, connection: Connection) -> list[Connection]:
        """Keep a connection for later calls if it may be used again.

        :returns: the connections to close.
        """
        self._used.discard(connection)
        self._slots.release()
        now_s = asyncio.get_running_loop().time()
        connection.idle_since_s = now_s
        kept_since_s = now_s - _IDLE_LIMIT_S
        closing = [
            idle
            for idle in self._idle
            if connection.is_silent or idle.idle_since_s < kept_since_s
        ]
        self._idle = [idle for idle in self._idle if idle not in closing]
        is_kept = connection.is_reusable and not self._is_closed
        (self._idle if is_kept else closing).append(connection)
        return closing

    async def _close_all(self, connections: list[Connection]) -> None:
        for connection in connections:
            await connection.close()
