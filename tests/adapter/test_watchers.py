"""Tests of the watches on the configuration and the workers."""

from __future__ import annotations

import asyncio
import base64
import itertools

import msgspec

from currantreach_adapter._store import PlatformStore
from currantreach_adapter._watchers import PlatformConfig, PlatformWorkers
from currantreach_types import MonotonicClock

WORKER = {
    'service': 'passes',
    'address': '10.0.0.1:80',
    'zone': 'east',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': [],
    'sequence': 1,
}


def entry(key, fields, revision=5):
    """Return an item of the store."""
    return {
        'key': key,
        'value': base64.b64encode(msgspec.json.encode(fields)).decode(),
        'revision': revision,
        'created': 1,
        'lease': 0,
    }


async def run_for(watcher, duration_s):
    """Run a watcher for some time."""
    task = asyncio.create_task(watcher.follow())
    await asyncio.sleep(duration_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_heartbeats_are_batched(server):
    """Frequent heartbeats must not cause a request each.

    Each heartbeat ended a watch, which caused 2,000 requests per second with
    176 workers and 41 daemons.
    """
    store = PlatformStore(server.address)
    workers = PlatformWorkers(store)
    key = 'servers/i-1'
    page = {'items': [entry(key, WORKER)], 'hasMore': False, 'at': 5}
    heartbeat = {'events': [entry(key, WORKER)], 'at': 6}
    server.responses = [(200, page)] + list(
        itertools.repeat((200, heartbeat), 100)
    )
    await run_for(workers, 1)
    assert set(workers.reports) == {'i-1'}
    assert len(server.requests) <= 5
    await store.close()


async def test_invalid_entries_are_ignored(server):
    """An entry that is no worker report must not hide the others."""
    store = PlatformStore(server.address)
    workers = PlatformWorkers(store)
    page = {
        'items': [
            entry('servers/bad', {'state': 'ready', 'service': 4}),
            entry('servers/i-1', WORKER),
        ],
        'hasMore': False,
        'at': 5,
    }
    server.responses = [(200, page)] + list(itertools.repeat((503, {}), 20))
    await run_for(workers, 0.2)
    assert set(workers.reports) == {'i-1'}
    await store.close()


async def test_last_valid_configuration_is_retained(server, config_fields):
    """An invalid version must not replace the previous one."""
    store = PlatformStore(server.address)
    config = PlatformConfig(store, MonotonicClock())
    good = entry('op/config', config_fields)
    page = {'items': [good], 'hasMore': False, 'at': 5}
    broken = {'events': [entry('op/config', {'version': 9})], 'at': 6}
    server.responses = [(200, page), (200, broken)] + list(
        itertools.repeat((503, {}), 20)
    )
    await run_for(config, 0.3)
    assert config.config.version == 7
    await store.close()
