"""Tests of the limits on idle and slow connections.

Two thousand idle connections, and a hundred that sent one byte of a body per
second, made a daemon refuse every submission until they were closed.
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
COMPLETE_REQUEST = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\njob'
PARTIAL_REQUEST = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx'


@attrs.define
class LimitedServer:
    """A server with connection limits, and its port."""

    clock: ManualClock
    limiter: ConnectionLimiter
    server: web.Server
    port: int
    may_answer: asyncio.Event

    async def open(self, sent=b''):
        """Open a connection and send some bytes."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(sent)
        await writer.drain()
        return reader, writer

    def count(self):
        """Return the number of open connections."""
        return sum(each.connected for each in self.server.connections)

    async def submit(self):
        """Send a complete request and return the status."""
        async with (
            ClientSession() as session,
            session.post(f'http://{HOST}:{self.port}/', data=b'job') as reply,
        ):
            return reply.status


@pytest.fixture(autouse=True)
def quiet_log():
    """Discard log lines."""
    with logbook.NullHandler().applicationbound():
        yield


@pytest.fixture
async def limited_server():
    """Return a server that limits the time for bodies."""
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
    yield LimitedServer(clock, limiter, server, port, may_answer)
    await runner.cleanup()


async def is_closed(reader):
    """Return whether the server has closed a connection."""
    try:
        async with asyncio.timeout(0.2):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True


async def test_excess_idle_connections_are_closed(limited_server):
    """Idle connections must not lock out new callers."""
    opened = []
    for _ in range(60):
        opened.append(await limited_server.open())
        limited_server.clock.advance(0.01)
        await limited_server.limiter.sweep()
    assert await limited_server.submit() == 200
    await limited_server.limiter.sweep()
    await asyncio.sleep(0)
    assert limited_server.count() <= LIMITS.max_connections
    assert await is_closed(opened[0][0])
    assert not await is_closed(opened[-1][0])


async def test_connection_without_a_request_is_closed(limited_server):
    """A connection must not stay open without a complete first request."""
    reader, _ = await limited_server.open(b'POST / HTT')
    await asyncio.sleep(0.05)
    await limited_server.limiter.sweep()
    limited_server.clock.advance(2.9)
    await limited_server.limiter.sweep()
    assert not await is_closed(reader)
    limited_server.clock.advance(0.2)
    await limited_server.limiter.sweep()
    assert await is_closed(reader)


async def test_slow_bodies_time_out_and_are_closed(limited_server):
    """A body of one byte per second must not block a connection for long."""
    slow = [await limited_server.open(PARTIAL_REQUEST) for _ in range(30)]
    await asyncio.sleep(0.1)
    await limited_server.limiter.sweep()
    await asyncio.sleep(0)
    assert limited_server.count() <= LIMITS.max_connections
    assert await limited_server.submit() == 200
    reader, _ = slow[-1]
    async with asyncio.timeout(2):
        assert b'408' in await reader.read(100)


async def test_request_in_progress_is_never_closed(limited_server):
    """A connection must not be closed while a request is being served."""
    limited_server.may_answer.clear()
    reader, _ = await limited_server.open(COMPLETE_REQUEST)
    await asyncio.sleep(0.05)
    limited_server.clock.advance(100)
    await limited_server.limiter.sweep()
    limited_server.may_answer.set()
    async with asyncio.timeout(2):
        assert b'200' in await reader.read(1000)


async def test_keep_alive_connection_times_out(limited_server):
    """A connection must not stay idle between two requests for long."""
    reader, _ = await limited_server.open(COMPLETE_REQUEST)
    async with asyncio.timeout(2):
        assert b'200' in await reader.read(1000)
    limited_server.clock.advance(14)
    await limited_server.limiter.sweep()
    assert not await is_closed(reader)
    limited_server.clock.advance(2)
    await limited_server.limiter.sweep()
    assert await is_closed(reader)


@pytest.mark.parametrize('steps', range(1, 4))
async def test_request_that_was_just_read_is_answered(limited_server, steps):
    """A sweep after a pause closed connections with pending requests.

    :param steps: event loop iterations between the read and the sweep.
    """
    reader, writer = await limited_server.open(COMPLETE_REQUEST)
    async with asyncio.timeout(2):
        assert b'200' in await reader.read(1000)
    limited_server.clock.advance(16)
    writer.write(COMPLETE_REQUEST)
    for _ in range(steps):
        await asyncio.sleep(0)
    await limited_server.limiter.sweep()
    async with asyncio.timeout(2):
        assert b'200' in await reader.read(1000)
