"""Tests of the team limits of one partition."""

from __future__ import annotations

import asyncio
import contextlib
from unittest import mock

import pytest

from currantreach_config import (
    CellConfig,
    ConfigRecord,
    QueueConfig,
    TeamConfig,
)
from currantreach_daemon._quotas import Quotas
from currantreach_decisions import IndexedScheduler, Placement
from currantreach_state import Allotments
from currantreach_types import ManualClock, PolicyKind, Resources, TaskSpec
from currantreach_types.errors import StoreUnavailableError

PARTS = ('dom.0', 'dom.1')


def task_of(number, slots=1):
    """Return a placed task of team ``tine``."""
    spec = TaskSpec(
        request_id=f'dom.0.1.{number}',
        team='tine',
        queue='scan',
        workload='scan',
        policy=PolicyKind.batch,
        resources=Resources(slots),
    )
    return Placement(
        task_id=f'dom.0.1.{number}/0',
        spec=spec,
        worker='w0',
        resources=spec.resources,
    )


class Side:
    """One of two partitions that share a limit of 10 slots."""

    def __init__(self, store, clock, key):
        self.limit = Resources(10)
        self.unread = Resources()
        self.preempt_excess = []
        self.scheduler = IndexedScheduler()
        self.quotas = Quotas(
            Allotments(store, clock, key, PARTS, 1),
            self.scheduler,
            self.config,
            lambda team, excess: self.preempt_excess.append(excess.slot_count),
            asyncio.Event(),
            lambda: self.unread,
        )

    def config(self):
        """Return the configuration in force."""
        team = TeamConfig(name='tine', share=1, upper_limit=self.limit)
        queue = QueueConfig(name='scan', policy=PolicyKind.batch)
        cell = CellConfig(site='one', teams=(team,), queues=(queue,))
        revision = 11 - self.limit.slot_count + 1
        return ConfigRecord(
            revision=revision, change_id='x', author='x', cell=cell
        )

    async def refresh(self):
        """Take a few steps."""
        for _ in range(4):
            with contextlib.suppress(StoreUnavailableError):
                await self.quotas._allotments.poll(0)
            await self.quotas._refresh(self.config())

    def usable(self):
        """Return the slots that the scheduler may use."""
        return self.scheduler._ledger.team('tine').allotment.slot_count


@pytest.fixture
def sides(new_store):
    """Return both partitions."""
    clock = ManualClock(100)
    store = new_store(clock)
    return [Side(store, clock, key) for key in PARTS]


async def test_unread_workers(sides):
    """A successor exceeds a limit before it has seen all tasks (P4)."""
    first, second = sides
    first.unread = None
    await first.refresh()
    assert first.usable() == 0
    first.unread = Resources(4)
    await second.refresh()
    assert second.scheduler.submit(task_of(1, 10).spec, 0) is None
    for side in (second, first, second):
        await side.refresh()
    held = first.quotas.granted('tine').slot_count
    assert (held, first.usable()) == (4, 0)
    first.unread = Resources()
    for side in (first, second):
        await side.refresh()
    assert first.usable() < 4
    assert first.usable() + second.usable() == 10


async def test_lowered_limit(sides):
    """A lowered limit is called in force while more than it runs (P4)."""
    first, second = sides
    for number in range(5):
        first.scheduler.recover(task_of(number), 0)
    for side in sides:
        await side.refresh()
        side.limit = Resources(4)
    await first.refresh()
    assert first.preempt_excess[-1] == 3
    assert first.quotas.revision < first.config().revision
    await second.refresh()
    await first.refresh()
    assert first.usable() + second.usable() == 4


async def test_store_down(sides):
    """An outage of the store takes or grants room (P4)."""
    first = sides[0]
    await first.refresh()
    usable = first.usable()
    first.quotas._allotments._store.faults['all'] = 'down'
    await first.refresh()
    assert first.usable() == usable


async def test_step_that_fails_between_others():
    """A team keeps no terms when the step of another fails (P4)."""
    allotments = mock.Mock()
    allotments.version.return_value = (1, True)
    allotments.granted.return_value = Resources(3)
    allotments.excess.return_value = Resources()
    allotments.refresh = mock.AsyncMock(
        side_effect=[None, StoreUnavailableError('injected'), None, None],
    )
    scheduler = IndexedScheduler()
    teams = tuple(
        TeamConfig(name=name, share=1, upper_limit=Resources(3))
        for name in ('tine', 'flow')
    )
    record = ConfigRecord(
        revision=1,
        change_id='x',
        author='x',
        cell=CellConfig(site='one', teams=teams, queues=()),
    )
    quotas = Quotas(
        allotments,
        scheduler,
        lambda: record,
        mock.Mock(),
        asyncio.Event(),
        Resources,
    )
    await quotas._refresh(record)
    await quotas._refresh(record)
    for team in teams:
        terms = scheduler._ledger.team(team.name)
        assert terms.allotment == Resources(3)
