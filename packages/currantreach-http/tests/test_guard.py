"""Connections that hold a place and ask nothing.

Pattern: two thousand idle connections, and a hundred that send a body of a
byte a second, made a daemon refuse every submission until they closed.
"""

from __future__ import annotations

import asyncio

import attrs
import logbook
import pytest
from aiohttp import ClientSession, web

from currantreach_http import ConnectionLimiter, ConnectionLimits
from currantreach_types import ManualClock

HOST = '127.0.0.1'
LIMITS = ConnectionLimits(
    max_connections=20,
    first_request_timeout_s=3,
    idle_timeout_s=15,
    body_timeout_s=0.3,
)
WHOLE = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\njob'
SLOW_HEAD = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx'


@attrs.define
class Served:
    """A guarded server and its port."""

    clock: ManualClock
    limiter: ConnectionLimiter
    server: web.Server
    port: int
    may_answer: asyncio.Event

    async def open(self, sent=b''):
        """Open a connection and send something on it."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(sent)
        await writer.drain()
        return reader, writer

    def count(self):
        """Return the number of open connections."""
        return sum(each.connected for each in self.server.connections)

    async def submit(self):
        """Return the status of a whole request."""
        async with (
            ClientSession() as session,
            session.post(f'http://{HOST}:{self.port}/', data=b'job') as reply,
        ):
            return reply.status


@pytest.fixture(autouse=True)
def quiet_log():
    """Keep log lines out of the output."""
    with logbook.NullHandler().applicationbound():
        yield


@pytest.fixture
async def served():
    """Return a server that reads bodies within bounds."""
    clock = ManualClock(100)
    may_answer = asyncio.Event()
    may_answer.set()
    limiter = ConnectionLimiter(lambda: LIMITS, clock)

    async def serve(request):
        limiter.begin_request(request)
        try:
            await limiter.read_body(request)
            await may_answer.wait()
        except TimeoutError:
            return web.Response(status=408)
        finally:
            limiter.end_request(request)
        return web.Response()

    server = web.Server(serve)
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    limiter.attach(server)
    port = site._server.sockets[0].getsockname()[1]
    yield Served(clock, limiter, server, port, may_answer)
    await runner.cleanup()


async def is_closed(reader):
    """Tell whether the server has closed a connection."""
    try:
        async with asyncio.timeout(0.2):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True


async def test_idle_connections_give_way(served):
    """Idle connections must not keep a new caller out."""
    opened = []
    for _ in range(60):
        opened.append(await served.open())
        served.clock.advance(0.01)
        await served.limiter.sweep()
    assert await served.submit() == 200
    await served.limiter.sweep()
    await asyncio.sleep(0)
    assert served.count() <= LIMITS.max_connections
    assert await is_closed(opened[0][0])
    assert not await is_closed(opened[-1][0])


async def test_connection_without_a_request_is_closed(served):
    """A connection that never asks has a bound of its own."""
    reader, _ = await served.open(b'POST / HTT')
    await asyncio.sleep(0.05)
    await served.limiter.sweep()
    served.clock.advance(2.9)
    await served.limiter.sweep()
    assert not await is_closed(reader)
    served.clock.advance(0.2)
    await served.limiter.sweep()
    assert await is_closed(reader)


async def test_slow_bodies_end_and_give_way(served):
    """A body of a byte a second must hold no place for long."""
    slow = [await served.open(SLOW_HEAD) for _ in range(30)]
    await asyncio.sleep(0.1)
    await served.limiter.sweep()
    await asyncio.sleep(0)
    assert served.count() <= LIMITS.max_connections
    assert await served.submit() == 200
    reader, _ = slow[-1]
    async with asyncio.timeout(2):
        assert b'408' in await reader.read(100)


async def test_request_in_progress_is_never_closed(served):
    """Only connections that ask nothing give way."""
    served.may_answer.clear()
    reader, _ = await served.open(WHOLE)
    await asyncio.sleep(0.05)
    served.clock.advance(100)
    await served.limiter.sweep()
    served.may_answer.set()
    async with asyncio.timeout(2):
        assert b'200' in await reader.read(1000)


async def test_kept_connection_has_a_bound(served):
    """A connection between two requests is closed after its own bound."""
    reader, _ = await served.open(WHOLE)
    async with asyncio.timeout(2):
        assert b'200' in await reader.read(1000)
    served.clock.advance(14)
    await served.limiter.sweep()
    assert not await is_closed(reader)
    served.clock.advance(2)
    await served.limiter.sweep()
    assert await is_closed(reader)


@pytest.mark.parametrize('steps', range(1, 4))
async def test_request_that_was_just_read_is_answered(served, steps):
    """A sweep after a pause closed connections whose requests were waiting.

    :param steps: steps of the event loop between the reading and the sweep.
    """
    reader, writer = await served.open(WHOLE)
    async with asyncio.timeout(2):
        assert b'200' in await reader.read(1000)
    served.clock.advance(16)
    writer.write(WHOLE)
    for _ in range(steps):
        await asyncio.sleep(0)
    await served.limiter.sweep()
    async with asyncio.timeout(2):
        assert b'200' in await reader.read(1000)
