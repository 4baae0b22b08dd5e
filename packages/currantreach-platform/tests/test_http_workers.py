"""Tests of the worker client against its stand-in."""

from __future__ import annotations

import asyncio
import json
import operator

import attrs
import pytest

from currantreach_platform import HttpWorkerClient
from currantreach_standins import (
    Fleet,
    FleetSettings,
    TaskLog,
    WorkerEntry,
    workers_app,
)
from currantreach_types import Resources, StartOrder, WorkerInfo
from currantreach_types.errors import StaleEpochError, WorkerUnavailableError

_CAPACITY = Resources(slot_count=2, cpu_milli=2000, memory_mib=1024)
_SIZE = Resources(slot_count=1, cpu_milli=1000, memory_mib=256)


@attrs.frozen
class _Cell:
    """Two workers on one stand-in, and a client for them."""

    url: str
    client: HttpWorkerClient
    fleet: Fleet

    def worker(self, name='w1'):
        return WorkerInfo(
            name=name,
            failure_domain='north-1',
            rack='r1',
            url=self.url,
            capacity=_CAPACITY,
        )

    async def adopt(self, epoch=1, name='w1'):
        return await self.client.adopt(self.worker(name), epoch, 'owner')

    async def start(self, *orders, name='w1'):
        results = await self.client.start(self.worker(name), orders)
        return [result.outcome.value for result in results]

    async def phases(self):
        inventory = await self.adopt(9)
        return {task.task_id: task.phase.value for task in inventory.tasks}


@pytest.fixture
def settings():
    """Return the settings of the workers; tests may override them."""
    return FleetSettings(usage_lag_s=1)


@pytest.fixture
async def cell(serve, clock, settings):
    """Return two adopted workers."""
    entries = [
        WorkerEntry(name=name, capacity=_CAPACITY) for name in ('w1', 'w2')
    ]
    fleet = Fleet(entries, settings, clock, TaskLog())
    url = await serve(workers_app(fleet))
    client = HttpWorkerClient(timeout_s=0.5)
    yield _Cell(url, client, fleet)
    await client.close()


@pytest.fixture
async def order(cell):
    """Return a function that creates orders within their deadline."""
    inventory = await cell.adopt(1)

    def make(task_id, **fields):
        defaults = {
            'epoch': 1,
            'start_by_ms': inventory.clock_ms + 2000,
            'resources': _SIZE,
            'lease_ms': 30000,
            'run_ms': 10000,
            'spec_json': '{"team":"t","payload":"rows 1-9"}',
        }
        return StartOrder(task_id=task_id, **{**defaults, **fields})

    return make


async def test_stale_epoch_is_refused(cell, order):
    """Guard against a former owner that still starts or stops tasks."""
    assert await cell.start(order('a')) == ['started']
    assert (await cell.adopt(2)).epoch == 2

    assert await cell.start(order('b')) == ['stale_epoch']
    with pytest.raises(StaleEpochError, match='higher epoch'):
        await cell.adopt(1)
    with pytest.raises(StaleEpochError):
        await cell.client.stop(cell.worker(), 1, ['a'])
    with pytest.raises(StaleEpochError):
        await cell.client.renew(cell.worker(), 1, 30000)
    assert await cell.phases() == {'a': 'running'}


async def test_number_of_a_run_is_reported(cell, order):
    """Guard against reports that do not tell a run from the former one."""
    await cell.start(order('a', attempt=7))

    inventory = await cell.adopt(1)
    await cell.client.stop(cell.worker(), 1, ['a'])
    events = await cell.client.events(cell.worker(), 0, 1)

    assert [task.attempt for task in inventory.tasks] == [7]
    assert [task.attempt for task in events.tasks] == [7]


async def test_late_and_repeated_starts(cell, order, clock):
    """Guard against a start after its deadline, as by a paused owner."""
    assert await cell.start(order('a'), order('a')) == ['started', 'known']
    clock.advance(2.1)

    assert await cell.start(order('b')) == ['too_late']
    assert await cell.phases() == {'a': 'running'}


@pytest.mark.parametrize(
    'settings', [FleetSettings(refuses_stale_starts=False)]
)
async def test_worker_without_start_checks(cell, order, clock):
    """Guard against workers that mask a missing check of the owner."""
    await cell.adopt(2)
    clock.advance(2.1)

    assert await cell.start(order('a'), order('a')) == ['started', 'known']


async def test_adopt_shows_the_task_after_a_lost_start_response(
    cell,
    order,
    control,
):
    """Guard against running a task twice after a lost response."""
    fault = {'workers': ['w1'], 'lost_start_answers': 1}
    await control(f'{cell.url}/v1/faults', fault)

    with pytest.raises(WorkerUnavailableError):
        await cell.start(order('a'))

    assert await cell.phases() == {'a': 'running'}
    again = order('a', epoch=9)
    assert await cell.start(again) == ['known']


