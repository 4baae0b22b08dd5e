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
    MAX_HELD_BYTES,
    RECEIVE_QUEUE_LENGTH,
    SMALL_FRAME_BYTES,
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

_HIGH_WATER_MARK: Final = 1000
_HEARTBEAT_MS: Final = 1000
_HEARTBEAT_TIMEOUT_MS: Final = 5000
_LINGER_MS: Final = 500


class Handler(Protocol):  # noqa: WPS110
    """Function that handles the requests for one method."""

    def __call__(self, body: bytes, /) -> Awaitable[bytes]:
        """Return the encoded result for an encoded argument."""


class PeerServer:
    """Handles the calls of all peers.

    Each request runs in its own task. Concurrency is limited per method, so
    that long polls cannot starve heartbeats and lease requests.
    """

    def __init__(
        self,
        bind_address: str,
        secret: bytes,
        handlers: Mapping[str, Handler],
        max_concurrent_per_method: int = 256,
        max_held_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        """Create a server; :meth:`start` opens it.

        :param bind_address: ``tcp://<ip>:<port>``, port 0 for any free one.
        :param secret: shared secret of all daemons.
        :param handlers: handlers by method name.
        :param max_concurrent_per_method: limit on concurrent requests.
        :param max_held_bytes: limit on the bytes of all concurrent requests,
            above which only small ones are handled.
        """
        self._held_bytes = 0
        self._max_held_bytes = max_held_bytes
        self._bind_address = bind_address
        self._codec = FrameCodec(secret)
        self._handlers = dict(handlers)
        self._max_concurrent = max_concurrent_per_method
        self._rejected_counts: collections.Counter[str] = collections.Counter()
        self._running: collections.Counter[str] = collections.Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket: async_zmq.Socket | None = None
        self._receive_task: asyncio.Task[None] | None = None

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
        """Return the number of rejected frames by reason."""
        return MappingProxyType(self._rejected_counts)

    async def start(self) -> None:
        """Bind the socket and start to receive."""
        socket = async_zmq.Context.instance().socket(zmq.ROUTER)
        socket.linger = 0
        socket.maxmsgsize = MAX_FRAME_BYTES
        socket.sndhwm = _HIGH_WATER_MARK
        socket.rcvhwm = RECEIVE_QUEUE_LENGTH
        # Dead connections are closed, so they do not accumulate.
        socket.heartbeat_ivl = _HEARTBEAT_MS
        socket.heartbeat_timeout = _HEARTBEAT_TIMEOUT_MS
        try:
            socket.bind(self._bind_address)
        except zmq.ZMQError:
            socket.close()
            raise
        self._socket = socket
        self._receive_task = asyncio.create_task(self._receive(socket))

    async def close(self, grace_s: float = 0) -> None:
        """Stop receiving, wait for running requests and close the socket.

        :param grace_s: time limit for running requests.
        """
        if self._receive_task is None or self._socket is None:
            return
        self._receive_task.cancel()
        await asyncio.wait({self._receive_task})
        if self._tasks and grace_s > 0:
            await asyncio.wait(self._tasks, timeout=grace_s)
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        # Replies that were just queued are sent in the background.
        self._socket.close(linger=_LINGER_MS if grace_s > 0 else 0)
        self._receive_task = None
        self._socket = None

    async def _receive(self, socket: async_zmq.Socket) -> None:
        while True:
            frames = await socket.recv_multipart()
            try:
                self._dispatch(socket, frames)
            except WrongMacError:
                self._rejected_counts['wrong_mac'] += 1
            except MalformedMessageError:
                self._rejected_counts['malformed'] += 1

    def _dispatch(
        self,
        socket: async_zmq.Socket,
        frames: list[bytes],
    ) -> None:
        if len(frames) != 2:
            raise MalformedMessageError(
                'expected a message of one frame; send one frame'
            )
        identity, frame = frames
        request = self._codec.decode_frame(frame, Request)
        if request.method and request.method not in self._handlers:
            self._rejected_counts['unknown_method'] += 1
            return
        task = asyncio.create_task(
            self._handle_request(socket, identity, request)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_request(
        self,
        socket: async_zmq.Socket,
        identity: bytes,
        request: Request,
    ) -> None:
        reply = await self._reply_within_limit(request)
        # If the peer does not receive, the reply is dropped, as its call times
        # out anyway.
        try:
            await socket.send_multipart(
                [identity, self._codec.encode_frame(reply)],
                flags=zmq.DONTWAIT,
            )
        except zmq.ZMQError:
            self._rejected_counts['reply_undeliverable'] += 1

    async def _reply_within_limit(self, request: Request) -> Reply:
        if not request.method:
            return Reply(call_id=request.call_id)
        if self._running[request.method] >= self._max_concurrent:
            return self._reject(request, 'busy', 'too many calls')
        size_bytes = len(request.body)
        is_small = size_bytes <= SMALL_FRAME_BYTES
        if self._held_bytes + size_bytes > self._max_held_bytes:
            if not is_small:
                return self._reject(
                    request, 'too_many_bytes', 'calls too large'
                )
        self._running[request.method] += 1
        self._held_bytes += size_bytes
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._running.subtract, (request.method,))
            cleanup.callback(self._release, size_bytes)
            return await self._call_handler(request)

    def _reject(self, request: Request, reason: str, text: str) -> Reply:
        """Count a request that is not handled, and tell its peer."""
        self._rejected_counts[reason] += 1
        return Reply(
            call_id=request.call_id,
            error_kind=BUSY,
            error_text=f'{request.method}: {text}; retry later',
        )

    def _release(self, size_bytes: int) -> None:
        self._held_bytes -= size_bytes

    async def _call_handler(self, request: Request) -> Reply:
        try:
            body = await self._handlers[request.method](request.body)
        except CurrantreachError as error:
            return _error_reply(request, error)
        except Exception as exc:  # A failing handler is not fatal.
            self._report_failure(request.method, exc)
            return _error_reply(
                request,
                CurrantreachError(f'{request.method} failed; see the peer log'),
            )
        return Reply(call_id=request.call_id, body=body)

    def _report_failure(self, method: str, exc: Exception) -> None:
        self._rejected_counts['handler_failed'] += 1
        asyncio.get_running_loop().call_exception_handler(
            {'message': f'handler of {method} failed', 'exception': exc},
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
