"""Tests of the gate, the caller's API and the administration over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import json

import attrs
import logbook
import msgspec
import pytest
from aiohttp.test_utils import TestClient, TestServer

from currantreach_config import KeyRole, check_documents, first_record, new_key
from currantreach_daemon._admission import AdmissionController
from currantreach_daemon._http import HttpServer
from currantreach_daemon._replies import GUARD
from currantreach_daemon._shedding import LoadShedder
from currantreach_platform import Store
from currantreach_state import ConfigKeeper
from currantreach_telemetry import Metrics
from currantreach_types import (
    Answer,
    ManualClock,
    RequestState,
    encode_json,
    refusals,
)

ID = 'dom.0.1.one'


class FakeRouter:
    """Router that writes down what reaches it."""

    def __init__(self):
        self.submitted = []
        self.answer = Answer(request_id=ID, state=RequestState.accepted)
        self.may_go_on = asyncio.Event()
        self.may_go_on.set()

    async def issue_id(self, resources, passed_over=()):
        return ID

    async def submit(self, spec, body_hash, *, is_repeated):
        self.submitted.append((spec, is_repeated))
        await self.may_go_on.wait()
        return self.answer

    async def wait(self, request_id, team, timeout_s):
        return self.answer

    async def cancel(self, request_ids, team):
        return (self.answer,) * len(request_ids)

    async def list_requests(self, team):
        return (self.answer,)


class FakeOverview:
    """Overview of a cell with one more failure domain."""

    def __init__(self):
        self.behind = []

    def in_force(self):
        return {'dom': 1}

    def missing(self, revision):
        return self.behind


@attrs.define
class Site:
    """A daemon's HTTP server and what surrounds it."""

    client: TestClient
    router: FakeRouter
    overview: FakeOverview
    keeper: ConfigKeeper
    store: Store
    admission: AdmissionController
    clock: ManualClock
    tokens: dict
    base: dict
    metrics: Metrics

    async def submit(self, key='tine', **fields):
        """Submit a request and return the status and the answer."""
        body = {'queue': 'scan', 'workload': 'scan', 'team': 'tine', **fields}
        return await self.call('POST', '/v1/requests', key, body)

    async def call(self, method, path, key='operator', body=None):
        """Call the server and return the status and the answer."""
        headers = {}
        if key:
            token = self.tokens.get(key, key)
            headers['Authorization'] = f'Bearer {token}'
        sent = (
            body
            if body is None or isinstance(body, bytes)
            else (json.dumps(body).encode())
        )
        async with self.client.request(
            method, path, data=sent, headers=headers
        ) as response:
            return response.status, await response.json()

    async def apply(self, **fields):
        """Apply the base file."""
        body = {'base': self.base, **fields}
        return await self.call('POST', '/v1/admin/config/apply', body=body)


@pytest.fixture
def keys():
    """Return a token and record for each kind of key."""
    return {
        'operator': new_key('', KeyRole.operator),
        'tine': new_key('tine', KeyRole.caller),
        'feed': new_key('feed', KeyRole.caller),
        'withdrawn': new_key('tine', KeyRole.caller),
    }


@pytest.fixture
def base(keys):
    """Return a correct base file."""
    limit = {'slot_count': 9, 'cpu_milli': 9000, 'memory_mib': 9000}
    limit['connection_count'] = 90
    return {
        'site': 'site-one',
        'teams': [
            {
                'name': name,
                'share': 1,
                'upper_limit': limit,
                'request_limit': 2,
            }
            for name in ('tine', 'feed')
        ],
        'queues': [
            {'name': 'scan', 'policy': 'batch'},
            {'name': 'closed', 'policy': 'batch', 'teams': ['feed']},
            {
                'name': 'public',
                'policy': 'prompt',
                'is_open': True,
                'open_team': 'feed',
            },
        ],
        'keys': [msgspec.to_builtins(record) for _, record in keys.values()],
    }


@pytest.fixture
async def empty_site(base, keys, new_store):
    """Return a site without a configuration."""
    clock = ManualClock(100)
    store = new_store(clock)
    keeper = ConfigKeeper(store, clock, 5)
    admission = AdmissionController(keeper, clock)
    router = FakeRouter()
    overview = FakeOverview()
    metrics = Metrics()
    server = HttpServer(
        admission, keeper, router, overview, metrics, LoadShedder(clock)
    )
    async with TestClient(TestServer(server._app)) as client:
        yield Site(
            client,
            router,
            overview,
            keeper,
            store,
            admission,
            clock,
            {name: token for name, (token, _) in keys.items()},
            base,
            metrics,
        )


@pytest.fixture
async def site(empty_site, base, keys):
    """Return a site with a fresh configuration."""
    cell = check_documents(json.dumps(base).encode(), [])
    record = first_record(cell, change_id='first', author='x')
    withdrawn = keys['withdrawn'][1].key_id
    record = attrs.evolve(record, withdrawn=(withdrawn,))
    await empty_site.store.put('config/current', encode_json(record), 0)
    await empty_site.keeper.poll()
    return empty_site


