"""Tests of the configuration record."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from currantreach_config import CellConfig, ConfigRecord
from currantreach_state import ConfigStore, OutageReport
from currantreach_types.errors import (
    ConflictError,
    OutcomeUnknownError,
    PlatformError,
)

FAULTS = st.sampled_from(['', 'outage', 'dropped', 'lost', 'late', 'slow'])
STORES = st.integers(0, 2)


def record_of(revision, change_id='a'):
    """Return a record."""
    cell = CellConfig(site='site', teams=(), queues=())
    return ConfigRecord(
        revision=revision, change_id=change_id, author='ops', cell=cell
    )


class ConfigMachine(RuleBasedStateMachine):
    """Daemons that write, poll and inform each other."""

    def __init__(self, make_cell):
        super().__init__()
        cell = make_cell()
        self.loop = cell[0]
        self.store = cell[1]
        self.store.late_s = 0.3
        self.config_stores = [
            ConfigStore(self.store, self.store.clock, 5) for _ in range(3)
        ]
        self.seen = [0, 0, 0]
        self.written = {}
        self.change_count = 0

    @rule(index=STORES, faults=st.lists(FAULTS, max_size=4))
    def write(self, index, faults):
        """Write a change while calls fail."""
        self.change_count += 1
        self.store.faults.extend(faults)
        change = self.changed(self.config_stores[index], str(self.change_count))
        self.loop.create_task(change)
        self.run(0.003)

    async def changed(self, config_store, change_id):
        """Write a change and record whether it was accepted."""
        record = record_of(config_store.revision + 1, change_id)
        with contextlib.suppress(PlatformError):
            await config_store.write(record, record.revision - 1)
            assert record.revision not in self.written
            self.written[record.revision] = change_id

    @rule(index=STORES, faults=st.lists(FAULTS, max_size=1))
    def poll(self, index, faults):
        """Poll with an answer that may be old."""
        self.store.faults.extend(faults)
        self.loop.create_task(self.polled(self.config_stores[index]))
        self.run(0.01)

    async def polled(self, config_store):
        """Poll the store for one daemon."""
        with contextlib.suppress(PlatformError):
            await config_store.poll()

    @rule(source=STORES, receiver=STORES)
    def forward(self, source, receiver):
        """Forward the record."""
        record = self.config_stores[source].record
        if record:
            self.config_stores[receiver].update_if_newer(record)

    @rule(run_s=st.sampled_from([0.005, 3]))
    def run(self, run_s):
        """Let time pass."""
        self.loop.step(asyncio.sleep(run_s))

    @invariant()
    def only_rises(self):
        """Compare with earlier revisions and accepted changes."""
        revisions = [
            config_store.revision for config_store in self.config_stores
        ]
        assert all(map(int.__ge__, revisions, self.seen))
        self.seen = revisions
        for config_store in self.config_stores:
            accepted = self.written.get(config_store.revision)
            assert accepted in {
                None,
                config_store.record and config_store.record.change_id,
            }

    def teardown(self):
        """Check that the history holds each accepted change."""
        self.store.faults.clear()
        self.run(5)
        self.loop.step(self.changed(self.config_stores[0], 'last'))
        self.loop.step(self.polled(self.config_stores[0]))
        self.loop.step(self.changed(self.config_stores[0], 'last again'))
        stored = [row.stored for row in self.store.rows.values()]
        for change_id in self.written.values():
            wanted = f'"change_id":"{change_id}"'.encode()
            assert any(wanted in written for written in stored)
        self.loop.close()


def test_revisions_only_rise(make_cell, machine_settings):
    """Guard against a configuration that reverts or loses a change."""
    run_state_machine_as_test(
        lambda: ConfigMachine(make_cell),
        settings=machine_settings(300, 25),
    )


@pytest.fixture
def config_store(cell):
    """Return a configuration store that wrote the first revision."""
    loop, store = cell
    config_store = ConfigStore(store, store.clock, 5)
    loop.step(config_store.write(record_of(1), 0))
    return config_store


def test_racing_and_lost_writes_are_told_apart(cell, config_store):
    """Guard against a lost answer reported as another's success."""
    loop, store = cell
    other = ConfigStore(store, store.clock, 5)
    store.faults.extend(('', '', 'lost', 'outage'))
    with pytest.raises(OutcomeUnknownError):
        loop.step(config_store.write(record_of(2, 'b'), 1))
    assert config_store.outage_report().has_unsettled_write
    loop.step(other.write(record_of(3, 'c'), 2))

    loop.step(config_store.write(record_of(2, 'b'), 1))
    with pytest.raises(ConflictError, match='revision 2 by ops') as conflict:
        loop.step(config_store.write(record_of(2, 'd'), 1))

    assert conflict.value.current_revision == 3
    assert config_store.revision == 3
    assert not config_store.update_if_newer(record_of(2))


def test_freshness_needs_a_proof(cell, config_store):
    """Guard against accepting a withdrawn key on an old configuration."""
    loop, store = cell
    loop.step(config_store.poll())
    sent_at_s = store.clock.now_s()
    loop.step(config_store.poll())
    assert config_store.confirmed_at_s == sent_at_s
    store.clock.advance(10)
    now_s = store.clock.now_s()
    assert not config_store.is_fresh(now_s)
    assert not config_store.confirm_by_peer(2, 0, now_s)
    config_store.confirm_by_peer(1, 6, now_s)
    assert not config_store.is_fresh(now_s)
    config_store.confirm_by_peer(1, 2, now_s)
    assert config_store.is_fresh(now_s)
    ahead = ConfigStore(store, store.clock, 5)
    ahead.update_if_newer(record_of(2))
    loop.step(ahead.poll())
    assert not ahead.is_fresh(store.clock.now_s())


@pytest.mark.parametrize(
    ('changes', 'is_proof'),
    [
        ({}, True),
        ({'revision': 2}, False),
        ({'has_store_contact': True}, False),
        ({'has_unsettled_write': True}, False),
    ],
)
def test_outage_round_needs_every_daemon(config_store, changes, is_proof):
    """Guard against freshness while a daemon may have written."""
    silent = {'revision': 1, 'has_store_contact': False}
    reports = {
        'a': OutageReport(**silent),
        'b': OutageReport(**{**silent, **changes}),
    }

    assert not config_store.confirm_by_outage_round(
        ('a', 'b', 'c'), reports, 500
    )
    assert (
        config_store.confirm_by_outage_round(('a', 'b'), reports, 500)
        == is_proof
    )
    assert config_store.is_fresh(504) == is_proof
