"""Tests of the journal."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from currantreach_state import Journal, JournalRecord, RecordKind
from currantreach_types.errors import (
    OutcomeUnknownError,
    PlatformError,
    StaleEpochError,
    StoreUnavailableError,
)

FAULTS = st.sampled_from(['', 'outage', 'dropped', 'lost', 'late', 'slow'])


def record_of(name, kind=RecordKind.accepted, body_hash='', size=0):
    """Return a record with a payload of ``size`` characters."""
    return JournalRecord(
        request_id=name, kind=kind, spec_json='x' * size, body_hash=body_hash
    )


def opened(loop, store, epoch, partition=0):
    """Return an open journal and what it recovered."""
    journal = Journal(store, store.clock, 'north', partition, epoch)
    return journal, loop.step(journal.open())


@attrs.define(eq=False)
class _Append:
    record: JournalRecord
    state: str = 'unknown'


class JournalMachine(RuleBasedStateMachine):
    """Owners that append, crash and replace each other."""

    def __init__(self, make_cell):
        super().__init__()
        cell = make_cell()
        self.loop = cell[0]
        self.store = cell[1]
        self.appends = []
        self.tasks = []
        self.owners = []
        self.epoch = 0
        self.take_over(is_silent=False)

    @rule(is_silent=st.booleans())
    def take_over(self, is_silent):
        """Open with the next epoch; a silent earlier owner keeps running."""
        self.epoch += 1
        if not is_silent:
            self.crash()
        journal = Journal(self.store, self.store.clock, 'north', 0, self.epoch)
        for _ in range(12):
            with contextlib.suppress(PlatformError):
                self.check(self.loop.step(journal.open()))
                self.owners.append(journal)
                return

    @rule()
    def crash(self):
        """End all owners at once."""
        for task in self.tasks:
            task.cancel()
        for journal in self.owners:
            if journal._task is not None:
                journal._task.cancel()
        self.loop.step(asyncio.sleep(0))
        self.owners.clear()
        self.tasks.clear()

    @precondition(lambda machine: machine.owners)
    @rule(
        owner=st.integers(0, 9),
        number=st.integers(0, 5),
        kind=st.sampled_from(RecordKind),
        faults=st.lists(FAULTS, max_size=3),
        run_s=st.sampled_from([0, 0.001, 0.02, 0.1, 3]),
    )
    def append(self, owner, number, kind, faults, run_s):
        """Append a record while calls to the store fail."""
        journal = self.owners[-1 - owner % len(self.owners)]
        append = _Append(
            record_of(f'r{number}', kind, str(len(self.appends)), 40)
        )
        self.appends.append(append)
        self.store.faults.extend(faults)
        self.tasks.append(
            self.loop.create_task(self.finish(journal, append)),
        )
        self.run(run_s)

    @rule(run_s=st.sampled_from([0.001, 0.01, 0.1, 3]))
    def run(self, run_s):
        """Let time pass."""
        self.loop.step(asyncio.sleep(run_s))

    async def finish(self, journal, append):
        """Record what the journal reports about an append."""
        try:
            await journal.append(append.record)
        except OutcomeUnknownError:
            with contextlib.suppress(StaleEpochError):
                is_recorded = await journal.resolve(append.record)
                append.state = 'recorded' if is_recorded else 'withdrawn'
        except (StoreUnavailableError, StaleEpochError):
            append.state = 'withdrawn'
        else:
            append.state = 'recorded'

    def check(self, recovered):
        """Compare the recovered records with the reports to callers."""
        found = {record.request_id: record for record in recovered}
        for number in range(6):
            name = f'r{number}'
            allowed = self.allowed(name)
            assert found.get(name) in allowed, (found.get(name), allowed)

    def allowed(self, name):
        """Return the records that can be the newest of a request."""
        allowed = []
        for append in reversed(self.appends):
            if append.record.request_id != name:
                continue
            is_retired = append.record.kind == RecordKind.retired
            if append.state != 'withdrawn':
                allowed.append(None if is_retired else append.record)
            if append.state == 'recorded':
                return allowed
        return [*allowed, None]

    def teardown(self):
        """Recover once more with a healthy store."""
        self.store.faults.clear()
        self.run(5)
        self.take_over(is_silent=False)
        assert self.owners
        self.loop.close()


def test_recovery_matches_what_callers_were_told(
    make_cell, monkeypatch, machine_settings
):
    """Guard against lost acknowledged or resurrected withdrawn records."""
    monkeypatch.setattr('currantreach_state._journal.HEAD_LIMIT_BYTES', 400)
    run_state_machine_as_test(
        lambda: JournalMachine(make_cell),
        settings=machine_settings(300, 30),
    )


def test_outage_withdraws_after_the_wait_limit(cell):
    """Guard against callers that wait for the whole outage."""
    loop, store = cell
    journal, _ = opened(loop, store, 1)
    store.is_down = True
    started_s = store.clock.now_s()

    with pytest.raises(StoreUnavailableError):
        loop.step(journal.append(record_of('a')))

    assert store.clock.now_s() - started_s == pytest.approx(2)
    store.is_down = False
    loop.step(journal.append(record_of('b')))
    _, recovered = opened(loop, store, 2)
    assert recovered == (record_of('b'),)
    with pytest.raises(StaleEpochError):
        loop.step(journal.append(record_of('c')))
    with pytest.raises(StaleEpochError):
        opened(loop, store, 1)


def test_late_write_is_fenced_before_it_is_called_withdrawn(cell):
    """Guard against a delayed write after reporting "not recorded"."""
    loop, store = cell
    journal, _ = opened(loop, store, 1)
    store.late_s = 60
    outage = ('outage' for _ in range(20))
    store.faults.extend(('late', *outage, '', 'lost'))

    with pytest.raises(OutcomeUnknownError):
        loop.step(journal.append(record_of('a')))

    loop.step(asyncio.sleep(6))
    loop.step(journal.append(record_of('b')))
    is_recorded = loop.step(journal.resolve(record_of('a')))
    assert not is_recorded
    loop.step(asyncio.sleep(100))
    assert opened(loop, store, 2)[1] == (record_of('b'),)


@pytest.mark.parametrize(
    ('rate', 'limit'), [(1, 1.02), (100, 0.42), (1000, 0.06)]
)
def test_size_and_writes_follow_the_live_requests(cell, rate, limit):
    """Guard against growth with all past requests, and extra writes."""
    loop, store = cell
    journal, _ = opened(loop, store, 1)
    kinds = (RecordKind.accepted, RecordKind.ended, RecordKind.retired)
    live_count = 200

    async def appended(step):
        await asyncio.sleep(step / rate)
        age = step % 3
        number = step // 3 - age * live_count // 2
        kind = kinds[age] if number % 10 else kinds[age // 2]
        await journal.append(record_of(f'r{number}', kind, size=300))

    async def load():
        await asyncio.gather(*map(appended, range(9000)))

    loop.step(load())

    writes = store.calls['put'] + store.calls['delete']
    stored = sum(len(row.stored) for row in store.rows.values())
    assert writes / 9000 < limit
    recovered = opened(loop, store, 2)[1]
    assert len(recovered) < 600
    assert stored < 2 * len(recovered) * 400 + 2 * 65536
