"""Fixtures: a daemon with low limits, and a crowd of its callers."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
import attrs
import pytest

from tests.callers._crowd import Crowd
from tests.callers._process import ProcessUsage
from tests.soak._callers import HOST
from tests.soak._cell import CellSize, SoakCell

# A daemon leads its cell within a second on an idle machine. These timeouts
# only end a test whose daemon hangs.
_READY_TIMEOUT_S = 60
_ANSWER_TIMEOUT_S = 60
_RETRY_INTERVAL_S = 0.1
_SEED = 7100
_OK = 200
_UNAVAILABLE = 503
_LIMITS = {'max_fds': 400, 'memory_mb': 100}
# Growth of the memory above the one in use before the crowd connects.
_GROWTH_BYTES = 24_000_000


@attrs.define
class LimitedDaemon:
    """A running daemon with low limits.

    :ivar address: ``<ip>:<port>`` for callers.
    :ivar usage: memory and descriptors of its process.
    """

    cell: SoakCell
    crowd: Crowd
    address: str
    usage: ProcessUsage
    watch_task: asyncio.Task

    async def check(self):
        """Check that the process is alive, small, and answers a request."""
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            await _wait_until_answered(self.address)
        self.watch_task.cancel()
        figures = self.usage.describe()
        sys.stdout.write(f'{figures}\n')
        assert self.cell.daemons[0].pid == self.usage.pid, figures
        assert self.usage.growth_bytes() <= _GROWTH_BYTES, figures
        assert self.usage.most_descriptors <= _LIMITS['max_fds'], figures


async def _wait_until_answered(address):
    """Send an ordinary request, again after each temporary refusal.

    A daemon that the machine has stopped for seconds has to be elected again.
    """
    while True:
        status = await _request_count(address)
        if status == _OK:
            return
        assert status == _UNAVAILABLE
        await asyncio.sleep(_RETRY_INTERVAL_S)


async def _request_count(address):
    """Send an ordinary request on a new connection and return its status."""
    async with (
        aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_ANSWER_TIMEOUT_S)
        ) as session,
        session.get(
            f'http://{address}/steady/',
            headers={'Host': HOST, 'Authorization': 'Bearer key-steady'},
        ) as response,
    ):
        await response.read()
        return response.status


@pytest.fixture
async def cell(tmp_path):
    """Return a cell of one daemon and one worker that is not started."""
    cell = SoakCell(_SEED, tmp_path / 'cell', CellSize(1, 1))
    cell.daemon_limits = _LIMITS
    yield cell
    await cell.close()


@pytest.fixture
async def daemon(cell):
    """Return a daemon that is ready."""
    await cell.start()
    address = cell.frontends[0]
    async with asyncio.timeout(_READY_TIMEOUT_S):
        await _wait_until_answered(address)
    usage = ProcessUsage(cell.daemons[0].pid)
    watch_task = asyncio.create_task(usage.watch_descriptors())
    crowd = Crowd(address)
    yield LimitedDaemon(cell, crowd, address, usage, watch_task)
    watch_task.cancel()
    await crowd.close()
