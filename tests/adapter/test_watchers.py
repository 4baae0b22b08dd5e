"""Tests of the watches on the configuration and the workers."""

from __future__ import annotations

import asyncio
import base64
import itertools

import msgspec
import pytest

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


def key_item(name, revision=5, stored='e30='):
    """Return an item whose key requests the evacuation of a domain."""
    return {
        'key': f'op/evacuate/{name}',
        'value': stored,
        'revision': revision,
        'created': 1,
        'lease': 0,
    }


def page_of(*items):
    """Return a response with all keys."""
    return 200, {'items': list(items), 'hasMore': False, 'at': 5}


def events_of(*events):
    """Return a response with changes."""
    return 200, {'events': list(events), 'at': 6}


FAILURE = 503, {}


@pytest.mark.parametrize(
    ('responses', 'domains'),
    [
        ([page_of(key_item('east'), key_item('west'))], {'east', 'west'}),
        ([page_of(), events_of(key_item('east'))], {'east'}),
        (
            [
                page_of(key_item('east'), key_item('west')),
                events_of({**key_item('east'), 'deleted': True}),
            ],
            {'west'},
        ),
        (
            [
                page_of(),
                events_of(
                    key_item('east'),
                    {**key_item('east'), 'deleted': True},
                    key_item('east'),
                ),
            ],
            {'east'},
        ),
        ([page_of(key_item('east')), FAILURE], {'east'}),
        ([page_of(key_item('east')), (410, {}), FAILURE], {'east'}),
        ([page_of(key_item('east')), FAILURE, page_of()], set()),
        (
            [page_of(key_item('east')), FAILURE, page_of(key_item('west'))],
            {'west'},
        ),
    ],
)
async def test_evacuated_domains_follow_the_store(server, responses, domains):
    """An evacuation must end only when the store shows that its key is gone.

    A failed watch, or a store that lost its history, shows nothing.
    """
    store = PlatformStore(server.address)
    config = PlatformConfig(store, MonotonicClock())
    server.responses = responses + list(itertools.repeat(FAILURE, 20))
    await run_for(config, 0.5)
    assert config.evacuated_domains == domains
    await store.close()


@pytest.mark.parametrize(
    ('item', 'domains'),
    [
        (key_item('east', stored='!'), {'east'}),
        (key_item('east', stored=''), {'east'}),
        (key_item('east', revision='x'), {'east'}),
        (key_item('east/2'), {'east/2'}),
        (key_item(' '), {' '}),
        (key_item(''), set()),
        ({**key_item('east'), 'key': 'op/evacuate'}, set()),
        ({**key_item('east'), 'key': 'op/evacuated/east'}, set()),
        ({**key_item('east'), 'key': 7}, set()),
    ],
)
async def test_odd_entry_evacuates_what_its_name_says(
    server, config_fields, item, domains
):
    """Odd bytes must not hide an evacuation, nor an odd name the others."""
    store = PlatformStore(server.address)
    config = PlatformConfig(store, MonotonicClock())
    good = entry('op/config', config_fields)
    server.responses = [page_of(item, key_item('north'), good)]
    server.responses += list(itertools.repeat(FAILURE, 20))
    await run_for(config, 0.2)
    assert config.evacuated_domains == domains | {'north'}
    assert config.config.version == 7
    await store.close()


async def test_view_is_as_old_as_its_request(server):
    """An answer on a slow link must not make an old view a current one."""
    store = PlatformStore(server.address)
    clock = MonotonicClock()
    config = PlatformConfig(store, clock)
    assert config.evacuations_read_at_s < -1e9
    began_s = clock.now_s()
    server.delay_s = 0.3
    server.responses = [page_of()] + list(itertools.repeat(FAILURE, 20))
    await run_for(config, 0.5)
    assert began_s <= config.evacuations_read_at_s < began_s + 0.2
    assert config.last_answer_at_s >= began_s + 0.3
    await store.close()