async def test_lease_expiry_of_tasks(cell, order, clock, control):
    """Guard against tasks that outlive a failed owner."""
    orders = [order('a', lease_ms=4000), order('b', lease_ms=3000, run_ms=2000)]
    assert await cell.start(*orders) == ['started', 'started']
    clock.advance(2.5)
    renewed = await cell.client.renew(cell.worker(), 1, 4000)
    assert [task.phase.value for task in renewed.tasks] == [
        'running',
        'finished',
    ]
    assert renewed.tasks[1].output == 'b:rows 1-9'
    clock.advance(3.9)
    assert (await cell.phases())['a'] == 'running'

    clock.advance(0.2)

    assert await cell.phases() == {'a': 'expired', 'b': 'finished'}
    await cell.client.retire(cell.worker(), 9, ['a', 'b'])
    assert await cell.phases() == {}
    lines = (await control(f'{cell.url}/v1/log')).splitlines()
    logged = [json.loads(line) for line in lines]
    fields = operator.itemgetter('event', 'task_id', 'phase')
    assert [fields(line) for line in logged] == [
        ('start', 'a', 'running'),
        ('start', 'b', 'running'),
        ('end', 'b', 'finished'),
        ('end', 'a', 'expired'),
    ]


async def test_events_return_on_changes_and_report_usage_with_a_lag(
    cell, order, clock
):
    """Guard against missed ends and premature usage reports."""
    hints = json.dumps({'payload': json.dumps({'use_factor': 1.5})})
    await cell.start(order('a', spec_json=hints), order('b'))
    empty = await cell.client.events(cell.worker(), 0, 0.05)
    assert empty.tasks == ()
    polling = asyncio.create_task(
        cell.client.events(cell.worker(), empty.sequence, 20),
    )
    await asyncio.sleep(0.05)

    clock.advance(1.1)
    await cell.client.throttle(cell.worker(), 1, ['a'])

    events = await asyncio.wait_for(polling, 5)
    assert events.tasks[0].observed.cpu_milli == 1500
    clock.advance(9)
    events = await cell.client.events(cell.worker(), events.sequence, 20)
    seen = {task.task_id: task for task in events.tasks}
    assert seen['a'].observed == _SIZE
    assert seen['a'].phase == 'running'
    assert seen['b'].phase == 'finished'
    clock.advance(9)
    assert (await cell.phases())['a'] == 'finished'


async def test_checkpointed_task_resumes_elsewhere(cell, order, clock):
    """Guard against losing the progress of a checkpointed task."""
    await cell.start(order('a'))
    clock.advance(6)
    await cell.client.checkpoint(cell.worker(), 1, ['a'])
    assert await cell.phases() == {'a': 'stopped'}

    moved = order('a', start_by_ms=1 << 40)
    assert await cell.start(moved, name='w2') == ['started']

    clock.advance(4.1)
    inventory = await cell.adopt(1, 'w2')
    assert [task.phase for task in inventory.tasks] == ['finished']


async def test_capacity_breach_is_recorded(cell, order, control):
    """Guard against overcommitment that goes unrecorded."""
    names = ('a', 'b', 'c')
    outcomes = await cell.start(*(order(name) for name in names))
    assert outcomes == ['started', 'started', 'started']
    await cell.client.stop(cell.worker(), 1, names)

    peaks = json.loads(await control(f'{cell.url}/v1/peaks'))['w1']
    assert peaks['breach_count'] == 1
    assert peaks['peak']['cpu_milli'] == 3000
    assert '"event":"breach"' in await control(f'{cell.url}/v1/log')
    assert await cell.start(order('d'), order('e')) == ['started', 'started']
    assert cell.fleet.workers['w1'].breach_count == 1


async def test_start_delayed_by_a_frozen_worker_is_rejected(
    cell,
    order,
    control,
    clock,
):
    """Guard against a start that a frozen worker executes too late."""
    await control(f'{cell.url}/v1/faults', {'workers': ['w1'], 'freeze': True})
    with pytest.raises(WorkerUnavailableError, match='timeout'):
        await cell.start(order('a'))
    elsewhere = order('b', start_by_ms=1 << 40)
    assert await cell.start(elsewhere, name='w2') == ['started']
    clock.advance(2.1)

    await control(f'{cell.url}/v1/faults', {'workers': ['w1']})

    await asyncio.sleep(0.05)
    assert await cell.phases() == {}


async def test_restarted_worker_is_empty_with_another_boot_id(
    cell,
    order,
    control,
):
    """Guard against tasks that seem to survive a worker restart."""
    before = await cell.adopt(1)
    await cell.start(order('a'))
    polling = asyncio.create_task(cell.client.events(cell.worker(), 0, 20))
    await asyncio.sleep(0.05)
    await control(f'{cell.url}/v1/faults', {'dead': True})
    with pytest.raises(WorkerUnavailableError):
        await polling
    with pytest.raises(WorkerUnavailableError):
        await cell.adopt(1)

    await control(f'{cell.url}/v1/faults', {'fail_all': True})

    after = await cell.adopt(1)
    assert after.boot_id != before.boot_id
    assert after.tasks == ()
    assert await cell.start(order('b')) == ['started']
    assert await cell.phases() == {'b': 'failed'}


async def test_unused_channels_are_closed(cell):
    """Guard against accumulating connections to replaced workers."""
    client = HttpWorkerClient(channel_limit=1)

    await client.adopt(cell.worker('w1'), 1, 'owner')
    await client.adopt(cell.worker('w2'), 1, 'owner')

    assert len(client._channels) == 1
    await client.close()