@pytest.mark.parametrize(
    ('key', 'fields', 'status', 'reason'),
    [
        ('', {}, 401, 'key_missing'),
        ('crk_x_y', {}, 401, 'key_unknown'),
        ('withdrawn', {}, 401, 'key_withdrawn'),
        ('feed', {}, 403, 'key_other_team'),
        ('operator', {}, 403, 'key_other_team'),
        ('tine', {'queue': 'closed'}, 403, 'queue_not_open'),
        ('tine', {'queue': 'none'}, 422, 'queue_unknown'),
        ('tine', {'gang_size': 99}, 422, 'limit_never_fits'),
        ('tine', {'extra': 1}, 400, 'body_malformed'),
        ('tine', {'resources': {'slot_count': -1}}, 400, 'body_malformed'),
        ('tine', {'gang_size': 0}, 400, 'body_malformed'),
        ('tine', {'expected_run_s': 1e308}, 400, 'body_malformed'),
        ('tine', {'deadline_s': -1}, 400, 'body_malformed'),
        ('tine', {'attempt': 0}, 400, 'body_malformed'),
        ('tine', {'workload': 'x' * 101}, 400, 'body_malformed'),
        ('tine', {'workload': 'a\u2028b'}, 400, 'body_malformed'),
        ('tine', {'request_id': '../x'}, 400, 'body_malformed'),
        ('tine', {'payload': 'x' * 300_000}, 413, 'body_too_large'),
        ('tine', {'payload': 'x' * 10_000_000}, 413, 'body_too_large'),
    ],
)
async def test_not_admitted(site, caught, key, fields, status, reason):
    """A request that must be refused reaches the owner (P3)."""
    found, answer = await site.submit(key, **fields)
    assert (found, answer['state'], answer['reason']) == (
        status,
        'not_run',
        reason,
    )
    assert not site.router.submitted
    assert len(caught()) == 1
    assert f'reason="{reason}"'.encode() in site.metrics.render()


async def test_admitted(site, caught):
    """An open queue needs a key, or a key is charged to another team."""
    assert (await site.submit(request_id=ID))[0] == 202
    assert (await site.submit('', queue='public'))[0] == 202
    teams = [spec.team for spec, _ in site.router.submitted]
    assert teams == ['tine', 'feed']
    assert not caught()


async def test_stale_configuration(site):
    """A revoked key works on while the configuration is stale (P3)."""
    site.clock.advance(6)
    status, answer = await site.submit()
    assert (status, answer['reason']) == (503, 'configuration_stale')
    assert (await site.submit('', queue='public'))[0] == 202
    assert len(site.router.submitted) == 1


async def test_request_limit(site):
    """A team uses up a daemon with requests in progress."""
    site.router.may_go_on.clear()
    waiting = [asyncio.create_task(site.submit()) for _ in range(2)]
    while len(site.router.submitted) < 2:
        await asyncio.sleep(0)
    assert (await site.submit())[0] == 429
    site.router.may_go_on.set()
    await asyncio.gather(*waiting)
    assert (await site.submit())[0] == 202


async def test_endless_body(site, monkeypatch):
    """A body that never ends holds a connection for ever."""
    monkeypatch.setattr('currantreach_daemon._http._BODY_TIMEOUT_S', 0.05)

    async def endless():
        yield b'{'
        await asyncio.sleep(30)

    with contextlib.suppress(ConnectionError):
        async with site.client.post('/v1/requests', data=endless()) as response:
            assert response.status == 400
    assert not site.router.submitted


@pytest.mark.parametrize('reason', ['no_owner', 'queue_full', 'id_reused'])
async def test_refused_by_owner(site, caught, reason):
    """A refusal is logged or counted twice, or not at all."""
    refusal = refusals.refusal_named(reason)
    site.router.answer = Answer(
        request_id=ID, state=RequestState.not_run, reason=refusal.reason
    )
    await site.submit(request_id=ID)
    is_logged_here = reason != 'queue_full'
    assert len(caught()) == is_logged_here
    page = site.metrics.render().decode()
    assert (f'reason="{reason}"' in page) is is_logged_here


@pytest.mark.parametrize('key', ['', 'withdrawn', 'tine'])
async def test_repeated_attempt(site, caught, key):
    """A repeated attempt is called not run by a daemon that cannot know."""
    site.admission.stop()
    status, answer = await site.submit(key, request_id=ID, attempt=2)
    assert answer['state'] == 'unknown'
    assert status >= 400
    assert not caught()


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('GET', f'/v1/requests/{ID}/answer?timeout_ms=-1', None),
        ('GET', f'/v1/requests/{ID}/answer?timeout_ms={"9" * 400}', None),
        ('GET', f'/v1/requests/{ID}/answer?timeout_ms={"9" * 5000}', None),
        ('GET', '/v1/requests/x', None),
        ('POST', '/v1/cancellations', {'request_ids': 7}),
        ('POST', '/v1/cancellations', b'['),
        ('POST', '/v1/admin/keys', {'role': 'king'}),
    ],
)
async def test_malformed_calls(site, caught, method, path, body):
    """A malformed call fails the server or ends a request in the log."""
    key = 'operator' if 'admin' in path else 'tine'
    status, _ = await site.call(method, path, key, body)
    assert status == 400
    assert not caught()


