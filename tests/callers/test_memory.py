"""Tests of callers that exceed the limits, each against a real daemon.

In a trial, clients that were not under our control ended a process by its
memory. The crowd and the bounds were fixed before the daemon was changed.
"""

from __future__ import annotations

import pytest

from tests.soak._callers import HOST

CONNECTION_COUNT = 100
# Beyond the descriptors of the process, which reserves half for its callers.
MANY_CONNECTION_COUNT = 600
BODY_BYTES = 262144
CHUNK_BYTES = 65536
CHUNK_COUNT = 15
SMALL_CHUNK_COUNT = 256_000
HEADER_COUNT = 100
HEADER_BYTES = 8000
EMPTY_LINE_COUNT = 500_000
HEAD = (
    'POST /steady/5c0e7a21d94b36f8 HTTP/1.1\r\n'
    f'Host: {HOST}\r\nAuthorization: Bearer key-steady\r\n'
).encode()
CHUNKED_HEAD = b''.join((HEAD, b'Transfer-Encoding: chunked\r\n\r\n'))

pytestmark = pytest.mark.timeout(180)


async def test_bodies_that_stop_before_their_end(daemon):
    """Bodies of permitted size were held until their timeout."""
    length = f'Content-Length: {BODY_BYTES}\r\n\r\n'.encode()
    body = bytes(BODY_BYTES - 1)
    await daemon.crowd.send(b''.join((HEAD, length, body)), CONNECTION_COUNT)
    await daemon.check()


async def test_large_chunks_without_a_last_one(daemon):
    """The limit on bodies did not hold for chunked ones."""
    size = f'{CHUNK_BYTES:x}'.encode()
    chunk = b'\r\n'.join((size, bytes(CHUNK_BYTES), b''))
    await daemon.crowd.send(
        CHUNKED_HEAD + chunk * CHUNK_COUNT,
        CONNECTION_COUNT,
    )
    await daemon.check()


async def test_chunks_of_one_byte_without_a_last_one(daemon):
    """Small chunks took several times the memory of their bytes."""
    await daemon.crowd.send(
        CHUNKED_HEAD + b'1\r\n \r\n' * SMALL_CHUNK_COUNT,
        CONNECTION_COUNT,
    )
    await daemon.check()


async def test_headers_without_end(daemon):
    """The limit on headers was read and not applied."""
    field = b''.join((b'X-Padding: ', b'x' * HEADER_BYTES, b'\r\n'))
    await daemon.crowd.send(HEAD + field * HEADER_COUNT, CONNECTION_COUNT)
    await daemon.check()


async def test_empty_lines_without_end(daemon):
    """Empty lines before a request must be neither kept nor read for ever."""
    await daemon.crowd.send(b'\r\n' * EMPTY_LINE_COUNT, CONNECTION_COUNT)
    await daemon.check()


async def test_many_connections(daemon):
    """Connections beyond the limit were open until the next sweep."""
    await daemon.crowd.send(b'', MANY_CONNECTION_COUNT)
    await daemon.check()
