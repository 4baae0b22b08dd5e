"""Tests of the team quotas of one partition."""

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

PARTITION_KEYS = ('dom.0', 'dom.1')


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


class Partition:
    """One of two partitions that share a limit of 10 slots."""

    def __init__(self, store, clock, key):
        self.limit = Resources(10)
        self.unadopted = Resources()
        self.preempt_excess = []
        self.scheduler = IndexedScheduler()
        self.quotas = Quotas(
            Allotments(store, clock, key, PARTITION_KEYS, 1),
            self.scheduler,
            self.config,
            lambda team, excess: self.preempt_excess.append(excess.slot_count),
            asyncio.Event(),
            lambda: self.unadopted,
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
        """Refresh the allotments a few times."""
        for _ in range(4):
            with contextlib.suppress(StoreUnavailableError):
                await self.quotas._allotments.poll(0)
            await self.quotas._refresh(self.config())

    def usable(self):
        """Return the slots that the scheduler may use for the team."""
        return self.scheduler._ledger.team('tine').allotment.slot_count


@pytest.fixture
def partitions(new_store):
    """Return both partitions."""
    clock = ManualClock(100)
    store = new_store(clock)
    return [Partition(store, clock, key) for key in PARTITION_KEYS]


async def test_unadopted_workers(partitions):
    """Guard against an exceeded limit before all workers are adopted.

    Property: no team runs more than its upper limit.
    """
    first, second = partitions
    first.unadopted = None
    await first.refresh()
    assert first.usable() == 0
    first.unadopted = Resources(4)
    await second.refresh()
    assert second.scheduler.submit(task_of(1, 10).spec, 0) is None
    for partition in (second, first, second):
        await partition.refresh()
    granted = first.quotas.granted('tine').slot_count
    assert (granted, first.usable()) == (4, 0)
    first.unadopted = Resources()
    for partition in (first, second):
        await partition.refresh()
    assert first.usable() < 4
    assert first.usable() + second.usable() == 10


async def test_lowered_limit(partitions):
    """Guard against a lowered limit reported in force too early.

    It is in force only when the running tasks fit in it.

    Property: no team runs more than its upper limit.
    """
    first, second = partitions
    for number in range(5):
        first.scheduler.recover(task_of(number), 0)
    for partition in partitions:
        await partition.refresh()
        partition.limit = Resources(4)
    await first.refresh()
    assert first.preempt_excess[-1] == 3
    assert first.quotas.revision < first.config().revision
    await second.refresh()
    await first.refresh()
    assert first.usable() + second.usable() == 4


async def test_store_down(partitions):
    """Guard against allotments that change in a store outage.

    Property: no team runs more than its upper limit.
    """
    first = partitions[0]
    await first.refresh()
    usable = first.usable()
    first.quotas._allotments._store.faults['all'] = 'down'
    await first.refresh()
    assert first.usable() == usable


async def test_refresh_that_fails_between_others():
    """Guard against a team without a quota after a partly failed round.

    The first round fails at the second team, so the quota of the first one is
    not set until the next round.

    Property: no team runs more than its upper limit.
    """
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
        quota = scheduler._ledger.team(team.name)
        assert quota.allotment == Resources(3)
