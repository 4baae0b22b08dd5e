"""Tests of the limit on the size of responses.

A response of any size was read into memory, whoever had sent it.
"""

from __future__ import annotations

import pytest
from aiohttp import web

from currantreach_platform import Channel, HttpRequest, NoResponseError

LIMIT_BYTES = 100_000


async def _serve(request):
    body = bytes(int(request.query['size']))
    if request.path == '/length':
        return web.Response(body=body)
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(body)
    await response.write_eof()
    return response


@pytest.fixture
async def channel():
    """Return a channel to a server that sends as much as it is asked for."""
    runner = web.ServerRunner(web.Server(_serve))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    _, port = runner.addresses[0]
    opened = Channel(f'http://127.0.0.1:{port}', 5)
    yield opened
    await opened.close()
    await runner.cleanup()


def _request(path, size_bytes):
    return HttpRequest(
        method='GET',
        path=path,
        query={'size': str(size_bytes)},
        response_limit_bytes=LIMIT_BYTES,
    )


@pytest.mark.parametrize('path', ['/length', '/chunked'])
async def test_response_within_the_limit(channel, path):
    """A response of the largest size must arrive."""
    response = await channel.send(_request(path, LIMIT_BYTES))
    assert len(response.body) == LIMIT_BYTES


@pytest.mark.parametrize('path', ['/length', '/chunked'])
async def test_response_over_the_limit(channel, path):
    """The call fails, and the next one is not sent on its connection."""
    with pytest.raises(NoResponseError, match='more than 100000 bytes'):
        await channel.send(_request(path, 50 * LIMIT_BYTES))
    response = await channel.send(_request(path, 10))
    assert len(response.body) == 10
