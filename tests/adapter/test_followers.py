"""Followers of the store and the calls that they cost."""

from __future__ import annotations

import asyncio
import base64
import itertools

import msgspec

from currantreach_adapter._followers import PlatformConfig, PlatformWorkers
from currantreach_adapter._store import PlatformStore
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


async def follow_for(follower, duration_s):
    """Let a follower run for a while."""
    task = asyncio.create_task(follower.follow())
    await asyncio.sleep(duration_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_heartbeats_are_gathered(peer):
    """Many heartbeats must not cost a call each.

    Each heartbeat ended a watch; on 176 workers and 41 daemons this made
    2,000 calls a second.
    """
    store = PlatformStore(peer.address)
    workers = PlatformWorkers(store)
    key = 'servers/i-1'
    page = {'items': [entry(key, WORKER)], 'hasMore': False, 'at': 5}
    beat = {'events': [entry(key, WORKER)], 'at': 6}
    peer.answers = [(200, page)] + list(itertools.repeat((200, beat), 100))
    await follow_for(workers, 1)
    assert set(workers.reports) == {'i-1'}
    assert len(peer.requests) <= 5
    await store.close()


async def test_entries_of_other_writers_are_left_out(peer):
    """An entry that names no worker must not hide the others."""
    store = PlatformStore(peer.address)
    workers = PlatformWorkers(store)
    page = {
        'items': [
            entry('servers/bad', {'state': 'ready', 'service': 4}),
            entry('servers/i-1', WORKER),
        ],
        'hasMore': False,
        'at': 5,
    }
    peer.answers = [(200, page)] + list(itertools.repeat((503, {}), 20))
    await follow_for(workers, 0.2)
    assert set(workers.reports) == {'i-1'}
    await store.close()


async def test_last_good_configuration_stays(peer, config_fields):
    """A version that cannot be read leaves the one before in force."""
    store = PlatformStore(peer.address)
    config = PlatformConfig(store, MonotonicClock())
    good = entry('op/config', config_fields)
    page = {'items': [good], 'hasMore': False, 'at': 5}
    broken = {'events': [entry('op/config', {'version': 9})], 'at': 6}
    peer.answers = [(200, page), (200, broken)] + list(
        itertools.repeat((503, {}), 20)
    )
    await follow_for(config, 0.3)
    assert config.config.version == 7
    await store.close()
