"""Tests of the store client against its stand-in."""

from __future__ import annotations

import asyncio
import json

import pytest

from currantreach_platform import HttpStore, KeyValue
from currantreach_standins import store_app
from currantreach_types.errors import (
    ConflictError,
    OutcomeUnknownError,
    StoreUnavailableError,
)

_BINARY = bytes(range(256))


@pytest.fixture
async def url(serve, clock):
    """Return the URL of an empty store."""
    return await serve(store_app(clock))


@pytest.fixture
async def store(url):
    """Return a client."""
    client = HttpStore(url, 'north-1', timeout_s=0.5)
    yield client
    await client.close()


async def test_values_and_revisions_round_trip(store):
    """Guard against corrupted binary values, special keys and revisions."""
    key = 'a/b c?%2F&å'
    assert await store.get(key) is None
    revision = await store.put(key, _BINARY, 0)
    other = await store.put('other', b'', 0)

    assert await store.get(key) == KeyValue(
        key=key,
        stored=_BINARY,
        revision=revision,
    )
    listed = await store.list_prefix('a/b c?')
    assert listed.changed == (await store.get(key),)
    assert listed.revision == other
    assert other > revision

    with pytest.raises(ConflictError) as conflict:
        await store.put(key, b'2', 0)
    assert conflict.value.current_revision == revision
    with pytest.raises(ConflictError):
        await store.delete(key, revision + 1)
    await store.delete(key, revision)
    assert await store.get(key) is None


async def test_value_limit(store):
    """Guard against rejecting a journal segment of maximum size."""
    await store.put('full', bytes(1000000), 0)

    with pytest.raises(StoreUnavailableError, match='413'):
        await store.put('over', bytes(1048577), 0)
    assert await store.get('over') is None


async def test_write_is_not_resent_after_a_lost_response(store, url, control):
    """Guard against a silent retry that conflicts with the first attempt."""
    revision = await store.put('a', b'1', 0)
    fault = {'lost_answer_count': 2, 'lost_answer_kinds': ['put', 'delete']}
    await control(f'{url}/v1/faults', fault)
    await store.grant_lease(9)

    with pytest.raises(OutcomeUnknownError):
        await store.put('a', b'2', revision)
    entry = await store.get('a')
    assert entry.stored == b'2'
    with pytest.raises(OutcomeUnknownError):
        await store.delete('a', entry.revision)
    assert await store.get('a') is None

    calls = json.loads(await control(f'{url}/v1/stats'))['calls']
    assert calls == {'put': 2, 'grant_lease': 1, 'get': 2, 'delete': 1}
    assert {**store.call_counts, **calls} == store.call_counts


@pytest.mark.parametrize(
    ('fault', 'error'),
    [
        ({'outage': 'refuse'}, StoreUnavailableError),
        ({'outage': 'close'}, OutcomeUnknownError),
        ({'hang': True}, OutcomeUnknownError),
    ],
)
async def test_outage_has_no_effect_and_ends(store, url, control, fault, error):
    """Guard against writes during an outage and failures after its end."""
    revision = await store.put('a', b'1', 0)
    watching = asyncio.create_task(store.watch('a', revision, 20))
    await asyncio.sleep(0.05)
    await control(f'{url}/v1/faults', fault)

    with pytest.raises(error):
        await store.put('a', b'2', revision)
    if 'outage' in fault:
        with pytest.raises(error):
            await watching
    watching.cancel()

    await control(f'{url}/v1/faults', {})
    entry = await store.get('a')
    assert (entry.stored, entry.revision) == (b'1', revision)


async def test_fault_is_limited_to_named_clients(store, url, control):
    """Guard against faults that affect clients other than the named ones."""
    await control(
        f'{url}/v1/faults',
        [{'outage': 'refuse', 'clients': ['south-1']}],
    )
    south = HttpStore(url, 'south-1')

    await store.put('a', b'1', 0)
    with pytest.raises(StoreUnavailableError):
        await south.get('a')
    await south.close()


async def test_slow_store_leaves_the_outcome_unknown(store, url, control):
    """Guard against reporting a slow but successful write as not done."""
    await control(f'{url}/v1/faults', {'delay_ms': 700})

    with pytest.raises(OutcomeUnknownError):
        await store.put('a', b'1', 0)

    await control(f'{url}/v1/faults', {})
    assert (await store.get('a')).stored == b'1'


async def test_lease_expiry_removes_its_keys(store, clock):
    """Guard against sessions that outlive their lease."""
    lease_id = await store.grant_lease(4)
    await store.put('members/a', b'1', 0, lease_id)
    other_revision = await store.put('members/b', b'1', 0)
    clock.advance(3)
    await store.renew_lease(lease_id)
    clock.advance(3.9)
    assert await store.get('members/a')

    clock.advance(0.2)

    changes = await store.watch('members/', other_revision, 0)
    assert changes.deleted == ('members/a',)
    with pytest.raises(ConflictError):
        await store.renew_lease(lease_id)
    with pytest.raises(ConflictError):
        await store.put('members/a', b'1', 0, lease_id)
    assert await store.get('members/a') is None


async def test_rewritten_key_is_detached_from_its_lease(store):
    """Guard against deleting a key that is no longer attached to the lease."""
    lease_id = await store.grant_lease(4)
    revision = await store.put('a', b'1', 0, lease_id)
    await store.put('a', b'2', revision)
    await store.put('b', b'1', 0, lease_id)

    await store.revoke_lease(lease_id)

    assert (await store.get('a')).stored == b'2'
    assert await store.get('b') is None


async def test_watch_returns_on_a_change_to_its_prefix(store):
    """Guard against missed, unrelated or repeated changes."""
    first = await store.put('config/current', b'1', 0)
    watching = asyncio.create_task(store.watch('config/', first, 20))
    await asyncio.sleep(0.05)
    await store.put('claims/x', b'1', 0)
    await asyncio.sleep(0.05)
    assert not watching.done()
    second = await store.put('config/current', b'2', first)

    changes = await asyncio.wait_for(watching, 5)

    assert [(each.stored, each.revision) for each in changes.changed] == [
        (b'2', second),
    ]
    assert changes.revision == second
    missed = await store.watch('config/', 0, 20)
    assert missed.changed == changes.changed
    empty = await store.watch('config/', second, 0.05)
    assert (empty.changed, empty.deleted) == ((), ())
