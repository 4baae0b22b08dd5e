"""Tests of admission and of the HTTP interfaces of callers and operators."""

from __future__ import annotations

import asyncio
import contextlib
import json

import attrs
import logbook
import msgspec
import pytest
from aiohttp.test_utils import TestClient, TestServer

from currantreach_config import (
    KeyRole,
    check_documents,
    initial_record,
    new_key,
)
from currantreach_daemon._admission import AdmissionController
from currantreach_daemon._http import HttpServer
from currantreach_daemon._replies import GUARD
from currantreach_daemon._shedding import LoadShedder
from currantreach_platform import Store
from currantreach_state import ConfigStore
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
    """Router that records submissions and returns a prepared answer."""

    def __init__(self):
        self.submitted = []
        self.answer = Answer(request_id=ID, state=RequestState.accepted)
        self.resume = asyncio.Event()
        self.resume.set()

    async def issue_id(self, resources, passed_over=()):
        return ID

    async def submit(self, spec, body_hash, *, is_repeated):
        self.submitted.append((spec, is_repeated))
        await self.resume.wait()
        return self.answer

    async def wait(self, request_id, team, timeout_s):
        return self.answer

    async def cancel(self, request_ids, team):
        return (self.answer,) * len(request_ids)

    async def list_requests(self, team):
        return (self.answer,)


class FakeOverview:
    """Overview of a cell in which failure domains may lag behind."""

    def __init__(self):
        self.missing_domains = []

    def in_force(self):
        return {'dom': 1}

    def missing(self, revision):
        return self.missing_domains


@attrs.define
class Daemon:
    """HTTP server of a daemon, with a client and its dependencies."""

    client: TestClient
    router: FakeRouter
    overview: FakeOverview
    config_store: ConfigStore
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
    """Return a token and a record for each kind of key."""
    return {
        'operator': new_key('', KeyRole.operator),
        'tine': new_key('tine', KeyRole.caller),
        'feed': new_key('feed', KeyRole.caller),
        'withdrawn': new_key('tine', KeyRole.caller),
    }


@pytest.fixture
def base(keys):
    """Return a valid base file."""
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
async def empty_daemon(base, keys, new_store):
    """Return a daemon without a configuration."""
    clock = ManualClock(100)
    store = new_store(clock)
    config_store = ConfigStore(store, clock, 5)
    admission = AdmissionController(config_store, clock)
    router = FakeRouter()
    overview = FakeOverview()
    metrics = Metrics()
    server = HttpServer(
        admission, config_store, router, overview, metrics, LoadShedder(clock)
    )
    async with TestClient(TestServer(server._app)) as client:
        yield Daemon(
            client,
            router,
            overview,
            config_store,
            store,
            admission,
            clock,
            {name: token for name, (token, _) in keys.items()},
            base,
            metrics,
        )


@pytest.fixture
async def daemon(empty_daemon, base, keys):
    """Return a daemon with a fresh configuration."""
    cell = check_documents(json.dumps(base).encode(), [])
    record = initial_record(cell, change_id='first', author='x')
    withdrawn = keys['withdrawn'][1].key_id
    record = attrs.evolve(record, withdrawn=(withdrawn,))
    await empty_daemon.store.put('config/current', encode_json(record), 0)
    await empty_daemon.config_store.poll()
    return empty_daemon


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
async def test_not_admitted(daemon, logged_ends, key, fields, status, reason):
    """Guard against a request that must be refused but is routed.

    Property: work runs only for the team of the key; revoked keys stop.
    """
    found, answer = await daemon.submit(key, **fields)
    assert (found, answer['state'], answer['reason']) == (
        status,
        'not_run',
        reason,
    )
    assert not daemon.router.submitted
    assert len(logged_ends()) == 1
    assert f'reason="{reason}"'.encode() in daemon.metrics.render()


