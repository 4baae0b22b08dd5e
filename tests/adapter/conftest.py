"""Bodies as the platform sends them."""

from __future__ import annotations

import asyncio

import logbook
import msgspec
import pytest
from aiohttp import web

from currantreach_jobs import Queue


@pytest.fixture
def queue():
    """Return a queue."""
    return Queue(
        name='plans',
        host='cell.example',
        path_prefix='/plans/',
        service='passes',
    )


@pytest.fixture
def config_fields():
    """Return the fields of a configuration on the wire."""
    return {
        'version': 7,
        'routes': [
            {
                'name': 'plans',
                'host': 'cell.example',
                'prefix': '/plans/',
                'service': 'passes',
                'priority': 1,
                'maxAttempts': 2,
                'stretchFactor': 2.5,
                'targetDurationMs': 1000,
                'recommendation': {
                    'decideMs': 816.0,
                    'periodMs': 7.5,
                    'validMs': 2500,
                },
                'anonymous': False,
            },
        ],
        'services': [{'name': 'passes', 'enforceCapacity': False}],
        'limits': {'maxBodyBytes': 1000, 'idleTimeoutMs': 15000},
        'tenants': [
            {
                'name': 'orchard',
                'apiKeys': ['k1', 'k2'],
                'weight': 16,
                'maxCount': {'cpu': 2000, 'memMb': 4000, 'gpu': 0},
            },
        ],
    }


@pytest.fixture
def encode():
    """Return a function that encodes a body."""
    return msgspec.json.encode


@pytest.fixture(autouse=True)
def quiet_log():
    """Keep log lines out of the output."""
    with logbook.NullHandler().applicationbound():
        yield


class Peer:
    """HTTP server that answers with prepared bodies and keeps requests."""

    def __init__(self):
        self.answers = []
        self.requests = []
        self.address = ''
        self.delay_s = 0

    async def serve(self, request):
        """Answer with the next prepared answer."""
        self.requests.append(
            (
                request.method,
                str(request.rel_url),
                dict(request.headers),
                await request.read(),
            ),
        )
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        status, fields = self.answers.pop(0)
        return web.Response(
            status=status,
            body=msgspec.json.encode(fields),
            content_type='application/json',
        )


@pytest.fixture
async def peer():
    """Return a server on this machine."""
    made = Peer()
    runner = web.ServerRunner(web.Server(made.serve))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    made.address = f'127.0.0.1:{port}'
    yield made
    await runner.cleanup()
