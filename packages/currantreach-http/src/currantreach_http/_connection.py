"""Connections of callers whose bytes and processor time are limited."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

import attrs
from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler

from currantreach_http._bodies import BodyReader
from currantreach_http._budget import ByteBudget
from currantreach_http._closures import ClosureLog
from currantreach_http._errors import (
    BODY_TOO_LARGE,
    CALLER_MEMORY,
    FRAMING_TOO_LARGE,
    HEADERS_TOO_LARGE,
    RequestRefusedError,
)
from currantreach_http._turns import ReadTurns, TurnTaker
from currantreach_telemetry import log_warning

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from aiohttp import StreamReader

__all__ = (
    'CallerConnection',
    'GuardedServer',
    'LimitedBodyReader',
    'ReceiveContext',
    'RequestLimits',
)

# Data received at once: parsing it takes at most about 2 ms in chunks of one
# byte.
_PIECE_BYTES: Final = 8192
# Each header is kept as four strings and two tuples beside its bytes.
_HEADER_OVERHEAD_BYTES: Final = 256
# A body in chunks of one byte takes six bytes for each.
_FRAMING_FACTOR: Final = 8
# aiohttp stops reading at twice this size of a body that nobody reads.
_READ_BUFFER_BYTES: Final = 65536
# Responses are shorter; a caller that reads none gets no further ones.
_WRITE_BUFFER_BYTES: Final = 16384
# A caller that still sends reads its refusal within this time. A connection
# that is closed with unread data is reset, and the refusal may be lost.
_LINGER_S: Final = 1
# Larger than a usual body, so that most callers read the refusal.
_DISCARD_BYTES: Final = 1_000_000
# Name and value of a header are followed by ": " and CRLF.
_SEPARATOR_BYTES: Final = 4
# Spaces, version and CRLF of the first line, and the CRLF after the headers.
_FIRST_LINE_BYTES: Final = 14
_STATUS_BY_REASON: Final = MappingProxyType(
    {
        HEADERS_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        CALLER_MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@attrs.frozen(slots=True, kw_only=True)
class RequestLimits:
    """Limits on a single request, and on the number of connections.

    :ivar header_bytes: limit on the request line with all headers.
    :ivar body_bytes: limit on the body, however it is sent.
    :ivar connection_count: connections above this number are closed at once.
    """

    header_bytes: int
    body_bytes: int
    connection_count: int


@attrs.define(slots=True, kw_only=True)
class ReceiveContext:
    """What all connections of a server share.

    :ivar get_limits: returns the current limits.
    :ivar on_open: called with the number of open connections after one opens.
    :ivar open_count: number of open connections.
    :ivar piece: data of the connection that is being read.
    """

    budget: ByteBudget
    turns: ReadTurns
    closures: ClosureLog
    get_limits: Callable[[], RequestLimits]
    on_open: Callable[[int], None]
    open_count: int = 0
    piece: bytearray = attrs.field(factory=lambda: bytearray(_PIECE_BYTES))


class CallerConnection(RequestHandler, asyncio.BufferedProtocol, TurnTaker):
    """Connection that enforces the limits before aiohttp keeps the data.

    :ivar is_deferred: whether received data waits for its turn.
    """

    def __init__(
        self,
        server: web.Server,
        context: ReceiveContext,
        **options: Any,
    ) -> None:
        """Create a connection that is not open yet.

        :param options: passed to aiohttp.
        """
        super().__init__(server, **options)
        self.is_deferred = False
        self._context = context
        self._holding = context.budget.open(self._refuse_for_memory)
        self._is_counted = False
        self._unparsed = bytearray()
        # Body of the last request whose headers were received.
        self._last_body: StreamReader = EMPTY_PAYLOAD
        self._head_bytes = 0
        self._body_wire_bytes = 0
        self._discarded_bytes = 0
        self._refusal = ''
        self._body_scope: asyncio.Timeout | None = None
        self._linger_handle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open the connection, or close it if there are too many."""
        context = self._context
        if context.open_count >= context.get_limits().connection_count:
            context.closures.add('too_many')
            if isinstance(transport, asyncio.Transport):
                transport.abort()
            return
        self._is_counted = True
        context.open_count += 1
        if isinstance(transport, asyncio.WriteTransport):
            transport.set_write_buffer_limits(_WRITE_BUFFER_BYTES)
        super().connection_made(transport)
        context.on_open(context.open_count)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release all that the connection holds."""
        self._context.open_count -= self._is_counted
        self._is_counted = False
        self._unparsed.clear()
        self._context.budget.close(self._holding)
        if self._linger_handle is not None:
            self._linger_handle.cancel()
        self._drop_queued()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for received data, which is copied at once."""
        return self._context.piece

    def buffer_updated(self, nbytes: int) -> None:
        """Account for received data, and parse it when its turn has come."""
        if self._refusal:
            self._discard(nbytes)
            return
        piece = self._context.piece[:nbytes]
        self._unparsed += piece
        size_bytes = nbytes
        if self._last_body.is_eof():
            size_bytes += _HEADER_OVERHEAD_BYTES * _count_headers(piece)
        if not self._context.budget.receive(self._holding, size_bytes):
            self.refuse(CALLER_MEMORY)
            return
        if not self.is_deferred:
            self.is_deferred = not self._context.turns.process(self)
        if self.is_deferred and self.transport is not None:
            self.transport.pause_reading()

    def take_turn(self) -> None:
        """Parse the data received so far."""
        unparsed = bytes(self._unparsed)
        self._unparsed.clear()
        was_deferred = self.is_deferred
        self.is_deferred = False
        if unparsed and self._manager is not None:
            self._parse(unparsed)
        if was_deferred and not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def data_received(self, received: bytes) -> None:
        """Parse data, and refuse a request that exceeds a limit.

        aiohttp itself calls this without data after a pause. Nothing is parsed
        after a refusal: a compressed body would be decompressed to its end.
        """
        if self._refusal:
            return
        request_count = self._request_count
        is_head = self._last_body.is_eof()
        super().data_received(received)
        if self._request_count != request_count and self._messages:
            self._last_body = self._messages[-1][1]
            self._head_bytes = 0
            self._body_wire_bytes = 0
        elif is_head:
            self._head_bytes += len(received)
        else:
            self._body_wire_bytes += len(received)
        self._check_wire_bytes()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused.

        aiohttp calls this for each chunk that is read, and parses nothing each
        time, which took most of the time for a body in chunks of one byte.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def begin_request(self, request: web.BaseRequest) -> None:
        """Account for a request whose headers were received.

        :raises RequestRefusedError: if the headers exceed the limit.
        """
        head_bytes = _measure_head(request, request.raw_path)
        if head_bytes > self._context.get_limits().header_bytes:
            raise RequestRefusedError(HEADERS_TOO_LARGE)
        if not request.can_read_body:
            self._context.budget.set_bytes(
                self._holding,
                received_bytes=self._queued_bytes(),
                served_bytes=head_bytes,
            )

    def begin_serving(self, size_bytes: int) -> None:
        """Account for a decoded request instead of its body.

        :param size_bytes: memory of the decoded request.
        :raises RequestRefusedError: if the budget does not permit it.
        """
        if not self._context.budget.serve(self._holding, size_bytes):
            raise RequestRefusedError(CALLER_MEMORY)
        self._context.budget.set_bytes(
            self._holding, received_bytes=self._queued_bytes()
        )

    def end_request(self, request: web.BaseRequest) -> None:
        """Release the bytes of a request that was answered."""
        self.spent_s = 0
        has_rest = not request.content.is_eof()
        if has_rest and 'Content-Encoding' in request.headers:
            # The rest would be decompressed only to be dropped.
            self._refusal = self._refusal or BODY_TOO_LARGE
        self._context.budget.set_bytes(
            self._holding,
            received_bytes=self._queued_bytes(),
            served_bytes=0,
        )

    async def read_body(
        self, request: web.BaseRequest, timeout_s: float
    ) -> bytes:
        """Return the body of a request.

        :raises RequestRefusedError: if it exceeds a limit.
        :raises TimeoutError: if it does not arrive in time.
        """
        try:
            async with asyncio.timeout(timeout_s) as scope:
                self._body_scope = scope
                return await self._read_pieces(request)
        except TimeoutError:
            if self._refusal:
                raise RequestRefusedError(self._refusal) from None
            raise
        finally:
            self._body_scope = None

    def refuse(self, reason: str) -> None:
        """Refuse the request that is being received, and drop all later data.

        A request that is being served is answered first.
        """
        if self._refusal:
            return
        self._refusal = reason
        self._unparsed.clear()
        self._context.budget.set_bytes(self._holding, received_bytes=0)
        is_in_progress = self._current_request is not None or self._messages
        if self._last_body.is_eof():
            if is_in_progress:
                self._context.closures.add(reason)
                self.close()
            else:
                self._answer_refusal()
        elif not is_in_progress:
            # The rest of the body of a request that was answered.
            self._context.closures.add(reason)
            self.force_close()
        elif self._body_scope is not None:
            self._body_scope.reschedule(self._loop.time())

    def refuse_body(self, request: web.BaseRequest) -> None:
        """Drop the rest of a body that is too large."""
        if not request.content.is_eof():
            self.refuse(BODY_TOO_LARGE)

    async def _read_pieces(self, request: web.BaseRequest) -> bytes:
        body = bytearray()
        limit_bytes = self._context.get_limits().body_bytes
        while not request.content.at_eof():
            if self._refusal and request.content is self._last_body:
                raise RequestRefusedError(self._refusal)
            body += await request.content.readany()
            if len(body) > limit_bytes:
                self.refuse_body(request)
                raise RequestRefusedError(BODY_TOO_LARGE)
        return bytes(body)

    def _resume_transport_reading(self) -> None:
        if not self.is_deferred:
            super()._resume_transport_reading()

    def _parse(self, unparsed: bytes) -> None:
        try:
            self.data_received(unparsed)
        except Exception as error:  # The other connections have their turn.
            log_warning('caller_data_failed', error=repr(error))
            self.force_close()

    def _refuse_for_memory(self) -> None:
        self.refuse(CALLER_MEMORY)

    def _check_wire_bytes(self) -> None:
        limits = self._context.get_limits()
        if self._head_bytes > limits.header_bytes:
            self.refuse(HEADERS_TOO_LARGE)
        elif self._body_wire_bytes > _FRAMING_FACTOR * limits.body_bytes:
            self.refuse(FRAMING_TOO_LARGE)

    def _queued_bytes(self) -> int:
        """Return the size of the requests that wait for the present one."""
        return sum(
            _measure_head(message, message.path) + payload.total_bytes
            for message, payload in self._messages
            if isinstance(message, RawRequestMessage)
        )

    def _drop_queued(self) -> None:
        """Drop the requests that wait to be served."""
        if self._messages:
            self._messages.clear()
            self._last_body = EMPTY_PAYLOAD
        # A task that was just woken for a request would fail without one.
        if self._waiter is not None and self._task_handler is not None:
            self._task_handler.cancel()

    def _answer_refusal(self) -> None:
        """Answer a request without complete headers, and close."""
        self._context.closures.add(self._refusal)
        if self.transport is None:
            return
        self.transport.write(_encode_refusal(self._refusal))
        self._linger_handle = self._loop.call_later(_LINGER_S, self.force_close)

    def _discard(self, size_bytes: int) -> None:
        """Drop data after a refusal."""
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > _DISCARD_BYTES:
            self.force_close()


