"""Client side of the link to one peer."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import secrets
from typing import TYPE_CHECKING, Final, TypeVar

from currantreach_links._connection import Connection
from currantreach_links._errors import NotSentError, error_from
from currantreach_links._frames import (
    MAX_FRAME_BYTES,
    FrameCodec,
    Reply,
    Request,
)
from currantreach_types import decode_packed, encode_packed
from currantreach_types.errors import LinkError, MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ('PeerLink',)

_Answered = TypeVar('_Answered')

#: Silence is counted in ticks that the event loop really waited, so that a
#: pause of this process does not pass for silence of the peer.
_TICKS: Final = 4
_CALL_ID_BYTES: Final = 8


class PeerLink:
    """Calls to one peer over one connection.

    A connection without a reply for ``peer_timeout_s`` while calls are
    outstanding is replaced. The link probes the peer meanwhile, so that a
    handler that takes long does not pass for a silent connection.

    :ivar peer_id: id of the peer.
    :ivar address: ``tcp://<ip>:<port>`` of the peer.
    :ivar reconnect_count: connections that were replaced.
    :ivar rejected_count: frames dropped because they were no valid replies.
    """

    def __init__(
        self,
        peer_id: str,
        address: str,
        secret: bytes,
        peer_timeout_s: float = 2,
        max_outstanding: int = 1000,
    ) -> None:
        """Prepare a link; the first call connects it.

        :param max_outstanding: calls sent or waiting to be sent at once.
        """
        self.peer_id = peer_id
        self.address = address
        self.reconnect_count = 0
        self.rejected_count = 0
        self._codec = FrameCodec(secret)
        self._peer_timeout_s = peer_timeout_s
        self._max_outstanding = max_outstanding
        self._call_ids = _call_ids()
        self._pending: dict[bytes, asyncio.Future[Reply]] = {}
        self._connection: Connection | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._quiet_ticks = 0

    @property
    def total_bytes(self) -> int:
        """Return the size of all frames sent and received so far."""
        return self._codec.total_bytes

    async def call(
        self,
        method: str,
        message: object,
        reply_type: type[_Answered],
        timeout_s: float,
    ) -> _Answered:
        """Call a method of the peer.

        :raises NotSentError: if the peer certainly did not handle the call.
        :raises LinkError: if no reply arrived; the call may have been handled.
        :raises CurrantreachError: if the handler raised it.
        """
        request = Request(
            call_id=next(self._call_ids),
            method=method,
            body=encode_packed(message),
        )
        reply = await self._exchange(request, timeout_s)
        if reply.error_kind:
            raise error_from(
                reply.error_kind,
                reply.error_text,
                reply.current_revision,
            )
        return decode_packed(reply.body, reply_type)

    async def close(self) -> None:
        """Close the connection; outstanding calls fail."""
        if self._watcher is not None:
            self._watcher.cancel()
            await asyncio.wait({self._watcher})
            self._watcher = None
        self._drop_connection()

    async def _exchange(self, request: Request, timeout_s: float) -> Reply:
        if len(self._pending) >= self._max_outstanding:
            raise NotSentError(f'queue to {self.peer_id} is full; retry later')
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        replied: asyncio.Future[Reply] = loop.create_future()
        self._pending[request.call_id] = replied
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._pending.pop, request.call_id, None)
            await self._send(self._codec.seal(request), timeout_s)
            await asyncio.wait({replied}, timeout=deadline_s - loop.time())
        if replied.cancelled() or not replied.done():
            raise LinkError(
                f'{self.peer_id} did not answer {request.method}; '
                + 'look the request up before sending it again',
            )
        return replied.result()

    async def _send(self, frame: bytes, timeout_s: float) -> None:
        if len(frame) > MAX_FRAME_BYTES:
            raise NotSentError(f'message of {len(frame)} B; send a smaller one')
        sent = self._connected().send(frame)
        # wait() instead of wait_for(): a timeout at the moment of sending
        # would otherwise report a call as not sent that was sent.
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(sent.cancel)
            await asyncio.wait({sent}, timeout=timeout_s)
        if sent.cancelled() or sent.exception() is not None:
            raise NotSentError(f'{self.peer_id} is not connected; retry later')

    def _connected(self) -> Connection:
        if self._connection is None:
            self._connection = Connection(
                self.address,
                self._peer_timeout_s,
                self._receive,
            )
        if self._watcher is None:
            self._watcher = asyncio.create_task(self._watch())
        return self._connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        for replied in self._pending.values():
            replied.cancel()
        self._pending.clear()
        self._quiet_ticks = 0

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(self._peer_timeout_s / _TICKS)
            if not self._pending:
                self._quiet_ticks = 0
                continue
            self._quiet_ticks += 1
            if self._quiet_ticks > _TICKS:
                self._drop_connection()
                self.reconnect_count += 1
            else:
                self._probe()

    def _probe(self) -> None:
        frame = self._codec.seal(Request(call_id=next(self._call_ids)))
        self._connected().probe(frame)

    def _receive(self, frame: bytes) -> None:
        try:
            reply = self._codec.unseal(frame, Reply)
        except MalformedMessageError:
            self.rejected_count += 1
            return
        self._quiet_ticks = 0
        replied = self._pending.get(reply.call_id)
        if replied is not None and not replied.done():
            replied.set_result(reply)


def _call_ids() -> Iterator[bytes]:
    # The random part keeps replies to an earlier process from matching.
    prefix = secrets.token_bytes(_CALL_ID_BYTES)
    for number in itertools.count():
        yield prefix + number.to_bytes(_CALL_ID_BYTES)
