"""Closing of idle and slow connections."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs
from aiohttp import StreamReader

from currantreach_http._bodies import BodyReader, WholeBodyReader
from currantreach_http._connection import CallerConnection
from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from aiohttp import web
    from aiohttp.web_protocol import RequestHandler

    from currantreach_types import Clock

__all__ = ('ConnectionLimiter', 'ConnectionLimits')

# A connection exceeds its timeout by at most this time.
_SWEEP_INTERVAL_S = 0.5
# Short compared to the duration of a request.
_DRAIN_INTERVAL_S = 0.02
# The handler starts two event loop iterations after its request was read. One
# more allows for the order of tasks within an iteration.
_HANDLER_ITERATIONS = 3


@attrs.frozen(slots=True, kw_only=True)
class ConnectionLimits:
    """Limits on the connections to a server.

    :ivar max_connections: limit on open connections, above which those
        without a request being served are closed, the longest idle first.
    :ivar first_request_timeout_s: time limit for the headers of the first
        request.
    :ivar idle_timeout_s: time limit between two requests on a connection.
    :ivar body_timeout_s: time limit for the body of a request.
    """

    max_connections: int = 2000
    first_request_timeout_s: float = 3
    idle_timeout_s: float = 15
    body_timeout_s: float = 3


class _Phase(enum.Enum):
    NEW = 'new'
    IDLE = 'idle'
    RECEIVING = 'receiving'
    SERVING = 'serving'


@attrs.define(slots=True)
class _ConnectionState:
    """Phase of a connection.

    :ivar since_s: when the phase began.
    :ivar body: body of the last request.
    """

    phase: _Phase
    since_s: float
    body: StreamReader | None = None

    def is_busy(self) -> bool:
        """Return whether a request is in progress.

        This includes reading the remaining body of a rejected request: closing
        the connection earlier would reset it, and might lose the response.
        """
        if self.phase in {_Phase.RECEIVING, _Phase.SERVING}:
            return True
        return self.body is not None and not self.body.is_eof()


class ConnectionLimiter:
    """Enforces limits on the connections of a server."""

    def __init__(
        self,
        get_limits: Callable[[], ConnectionLimits],
        clock: Clock,
        body_reader: BodyReader | None = None,
    ) -> None:
        """Create a limiter; :meth:`attach` sets its server.

        :param get_limits: returns the current limits.
        """
        self._body_reader = body_reader or WholeBodyReader()
        self._has_excess = asyncio.Event()
        self._get_limits = get_limits
        self._clock = clock
        self._server: web.Server | None = None
        self._states: dict[RequestHandler, _ConnectionState] = {}

    def attach(self, server: web.Server) -> None:
        """Set the server whose connections are limited."""
        self._server = server

    def begin_request(self, request: web.BaseRequest) -> None:
        """Record that the headers of a request were received."""
        has_body = request.can_read_body
        self._set_phase(
            request, _Phase.RECEIVING if has_body else _Phase.SERVING
        )

    def end_request(self, request: web.BaseRequest) -> None:
        """Record that a request was answered."""
        self._set_phase(request, _Phase.IDLE)

    async def read_body(self, request: web.BaseRequest) -> bytes:
        """Read the body of a request.

        :raises TimeoutError: if the body does not arrive in time.
        """
        body = await self._body_reader.read(
            request, self._get_limits().body_timeout_s
        )
        self._set_phase(request, _Phase.SERVING)
        return body

    async def close_excess(self) -> bool:
        """Close excess connections that serve no request, oldest phase first.

        :returns: whether the number of connections is within the limit.
        """
        limit = self._get_limits().max_connections
        # This runs for each request, so the common case is kept cheap.
        if self._server is None or len(self._server.connections) <= limit:
            return True
        states = self._open_connections()
        excess = len(states) - limit
        if excess <= 0:
            return True
        unserved = [
            (state.since_s, number, connection)
            for number, (connection, state) in enumerate(states.items())
            if state.phase is not _Phase.SERVING
        ]
        oldest = [connection for _, _, connection in sorted(unserved)[:excess]]
        return await self._close(oldest, 'too_many') == excess

    async def drain(self, timeout_s: float) -> None:
        """Close all connections, each after its request is answered.

        Call this after the server stopped accepting connections and before
        its shutdown, which drops data that arrives for requests in progress
        or on recently accepted connections, and aborts these later.

        :param timeout_s: time limit for requests in progress.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while open_connections := self._open_connections():
            idle = [
                connection
                for connection, state in open_connections.items()
                if not state.is_busy()
            ]
            await self._close(idle, 'stopping')
            if asyncio.get_running_loop().time() >= deadline_s:
                log_event('requests_cut', count=len(self._open_connections()))
                return
            await asyncio.sleep(_DRAIN_INTERVAL_S)

    async def run(self) -> None:
        """Close connections that exceed their limits, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_SWEEP_INTERVAL_S):
                    await self._has_excess.wait()
            except TimeoutError:
                await self.sweep()
            self._has_excess.clear()
            await self.close_excess()

    def note_open_count(self, open_count: int) -> None:
        """Have excess connections closed before the next sweep."""
        if open_count > self._get_limits().max_connections:
            self._has_excess.set()

    async def sweep(self) -> None:
        """Close all connections that exceed a limit."""
        now_s = self._clock.now_s()
        limits = self._get_limits()
        timeouts_s = {
            _Phase.NEW: limits.first_request_timeout_s,
            _Phase.IDLE: limits.idle_timeout_s,
            _Phase.RECEIVING: limits.body_timeout_s,
        }
        states = self._open_connections()
        for phase, timeout_s in timeouts_s.items():
            overdue = [
                connection
                for connection, state in states.items()
                if state.phase is phase and now_s > state.since_s + timeout_s
            ]
            await self._close(overdue, phase.value)
        await self.close_excess()

    def _open_connections(
        self,
    ) -> dict[RequestHandler, _ConnectionState]:
        """Return the open connections; the time of new ones starts now."""
        if self._server is None:
            return {}
        now_s = self._clock.now_s()
        self._states = {
            connection: self._states.get(connection)
            or _ConnectionState(_Phase.NEW, now_s)
            for connection in self._server.connections
            if connection.connected
        }
        return self._states

    def _set_phase(self, request: web.BaseRequest, phase: _Phase) -> None:
        self._states[request.protocol] = _ConnectionState(
            phase,
            self._clock.now_s(),
            request.content,
        )

    async def _close(
        self,
        connections: Collection[RequestHandler],
        reason: str,
    ) -> int:
        """Close connections, except those that receive a request meanwhile.

        Reading is paused before a connection is closed, so that no request is
        read and then dropped.

        :returns: number of closed connections.
        """
        if not connections:
            return 0
        states = {each: self._states.get(each) for each in connections}
        # Data that has already arrived is read in this iteration.
        await asyncio.sleep(0)
        for paused in connections:
            if paused.transport is not None:
                paused.transport.pause_reading()
        for _ in range(_HANDLER_ITERATIONS):
            await asyncio.sleep(0)
        for connection, state in states.items():
            if connection.transport is None:
                continue
            if self._states.get(connection) is state and not _has_data(
                connection
            ):
                log_event('connection_closed', reason=reason)
                connection.force_close()
            else:
                connection.transport.resume_reading()
        return sum(not closed.connected for closed in connections)


def _has_data(connection: RequestHandler) -> bool:
    """Tell whether a connection has received data that is not parsed yet."""
    return isinstance(connection, CallerConnection) and connection.is_deferred
