"""Closing of connections that hold a place and ask nothing."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs
from aiohttp import StreamReader

from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from aiohttp import web
    from aiohttp.web_protocol import RequestHandler

    from currantreach_types import Clock

__all__ = ('ConnectionLimiter', 'ConnectionLimits')

# A connection outlives its bound by this time at most.
_SWEEP_S = 0.5
# A small part of the time that a request takes.
_DRAIN_STEP_S = 0.02
# The handler of a request that was read begins two steps of the event loop
# later; one more for the order of the tasks in a step.
_HANDLER_STEPS = 3


@attrs.frozen(slots=True, kw_only=True)
class ConnectionLimits:
    """Bounds of the connections to one server.

    :ivar max_connections: open connections beyond which those that are not
        being served give way, the longest idle first.
    :ivar first_request_timeout_s: time in which a new connection has to send the
        headers of its first request.
    :ivar idle_timeout_s: time between two requests on one connection.
    :ivar body_timeout_s: time in which the body of a request has to arrive.
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
class _Connection:
    """Phase of a connection, and since when it lasts.

    :ivar body: body of the last request.
    """

    phase: _Phase
    since_s: float
    body: StreamReader | None = None

    def is_busy(self) -> bool:
        """Tell whether a request is in progress.

        The rest of a body that was refused has to be read as well: closing
        the connection before would reset it, and the answer might be lost.
        """
        if self.phase in {_Phase.RECEIVING, _Phase.SERVING}:
            return True
        return self.body is not None and not self.body.is_eof()


class ConnectionLimiter:
    """Watches the connections of one server."""

    def __init__(
        self,
        read_limits: Callable[[], ConnectionLimits],
        clock: Clock,
    ) -> None:
        """Prepare to watch; :meth:`run` needs the server.

        :param read_limits: returns the bounds in force.
        """
        self._read_limits = read_limits
        self._clock = clock
        self._server: web.Server | None = None
        self._known: dict[RequestHandler, _Connection] = {}

    def attach(self, server: web.Server) -> None:
        """Watch the connections of a server."""
        self._server = server

    def begin_request(self, request: web.BaseRequest) -> None:
        """Note that the headers of a request are here."""
        has_body = request.can_read_body
        self._note(request, _Phase.RECEIVING if has_body else _Phase.SERVING)

    def end_request(self, request: web.BaseRequest) -> None:
        """Note that a request has its answer."""
        self._note(request, _Phase.IDLE)

    async def read_body(self, request: web.BaseRequest) -> bytes:
        """Return the body of a request.

        :raises TimeoutError: if it does not arrive in time.
        """
        async with asyncio.timeout(self._read_limits().body_timeout_s):
            body = await request.read()
        self._note(request, _Phase.SERVING)
        return body

    async def close_excess(self) -> bool:
        """Close what is beyond the bound, the longest idle first.

        :returns: whether the connections are within the bound now.
        """
        most = self._read_limits().max_connections
        # Each request asks, so the connections are looked at only if need be.
        if self._server is None or len(self._server.connections) <= most:
            return True
        known = self._connections()
        excess = len(known) - most
        if excess <= 0:
            return True
        waiting = [
            (state.since_s, number, connection)
            for number, (connection, state) in enumerate(known.items())
            if state.phase is not _Phase.SERVING
        ]
        longest = [connection for _, _, connection in sorted(waiting)[:excess]]
        return await self._close(longest, 'too_many') == excess

    async def drain(self, timeout_s: float) -> None:
        """Close all connections, each once its request is answered.

        The server must accept no more connections and is closed afterwards.
        Its own shutdown drops what arrives for a request in progress and on
        connections that it has just accepted, and cuts them later.

        :param timeout_s: how long requests in progress may take.
        """
        end_s = asyncio.get_running_loop().time() + timeout_s
        while open_connections := self._connections():
            idle = [
                connection
                for connection, known in open_connections.items()
                if not known.is_busy()
            ]
            await self._close(idle, 'stopping')
            if asyncio.get_running_loop().time() >= end_s:
                log_event('requests_cut', count=len(self._connections()))
                return
            await asyncio.sleep(_DRAIN_STEP_S)

    async def run(self) -> None:
        """Close connections beyond their bounds until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Close each connection that is beyond one of its bounds."""
        now_s = self._clock.now_s()
        limits = self._read_limits()
        bounds_s = {
            _Phase.NEW: limits.first_request_timeout_s,
            _Phase.IDLE: limits.idle_timeout_s,
            _Phase.RECEIVING: limits.body_timeout_s,
        }
        known = self._connections()
        for phase, bound_s in bounds_s.items():
            late = [
                connection
                for connection, state in known.items()
                if state.phase is phase and now_s > state.since_s + bound_s
            ]
            await self._close(late, phase.value)
        await self.close_excess()

    def _connections(
        self,
    ) -> dict[RequestHandler, _Connection]:
        """Return the open connections; new ones are counted from now on."""
        if self._server is None:
            return {}
        now_s = self._clock.now_s()
        self._known = {
            connection: self._known.get(connection)
            or _Connection(_Phase.NEW, now_s)
            for connection in self._server.connections
            if connection.connected
        }
        return self._known

    def _note(self, request: web.BaseRequest, phase: _Phase) -> None:
        self._known[request.protocol] = _Connection(
            phase,
            self._clock.now_s(),
            request.content,
        )

    async def _close(
        self,
        chosen: Collection[RequestHandler],
        reason: str,
    ) -> int:
        """Close connections unless a request was read on them meanwhile.

        Nothing is read from them before they are closed, so that no request
        is read and dropped.

        :returns: how many of them are closed.
        """
        if not chosen:
            return 0
        states = {each: self._known.get(each) for each in chosen}
        # What has arrived by now is read in this step.
        await asyncio.sleep(0)
        for paused in chosen:
            if paused.transport is not None:
                paused.transport.pause_reading()
        for _ in range(_HANDLER_STEPS):
            await asyncio.sleep(0)
        for connection, state in states.items():
            if connection.transport is None:
                continue
            if self._known.get(connection) is state:
                log_event('connection_closed', reason=reason)
                connection.force_close()
            else:
                connection.transport.resume_reading()
        return sum(not closed.connected for closed in chosen)