async def test_admitted(daemon, logged_ends):
    """Guard against wrong admission by key or to an open queue."""
    assert (await daemon.submit(request_id=ID))[0] == 202
    assert (await daemon.submit('', queue='public'))[0] == 202
    teams = [spec.team for spec, _ in daemon.router.submitted]
    assert teams == ['tine', 'feed']
    assert not logged_ends()


async def test_stale_configuration(daemon):
    """Guard against keys accepted under a stale configuration.

    A key may have been withdrawn in a newer one.

    Property: work runs only for the team of the key; revoked keys stop.
    """
    daemon.clock.advance(6)
    status, answer = await daemon.submit()
    assert (status, answer['reason']) == (503, 'configuration_stale')
    assert (await daemon.submit('', queue='public'))[0] == 202
    assert len(daemon.router.submitted) == 1


async def test_request_limit(daemon):
    """Guard against unlimited concurrent requests of one team."""
    daemon.router.resume.clear()
    waiting = [asyncio.create_task(daemon.submit()) for _ in range(2)]
    while len(daemon.router.submitted) < 2:
        await asyncio.sleep(0)
    assert (await daemon.submit())[0] == 429
    daemon.router.resume.set()
    await asyncio.gather(*waiting)
    assert (await daemon.submit())[0] == 202


async def test_endless_body(daemon, monkeypatch):
    """Guard against a connection held open by a body that never ends."""
    monkeypatch.setattr('currantreach_daemon._http._BODY_TIMEOUT_S', 0.05)

    async def endless():
        yield b'{'
        await asyncio.sleep(30)

    with contextlib.suppress(ConnectionError):
        async with daemon.client.post(
            '/v1/requests', data=endless()
        ) as response:
            assert response.status == 400
    assert not daemon.router.submitted


@pytest.mark.parametrize('reason', ['no_owner', 'queue_full', 'id_reused'])
async def test_refused_by_owner(daemon, logged_ends, reason):
    """Guard against a refusal logged or counted twice, or not at all."""
    refusal = refusals.get_refusal(reason)
    daemon.router.answer = Answer(
        request_id=ID, state=RequestState.not_run, reason=refusal.reason
    )
    await daemon.submit(request_id=ID)
    is_logged_here = reason != 'queue_full'
    assert len(logged_ends()) == is_logged_here
    page = daemon.metrics.render().decode()
    assert (f'reason="{reason}"' in page) is is_logged_here


@pytest.mark.parametrize('key', ['', 'withdrawn', 'tine'])
async def test_repeated_attempt(daemon, logged_ends, key):
    """Guard against ``not_run`` for a repeated attempt that is not admitted.

    Only the owner of the id knows whether an earlier attempt has run.
    """
    daemon.admission.stop()
    status, answer = await daemon.submit(key, request_id=ID, attempt=2)
    assert answer['state'] == 'unknown'
    assert status >= 400
    assert not logged_ends()


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
async def test_malformed_calls(daemon, logged_ends, method, path, body):
    """Guard against a server error, or a request end, from a malformed call."""
    key = 'operator' if 'admin' in path else 'tine'
    status, _ = await daemon.call(method, path, key, body)
    assert status == 400
    assert not logged_ends()


async def test_operators_only(daemon):
    """Guard against callers that change the configuration."""
    for path in ('config/apply', 'config/check', 'keys', 'workers/w0/drain'):
        body = {'base': daemon.base}
        status, _ = await daemon.call('POST', f'/v1/admin/{path}', 'tine', body)
        assert status == 403, path
    assert daemon.config_store.revision == 1


async def test_tokens_not_logged(daemon):
    """Guard against tokens in the log, and hashes in responses."""
    records = logbook.TestHandler()
    with records.applicationbound():
        for key in ('tine', 'withdrawn', 'feed', 'crk_secret'):
            await daemon.submit(key)
        _, granted = await daemon.call(
            'POST', '/v1/admin/keys', body={'team': 'tine'}
        )
        shown = await daemon.call('GET', '/v1/admin/config')
    lines = ' '.join(record.message for record in records.records)
    secrets = [*daemon.tokens.values(), granted['token'], 'crk_secret']
    assert not any(secret in lines for secret in secrets)
    hashes = [key['hash_hex'] for key in daemon.base['keys']]
    assert not any(key_hash in json.dumps(shown) for key_hash in hashes)


