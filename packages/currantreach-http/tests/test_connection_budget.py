"""Bytes of callers that leave while a request of theirs is served."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import io

from aiohttp import StreamReader, web

from currantreach_http import (
    ByteBudget,
    ClosureLog,
    GuardedServer,
    ReadTurns,
    ReceiveContext,
    RequestLimits,
)

FIRST_REQUEST = b'GET /first HTTP/1.1\r\nHost: a\r\n\r\n'
BODY_BYTES = 60000
REQUESTS = (
    FIRST_REQUEST
    + b'PUT /next HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n'
    + b'b' * BODY_BYTES
)


class Handler:
    """Answers a request once it is told to."""

    def __init__(self):
        self.started = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.has_ended = asyncio.Event()

    async def __call__(self, request):
        """Serve a request with the calls of the server of callers."""
        request.protocol.begin_request(request)
        self.started.set()
        await self.may_answer.wait()
        request.protocol.end_request(request)
        self.has_ended.set()
        return web.Response()


@contextlib.asynccontextmanager
async def run_server(budget, handler):
    """Run a server on a loopback address; yield its runner."""
    context = ReceiveContext(
        budget=budget,
        turns=ReadTurns(),
        closures=ClosureLog(lambda _: None),
        get_limits=lambda: RequestLimits(
            header_bytes=16384, body_bytes=262144, connection_count=10
        ),
        on_open=lambda _: None,
    )
    runner = web.ServerRunner(
        GuardedServer(handler, context, keepalive_timeout_s=5, linger_s=1)
    )
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    yield runner
    await runner.cleanup()


@contextlib.asynccontextmanager
async def lose_connection(budget, handler):
    """Lose a connection with a queued request while the first is served."""
    async with run_server(budget, handler) as runner:
        _, writer = await asyncio.open_connection(*runner.addresses[0])
        writer.write(REQUESTS)
        await handler.started.wait()
        while budget.total_bytes < BODY_BYTES:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        while budget.total_bytes:
            await asyncio.sleep(0.01)
        yield
        handler.may_answer.set()
        await handler.has_ended.wait()


async def held_after_loss():
    """Return the bytes held after a lost connection has no request left."""
    budget = ByteBudget(1_000_000)
    async with lose_connection(budget, Handler()):
        assert budget.total_bytes == 0
    return budget.total_bytes


async def bodies_after_loss():
    """Return the number of queued bodies in memory after the loss."""
    async with lose_connection(ByteBudget(1_000_000), Handler()):
        gc.collect()
        return sum(
            isinstance(each, StreamReader) and each.total_bytes == BODY_BYTES
            for each in gc.get_objects()
        )


async def errors_of_loss():
    """Return the errors if a connection is lost as its request is parsed."""
    errors = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, error: errors.append(error)
    )
    async with run_server(ByteBudget(1_000_000), Handler()) as runner:
        _, writer = await asyncio.open_connection(*runner.addresses[0])
        while not runner.server.connections:
            await asyncio.sleep(0.01)
        # The task of the connection has to wait for its first request.
        await asyncio.sleep(0.01)
        connection = runner.server.connections[0]
        received = io.BytesIO(FIRST_REQUEST)
        connection.buffer_updated(received.readinto(connection.get_buffer(-1)))
        connection.connection_lost(None)
        await asyncio.sleep(0.01)
        writer.transport.abort()
    # Errors of tasks are reported once the tasks are collected.
    gc.collect()
    return errors


def test_lost_connection_releases_queued_requests():
    """Bytes of requests that wait on a lost connection must not stay held.

    They were added again when the request in progress ended, and nothing
    released them, until the daemon refused all jobs.
    """
    assert asyncio.run(asyncio.wait_for(held_after_loss(), 10)) == 0


def test_lost_connection_drops_queued_bodies():
    """Bodies that nobody serves must not stay in memory, uncounted.

    They were kept until the request in progress ended.
    """
    assert asyncio.run(asyncio.wait_for(bodies_after_loss(), 10)) == 0


def test_request_parsed_with_the_loss_causes_no_error():
    """The task of a connection failed if it was woken for a dropped request.

    aiohttp takes a request from the queue one iteration after it has parsed
    it, and by then has dropped what serves it.
    """
    assert not asyncio.run(asyncio.wait_for(errors_of_loss(), 10))
