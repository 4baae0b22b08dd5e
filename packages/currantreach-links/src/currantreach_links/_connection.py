"""Connection of a link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import zmq
from zmq import asyncio as async_zmq

from currantreach_links._errors import NotSentError
from currantreach_links._frames import (
    MAX_FRAME_BYTES,
    RECEIVE_QUEUE_LENGTH,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('Connection',)

_HIGH_WATER_MARK: Final = 1000
_RECONNECT_MS: Final = 50
_MAX_RECONNECT_MS: Final = 1000


class Connection:
    """A ZeroMQ socket and the task that receives from it."""

    def __init__(
        self,
        address: str,
        connect_timeout_s: float,
        on_frame: Callable[[bytes], None],
    ) -> None:
        """Connect in the background.

        :param connect_timeout_s: time limit for each connection attempt.
        :param on_frame: called with each received frame.
        :raises NotSentError: if the address is invalid.
        """
        timeout_ms = max(1, int(connect_timeout_s * 1000))
        socket = async_zmq.Context.instance().socket(zmq.DEALER)
        socket.linger = 0
        socket.maxmsgsize = MAX_FRAME_BYTES
        socket.sndhwm = _HIGH_WATER_MARK
        socket.rcvhwm = RECEIVE_QUEUE_LENGTH
        # Without this option, frames are queued while there is no connection,
        # and the peer would handle calls long after they timed out.
        socket.immediate = 1
        socket.connect_timeout = timeout_ms
        socket.handshake_ivl = timeout_ms
        socket.reconnect_ivl = _RECONNECT_MS
        socket.reconnect_ivl_max = _MAX_RECONNECT_MS
        try:
            socket.connect(address)
        except zmq.ZMQError as error:
            socket.close()
            raise NotSentError(
                f'{address!r} is no address of a peer: {error}; correct it'
            ) from error
        self._socket = socket
        self._receive_task = asyncio.create_task(self._receive(on_frame))

    def send(self, frame: bytes) -> asyncio.Future[object]:
        """Send a frame; the returned future is cancelled on close."""
        return asyncio.ensure_future(self._socket.send(frame))

    def probe(self, frame: bytes) -> None:
        """Send a frame, or drop it if the queue is full."""
        sent = self._socket.send(frame, flags=zmq.DONTWAIT)
        probe: asyncio.Future[object] = asyncio.ensure_future(sent)
        probe.add_done_callback(_ignore_error)

    def close(self) -> None:
        """Close the socket and drop unsent frames."""
        self._receive_task.cancel()
        self._socket.close(linger=0)

    async def _receive(self, on_frame: Callable[[bytes], None]) -> None:
        while True:
            on_frame(await self._socket.recv())


def _ignore_error(sent: asyncio.Future[object]) -> None:
    # Retrieving the exception prevents a warning by asyncio.
    if not sent.cancelled():
        sent.exception()
