"""Calls of the adapter against a small HTTP server."""

from __future__ import annotations

import base64
import json

import pytest

from currantreach_adapter._store import PlatformStore
from currantreach_adapter._workers import PlatformAdvice, PlatformWorker
from currantreach_jobs import EndKind, StartAnswer, StartOrder, TaskKey
from currantreach_jobs import WorkerReport as Report
from currantreach_platform import Write
from currantreach_types import Resources
from currantreach_types.errors import (
    CallRejectedError,
    ConflictError,
    HistoryLostError,
    LostAnswerError,
    StoreUnavailableError,
    TransactionConflictError,
    WorkerUnavailableError,
)

TASK = TaskKey('5c0e7a21d94b36f8', 0, 1, 17)
TASK_NAME = '5c0e7a21d94b36f8.0.1.17'


def item(key, stored, revision):
    """Return an item as the store answers it."""
    return {
        'key': key,
        'value': base64.b64encode(stored).decode(),
        'revision': revision,
        'created': 1,
        'lease': 0,
        'at': revision,
    }


@pytest.fixture
async def store(peer):
    """Return a client of the store."""
    made = PlatformStore(peer.address)
    yield made
    await made.close()


@pytest.fixture
async def worker(peer):
    """Return a client of a worker."""
    made = PlatformWorker(
        Report(
            worker_id='i-1',
            address=peer.address,
            service='passes',
            failure_domain='east',
            is_draining=False,
            room=Resources(),
        ),
    )
    yield made
    await made.close()


async def test_reads_all_pages(store, peer):
    """A watch from the last page's revision would miss changes."""
    peer.answers = [
        (200, {'items': [item('a/1', b'x', 5)], 'hasMore': True, 'at': 9}),
        (200, {'items': [item('a/2', b'y', 6)], 'hasMore': False, 'at': 12}),
    ]
    found = await store.list_prefix('a/')
    assert [entry.key for entry in found.changed] == ['a/1', 'a/2']
    assert found.revision == 9
    assert 'after=a%2F1' in peer.requests[1][1]


async def test_commits_at_expected_revisions(store, peer):
    """A commit carries what it expects, writes and removes."""
    peer.answers = [(200, {'revision': 412})]
    revision = await store.commit(
        {'a': 3},
        [Write(key='b', stored=b'z', lease_id='7')],
        ['c'],
    )
    assert revision == 412
    sent = json.loads(peer.requests[0][3])
    assert sent['expectedRev'] == [{'key': 'a', 'revision': 3}]
    assert sent['write'] == [{'key': 'b', 'value': 'eg==', 'lease': 7}]
    assert sent['remove'] == ['c']


async def test_conflict_names_present_revisions(store, peer):
    """A key that the answer leaves out is absent."""
    peer.answers = [(412, {'items': [item('a', b'x', 8)]})]
    with pytest.raises(TransactionConflictError) as caught:
        await store.commit({'a': 3, 'b': 2}, [])
    assert caught.value.revisions == {'a': 8, 'b': 0}


@pytest.mark.parametrize('status', [429, 503])
async def test_rejected_calls_had_no_effect(store, peer, status):
    """A rejected write must not be reported as unknown."""
    peer.answers = [(status, {})]
    with pytest.raises(StoreUnavailableError):
        await store.commit({}, [])


async def test_silent_store_leaves_the_outcome_open(store, peer):
    """A write without an answer must not be reported as not done."""
    peer.delay_s = 1.2
    peer.answers = [(200, {'revision': 1})]
    with pytest.raises(LostAnswerError):
        await store.commit({}, [])


async def test_dropped_history_is_told(store, peer):
    """A follower has to read everything again after lost changes."""
    peer.answers = [(410, {})]
    with pytest.raises(HistoryLostError):
        await store.watch('a/', 4, 0.1)


async def test_ended_lease_is_told(store, peer):
    """A daemon whose lease has ended must not go on as a member."""
    peer.answers = [(404, {})]
    with pytest.raises(ConflictError):
        await store.renew_lease('7')


