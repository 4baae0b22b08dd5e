"""Client side of a link to a peer."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import secrets
from typing import TYPE_CHECKING, Final, TypeVar

from currantreach_links._connection import Connection
from currantreach_links._errors import NotSentError, build_error
from currantreach_links._frames import (
    MAX_FRAME_BYTES,
    MAX_HELD_BYTES,
    SMALL_FRAME_BYTES,
    FrameCodec,
    Reply,
    Request,
)
from currantreach_types import decode_msgpack, encode_msgpack
from currantreach_types.errors import LinkError, MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ('PeerLink',)

_CallResult = TypeVar('_CallResult')

#: The timeout is counted in ticks of the event loop instead of elapsed time,
#: so that a pause of this process is not mistaken for a silent peer.
_TIMEOUT_TICKS: Final = 4
_CALL_ID_BYTES: Final = 8


class PeerLink:
    """Client for one peer over one connection.

    The connection is replaced if no reply arrives for ``peer_timeout_s``
    while calls are in flight. The link probes the peer meanwhile, so that a
    slow handler is not mistaken for a dead connection.

    :ivar peer_id: ID of the peer.
    :ivar address: ``tcp://<ip>:<port>`` of the peer.
    :ivar reconnect_count: number of replaced connections.
    :ivar rejected_count: number of frames dropped as invalid.
    """

    def __init__(
        self,
        peer_id: str,
        address: str,
        secret: bytes,
        peer_timeout_s: float = 2,
        max_in_flight: int = 1000,
        max_held_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        """Create a link; the first call connects it.

        :param max_in_flight: limit on calls sent or waiting to be sent.
        :param max_held_bytes: limit on the bytes of these calls, above which
            only small ones are sent.
        """
        self._held_bytes = 0
        self._max_held_bytes = max_held_bytes
        self.peer_id = peer_id
        self.address = address
        self.reconnect_count = 0
        self.rejected_count = 0
        self._codec = FrameCodec(secret)
        self._peer_timeout_s = peer_timeout_s
        self._max_in_flight = max_in_flight
        self._call_ids = _call_ids()
        self._pending: dict[bytes, asyncio.Future[Reply]] = {}
        self._connection: Connection | None = None
        self._monitor_task: asyncio.Task[None] | None = None
        self._ticks_without_reply = 0

    @property
    def total_bytes(self) -> int:
        """Return the size of all frames sent and received so far."""
        return self._codec.total_bytes

    async def call(
        self,
        method: str,
        message: object,
        reply_type: type[_CallResult],
        timeout_s: float,
    ) -> _CallResult:
        """Call a method of the peer.

        :raises NotSentError: if the peer did not handle the call.
        :raises LinkError: if no reply arrived; the call may have been handled.
        :raises CurrantreachError: if the handler raised it.
        """
        request = Request(
            call_id=next(self._call_ids),
            method=method,
            body=encode_msgpack(message),
        )
        reply = await self._exchange(request, timeout_s)
        if reply.error_kind:
            raise build_error(
                reply.error_kind,
                reply.error_text,
                reply.current_revision,
            )
        return decode_msgpack(reply.body, reply_type)

    async def close(self) -> None:
        """Close the connection; calls in flight fail."""
        if self._monitor_task is not None:
            self._monitor_task.cancel()
            await asyncio.wait({self._monitor_task})
            self._monitor_task = None
        self._drop_connection()

    async def _exchange(self, request: Request, timeout_s: float) -> Reply:
        if len(self._pending) >= self._max_in_flight:
            raise NotSentError(f'queue to {self.peer_id} is full; retry later')
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        reply_future: asyncio.Future[Reply] = loop.create_future()
        frame = self._codec.encode_frame(request)
        self._hold(len(frame))
        self._pending[request.call_id] = reply_future
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._release, len(frame))
            cleanup.callback(self._pending.pop, request.call_id, None)
            await self._send(frame, timeout_s)
            await asyncio.wait({reply_future}, timeout=deadline_s - loop.time())
        if reply_future.cancelled() or not reply_future.done():
            raise LinkError(
                f'no reply from {self.peer_id} to {request.method}; '
                + 'check whether it was executed before a retry',
            )
        return reply_future.result()

    def _hold(self, size_bytes: int) -> None:
        held_bytes = self._held_bytes + size_bytes
        is_small = size_bytes <= SMALL_FRAME_BYTES
        if held_bytes > self._max_held_bytes and not is_small:
            raise NotSentError(
                f'calls to {self.peer_id} hold too many bytes; retry later'
            )
        self._held_bytes = held_bytes

    def _release(self, size_bytes: int) -> None:
        self._held_bytes -= size_bytes

    async def _send(self, frame: bytes, timeout_s: float) -> None:
        if len(frame) > MAX_FRAME_BYTES:
            raise NotSentError(
                f'message too large ({len(frame)} bytes); send a smaller one'
            )
        sent = self._ensure_connected().send(frame)
        # With wait_for(), a timeout that coincides with the send would report a
        # sent call as not sent.
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(sent.cancel)
            await asyncio.wait({sent}, timeout=timeout_s)
        if sent.cancelled() or sent.exception() is not None:
            raise NotSentError(f'{self.peer_id} is not connected; retry later')

    def _ensure_connected(self) -> Connection:
        if self._connection is None:
            self._connection = Connection(
                self.address,
                self._peer_timeout_s,
                self._on_frame,
            )
        if self._monitor_task is None:
            self._monitor_task = asyncio.create_task(self._monitor())
        return self._connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        for reply_future in self._pending.values():
            reply_future.cancel()
        self._pending.clear()
        self._ticks_without_reply = 0

    async def _monitor(self) -> None:
        while True:
            await asyncio.sleep(self._peer_timeout_s / _TIMEOUT_TICKS)
            if not self._pending:
                self._ticks_without_reply = 0
                continue
            self._ticks_without_reply += 1
            if self._ticks_without_reply > _TIMEOUT_TICKS:
                self._drop_connection()
                self.reconnect_count += 1
            else:
                self._probe()

    def _probe(self) -> None:
        frame = self._codec.encode_frame(Request(call_id=next(self._call_ids)))
        self._ensure_connected().probe(frame)

    def _on_frame(self, frame: bytes) -> None:
        try:
            reply = self._codec.decode_frame(frame, Reply)
        except MalformedMessageError:
            self.rejected_count += 1
            return
        self._ticks_without_reply = 0
        reply_future = self._pending.get(reply.call_id)
        if reply_future is not None and not reply_future.done():
            reply_future.set_result(reply)


def _call_ids() -> Iterator[bytes]:
    # The random prefix prevents matching replies to an earlier process.
    prefix = secrets.token_bytes(_CALL_ID_BYTES)
    for number in itertools.count():
        yield prefix + number.to_bytes(_CALL_ID_BYTES)
