"""Tests of the limits on requests, within one process."""

from __future__ import annotations

import asyncio
import contextlib
import gzip

import attrs
import pytest

from currantreach_adapter._caller_server import CallerServer
from currantreach_adapter._config import decode_config
from currantreach_jobs import CallerResponse, Outcome
from currantreach_telemetry import Metrics

BODY_BYTES = 2000
HEADER_BYTES = 16384
MEMORY_BYTES = 60_000
PATH = '/plans/5c0e7a21d94b36f8'
JOB = b'{"spec":"text","steps":[{"count":1,"cpu":500,"memMb":1}]}'
HEAD = (
    f'POST {PATH} HTTP/1.1\r\n'
    'Host: cell.example\r\nAuthorization: Bearer k1\r\n'
).encode()
CHUNKED_HEAD = b''.join((HEAD, b'Transfer-Encoding: chunked\r\n\r\n'))
QUERY_HEAD = HEAD.replace(b'POST', b'GET')
QUERY = b''.join((QUERY_HEAD, b'\r\n'))
# Fewer of these exceed the limit than the 128 that aiohttp permits.
HEADER = b'X-P: %b\r\n' % (b'x' * 500)


@attrs.define
class Submissions:
    """Accepts every job once it may."""

    may_answer: asyncio.Event = attrs.field(factory=asyncio.Event)
    accepted: list = attrs.field(factory=list)

    async def submit(self, job):
        """Accept a job."""
        await self.may_answer.wait()
        self.accepted.append(job)
        return CallerResponse(outcome=Outcome.ACCEPTED)


class Queries:
    """Finds no job."""

    async def state(self, *_):
        """Return nothing."""


@attrs.define
class Daemon:
    """Daemon that is always ready."""

    config: object
    submissions: Submissions
    job_queries: Queries = attrs.field(factory=Queries)

    def is_ready(self):
        """Return true."""
        return True


