"""Requests of callers while their daemon stops."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest

from currantreach_adapter._callers import Callers
from currantreach_adapter._config import decode_config
from currantreach_jobs import CallerResponse, Outcome
from currantreach_telemetry import Metrics

# A request that is lost at the close is cut within this time.
SLACK_S = 0.2
BODY = b'{"spec":"text","steps":[{"count":1,"cpu":500,"memMb":1}]}'
HEAD = (
    'POST /plans/5c0e7a21d94b36f8 HTTP/1.1\r\n'
    + 'Host: cell.example\r\n'
    + 'Authorization: Bearer k1\r\n'
    + f'Content-Length: {len(BODY)}\r\n\r\n'
).encode()
# Of a queue that the configuration does not have.
UNKNOWN_HEAD = HEAD.replace(b'/plans/', b'/gone/')


@attrs.define
class SubmissionService:
    """Accepts every job after a while."""

    took: list = attrs.field(factory=list)
    delay_s: float = 0

    async def submit(self, job):
        """Accept a job."""
        await asyncio.sleep(self.delay_s)
        self.took.append(job)
        return CallerResponse(outcome=Outcome.ACCEPTED)


@attrs.define
class Daemon:
    """Daemon that is ready."""

    config: object
    submissions: SubmissionService

    def is_ready(self):
        """Tell that callers may come."""
        return True


@attrs.define
class Served:
    """Callers' interface of a daemon, and its connections."""

    callers: Callers
    submissions: SubmissionService
    port: int
    closing: asyncio.Task | None = None

    async def open(self):
        """Open a connection."""
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def stop(self):
        """Begin to close, and let the close take its first steps."""
        self.callers.is_stopping = True
        self.closing = asyncio.create_task(self.callers.close())
        await asyncio.sleep(0.05)


@pytest.fixture
async def served(config_fields, encode):
    """Return the callers' interface of a daemon."""
    submissions = SubmissionService()
    daemon = Daemon(decode_config(encode(config_fields)), submissions)
    callers = Callers(daemon, Metrics(), 100)
    await callers.start('127.0.0.1:0', '127.0.0.1:0')
    _, port = callers._runners[0].addresses[0]
    made = Served(callers, submissions, port)
    yield made
    await (made.closing or callers.close())


async def ended(reader):
    """Wait for an answer or the end of the connection."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)


async def status_of(reader):
    """Return the status of the next answer, 0 if there is none."""
    async with asyncio.timeout(5):
        line = await reader.readline()
    return int(line.split()[1]) if line else 0


async def test_body_that_arrives_during_the_close(served):
    """A request was cut if its body came after its daemon began to close."""
    reader, writer = await served.open()
    writer.write(HEAD)
    await asyncio.sleep(0.05)
    await served.stop()
    writer.write(BODY)
    assert await status_of(reader) == 200
    assert served.submissions.took


@pytest.mark.parametrize('steps', range(6))
async def test_connection_that_opens_during_the_close(served, steps):
    """Requests on new connections were dropped and cut a second later.

    :param steps: steps of the event loop between the opening and the close.
    """
    opening = [asyncio.create_task(served.open()) for _ in range(20)]
    for _ in range(steps):
        await asyncio.sleep(0)
    await served.stop()
    opened = await asyncio.gather(*opening, return_exceptions=True)
    sent = [pair for pair in opened if isinstance(pair, tuple)]
    for _, writer in sent:
        writer.write(HEAD + BODY)
    async with asyncio.timeout(SLACK_S):
        await asyncio.gather(*(ended(reader) for reader, _ in sent))


async def test_rest_of_a_refused_request_during_the_close(served):
    """A reset for the rest of a body must not destroy the answer."""
    reader, writer = await served.open()
    writer.write(UNKNOWN_HEAD)
    await asyncio.sleep(0.05)
    await served.stop()
    writer.write(BODY)
    await asyncio.sleep(0.1)
    assert await status_of(reader) == 404


async def test_request_in_progress_during_the_close(served):
    """The close waits for the answer."""
    served.submissions.delay_s = 0.5
    reader, writer = await served.open()
    writer.write(HEAD + BODY)
    await asyncio.sleep(0.05)
    await served.stop()
    assert await status_of(reader) == 200


async def test_idle_connections_do_not_delay_the_close(served):
    """A process with idle connections must not wait to be killed."""
    reader, writer = await served.open()
    writer.write(HEAD + BODY)
    assert await status_of(reader) == 200
    await served.open()
    await served.stop()
    async with asyncio.timeout(0.5):
        await served.closing


async def test_body_that_never_arrives_ends_with_the_close(served):
    """A caller that stopped sending must not hold the process."""
    _, writer = await served.open()
    writer.write(HEAD)
    await asyncio.sleep(0.05)
    await served.stop()
    async with asyncio.timeout(5):
        await served.closing
