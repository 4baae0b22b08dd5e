"""Tests of the store, worker and placement clients."""

from __future__ import annotations

import base64
import json

import pytest

from currantreach_adapter._store import PlatformStore
from currantreach_adapter._workers import (
    PlatformAdviceClient,
    PlatformRunClient,
)
from currantreach_jobs import EndKind, StartAnswer, StartOrder, TaskKey
from currantreach_jobs import WorkerReport as Report
from currantreach_platform import Write
from currantreach_types import Resources
from currantreach_types.errors import (
    CallRejectedError,
    ConflictError,
    HistoryLostError,
    OutcomeUnknownError,
    StoreUnavailableError,
    TransactionConflictError,
    WorkerUnavailableError,
)

TASK = TaskKey('5c0e7a21d94b36f8', 0, 1, 17)
TASK_NAME = '5c0e7a21d94b36f8.0.1.17'


def item(key, stored, revision):
    """Return an item in the store's format."""
    return {
        'key': key,
        'value': base64.b64encode(stored).decode(),
        'revision': revision,
        'created': 1,
        'lease': 0,
        'at': revision,
    }


@pytest.fixture
async def store(server):
    """Return a client for the store."""
    client = PlatformStore(server.address)
    yield client
    await client.close()


@pytest.fixture
async def worker(server):
    """Return a client for a worker."""
    client = PlatformRunClient(
        Report(
            worker_id='i-1',
            address=server.address,
            service='passes',
            failure_domain='east',
            is_draining=False,
            room=Resources(),
        ),
    )
    yield client
    await client.close()


async def test_reads_all_pages(store, server):
    """A watch from the revision of the last page would miss changes."""
    server.responses = [
        (200, {'items': [item('a/1', b'x', 5)], 'hasMore': True, 'at': 9}),
        (200, {'items': [item('a/2', b'y', 6)], 'hasMore': False, 'at': 12}),
    ]
    found = await store.list_prefix('a/')
    assert [entry.key for entry in found.changed] == ['a/1', 'a/2']
    assert found.revision == 9
    assert 'after=a%2F1' in server.requests[1][1]


async def test_commits_at_expected_revisions(store, server):
    """A commit must send its expectations, writes and deletions."""
    server.responses = [(200, {'revision': 412})]
    revision = await store.commit(
        {'a': 3},
        [Write(key='b', stored=b'z', lease_id='7')],
        ['c'],
    )
    assert revision == 412
    sent = json.loads(server.requests[0][3])
    assert sent['expectedRev'] == [{'key': 'a', 'revision': 3}]
    assert sent['write'] == [{'key': 'b', 'value': 'eg==', 'lease': 7}]
    assert sent['remove'] == ['c']


async def test_conflict_contains_current_revisions(store, server):
    """A key that is missing in the response does not exist."""
    server.responses = [(412, {'items': [item('a', b'x', 8)]})]
    with pytest.raises(TransactionConflictError) as caught:
        await store.commit({'a': 3, 'b': 2}, [])
    assert caught.value.revisions == {'a': 8, 'b': 0}


@pytest.mark.parametrize('status', [429, 503])
async def test_throttled_commit_is_reported_as_not_done(store, server, status):
    """A write that was not executed must not be reported as unknown."""
    server.responses = [(status, {})]
    with pytest.raises(StoreUnavailableError):
        await store.commit({}, [])


async def test_unresponsive_store_leaves_the_outcome_unknown(store, server):
    """A write without a response must not be reported as not done."""
    server.delay_s = 1.2
    server.responses = [(200, {'revision': 1})]
    with pytest.raises(OutcomeUnknownError):
        await store.commit({}, [])


async def test_dropped_history_raises_an_error(store, server):
    """After lost changes, a watcher has to list all keys again."""
    server.responses = [(410, {})]
    with pytest.raises(HistoryLostError):
        await store.watch('a/', 4, 0.1)


async def test_expired_lease_raises_an_error(store, server):
    """A daemon must not continue as a member after its lease expired."""
    server.responses = [(404, {})]
    with pytest.raises(ConflictError):
        await store.renew_lease('7')


