"""Tests of the request table and the retry budget."""

from __future__ import annotations

import gc
import tracemalloc

import pytest

from currantreach_daemon._requests import (
    RequestEntry,
    RequestTable,
    body_hash_of,
    issue_request_id,
)
from currantreach_daemon._retry_budget import RetryBudget, retry_delay_s
from currantreach_state import Claim
from currantreach_types import (
    Answer,
    ManualClock,
    PolicyKind,
    RequestState,
    Resources,
    TaskSpec,
    decode_json,
    encode_json,
)

CLAIM = Claim(domain='dom', partition=0, owner='d', session_id='s', epoch=1)


def entry_of(now_s, payload=''):
    """Return an entry that shares no strings or numbers with others."""
    spec = TaskSpec(
        request_id=issue_request_id(CLAIM, now_s),
        team='tine',
        queue='previews',
        workload='tip-smoothing-preview',
        policy=PolicyKind.prompt,
        resources=Resources(1, 500, 256),
        payload=payload,
    )
    spec = decode_json(encode_json(spec), TaskSpec)
    return RequestEntry(
        spec=spec,
        body_hash=body_hash_of(spec),
        submitted_s=now_s,
        answer=Answer(request_id=spec.request_id, state=RequestState.accepted),
        is_durable=False,
    )


def end(table, entry, state='finished', output=''):
    """Set the final answer of a request in a table."""
    answer = Answer(
        request_id=entry.request_id,
        state=RequestState(state),
        output=(output,),
    )
    table.end(entry, answer, entry.submitted_s)


@pytest.mark.parametrize('state', ['finished', 'not_run'])
def test_size_of_ended(state):
    """Guard against ended requests that use up the memory of a small host."""
    table = RequestTable(20000)
    gc.collect()
    tracemalloc.start()
    for number in range(2000):
        entry = entry_of(number, payload='x' * 1000)
        table.add(entry)
        end(table, entry, state)
    entry = None
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert size_bytes / 2000 < 900
    assert table.open_count() == 0


def test_limits_of_ended():
    """Guard against wrong retirement of ended requests.

    Neither refusals nor large outputs may displace other results, and none
    may be retained indefinitely.
    """
    table = RequestTable(10)
    results = [entry_of(number) for number in range(5)]
    for entry in results:
        table.add(entry)
        end(table, entry)
    for number in range(30):
        refused_entry = entry_of(number)
        table.add(refused_entry)
        end(table, refused_entry, 'not_run')
    assert len(table.retire(-1)) == 20
    assert all(table.get(entry.request_id) for entry in results)
    large = entry_of(98)
    table.add(large)
    end(table, large, output='x' * 9_000_000)
    table.retire(-1)
    assert table.get(large.request_id) is large
    assert not any(table.get(entry.request_id) for entry in results)
    last = entry_of(99)
    table.add(last)
    end(table, last)
    table.retire(-1)
    assert table.get(large.request_id) is None
    assert table.get(last.request_id) is last
    assert table.may_be_retired(large.request_id)
    assert not table.may_be_retired(issue_request_id(CLAIM, 100))


def test_hash_survives_the_wire():
    """Guard against a different hash of a spec read from a worker.

    Property: each caller gets the answer to its own request.
    """
    spec = TaskSpec(
        request_id='dom.0.1.one',
        team='tine',
        queue='previews',
        workload='preview',
        policy=PolicyKind.prompt,
        resources=Resources(1),
        deadline_s=3,
    )
    read = decode_json(encode_json(spec), TaskSpec)
    assert body_hash_of(read) == body_hash_of(spec)


def test_retry_budget():
    """Guard against retries that grow with failures instead of requests."""
    clock = ManualClock()
    budget = RetryBudget(clock, 0.25)
    for _ in range(100):
        budget.count_request('tine')
    assert sum(budget.try_spend('tine') for _ in range(100)) == 30
    assert sum(budget.try_spend('feed') for _ in range(100)) == 5
    clock.advance(40)
    assert sum(budget.try_spend('tine') for _ in range(100)) == 2
    clock.advance(4000)
    assert sum(budget.try_spend('tine') for _ in range(100)) == 5


def test_retry_jitter():
    """Guard against synchronised retries of requests that failed together."""
    delays_s = {retry_delay_s(str(number), 1) for number in range(100)}
    assert len(delays_s) == 100
    assert min(delays_s) * 10 > 2
    assert max(delays_s) < 1
    assert retry_delay_s('one', 1000) <= 10
