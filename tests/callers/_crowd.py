"""Connections of callers that exceed the limits."""

from __future__ import annotations

import asyncio
import contextlib

# Only ends a send that the daemon neither accepts nor cuts off.
_SEND_TIMEOUT_S = 30
_PIECE_BYTES = 65536


class Crowd:
    """Connections that each send the same bytes and stay open."""

    def __init__(self, address):
        """Prepare a crowd without connections.

        :param address: ``<ip>:<port>`` of the daemon.
        """
        self._address = address.split(':')
        self._writers = []

    async def send(self, sent, connection_count):
        """Open connections and send on all of them at once.

        :param sent: bytes to send on each connection.
        """
        await asyncio.gather(
            *(self._send_one(sent) for _ in range(connection_count))
        )

    async def close(self):
        """Close all connections."""
        for writer in self._writers:
            writer.close()
        for closed in self._writers:
            # The daemon may have reset the connection.
            with contextlib.suppress(OSError):
                await closed.wait_closed()

    async def _send_one(self, sent):
        # The daemon may refuse the connection, or close it at any time.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*self._address)
                self._writers.append(writer)
                for start in range(0, len(sent), _PIECE_BYTES):
                    writer.write(sent[start : start + _PIECE_BYTES])
                    await writer.drain()