@pytest.mark.parametrize(
    ('status', 'fields', 'outcome'),
    [
        (200, {'clockMs': 1}, StartAnswer.STARTED),
        (409, {'reason': 'fence'}, StartAnswer.FENCED),
        (409, {'reason': 'old'}, StartAnswer.SUPERSEDED),
        (409, {'reason': 'late'}, StartAnswer.LATE),
        (409, {'reason': 'room'}, StartAnswer.NO_ROOM),
        (409, {'reason': 'ticket'}, StartAnswer.BAD_TICKET),
        (409, {'reason': 'new'}, StartAnswer.INVALID),
        (421, {}, StartAnswer.WRONG_INSTANCE),
        (503, {}, StartAnswer.UNHEALTHY),
        (400, {}, StartAnswer.INVALID),
    ],
)
async def test_start_maps_each_response(
    worker, server, status, fields, outcome
):
    """Each response of a worker maps to a single outcome."""
    server.responses = [(status, fields)]
    order = StartOrder(
        task=TASK,
        attempt=2,
        payload='text',
        worker_deadline_ms=486000,
        fencing_token=7,
        ticket='t',
    )
    assert await worker.start(order) is outcome
    _, path, headers, body = server.requests[0]
    assert path == '/currantreach/run-start'
    assert headers['X-Expect-Instance'] == 'i-1'
    assert json.loads(body)['task'] == TASK_NAME
    assert 'checkpoint' not in json.loads(body)


async def test_hold_decodes_running_and_ended_runs(worker, server):
    """Guard against misread rows of running and ended runs."""
    server.responses = [
        (
            200,
            {
                'clockMs': 482113,
                'born': 5,
                'active': [[TASK_NAME, 2, 'c1', 41, 7]],
                'finished': [[58, TASK_NAME, 1, 'broken', '']],
            },
        ),
    ]
    reply = await worker.hold(7, 57, 486000, 0.5)
    assert reply.running[0].task == TASK
    assert reply.running[0].checkpoint == 'c1'
    assert reply.running[0].recent_load == 7
    assert reply.ended[0].kind is EndKind.BROKEN
    assert json.loads(server.requests[0][3])['waitMs'] == 500


@pytest.mark.parametrize(
    'odd', [-1, 'slow', None, [], float('nan'), float('inf'), 10**400]
)
async def test_odd_load_counts_as_not_known(worker, server, odd):
    """An odd figure stopped all best-effort work on its worker, or none."""
    server.responses = [hold_response(active=[[TASK_NAME, 2, '', 100, odd]])]
    reply = await worker.hold(7, 0, 0, 0)
    assert reply.running[0].recent_load == 0


async def test_pace_names_the_run_and_its_share(worker, server):
    """Guard against a pace that the worker does not understand."""
    server.responses = [
        (200, {'clockMs': 9}),
        (409, {'clockMs': 9, 'reason': 'fence'}),
        (409, {'clockMs': 9, 'reason': 'old'}),
    ]
    assert await worker.pace(TASK, 2, 40, 7)
    method, path, _, body = server.requests[0]
    assert (method, path) == ('POST', '/currantreach/pace')
    assert json.loads(body) == {
        'task': TASK_NAME,
        'attempt': 2,
        'percent': 40,
        'fencingToken': 7,
    }
    assert not await worker.pace(TASK, 2, 40, 7)
    assert await worker.pace(TASK, 2, 40, 7)


async def test_refused_pace_is_reported(worker, server):
    """A pace that an unhealthy worker refuses counted as applied."""
    server.responses = [(503, {'clockMs': 9})]
    with pytest.raises(WorkerUnavailableError):
        await worker.pace(TASK, 2, 0, 7)


async def test_malformed_lists_raise_an_error(worker, server):
    """A response without lists must not look like an idle worker."""
    server.responses = [(200, {'clockMs': 1})]
    with pytest.raises(OutcomeUnknownError):
        await worker.hold(7, 0, 0, 0)


def hold_response(**fields):
    """Return a response to a hold."""
    rows = {'active': [], 'finished': []}
    return 200, {'clockMs': 9, 'born': 5, **rows, **fields}