@pytest.mark.parametrize(
    ('status', 'fields', 'answer'),
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
async def test_answers_to_a_start(worker, peer, status, fields, answer):
    """Each answer of a worker has one meaning in the product."""
    peer.answers = [(status, fields)]
    order = StartOrder(
        task=TASK,
        attempt=2,
        payload='text',
        worker_deadline_ms=486000,
        fencing_token=7,
        ticket='t',
    )
    assert await worker.start(order) is answer
    _, path, headers, body = peer.requests[0]
    assert path == '/currantreach/run-start'
    assert headers['X-Expect-Instance'] == 'i-1'
    assert json.loads(body)['task'] == TASK_NAME
    assert 'checkpoint' not in json.loads(body)


async def test_reads_the_lists_of_a_worker(worker, peer):
    """Rows of a hold are runs and ends of the product."""
    peer.answers = [
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
    assert reply.ended[0].kind is EndKind.BROKEN
    assert json.loads(peer.requests[0][3])['waitMs'] == 500


async def test_unreadable_lists_are_no_lists(worker, peer):
    """Lists that cannot be read must not look like an empty worker."""
    peer.answers = [(200, {'clockMs': 1})]
    with pytest.raises(LostAnswerError):
        await worker.hold(7, 0, 0, 0)


def lists(**fields):
    """Return an answer of a worker to a hold."""
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
async def test_unreadable_run_voids_no_list(worker, peer, row, is_partial):
    """One row kept the whole list of a worker from being read for ever.

    A name that is none of this cell ended the session with the worker. Where
    the row may be a run of this cell, none may be taken for gone.
    """
    peer.answers = [lists(active=[row, [TASK_NAME, 2, '', None]])]
    reply = await worker.hold(7, 0, 0, 0)
    assert [run.attempt for run in reply.running] == [2]
    assert reply.is_partial is is_partial


async def test_unreadable_end_voids_no_list(worker, peer):
    """An end of an unknown kind is over, without being done or failed."""
    ended = [
        [1, 'not.ours', 1, 'done', ''],
        [2, TASK_NAME],
        [3, TASK_NAME, 1, 'melted', ''],
        [4, TASK_NAME, 2, 'done', ''],
    ]
    peer.answers = [lists(finished=ended)]
    reply = await worker.hold(7, 0, 0, 0)
    assert [(end.number, end.kind) for end in reply.ended] == [
        (3, EndKind.BROKEN),
        (4, EndKind.DONE),
    ]


async def test_unreadable_ticket_voids_no_advice(peer):
    """A row that cannot be read must not end the call for advice."""
    advice = PlatformAdvice(peer.address)
    peer.answers = [(200, {'allowed': [['w1'], 5, ['w2', 't']]})]
    peer.answers.append((200, {'allowed': 'all'}))
    tickets = await advice.advise('5c0e7a21d94b36f8', 0, 0, ['w1', 'w2'], 1)
    assert [ticket.worker_id for ticket in tickets] == ['w2']
    with pytest.raises(LostAnswerError):
        await advice.advise('5c0e7a21d94b36f8', 0, 0, ['w1'], 1)
    await advice.close()


async def test_unreadable_value_voids_no_list(store, peer):
    """One value kept all keys below its prefix from being read for ever."""
    broken = {**item('a/1', b'x', 5), 'value': 'x'}
    items = [broken, item('a/2', b'y', 6)]
    peer.answers = [(200, {'items': items, 'hasMore': False, 'at': 9})]
    found = await store.list_prefix('a/')
    assert [entry.stored for entry in found.changed] == [b'', b'y']


@pytest.mark.parametrize('fields', [{}, {'items': 5, 'events': 5, 'at': 'x'}])
async def test_incomplete_answers_are_typed(store, peer, fields):
    """An answer of the store that lacks a field ended its follower."""
    peer.answers = [(200, fields), (200, fields), (200, fields)]
    with pytest.raises(LostAnswerError):
        await store.list_prefix('a/')
    with pytest.raises(LostAnswerError):
        await store.watch('a/', 4, 0.1)
    with pytest.raises(LostAnswerError):
        await store.commit({}, [])


@pytest.mark.parametrize('status', [400, 403, 413])
async def test_call_that_is_never_carried_out(store, peer, status):
    """Such a call has to be told from one that may be repeated."""
    peer.answers = [(status, {})]
    with pytest.raises(CallRejectedError):
        await store.commit({}, [])


async def test_fenced_stop_is_told(worker, peer):
    """A daemon that was replaced has to learn it from a stop as well."""
    peer.answers = [(409, {'reason': 'fence'}), (200, {}), (503, {})]
    assert not await worker.stop(TASK, 1, 3)
    assert await worker.stop(TASK, 1, 3)
    with pytest.raises(WorkerUnavailableError):
        await worker.stop(TASK, 1, 3)


async def test_advice_names_allowed_workers(peer):
    """A ticket belongs to one worker."""
    advice = PlatformAdvice(peer.address)
    peer.answers = [(200, {'allowed': [['i-1', 'c81e']], 'validMs': 2000})]
    tickets = await advice.advise(TASK.job_id, 0, 1, ['i-1', 'i-2'], 1)
    assert [(row.worker_id, row.code) for row in tickets] == [('i-1', 'c81e')]
    assert json.loads(peer.requests[0][3])['stepId'] == f'{TASK.job_id}.0.1'
    await advice.close()
