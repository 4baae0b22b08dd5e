"""Relay with the bandwidth of a machine's link."""

import asyncio
import contextlib

_CHUNK_BYTES = 4096
_BITS_PER_MBIT = 1_000_000


class SlowRelay:
    """Forwards connections to an address at a limited rate.

    The connections share the rate, in each direction by itself.
    """

    def __init__(self, address, link_mbps):
        """Prepare a relay to an address."""
        self._target = address
        self._bytes_per_s = link_mbps * _BITS_PER_MBIT / 8
        self._free_at_s = {'up': 0, 'down': 0}
        self._tasks = set()
        self._server = None

    async def start(self):
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def close(self):
        """Close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        host, _, port = self._target.partition(':')
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            pumps = [
                asyncio.ensure_future(self._pump('up', reader, target_writer)),
                asyncio.ensure_future(
                    self._pump('down', target_reader, writer)
                ),
            ]
            try:
                await asyncio.wait(
                    pumps, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                for pump in pumps:
                    pump.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            for each in (writer, target_writer):
                if each is not None:
                    each.close()

    async def _pump(self, direction, reader, writer):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                free_at_s = max(loop.time(), self._free_at_s[direction])
                free_at_s += len(chunk) / self._bytes_per_s
                self._free_at_s[direction] = free_at_s
                await asyncio.sleep(free_at_s - loop.time())
                writer.write(chunk)
                await writer.drain()