@pytest.mark.parametrize(
    ('row', 'is_partial'),
    [
        (['not.ours', 1, '', 0], False),
        ([None, 1, '', 0], False),
        ([TASK_NAME, None, '', 0], True),
        (7, True),
        ([], True),
    ],
)
async def test_malformed_run_does_not_discard_the_list(
    worker, server, row, is_partial
):
    """A single malformed row made the whole list unreadable for good.

    A task name of another scheduler ended the session with the worker. If the
    row may be a run of this cell, no run may be regarded as lost.
    """
    server.responses = [hold_response(active=[row, [TASK_NAME, 2, '', None]])]
    reply = await worker.hold(7, 0, 0, 0)
    assert [run.attempt for run in reply.running] == [2]
    assert reply.is_partial is is_partial


async def test_malformed_ended_run_does_not_discard_the_list(worker, server):
    """A run that ended in an unknown way is neither done nor failed."""
    ended = [
        [1, 'not.ours', 1, 'done', ''],
        [2, TASK_NAME],
        [3, TASK_NAME, 1, 'melted', ''],
        [4, TASK_NAME, 2, 'done', ''],
    ]
    server.responses = [hold_response(finished=ended)]
    reply = await worker.hold(7, 0, 0, 0)
    assert [(end.number, end.kind) for end in reply.ended] == [
        (3, EndKind.BROKEN),
        (4, EndKind.DONE),
    ]


async def test_malformed_ticket_does_not_discard_the_others(server):
    """A malformed row must not make the request fail."""
    advice = PlatformAdviceClient(server.address)
    server.responses = [(200, {'allowed': [['w1'], 5, ['w2', 't']]})]
    server.responses.append((200, {'allowed': 'all'}))
    tickets = await advice.advise('5c0e7a21d94b36f8', 0, 0, ['w1', 'w2'], 1)
    assert [ticket.worker_id for ticket in tickets] == ['w2']
    with pytest.raises(OutcomeUnknownError):
        await advice.advise('5c0e7a21d94b36f8', 0, 0, ['w1'], 1)
    await advice.close()


async def test_malformed_value_does_not_discard_the_list(store, server):
    """A single malformed value made all keys of its prefix unreadable."""
    broken = {**item('a/1', b'x', 5), 'value': 'x'}
    items = [broken, item('a/2', b'y', 6)]
    server.responses = [(200, {'items': items, 'hasMore': False, 'at': 9})]
    found = await store.list_prefix('a/')
    assert [entry.stored for entry in found.changed] == [b'', b'y']


@pytest.mark.parametrize('fields', [{}, {'items': 5, 'events': 5, 'at': 'x'}])
async def test_incomplete_response_raises_a_typed_error(store, server, fields):
    """A response without an expected field ended the watcher."""
    server.responses = [(200, fields), (200, fields), (200, fields)]
    with pytest.raises(OutcomeUnknownError):
        await store.list_prefix('a/')
    with pytest.raises(OutcomeUnknownError):
        await store.watch('a/', 4, 0.1)
    with pytest.raises(OutcomeUnknownError):
        await store.commit({}, [])


@pytest.mark.parametrize('status', [400, 403, 413])
async def test_rejected_commit_is_not_retryable(store, server, status):
    """A permanent rejection must differ from a temporary failure."""
    server.responses = [(status, {})]
    with pytest.raises(CallRejectedError):
        await store.commit({}, [])


async def test_stop_reports_fencing(worker, server):
    """A replaced daemon must also learn of its fencing from a stop."""
    server.responses = [(409, {'reason': 'fence'}), (200, {}), (503, {})]
    assert not await worker.stop(TASK, 1, 3)
    assert await worker.stop(TASK, 1, 3)
    with pytest.raises(WorkerUnavailableError):
        await worker.stop(TASK, 1, 3)


async def test_advice_returns_tickets_of_allowed_workers(server):
    """Guard against a ticket for a worker that is not allowed."""
    advice = PlatformAdviceClient(server.address)
    server.responses = [(200, {'allowed': [['i-1', 'c81e']], 'validMs': 2000})]
    tickets = await advice.advise(TASK.job_id, 0, 1, ['i-1', 'i-2'], 1)
    assert [(row.worker_id, row.code) for row in tickets] == [('i-1', 'c81e')]
    assert json.loads(server.requests[0][3])['stepId'] == f'{TASK.job_id}.0.1'
    await advice.close()
