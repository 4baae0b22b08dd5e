"""TCP relay that injects faults into the connections it forwards."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ('Relay', 'RelayMesh')

_LOOPBACK = '127.0.0.1'
_CHUNK_BYTES = 65536


class RelayMesh:
    """Relays between daemons, one for each pair of source and target."""

    def __init__(self) -> None:
        """Create an empty mesh."""
        self.relays: dict[tuple[str, str], Relay] = {}

    async def start(self, source: str, addresses: Mapping[str, str]) -> None:
        """Start the relays from one daemon to all others."""
        for target, address in addresses.items():
            if target != source:
                relay = Relay(int(address.rpartition(':')[2]))
                await relay.start()
                self.relays[source, target] = relay

    async def close(self) -> None:
        """Close all relays."""
        await asyncio.gather(*(relay.close() for relay in self.relays.values()))

    def address(self, source: str, target: str, direct: str) -> str:
        """Return the address at which a source connects to a target.

        :param direct: address without a relay.
        """
        relay = self.relays.get((source, target))
        return direct if relay is None else f'{_LOOPBACK}:{relay.port}'

    def set_partitioned(self, name: str, *, is_partitioned: bool) -> None:
        """Partition a daemon from all others, or end the partition."""
        for pair, relay in self.relays.items():
            if name in pair:
                relay.drops_data = is_partitioned


class Relay:
    """Relay that forwards connections to a local port.

    :ivar delay_s: delay of each chunk of data.
    :ivar drops_data: whether all data is discarded, on existing and new
        connections.
    :ivar port: port on which it listens.
    """

    def __init__(self, target_port: int) -> None:
        """Prepare a relay to ``target_port``."""
        self.delay_s = float(0)
        self.drops_data = False
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], asyncio.Event] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, _LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        self.close_connections()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def close_connections(self) -> int:
        """Close all open connections and return their number."""
        for task in self._connections:
            task.cancel()
        return len(self._connections)

    def stall_connections(self) -> int:
        """Discard the data of all open connections and return their number.

        New connections are not affected.
        """
        for stalled in self._connections.values():
            stalled.set()
        return len(self._connections)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('a relay connection must be served by a task')
        stalled = asyncio.Event()
        self._connections[task] = stalled
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._forward(reader, writer, stalled)
        finally:
            self._connections.pop(task)
            writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stalled: asyncio.Event,
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            _LOOPBACK,
            self._target_port,
        )
        pumps = (
            asyncio.ensure_future(self._pump(reader, target_writer, stalled)),
            asyncio.ensure_future(self._pump(target_reader, writer, stalled)),
        )
        try:
            await asyncio.wait(
                pumps,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for pump in pumps:
                pump.cancel()
            target_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stalled: asyncio.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not self.drops_data and not stalled.is_set():
                    writer.write(chunk)
                    await writer.drain()
