"""Fixtures: messages of the platform, and a server that sends them."""

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
    """Return the fields of a configuration in the platform's format."""
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
    """Return a function that encodes a message body."""
    return msgspec.json.encode


@pytest.fixture(autouse=True)
def quiet_log():
    """Discard log lines."""
    with logbook.NullHandler().applicationbound():
        yield


class RecordingServer:
    """HTTP server that records requests and sends prepared responses."""

    def __init__(self):
        self.responses = []
        self.requests = []
        self.address = ''
        self.delay_s = 0

    async def serve(self, request):
        """Send the next prepared response."""
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
        status, fields = self.responses.pop(0)
        return web.Response(
            status=status,
            body=msgspec.json.encode(fields),
            content_type='application/json',
        )


@pytest.fixture
async def server():
    """Return a server on the loopback interface."""
    recorder = RecordingServer()
    runner = web.ServerRunner(web.Server(recorder.serve))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    recorder.address = f'127.0.0.1:{port}'
    yield recorder
    await runner.cleanup()
