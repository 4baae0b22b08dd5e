"""Relay that stands between two processes and disturbs their connections."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ('Relay', 'RelayMesh')

_HOST = '127.0.0.1'
_CHUNK_BYTES = 65536


class RelayMesh:
    """One relay for each pair of daemons, named source and target."""

    def __init__(self) -> None:
        """Start without relays."""
        self.relays: dict[tuple[str, str], Relay] = {}

    async def start(self, source: str, addresses: Mapping[str, str]) -> None:
        """Start the relays of one source to all others."""
        for target, address in addresses.items():
            if target != source:
                relay = Relay(int(address.rpartition(':')[2]))
                await relay.start()
                self.relays[source, target] = relay

    async def close(self) -> None:
        """Close all relays."""
        await asyncio.gather(*(known.close() for known in self.relays.values()))

    def address(self, source: str, target: str, direct: str) -> str:
        """Return the address that a source uses for a target."""
        relay = self.relays.get((source, target))
        return direct if relay is None else f'{_HOST}:{relay.port}'

    def set_cut_off(self, name: str, *, is_cut_off: bool) -> None:
        """Silence all links of a daemon, or let them pass again."""
        for pair, relay in self.relays.items():
            if name in pair:
                relay.is_silent = is_cut_off


class Relay:
    """Forwards connections to a port of this machine.

    :ivar delay_s: time that each piece of data is held.
    :ivar is_silent: whether nothing passes, on old and new connections.
    :ivar port: port that it listens on.
    """

    def __init__(self, target_port: int) -> None:
        """Prepare a relay to ``target_port``."""
        self.delay_s = float(0)
        self.is_silent = False
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.Task[None], asyncio.Event] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, _HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        self.cut()
        await asyncio.gather(*self._open, return_exceptions=True)

    def cut(self) -> int:
        """Close the open connections and return their number."""
        for serving in self._open:
            serving.cancel()
        return len(self._open)

    def stall(self) -> int:
        """Let nothing pass on the open connections, though new ones work."""
        for stalled in self._open.values():
            stalled.set()
        return len(self._open)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        serving = asyncio.current_task()
        if serving is None:
            raise RuntimeError('connections are served by tasks')
        stalled = asyncio.Event()
        self._open[serving] = stalled
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._forward(reader, writer, stalled)
        finally:
            self._open.pop(serving)
            writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stalled: asyncio.Event,
    ) -> None:
        to_reader, to_writer = await asyncio.open_connection(
            _HOST,
            self._target_port,
        )
        directions = (
            asyncio.ensure_future(self._pump(reader, to_writer, stalled)),
            asyncio.ensure_future(self._pump(to_reader, writer, stalled)),
        )
        try:
            await asyncio.wait(
                directions,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for direction in directions:
                direction.cancel()
            to_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stalled: asyncio.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while piece := await reader.read(_CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not self.is_silent and not stalled.is_set():
                    writer.write(piece)
                    await writer.drain()
