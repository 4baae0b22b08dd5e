"""Fixtures: stand-ins on real sockets and a manual clock."""

from __future__ import annotations

import contextlib

import aiohttp
import pytest

from currantreach_standins import start_app
from currantreach_types import ManualClock


@pytest.fixture
def clock():
    """Return a clock that only the test advances."""
    return ManualClock(100)


@pytest.fixture
async def serve():
    """Return a function that starts an app and returns its URL."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(app):
            runner = await start_app(app, 0)
            stack.push_async_callback(runner.cleanup)
            port = runner.addresses[0][1]
            return f'http://127.0.0.1:{port}'

        yield start


@pytest.fixture
async def control():
    """Return a function that sends a request to a stand-in."""
    async with aiohttp.ClientSession() as session:

        async def call(url, body=None):
            method = 'GET' if body is None else 'POST'
            async with session.request(method, url, json=body) as response:
                assert response.status == 200
                return await response.text()

        yield call