async def test_bootstrap(empty_daemon, base):
    """Guard against a first configuration by anyone, or by nobody.

    Only an operator key in its own files may write it.
    """
    stranger = new_key('', KeyRole.operator)[0]
    for key in (stranger, 'tine', ''):
        body = {'base': base}
        status, _ = await empty_daemon.call(
            'POST', '/v1/admin/config/apply', key, body
        )
        assert status in {401, 403}
    assert (await empty_daemon.apply())[0] == 200
    assert empty_daemon.config_store.revision == 1
    assert (await empty_daemon.apply())[0] == 409


async def test_repeated_change(daemon):
    """Guard against a conflict reported for a repeated change."""
    status, _ = await daemon.apply(expected_revision=1, change_id='mine')
    assert status == 200
    assert (await daemon.apply(expected_revision=2))[0] == 200
    status, answer = await daemon.apply(expected_revision=1, change_id='mine')
    assert (status, answer['revision']) == (200, 2)
    status, answer = await daemon.apply(expected_revision=1, change_id='other')
    assert (status, answer['current_revision']) == (409, 3)
    assert daemon.config_store.revision == 3


@pytest.mark.parametrize(
    ('faults', 'status'),
    [
        ({'put config/current': 'lost'}, 200),
        ({'put config/current': 'cut'}, 504),
        ({'put': 'down'}, 503),
    ],
)
async def test_lost_change(daemon, faults, status):
    """Guard against a refusal for a change that may be written.

    Property: accepted configuration is in effect and never reverts.
    """
    daemon.store.faults = faults
    found, answer = await daemon.apply(expected_revision=1, change_id='mine')
    assert found == status
    daemon.store.faults = {}
    await daemon.config_store.poll()
    is_written = daemon.config_store.record.change_id == 'mine'
    assert is_written is (status != 503)
    assert answer.get('state') == {200: None, 503: 'not_run'}.get(
        status, 'unknown'
    )


async def test_body_without_use(daemon, monkeypatch):
    """Guard against a closed connection if the body is not used.

    The limiter closes connections whose body was not read in time.

    Property: each caller gets the answer to its own request.
    """
    monkeypatch.setattr('currantreach_daemon._http._BODY_TIMEOUT_S', 0.05)
    limiter = daemon.client.app[GUARD]
    limiter.attach(daemon.client.server.runner.server)
    may_end = asyncio.Event()

    async def wait(request_id, team, timeout_s):
        await may_end.wait()
        return daemon.router.answer

    monkeypatch.setattr(daemon.router, 'wait', wait)
    path = f'/v1/requests/{ID}/answer'
    call_task = asyncio.create_task(daemon.call('GET', path, 'tine', {}))
    await asyncio.sleep(0.2)
    await limiter.sweep()
    may_end.set()
    _status, answer = await call_task
    assert answer['state'] == 'accepted'


async def test_missing_domain(daemon, monkeypatch):
    """Guard against a change reported in force in a lagging failure domain."""
    monkeypatch.setattr(
        'currantreach_daemon._config_admin._ANSWER_TIMEOUT_S', 0.05
    )
    daemon.overview.missing_domains = ['far']
    status, answer = await daemon.apply(expected_revision=1)
    assert (status, answer['missing']) == (200, ['far'])


def test_workload_labels():
    """Guard against unlimited metric labels from names of workloads."""
    metrics = Metrics()
    for number in range(1000):
        metrics.record_request_end(f'kind-{number}', 'finished')
        metrics.record_wait(f'kind-{number}', 1)
    page = metrics.render().decode()
    assert page.count('currantreach_request_ends_total{') == 51
