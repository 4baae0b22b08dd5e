"""One connection of a link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import zmq
from zmq import asyncio as async_zmq

from currantreach_links._frames import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('Connection',)

_QUEUE_LENGTH: Final = 1000
_RECONNECT_MS: Final = 50
_MAX_RECONNECT_MS: Final = 1000


class Connection:
    """A socket with the task that receives from it."""

    def __init__(
        self,
        address: str,
        connect_timeout_s: float,
        on_frame: Callable[[bytes], None],
    ) -> None:
        """Connect in the background.

        :param connect_timeout_s: how long an attempt to connect may take.
        :param on_frame: called with each frame that arrives.
        """
        timeout_ms = max(1, int(connect_timeout_s * 1000))
        socket = async_zmq.Context.instance().socket(zmq.DEALER)
        socket.linger = 0
        socket.maxmsgsize = MAX_FRAME_BYTES
        socket.set_hwm(_QUEUE_LENGTH)
        # Without this option frames queue up while there is no connection,
        # and the peer would handle calls long after their callers gave up.
        socket.immediate = 1
        socket.connect_timeout = timeout_ms
        socket.handshake_ivl = timeout_ms
        socket.reconnect_ivl = _RECONNECT_MS
        socket.reconnect_ivl_max = _MAX_RECONNECT_MS
        socket.connect(address)
        self._socket = socket
        self._receiver = asyncio.create_task(self._receive(on_frame))

    def send(self, frame: bytes) -> asyncio.Future[object]:
        """Return a future of the sending; it is cancelled by closing."""
        return asyncio.ensure_future(self._socket.send(frame))

    def probe(self, frame: bytes) -> None:
        """Send a frame unless there is no room for it."""
        sent = self._socket.send(frame, flags=zmq.DONTWAIT)
        probe: asyncio.Future[object] = asyncio.ensure_future(sent)
        probe.add_done_callback(_ignore_failure)

    def close(self) -> None:
        """Close the socket and drop what is not on its way."""
        self._receiver.cancel()
        self._socket.close(linger=0)

    async def _receive(self, on_frame: Callable[[bytes], None]) -> None:
        while True:
            on_frame(await self._socket.recv())


def _ignore_failure(sent: asyncio.Future[object]) -> None:
    # Reading the error marks it as handled.
    if not sent.cancelled():
        sent.exception()
