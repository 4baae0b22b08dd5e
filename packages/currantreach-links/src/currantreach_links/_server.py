"""Server side of the links between daemons."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, Protocol

import zmq
from zmq import asyncio as async_zmq

from currantreach_links._errors import BUSY, WrongMacError, error_kind
from currantreach_links._frames import (
    MAX_FRAME_BYTES,
    FrameCodec,
    Reply,
    Request,
)
from currantreach_types.errors import (
    ConflictError,
    CurrantreachError,
    MalformedMessageError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Mapping

__all__ = ('Handler', 'PeerServer')

_QUEUE_LENGTH: Final = 1000
_HEARTBEAT_MS: Final = 1000
_HEARTBEAT_TIMEOUT_MS: Final = 5000
_FLUSH_MS: Final = 500


class Handler(Protocol):  # noqa: WPS110
    """Function that handles the requests of one method."""

    def __call__(self, body: bytes, /) -> Awaitable[bytes]:
        """Turn a packed message into a packed result."""


class PeerServer:
    """Handles the calls of all peers.

    Each request runs in a task of its own. The bound holds for each method,
    so that long polls cannot use up the room of heartbeats and promises.
    """

    def __init__(
        self,
        bind_address: str,
        secret: bytes,
        handlers: Mapping[str, Handler],
        max_running_per_method: int = 256,
    ) -> None:
        """Prepare a server; :meth:`start` opens it.

        :param bind_address: ``tcp://<ip>:<port>``, port 0 for any.
        :param secret: secret that all daemons share.
        :param handlers: handlers by the names of their methods.
        :param max_running_per_method: requests of a method handled at once.
        """
        self._bind_address = bind_address
        self._codec = FrameCodec(secret)
        self._handlers = dict(handlers)
        self._max_running = max_running_per_method
        self._rejected: collections.Counter[str] = collections.Counter()
        self._running: collections.Counter[str] = collections.Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket: async_zmq.Socket | None = None
        self._receiver: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return the address that peers connect to."""
        if self._socket is None:
            return self._bind_address
        return self._socket.get_string(zmq.LAST_ENDPOINT)

    @property
    def total_bytes(self) -> int:
        """Return the size of all frames sent and received so far."""
        return self._codec.total_bytes

    @property
    def rejected_counts(self) -> Mapping[str, int]:
        """Return the number of frames not handled, by reason."""
        return MappingProxyType(self._rejected)

    async def start(self) -> None:
        """Bind the socket and begin to receive."""
        socket = async_zmq.Context.instance().socket(zmq.ROUTER)
        socket.linger = 0
        socket.maxmsgsize = MAX_FRAME_BYTES
        socket.set_hwm(_QUEUE_LENGTH)
        # Connections that went silent are closed, so they do not pile up.
        socket.heartbeat_ivl = _HEARTBEAT_MS
        socket.heartbeat_timeout = _HEARTBEAT_TIMEOUT_MS
        try:
            socket.bind(self._bind_address)
        except zmq.ZMQError:
            socket.close()
            raise
        self._socket = socket
        self._receiver = asyncio.create_task(self._receive(socket))

    async def close(self, grace_s: float = 0) -> None:
        """Stop receiving, let running requests end and close the socket.

        :param grace_s: how long running requests may take to end.
        """
        if self._receiver is None or self._socket is None:
            return
        self._receiver.cancel()
        await asyncio.wait({self._receiver})
        if self._tasks and grace_s > 0:
            await asyncio.wait(self._tasks, timeout=grace_s)
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        # Replies that were just written still leave in the background.
        self._socket.close(linger=_FLUSH_MS if grace_s > 0 else 0)
        self._receiver = None
        self._socket = None

    async def _receive(self, socket: async_zmq.Socket) -> None:
        while True:
            frames = await socket.recv_multipart()
            try:
                self._accept(socket, frames)
            except WrongMacError:
                self._rejected['wrong_mac'] += 1
            except MalformedMessageError:
                self._rejected['malformed'] += 1

    def _accept(
        self,
        socket: async_zmq.Socket,
        frames: list[bytes],
    ) -> None:
        if len(frames) != 2:
            raise MalformedMessageError('a message has one frame; send one')
        identity, frame = frames
        request = self._codec.unseal(frame, Request)
        if request.method and request.method not in self._handlers:
            self._rejected['unknown_method'] += 1
            return
        task = asyncio.create_task(self._answer(socket, identity, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(
        self,
        socket: async_zmq.Socket,
        identity: bytes,
        request: Request,
    ) -> None:
        reply = await self._bounded_reply(request)
        # A reply that its peer does not take is dropped, as the peer's call
        # runs into its timeout anyway.
        try:
            await socket.send_multipart(
                [identity, self._codec.seal(reply)],
                flags=zmq.DONTWAIT,
            )
        except zmq.ZMQError:
            self._rejected['reply_undeliverable'] += 1

    async def _bounded_reply(self, request: Request) -> Reply:
        if not request.method:
            return Reply(call_id=request.call_id)
        if self._running[request.method] >= self._max_running:
            self._rejected['busy'] += 1
            return Reply(
                call_id=request.call_id,
                error_kind=BUSY,
                error_text=f'too many {request.method} calls; retry later',
            )
        self._running[request.method] += 1
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._running.subtract, (request.method,))
            return await self._reply(request)

    async def _reply(self, request: Request) -> Reply:
        try:
            body = await self._handlers[request.method](request.body)
        except CurrantreachError as error:
            return _error_reply(request, error)
        except Exception as fault:  # A fault of one handler is not fatal.
            self._report(request.method, fault)
            return _error_reply(
                request,
                CurrantreachError(f'{request.method} failed; see the peer log'),
            )
        return Reply(call_id=request.call_id, body=body)

    def _report(self, method: str, fault: Exception) -> None:
        self._rejected['handler_failed'] += 1
        asyncio.get_running_loop().call_exception_handler(
            {'message': f'handler of {method} failed', 'exception': fault},
        )


def _error_reply(request: Request, error: CurrantreachError) -> Reply:
    revision = 0
    if isinstance(error, ConflictError):
        revision = error.current_revision
    return Reply(
        call_id=request.call_id,
        error_kind=error_kind(error),
        error_text=str(error),
        current_revision=revision,
    )
