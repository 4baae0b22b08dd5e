"""Tests of odd input: each decoder returns a bounded value or a typed error."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import copy
import itertools
import math

import attrs
import msgspec
import pytest
from hypothesis import example, given, strategies

from currantreach_adapter._config import decode_config, decode_report
from currantreach_adapter._fields import MAX_AMOUNT, MAX_INTEGER, describe
from currantreach_adapter._jobs import decode_job_body, parse_task_name
from currantreach_adapter._settings import read_settings
from currantreach_adapter._store import PlatformStore
from currantreach_adapter._watchers import PlatformConfig, PlatformWorkers
from currantreach_adapter._workers import (
    PlatformAdviceClient,
    PlatformRunClient,
)
from currantreach_jobs import Queue, WorkerReport
from currantreach_jobs._records import decode_job, encode_job
from currantreach_platform import HttpResponse
from currantreach_types import MonotonicClock, Resources
from currantreach_types.errors import (
    ConfigurationError,
    MalformedMessageError,
    PlatformError,
)

JOB_ID = '5c0e7a21d94b36f8'
TASK_NAME = f'{JOB_ID}.0.1.17'
QUEUE = Queue(name='q', host='h', path_prefix='/q/', service='passes')
REPORT = {
    'service': 'passes',
    'address': '10.0.0.1:80',
    'zone': 'east',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': ['a'],
    'sequence': 1,
    'born': 17,
    'drainRemainingMs': 0,
    'coldRemainingMs': 0,
}
STEP = {
    'count': 4,
    'cpu': 500,
    'memMb': 256,
    'estimateMs': 900,
    'after': [],
    'gang': True,
    'affinity': 'r1',
}
JOB = {'spec': 'text', 'steps': [STEP], 'repeatCount': 1, 'intervalMs': 5}
HOLD = {
    'clockMs': 9,
    'born': 5,
    'active': [[TASK_NAME, 2, '', 41, 7]],
    'finished': [[58, TASK_NAME, 1, 'done', '']],
}
ADVICE = {'allowed': [['i-1', 'c81e']], 'validMs': 2000}
ITEM = {'key': 'a/1', 'value': 'eA==', 'revision': 5, 'lease': 0}
PAGE = {'items': [ITEM], 'hasMore': False, 'at': 9}
EVENTS = {'events': [ITEM], 'at': 9}
HUGE = 10**320
DEEP = '[' * 100000


def replace(fields, path, found):
    """Return a copy of a message with another value at a path."""
    changed = copy.deepcopy(fields)
    parent = changed
    for part in path[:-1]:
        parent = parent[part]
    parent[path[-1]] = found
    return changed


def encode(fields):
    """Encode a message as JSON."""
    return msgspec.json.encode(fields)


def raw(fields, name, text):
    """Encode a message with a literal text as the value of a field."""
    marked = encode({**fields, name: 'MARK'})
    return marked.replace(b'"MARK"', text.encode())


ODD_ENTRIES = {
    'list_as_state': encode({**REPORT, 'state': []}),
    'object_as_state': encode({**REPORT, 'state': {'a': 1}}),
    'huge_drain': raw(REPORT, 'drainRemainingMs', str(HUGE)),
    'huge_cold': raw(REPORT, 'coldRemainingMs', str(HUGE)),
    'huge_born': raw(REPORT, 'born', str(HUGE)),
    'long_born': raw(REPORT, 'born', '1' * 5000),
    'huge_cpu': raw(REPORT, 'capacity', '{"cpu": 1e300, "memMb": 1e300}'),
    'port_above_range': encode({**REPORT, 'address': '10.0.0.1:70000'}),
    'negative_port': encode({**REPORT, 'address': '10.0.0.1:-1'}),
    'port_zero': encode({**REPORT, 'address': '10.0.0.1:0'}),
    'no_port': encode({**REPORT, 'address': '10.0.0.1'}),
    'open_bracket': encode({**REPORT, 'address': '[::1'}),
    'blanks': encode({**REPORT, 'address': '  :80'}),
    'empty_address': encode({**REPORT, 'address': ''}),
    'path_in_address': encode({**REPORT, 'address': 'a/b:80'}),
    'nested_labels': encode({**REPORT, 'labels': [[['a']]]}),
    'long_label': encode({**REPORT, 'labels': ['a' * 10000]}),
    'deep': DEEP.encode(),
    'deep_label': raw(REPORT, 'labels', '[' * 900 + ']' * 900),
    'no_text': b'\xff\xfe',
    'list': b'[]',
}


def item(key, stored):
    """Return an item of the store."""
    encoded = base64.b64encode(stored).decode()
    return {'key': key, 'value': encoded, 'revision': 5, 'lease': 0}


class StubChannel:
    """Connection that answers every call with the same body."""

    def __init__(self, body):
        self.body = body

    async def send(self, request):
        """Answer a call."""
        return HttpResponse(status=200, headers={}, body=self.body)

    async def close(self):
        """Nothing is open."""


def call(make_client, body, use):
    """Call a client that receives a body; return its answer or its error."""

    async def run():
        client = make_client()
        await client.close()
        client._channel = StubChannel(body)
        return await use(client)

    try:
        return asyncio.run(run())
    except PlatformError as error:
        return error


def make_run_client():
    """Return a client of a worker."""
    return PlatformRunClient(
        WorkerReport(
            worker_id='i-1',
            address='127.0.0.1:80',
            service='passes',
            failure_domain='east',
            is_draining=False,
            room=Resources(),
        )
    )


def hold(client):
    """Read the lists of a worker."""
    return client.hold(7, 0, 0, 0)


def advise(client):
    """Ask for tickets."""
    return client.advise(JOB_ID, 0, 0, ['i-1'], 1)


def make_store():
    """Return a client of the store."""
    return PlatformStore('127.0.0.1:80')


@pytest.mark.parametrize('name', ODD_ENTRIES)
async def test_odd_entry_does_not_end_the_follower(server, name):
    """One entry of another writer ended the reader of the worker list.

    The sound entries behind it were never read, and each leader in turn gave
    up. Entries without a valid address counted as workers.
    """
    store = PlatformStore(server.address)
    workers = PlatformWorkers(store)
    page = {
        'items': [
            item('servers/i-1', encode(REPORT)),
            item('servers/i-2', ODD_ENTRIES[name]),
            item('servers/i-3', encode(REPORT)),
        ],
        'hasMore': False,
        'at': 5,
    }
    server.responses = [(200, page)] + list(itertools.repeat((503, {}), 20))
    following = asyncio.create_task(workers.follow())
    await asyncio.sleep(0.2)
    assert not following.done()
    assert set(workers.reports) == {'i-1', 'i-3'}
    following.cancel()
    await asyncio.gather(following, return_exceptions=True)
    await store.close()


@pytest.mark.parametrize(
    'worker_id', ['', 'a b', 'a\r\nX-Other: 1', 'ä', 'i' * 300]
)
def test_odd_worker_id_names_no_worker(worker_id):
    """An id that cannot be sent in a header ended each call to the worker."""
    with pytest.raises(MalformedMessageError):
        decode_report(worker_id, encode(REPORT))


@pytest.mark.parametrize(
    'address', ['10.0.0.1:80', '[::1]:8080', 'w-1.example:65535']
)
def test_valid_addresses_are_accepted(address):
    """The check of addresses must not exclude a usable worker."""
    body = encode({**REPORT, 'address': address})
    assert decode_report('i-1', body).address == address


@pytest.mark.parametrize(
    ('name', 'found'),
    [
        ('active', [HUGE, 2, '', 0]),
        ('active', [TASK_NAME, 10**30, '', 0]),
        ('active', [TASK_NAME, 2**63, '', 0]),
        ('active', [TASK_NAME, 2, [], 0]),
        ('active', [TASK_NAME, 2, 'c' * 10000, 0]),
        ('finished', [10**30, TASK_NAME, 1, 'done', '']),
        ('finished', [58, TASK_NAME, 10**30, 'done', '']),
        ('finished', [58, TASK_NAME, 1, [], '']),
        ('finished', [58, f'{JOB_ID}.0.0.-1', 1, 'done', '']),
    ],
)
def test_odd_row_does_not_discard_the_list(name, found):
    """A row with a number that is too large ended the session of its worker."""
    body = encode({**HOLD, name: [*HOLD[name], found]})
    reply = call(make_run_client, body, hold)
    assert reply.running[0].attempt == 2
    assert reply.ended[0].number == 58


@pytest.mark.parametrize('name', ['active', 'finished'])
def test_unreadable_row_makes_the_list_partial(name):
    """A run whose end cannot be read must not be taken for lost."""
    odd = [TASK_NAME, 10**30, '', 0]
    if name == 'finished':
        odd = [59, TASK_NAME, 10**30, 'done', '']
    body = encode({**HOLD, name: [*HOLD[name], odd]})
    assert call(make_run_client, body, hold).is_partial
    assert not call(make_run_client, encode(HOLD), hold).is_partial


def test_odd_percent_counts_as_none():
    """A progress that is too large must not make a run unreadable."""
    rows = [[TASK_NAME, 2, '', HUGE, 7]]
    body = encode({**HOLD, 'active': rows})
    reply = call(make_run_client, body, hold)
    assert reply.running[0].percent == 0
    assert not reply.is_partial


@pytest.mark.parametrize('name', ['clockMs', 'born'])
def test_odd_clock_is_a_failed_call(name):
    """A clock that is too large ended the session of the worker."""
    body = raw(HOLD, name, str(HUGE))
    assert isinstance(call(make_run_client, body, hold), PlatformError)


@pytest.mark.parametrize('index', ['-1', ' 1', '1_0', '٣', '1' * 30])
def test_odd_index_names_no_task(index):
    """An index of -1 was taken for the last task of a step."""
    with pytest.raises(MalformedMessageError):
        parse_task_name(f'{JOB_ID}.0.0.{index}')


@pytest.mark.parametrize(
    ('path', 'found'),
    [
        (('steps', 0, 'estimateMs'), HUGE),
        (('steps', 0, 'cpu'), 1e300),
        (('steps', 0, 'cpu'), 10**30),
        (('steps', 0, 'targetMs'), 2**70),
        (('steps', 0, 'antiAffinity'), 2**70),
        (('steps', 0, 'affinity'), ['r1']),
        (('steps', 0, 'gang'), 'yes'),
        (('steps', 0, 'after'), [True]),
        (('steps', 0), 'step'),
        (('intervalMs',), 10**30),
        (('firstRunMs',), 2**64),
        (('spec',), 'ä' * 4000),
        (('spec',), []),
    ],
)
def test_odd_job_is_rejected_with_its_field(path, found):
    """A job with a number that is too large failed when it was stored.

    The error of the caller has to name the field.
    """
    body = encode(replace(JOB, path, found))
    with pytest.raises(MalformedMessageError, match=str(path[-1])):
        decode_job_body(body, JOB_ID, QUEUE, 'orchard')


@pytest.mark.parametrize(
    ('path', 'found'),
    [
        (('version',), HUGE),
        (('routes', 0, 'stretchFactor'), HUGE),
        (('routes', 0, 'stretchFactor'), []),
        (('routes', 0, 'recommendation'), {'periodMs': 1}),
        (('routes', 0, 'recommendation'), 5),
        (('tenants', 0, 'maxCount'), {'cpu': 1e300}),
        (('tenants', 0, 'apiKeys'), [[1]]),
        (('tenants', 0), None),
        (('limits',), [1]),
        (('services', 0, 'name'), {}),
    ],
)
async def test_odd_configuration_keeps_the_last_one(
    server, config_fields, path, found
):
    """An odd version must neither end the follower nor come into force."""
    store = PlatformStore(server.address)
    config = PlatformConfig(store, MonotonicClock())
    odd = encode({**replace(config_fields, path, found)})
    page = {
        'items': [item('op/config', encode(config_fields))],
        'hasMore': False,
        'at': 5,
    }
    changes = {'events': [item('op/config', odd)], 'at': 6}
    server.responses = [(200, page), (200, changes)] + list(
        itertools.repeat((503, {}), 20)
    )
    following = asyncio.create_task(config.follow())
    await asyncio.sleep(0.2)
    assert not following.done()
    assert config.config.version == 7
    following.cancel()
    await asyncio.gather(following, return_exceptions=True)
    await store.close()


@pytest.mark.parametrize(
    ('name', 'found', 'kept'),
    [
        ('key', [], []),
        ('key', None, []),
        ('key', 'a' * 1000, []),
        ('revision', 'x', [b'']),
        ('revision', 10**30, [b'']),
        ('value', 7, [b'']),
        ('value', ['x'], [b'']),
    ],
)
def test_odd_item_does_not_discard_the_list(name, found, kept):
    """A single odd item made all keys of its prefix unreadable."""
    sound = {**ITEM, 'key': 'a/2'}
    odd = {**ITEM, name: found}
    body = encode({**PAGE, 'items': [odd, sound]})
    page = call(make_store, body, lambda store: store.list_prefix('a/'))
    assert [entry.stored for entry in page.changed] == [*kept, b'x']
    body = encode({**EVENTS, 'events': [odd, sound]})
    changes = call(make_store, body, lambda store: store.watch('a/', 4, 1))
    assert [entry.stored for entry in changes.changed] == [*kept, b'x']


@pytest.mark.parametrize('found', ['[7]', '{}', '"x"', str(HUGE)])
def test_odd_lease_is_a_failed_call(found):
    """A lease of another type failed only when it was used."""
    body = f'{{"lease": {found}, "ttlMs": 5}}'.encode()
    answer = call(make_store, body, lambda store: store.grant_lease(1))
    assert isinstance(answer, PlatformError)


@pytest.mark.parametrize(
    'line',
    [
        'maxFds = inf',
        'maxFds = -1',
        'linkMbps = nan',
        'cpuQuota = [1]',
        f'cpuCores = {HUGE}',
        f'deep = {"[" * 5000}',
    ],
)
def test_odd_setting_is_a_configuration_error(tmp_path, line):
    """An odd setting ended the process without naming the field."""
    path = tmp_path / 'settings.toml'
    path.write_text(f'limits = {{}}\n{line}')
    with pytest.raises(ConfigurationError):
        read_settings(path)
    path.write_text(f'[limits]\n{line}\n[listenAddrs]\nready = 5')
    with pytest.raises(ConfigurationError):
        read_settings(path)


def is_bounded(found):
    """Tell whether all numbers and texts of a value are within bounds."""
    if attrs.has(type(found)):
        found = attrs.astuple(found, recurse=False)
    if isinstance(found, tuple | list | frozenset):
        return all(is_bounded(part) for part in found)
    if isinstance(found, dict):
        return all(is_bounded(part) for part in found.values())
    if isinstance(found, int):
        return 0 <= found <= MAX_INTEGER
    if isinstance(found, float):
        return math.isfinite(found) and found >= 0
    return not isinstance(found, str) or len(found) <= 5000


ODD_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**330), 10**330)
    | strategies.sampled_from([2**53, 2**63, 2**64, MAX_AMOUNT + 1, -1, 0])
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20)
    | strategies.sampled_from(['', 'a' * 300, '[::1', ':80', 'a:99999']),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=8,
)


def paths(fields, path=()):
    """Return the paths of all values in a message."""
    found = [path] if path else []
    parts = ()
    if isinstance(fields, dict):
        parts = fields.items()
    elif isinstance(fields, list):
        parts = enumerate(fields)
    for name, part in parts:
        found.extend(paths(part, (*path, name)))
    return found


@strategies.composite
def bodies(draw, fields):
    """Draw a valid message with some odd values, or arbitrary bytes."""
    if draw(strategies.integers(0, 9)) == 0:
        return draw(strategies.binary(max_size=40))
    changed = fields
    for _ in range(draw(strategies.integers(1, 2))):
        path = draw(strategies.sampled_from(paths(fields)))
        # An earlier odd value may have replaced the parent.
        with contextlib.suppress(KeyError, IndexError, TypeError):
            changed = replace(changed, path, draw(ODD_VALUES))
    return encode(changed)


CONFIG = {
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
            'recommendation': {'decideMs': 8.5, 'periodMs': 7, 'validMs': 2},
        },
    ],
    'services': [{'name': 'passes', 'enforceCapacity': False}],
    'limits': {'maxBodyBytes': 1000, 'idleTimeoutMs': 15000},
    'tenants': [
        {'name': 'orchard', 'apiKeys': ['k'], 'maxCount': {'cpu': 2000}},
    ],
}


@given(bodies(REPORT))
@example(ODD_ENTRIES['deep_label'])
@example(DEEP.encode())
def test_any_report_is_bounded_or_malformed(body):
    """Guard against a report that raises an unforeseen error."""
    try:
        assert is_bounded(decode_report('i-1', body))
    except MalformedMessageError as error:
        assert len(str(error)) < 1000


@given(bodies(JOB))
def test_any_job_is_storable_or_malformed(body):
    """Guard against a job that fails when it is stored."""
    try:
        job = decode_job_body(body, JOB_ID, QUEUE, 'orchard')
    except MalformedMessageError as error:
        assert len(str(error)) < 1000
    else:
        assert is_bounded(job)
        assert decode_job(encode_job(job)) == job


@given(bodies(CONFIG))
def test_any_configuration_is_bounded_or_malformed(body):
    """Guard against a configuration that raises an unforeseen error."""
    try:
        assert is_bounded(decode_config(body))
    except MalformedMessageError as error:
        assert len(str(error)) < 1000


@given(bodies(HOLD))
def test_any_list_of_runs_is_bounded_or_a_failed_call(body):
    """Guard against a list of runs that ends the session of its worker."""
    reply = call(make_run_client, body, hold)
    assert isinstance(reply, PlatformError) or is_bounded(reply)


@given(bodies(ADVICE))
def test_any_advice_is_bounded_or_a_failed_call(body):
    """Guard against an answer that ends the call for advice."""

    def make_advice_client():
        return PlatformAdviceClient('127.0.0.1:80')

    tickets = call(make_advice_client, body, advise)
    assert isinstance(tickets, PlatformError) or is_bounded(tickets)


@given(bodies(PAGE), bodies(EVENTS))
def test_any_answer_of_the_store_is_bounded_or_a_failed_call(page, events):
    """Guard against an answer of the store that ends its readers."""
    answers = [
        call(make_store, page, lambda store: store.list_prefix('a/')),
        call(make_store, events, lambda store: store.watch('a/', 4, 1)),
        call(make_store, page, lambda store: store.get('a/1')),
        call(make_store, events, lambda store: store.commit({'a/1': 2}, [])),
    ]
    for answer in answers:
        assert isinstance(answer, PlatformError) or is_bounded(answer)


@given(ODD_VALUES)
def test_descriptions_are_short(found):
    """Guard against log lines as long as the odd value that they quote."""
    assert len(describe(found)) < 200