async def test_operators_only(site):
    """A caller changes the configuration."""
    for path in ('config/apply', 'config/check', 'keys', 'workers/w0/drain'):
        body = {'base': site.base}
        status, _ = await site.call('POST', f'/v1/admin/{path}', 'tine', body)
        assert status == 403, path
    assert site.keeper.revision == 1


async def test_tokens_not_logged(site):
    """A key can be read from the log."""
    records = logbook.TestHandler()
    with records.applicationbound():
        for key in ('tine', 'withdrawn', 'feed', 'crk_secret'):
            await site.submit(key)
        _, granted = await site.call(
            'POST', '/v1/admin/keys', body={'team': 'tine'}
        )
        shown = await site.call('GET', '/v1/admin/config')
    lines = ' '.join(record.message for record in records.records)
    secrets = [*site.tokens.values(), granted['token'], 'crk_secret']
    assert not any(secret in lines for secret in secrets)
    hashes = [key['hash_hex'] for key in site.base['keys']]
    assert not any(known in json.dumps(shown) for known in hashes)


async def test_bootstrap(empty_site, base):
    """Anyone writes the first configuration, or nobody can."""
    stranger = new_key('', KeyRole.operator)[0]
    for key in (stranger, 'tine', ''):
        body = {'base': base}
        status, _ = await empty_site.call(
            'POST', '/v1/admin/config/apply', key, body
        )
        assert status in {401, 403}
    assert (await empty_site.apply())[0] == 200
    assert empty_site.keeper.revision == 1
    assert (await empty_site.apply())[0] == 409


async def test_repeated_change(site):
    """An operator's own change is reported as lost to somebody else."""
    status, _ = await site.apply(expected_revision=1, change_id='mine')
    assert status == 200
    assert (await site.apply(expected_revision=2))[0] == 200
    status, answer = await site.apply(expected_revision=1, change_id='mine')
    assert (status, answer['revision']) == (200, 2)
    status, answer = await site.apply(expected_revision=1, change_id='other')
    assert (status, answer['current_revision']) == (409, 3)
    assert site.keeper.revision == 3


@pytest.mark.parametrize(
    ('faults', 'status'),
    [
        ({'put config/current': 'lost'}, 200),
        ({'put config/current': 'cut'}, 504),
        ({'put': 'down'}, 503),
    ],
)
async def test_lost_change(site, faults, status):
    """A change that may have been written is reported as refused (P10)."""
    site.store.faults = faults
    found, answer = await site.apply(expected_revision=1, change_id='mine')
    assert found == status
    site.store.faults = {}
    await site.keeper.poll()
    is_written = site.keeper.record.change_id == 'mine'
    assert is_written is (status != 503)
    assert answer.get('state') == {200: None, 503: 'not_run'}.get(
        status, 'unknown'
    )


async def test_body_without_use(site, monkeypatch):
    """A call is cut off because its handler does not read the body (P5)."""
    monkeypatch.setattr('currantreach_daemon._http._BODY_TIMEOUT_S', 0.05)
    guard = site.client.app[GUARD]
    guard.watch(site.client.server.runner.server)
    may_end = asyncio.Event()

    async def wait(request_id, team, timeout_s):
        await may_end.wait()
        return site.router.answer

    monkeypatch.setattr(site.router, 'wait', wait)
    path = f'/v1/requests/{ID}/answer'
    asked = asyncio.create_task(site.call('GET', path, 'tine', {}))
    await asyncio.sleep(0.2)
    await guard.sweep()
    may_end.set()
    _status, answer = await asked
    assert answer['state'] == 'accepted'


async def test_missing_domain(site, monkeypatch):
    """A change is reported in effect while a failure domain is behind."""
    monkeypatch.setattr(
        'currantreach_daemon._config_admin._ANSWER_TIMEOUT_S', 0.05
    )
    site.overview.behind = ['far']
    status, answer = await site.apply(expected_revision=1)
    assert (status, answer['missing']) == (200, ['far'])


def test_workload_labels():
    """Names that callers choose fill the memory with metrics."""
    metrics = Metrics()
    for number in range(1000):
        metrics.request_ended(f'kind-{number}', 'finished')
        metrics.waited(f'kind-{number}', 1)
    page = metrics.render().decode()
    assert page.count('currantreach_request_ends_total{') == 51