@attrs.define
class LimitedServer:
    """Server with low limits, and helpers to send to it."""

    caller_server: CallerServer
    metrics: Metrics
    submissions: Submissions
    port: int

    async def send(self, sent):
        """Send on a new connection."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(sent)
        # The server may have refused the request already.
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        return reader, writer

    async def status(self, sent):
        """Return the status of the response to a request."""
        reader, writer = await self.send(sent)
        status, _ = await read_response(reader)
        writer.close()
        return status

    def held_bytes(self):
        """Return the bytes that all requests hold."""
        return self.caller_server._context.budget.total_bytes

    async def wait_until_held(self, least):
        """Wait until requests hold some bytes."""
        async with asyncio.timeout(5):
            while self.held_bytes() < least:
                await asyncio.sleep(0.001)

    async def wait_until_released(self):
        """Wait until no request holds any byte."""
        async with asyncio.timeout(5):
            while self.held_bytes():
                await asyncio.sleep(0.001)

    def refusal_count(self, reason):
        """Return how many requests were refused for a reason."""
        label = f'reason="{reason}"'
        return sum(
            float(line.split()[-1])
            for line in self.metrics.render().decode().splitlines()
            if line.startswith('currantreach_refusals') and label in line
        )


async def read_response(reader):
    """Return the status and the headers of the next response."""
    async with asyncio.timeout(5):
        head = await reader.readuntil(b'\r\n\r\n')
    first_line, *rows = head.decode().lower().split('\r\n')
    fields = dict(row.split(': ') for row in rows if row)
    await reader.readexactly(int(fields['content-length']))
    return int(first_line.split()[1]), fields


@pytest.fixture
async def server(config_fields, encode):
    """Return a started server."""
    config_fields['limits'] = {'maxBodyBytes': BODY_BYTES}
    submissions = Submissions()
    submissions.may_answer.set()
    metrics = Metrics()
    daemon = Daemon(decode_config(encode(config_fields)), submissions)
    caller_server = CallerServer(daemon, metrics, 100, MEMORY_BYTES)
    await caller_server.start('127.0.0.1:0', '127.0.0.1:0')
    _, port = caller_server._runners[0].addresses[0]
    yield LimitedServer(caller_server, metrics, submissions, port)
    await caller_server.close()


def encode_chunks(body, chunk_bytes):
    """Return a complete body in chunks."""
    pieces = []
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        pieces.extend((f'{len(chunk):x}'.encode(), b'\r\n', chunk, b'\r\n'))
    return b''.join((*pieces, b'0\r\n\r\n'))


def pad_head(size_bytes):
    """Return the head of a query of an exact size with one long header."""
    padding = size_bytes - len(QUERY) - len('X-P: \r\n')
    field = b''.join((b'X-P: ', b'x' * padding, b'\r\n\r\n'))
    return QUERY_HEAD + field


@pytest.mark.parametrize('chunk_bytes', [1, 700, BODY_BYTES])
async def test_largest_body_in_chunks_is_served(server, chunk_bytes):
    """A request within the limits that arrives alone must be served."""
    body = JOB.ljust(BODY_BYTES)
    sent = CHUNKED_HEAD + encode_chunks(body, chunk_bytes)
    assert await server.status(sent) == 200
    assert server.submissions.accepted


@pytest.mark.parametrize('chunk_bytes', [1, 700, BODY_BYTES + 1])
async def test_limit_on_bodies_holds_for_chunks(server, chunk_bytes):
    """A chunked body was read up to a megabyte whatever the limit was."""
    body = JOB.ljust(BODY_BYTES + 1)
    sent = CHUNKED_HEAD + encode_chunks(body, chunk_bytes)
    assert await server.status(sent) == 413
    assert not server.submissions.accepted
    assert server.refusal_count('body_too_large') == 1


async def test_chunk_extensions_are_limited(server):
    """What chunks contain beside the body was not limited."""
    extension = b'1;'.ljust(BODY_BYTES, b'x')
    sent = b'\r\n'.join((extension, b' ', b'')) * 20
    assert await server.status(CHUNKED_HEAD + sent) == 413
    assert server.refusal_count('framing_too_large') == 1


async def test_largest_headers_are_served(server):
    """A single header of more than 8190 bytes got status 400."""
    assert await server.status(pad_head(HEADER_BYTES)) == 410


@pytest.mark.parametrize('size_bytes', [HEADER_BYTES + 1, 3 * HEADER_BYTES])
async def test_limit_on_headers(server, size_bytes):
    """The limit on headers was read and not applied."""
    assert await server.status(pad_head(size_bytes)) == 431
    assert server.refusal_count('headers_too_large') == 1


@pytest.mark.parametrize(
    'sent', [QUERY_HEAD + HEADER * 100, b'\r\n' * HEADER_BYTES]
)
async def test_headers_without_end(server, sent):
    """Headers and empty lines without end must get an answer and an end."""
    reader, writer = await server.send(sent)
    status, fields = await read_response(reader)
    assert (status, fields['connection']) == (431, 'close')
    async with asyncio.timeout(5):
        assert not await reader.read()
    writer.close()


@pytest.mark.parametrize(
    ('path', 'status'), [(b'/plans/', 413), (b'/gone/', 404)]
)
async def test_compressed_body_is_not_read_to_its_end(server, path, status):
    """The rest of refused bodies was decompressed, for seconds altogether."""
    body = gzip.compress(bytes(20_000_000))
    head = b'Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n%b\r\n' % (len(body), body)
    sent = b''.join((HEAD.replace(b'/plans/', path), head, chunk))
    reader, writer = await server.send(sent)
    assert (await read_response(reader))[0] == status
    await asyncio.sleep(0.2)
    connection = server.caller_server._runners[0].server.connections[0]
    assert connection._last_body.total_bytes < 1_000_000
    writer.close()


async def test_excess_of_all_requests_is_refused(server):
    """Bodies of permitted size were held whatever their number."""
    partial = HEAD + f'Content-Length: {BODY_BYTES}\r\n\r\n'.encode()
    partial += b' ' * (BODY_BYTES - 1)
    opened = [await server.send(partial) for _ in range(40)]
    async with asyncio.timeout(5):
        while not server.refusal_count('caller_memory'):
            await asyncio.sleep(0.01)
    assert server.held_bytes() <= MEMORY_BYTES
    reader, _ = opened[-1]
    status, fields = await read_response(reader)
    assert (status, fields['retry-after']) == (503, '1')
    assert fields['connection'] == 'close'
    for _, writer in opened:
        writer.close()
    await server.wait_until_released()


async def test_job_that_waits_for_the_store_is_never_refused(server):
    """A refusal must not say that a job did not run that may be stored."""
    server.submissions.may_answer.clear()
    complete = HEAD + f'Content-Length: {len(JOB)}\r\n\r\n'.encode() + JOB
    opened = [await server.send(complete) for _ in range(90)]
    async with asyncio.timeout(5):
        while not server.refusal_count('caller_memory'):
            await asyncio.sleep(0.01)
    server.submissions.may_answer.set()
    statuses = [(await read_response(reader))[0] for reader, _ in opened]
    assert set(statuses) == {200, 503}
    assert statuses.count(200) == len(server.submissions.accepted)
    for _, writer in opened:
        writer.close()
    await server.wait_until_released()


async def test_requests_on_one_connection_release_their_bytes(server):
    """A calm caller that sends many requests must not use up the budget."""
    reader, writer = await server.send(QUERY * 500)
    for _ in range(500):
        assert (await read_response(reader))[0] == 410
    await server.wait_until_released()
    writer.close()


async def test_connections_over_the_limit(server):
    """Connections over the limit were open until the next sweep."""
    opened = await asyncio.gather(*(server.send(b'') for _ in range(300)))
    await asyncio.sleep(0.05)
    assert server.caller_server._context.open_count <= 125
    assert await server.status(QUERY) == 410
    for _, writer in opened:
        writer.close()
