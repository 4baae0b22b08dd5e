"""Tests of the allotments."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from currantreach_state import Allotments
from currantreach_types import Resources
from currantreach_types.errors import PlatformError

KEYS = ('east.0', 'north.0', 'south.0')
FAULTS = st.sampled_from(['', 'outage', 'dropped', 'lost', 'late', 'slow'])
PARTITIONS = st.integers(0, 2)


def resources(slot_count, cpu_milli=0):
    """Return a resource vector."""
    return Resources(slot_count=slot_count, cpu_milli=cpu_milli)


@attrs.define
class _Owner:
    allotments: Allotments
    epoch: int = 1
    usage: Resources = Resources()
    demand: Resources = Resources()
    config_revision: int = 0
    task: asyncio.Task | None = None


class AllotmentMachine(RuleBasedStateMachine):
    """Owners that grow, shrink and replace each other."""

    def __init__(self, make_cell):
        super().__init__()
        cell = make_cell()
        self.loop = cell[0]
        self.store = cell[1]
        self.store.late_s = 0.4
        self.limits = [resources(9, 7)]
        self.in_force = 0
        self.owners = [_Owner(self.allotments(key, 1)) for key in KEYS]
        for owner in (*self.owners, *self.owners):
            self.loop.step(self.stepped(owner))

    def allotments(self, key, epoch):
        """Return the allotments of an owner."""
        return Allotments(self.store, self.store.clock, key, KEYS, epoch)

    @rule(
        index=PARTITIONS,
        is_busy=st.booleans(),
        faults=st.lists(FAULTS, max_size=1),
        run_s=st.sampled_from([0.003, 0.05]),
    )
    def refresh(self, index, is_busy, faults, run_s):
        """Change the load and make a step whose write may fail."""
        owner = self.owners[index]
        owner.config_revision = len(self.limits) - 1
        owner.usage -= owner.allotments.excess('agency', owner.usage)
        owner.demand = resources(20 * is_busy, 20 * is_busy)
        if not is_busy:
            owner.usage = resources(0)
        self.store.faulty_kinds = frozenset(('put',))
        self.store.faults.clear()
        self.store.faults.extend(faults)
        if owner.task is None or owner.task.done():
            owner.task = self.loop.create_task(self.stepped(owner))
        self.run(run_s)
        self.start(owner)

    def start(self, owner):
        """Start as much of the demand as the allotment allows."""
        granted = owner.allotments.granted('agency')
        if owner.demand.slot_count:
            owner.usage = owner.usage.elementwise_max(granted)

    async def stepped(self, owner):
        """Make a step of one owner."""
        with contextlib.suppress(PlatformError):
            await owner.allotments.poll(0)
            await owner.allotments.refresh(
                'agency',
                self.limits[owner.config_revision],
                owner.config_revision,
                owner.usage,
                owner.demand,
                1,
            )

    @rule(index=PARTITIONS, fault=FAULTS)
    def poll(self, index, fault):
        """Poll with a call that may fail or answer late."""
        self.store.faulty_kinds = frozenset(('watch',))
        self.store.faults.clear()
        self.store.faults.append(fault)
        self.loop.create_task(self.polled(self.owners[index]))
        self.run(0.05)

    async def polled(self, owner):
        """Poll the store for one owner."""
        with contextlib.suppress(PlatformError):
            await owner.allotments.poll(0)

    @rule(limit=st.sampled_from([0, 4, 9]), cpu=st.sampled_from([4, 20]))
    def accept_limit(self, limit, cpu):
        """Accept another upper limit."""
        self.limits.append(resources(limit, cpu))

    @rule(index=PARTITIONS)
    def replace(self, index):
        """Replace an owner; its tasks continue."""
        owner = self.owners[index]
        if owner.task:
            owner.task.cancel()
            self.run(0)
        owner.epoch += 1
        owner.allotments = self.allotments(KEYS[index], owner.epoch)

    @rule(run_s=st.just(2))
    def run(self, run_s):
        """Let time pass."""
        self.loop.step(asyncio.sleep(run_s))

    @invariant()
    def respects_the_limit(self):
        """Compare the sum of all allotments with the accepted limits."""
        newest = len(self.limits)
        for revision in range(self.in_force, newest):
            if any(
                owner.allotments.is_in_force('agency', revision)
                for owner in self.owners
            ):
                self.in_force = revision
        allowed = resources(0)
        for limit in self.limits[self.in_force :]:
            allowed = allowed.elementwise_max(limit)
        believed = resources(0)
        for owner in self.owners:
            granted = owner.allotments.granted('agency')
            believed += granted.elementwise_max(owner.usage)
        assert believed.fits_in(allowed), (believed, allowed)

    def teardown(self):
        """Close the loop."""
        self.run(3)
        self.loop.close()


def test_all_owners_together_respect_the_limit(make_cell, machine_settings):
    """Guard against a team that exceeds its upper limit."""
    run_state_machine_as_test(
        lambda: AllotmentMachine(make_cell),
        settings=machine_settings(500, 25),
    )


@pytest.fixture
def owners(cell):
    """Return three owners that share a limit of ten slots."""
    loop, store = cell
    return [Allotments(store, store.clock, key, KEYS, 1) for key in KEYS]


def refresh_until_stable(cell, owners, needs, limit=10, revision=1):
    """Refresh all owners until nothing changes, and return their slots."""
    for _ in range(12):
        for owner, need in zip(owners, needs, strict=True):
            usage, demand = map(resources, need)
            cell[0].step(owner.poll(0))
            cell[0].step(
                owner.refresh('a', resources(limit), revision, usage, demand, 1)
            )
    return [owner.granted('a').slot_count for owner in owners]


def test_allotments_follow_demand_without_idle_writes(cell, owners):
    """Guard against unused allotments and writes without a change."""
    idle = (0, 0)
    assert refresh_until_stable(cell, owners, [idle, idle, idle]) == [4, 3, 3]
    assert refresh_until_stable(cell, owners, [idle, (3, 9), idle]) == [2, 6, 2]
    assert refresh_until_stable(cell, owners, [(2, 9), (3, 9), idle]) == [
        4,
        4,
        2,
    ]

    puts = cell[1].calls['put']
    refresh_until_stable(cell, owners, [(2, 9), (3, 9), idle])

    assert cell[1].calls['put'] == puts


def test_lowered_limit_waits_for_running_tasks(cell, owners):
    """Guard against a limit reported as in force while tasks exceed it."""
    refresh_until_stable(cell, owners, [(4, 0), (3, 0), (3, 0)])

    lowered = refresh_until_stable(cell, owners, [(4, 0), (1, 0), (1, 0)], 4, 2)

    assert sum(lowered) <= 4
    assert not owners[0].is_in_force('a', 2)
    assert owners[0].excess('a', resources(4)) == resources(4 - lowered[0])
    refresh_until_stable(cell, owners, [(lowered[0], 0), (1, 0), (1, 0)], 4, 2)
    assert all(owner.is_in_force('a', 2) for owner in owners)
    assert not owners[0].is_in_force('a', 3)
    assert refresh_until_stable(
        cell, owners, [(0, 0), (0, 0), (0, 0)], 0, 3
    ) == [0, 0, 0]
    assert owners[0].is_in_force('a', 3)


def test_delayed_shrink_of_an_earlier_owner(cell, owners):
    """Guard against a successor that uses resources released late."""
    loop, store = cell
    refresh_until_stable(cell, owners, [(4, 0), (3, 9), (3, 0)])
    store.faulty_kinds = frozenset(('put',))
    store.faults.append('late')
    with pytest.raises(PlatformError):
        loop.step(
            owners[0].refresh(
                'a', resources(10), 1, resources(0), resources(0), 1
            )
        )
    successor = Allotments(store, store.clock, KEYS[0], KEYS, 2)
    loop.step(successor.poll(0))
    owners[0] = successor

    loop.step(asyncio.sleep(2))
    needs = [(0, 0), (3, 9), (0, 0)]
    believed = successor.granted('a')

    assert believed == resources(0)
    assert sum(refresh_until_stable(cell, owners, needs)) <= 10


def test_old_answer_does_not_restore_an_allotment(cell, owners):
    """Guard against a watch answer older than the last write."""
    loop, store = cell
    refresh_until_stable(cell, owners, [(4, 0), (3, 9), (3, 0)])
    old = loop.step(store.get('allotments/a'))
    before = owners[0].granted('a').slot_count
    loop.step(
        owners[0].refresh('a', resources(10), 1, resources(0), resources(0), 1)
    )

    owners[0]._apply_change(old)

    assert owners[0].granted('a').slot_count < before
