"""Bytes of callers that leave while a request of theirs is served."""

from __future__ import annotations

import asyncio

from aiohttp import web

from currantreach_http import (
    ByteBudget,
    ClosureLog,
    GuardedServer,
    ReadTurns,
    ReceiveContext,
    RequestLimits,
)

REQUESTS = (
    b'GET /first HTTP/1.1\r\nHost: a\r\n\r\n'
    b'PUT /next HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n'
) + b'b' * 60000


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


async def start_server(budget, handler):
    """Start a server on a loopback address; return its runner."""
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
    return runner


async def held_after_loss():
    """Return the bytes held after a lost connection has no request left."""
    budget = ByteBudget(1_000_000)
    handler = Handler()
    runner = await start_server(budget, handler)
    _, writer = await asyncio.open_connection(*runner.addresses[0])
    writer.write(REQUESTS)
    await handler.started.wait()
    while budget.total_bytes < 60000:
        await asyncio.sleep(0.01)
    writer.transport.abort()
    while budget.total_bytes:
        await asyncio.sleep(0.01)
    handler.may_answer.set()
    await handler.has_ended.wait()
    held_bytes = budget.total_bytes
    await runner.cleanup()
    return held_bytes


def test_lost_connection_releases_queued_requests():
    """Bytes of requests that wait on a lost connection must not stay held.

    They were added again when the request in progress ended, and nothing
    released them, until the daemon refused all jobs.
    """
    assert asyncio.run(asyncio.wait_for(held_after_loss(), 10)) == 0