class LimitedBodyReader(BodyReader):
    """Reads bodies within the limits of their connection."""

    async def read(self, request: web.BaseRequest, timeout_s: float) -> bytes:
        """Return the whole body."""
        connection = request.protocol
        if isinstance(connection, CallerConnection):
            return await connection.read_body(request, timeout_s)
        raise TypeError('the server is no GuardedServer; create one')


class GuardedServer(web.Server):
    """Server whose connections share one budget."""

    def __init__(
        self,
        serve: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        context: ReceiveContext,
        keepalive_timeout_s: float,
        linger_s: float,
    ) -> None:
        """Create a server without connections.

        :param linger_s: how long the rest of a body is read after a response.
        """
        super().__init__(serve)
        self._context = context
        self._keepalive_timeout_s = keepalive_timeout_s
        self._linger_s = linger_s

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        # The connection itself refuses headers that exceed the limit, once a
        # further piece has arrived.
        parsed_bytes = (
            self._context.get_limits().header_bytes + 2 * _PIECE_BYTES
        )
        return CallerConnection(
            self,
            self._context,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=self._keepalive_timeout_s,
            lingering_time=self._linger_s,
            max_line_size=parsed_bytes,
            max_field_size=parsed_bytes,
            read_bufsize=_READ_BUFFER_BYTES,
        )


def _count_headers(piece: bytes | bytearray) -> int:
    """Return the number of lines of the first request in received data."""
    first_head, _, _ = piece.lstrip(b'\r\n').partition(b'\r\n\r\n')
    return first_head.count(b'\n')


def _measure_head(
    request: web.BaseRequest | RawRequestMessage, path: str
) -> int:
    """Return the size of the request line and the headers."""
    first_line_bytes = len(request.method) + len(path)
    return sum(
        (len(name) + len(text) + _SEPARATOR_BYTES)
        for name, text in request.raw_headers
    ) + (first_line_bytes + _FIRST_LINE_BYTES)


def _encode_refusal(reason: str) -> bytes:
    status = _STATUS_BY_REASON[reason]
    body = f'{{"error":"{reason}"}}'
    retry = ''
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        retry = 'Retry-After: 1\r\n'
    return (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n{retry}'
        f'Connection: close\r\n\r\n{body}'
    ).encode()
