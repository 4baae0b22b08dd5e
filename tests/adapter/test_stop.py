"""Tests of requests while the daemon shuts down."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest

from currantreach_adapter._caller_server import CallerServer
from currantreach_adapter._config import decode_config
from currantreach_jobs import CallerResponse, Outcome
from currantreach_telemetry import Metrics

# A connection that is dropped during the shutdown is closed within this time.
CLOSE_TIMEOUT_S = 0.2
BODY = b'{"spec":"text","steps":[{"count":1,"cpu":500,"memMb":1}]}'
HEAD = (
    'POST /plans/5c0e7a21d94b36f8 HTTP/1.1\r\n'
    + 'Host: cell.example\r\n'
    + 'Authorization: Bearer k1\r\n'
    + f'Content-Length: {len(BODY)}\r\n\r\n'
).encode()
# The configuration has no queue with this prefix.
UNKNOWN_HEAD = HEAD.replace(b'/plans/', b'/gone/')


@attrs.define
class SubmissionService:
    """Accepts every job after a delay."""

    accepted: list = attrs.field(factory=list)
    delay_s: float = 0

    async def submit(self, job):
        """Accept a job."""
        await asyncio.sleep(self.delay_s)
        self.accepted.append(job)
        return CallerResponse(outcome=Outcome.ACCEPTED)


@attrs.define
class Daemon:
    """Daemon that is always ready."""

    config: object
    submissions: SubmissionService

    def is_ready(self):
        """Return true."""
        return True


@attrs.define
class RunningServer:
    """Server for callers, with helpers to connect and to stop."""

    caller_server: CallerServer
    submissions: SubmissionService
    port: int
    close_task: asyncio.Task | None = None

    async def open(self):
        """Open a connection."""
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def stop(self):
        """Start to shut down, and wait until the first steps are done."""
        self.caller_server.is_stopping = True
        self.close_task = asyncio.create_task(self.caller_server.close())
        await asyncio.sleep(0.05)


@pytest.fixture
async def server(config_fields, encode):
    """Return a started server."""
    submissions = SubmissionService()
    daemon = Daemon(decode_config(encode(config_fields)), submissions)
    caller_server = CallerServer(daemon, Metrics(), 100, 4_000_000)
    await caller_server.start('127.0.0.1:0', '127.0.0.1:0')
    _, port = caller_server._runners[0].addresses[0]
    running = RunningServer(caller_server, submissions, port)
    yield running
    await (running.close_task or caller_server.close())


async def wait_for_end(reader):
    """Wait for a response or the end of the connection."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)


async def status_of(reader):
    """Return the status of the next response, 0 if there is none."""
    async with asyncio.timeout(5):
        line = await reader.readline()
    return int(line.split()[1]) if line else 0


async def test_body_that_arrives_during_shutdown(server):
    """A request was dropped if its body arrived during the shutdown."""
    reader, writer = await server.open()
    writer.write(HEAD)
    await asyncio.sleep(0.05)
    await server.stop()
    writer.write(BODY)
    assert await status_of(reader) == 200
    assert server.submissions.accepted


@pytest.mark.parametrize('steps', range(6))
async def test_connection_that_opens_during_shutdown(server, steps):
    """A connection opened during the shutdown must not stay open unanswered.

    Requests on such connections were dropped, and closed a second later.

    :param steps: event loop iterations between the opening and the shutdown.
    """
    opening = [asyncio.create_task(server.open()) for _ in range(20)]
    for _ in range(steps):
        await asyncio.sleep(0)
    await server.stop()
    opened = await asyncio.gather(*opening, return_exceptions=True)
    sent = [pair for pair in opened if isinstance(pair, tuple)]
    for _, writer in sent:
        writer.write(HEAD + BODY)
    async with asyncio.timeout(CLOSE_TIMEOUT_S):
        await asyncio.gather(*(wait_for_end(reader) for reader, _ in sent))


async def test_remaining_body_of_a_rejected_request_during_shutdown(server):
    """A reset while the body is sent must not discard the response."""
    reader, writer = await server.open()
    writer.write(UNKNOWN_HEAD)
    await asyncio.sleep(0.05)
    await server.stop()
    writer.write(BODY)
    await asyncio.sleep(0.1)
    assert await status_of(reader) == 404


async def test_request_in_progress_during_shutdown(server):
    """The shutdown must wait for the response."""
    server.submissions.delay_s = 0.5
    reader, writer = await server.open()
    writer.write(HEAD + BODY)
    await asyncio.sleep(0.05)
    await server.stop()
    assert await status_of(reader) == 200


async def test_idle_connections_do_not_delay_the_shutdown(server):
    """Idle connections must not keep the process running until SIGKILL."""
    reader, writer = await server.open()
    writer.write(HEAD + BODY)
    assert await status_of(reader) == 200
    await server.open()
    await server.stop()
    async with asyncio.timeout(0.5):
        await server.close_task


async def test_missing_body_does_not_block_the_shutdown(server):
    """A caller that stops sending must not keep the process running."""
    _, writer = await server.open()
    writer.write(HEAD)
    await asyncio.sleep(0.05)
    await server.stop()
    async with asyncio.timeout(5):
        await server.close_task
