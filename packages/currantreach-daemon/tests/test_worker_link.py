"""Tests of the link to one worker, through its listener."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_daemon._worker_link import WorkerLink, WorkerListener
from currantreach_decisions import Placement
from currantreach_types import TaskPhase


class Listener(WorkerListener):
    """Listener that writes down what it is told."""

    def __init__(self):
        self.told = []

    def worker_adopted(self, worker, inventory):
        self.told.append(('adopted', inventory.boot_id))

    def worker_disconnected(self, worker):
        self.told.append(('disconnected', worker))

    def task_reported(self, worker, task):
        self.told.append((task.phase.value, task.task_id))

    def task_not_started(self, placement):
        self.told.append(('not_started', placement.task_id))

    def task_lost(self, worker, task_id):
        self.told.append(('lost', task_id))

    def ownership_lost(self):
        self.told.append(('ownership_lost', ''))

    def of(self, task_id):
        """Return what was told about a task."""
        return [event for event, name in self.told if name == task_id]


@pytest.fixture
def linked(simulate):
    """Return a function that plays a scenario on a link to one worker."""

    def play(scenario):
        async def whole(cell):
            await cell.stop_owner()
            worker = cell.workers['w0']
            listener = Listener()
            link = WorkerLink(
                worker.info,
                cell.client,
                cell.clock,
                2,
                'd2',
                listener,
                lambda: cell.deadline_s,
                30,
            )
            cell.running = asyncio.create_task(link.run())
            await asyncio.sleep(0.1)
            await scenario(cell, worker, link, listener)

        simulate(whole, worker_count=1)

    return play


def placement_of(cell, **fields):
    """Return a placement on worker ``w0``."""
    spec = cell.spec(request_id='dom.0.2.one', **fields)
    return Placement(
        task_id='dom.0.2.one/0',
        spec=spec,
        worker='w0',
        resources=spec.resources,
    )


@pytest.mark.parametrize(
    ('fault', 'expected'),
    [('lost', 'running'), ('dropped', 'not_started')],
)
def test_lost_answer(linked, fault, expected):
    """A start without an answer is guessed instead of settled (P6, P7)."""

    async def scenario(cell, worker, link, listener):
        getattr(worker, fault)['start'] = 1
        placed = placement_of(cell)
        link.start(placed)
        await asyncio.sleep(0.7)
        if fault == 'dropped':
            assert not listener.of(placed.task_id)
        await asyncio.sleep(3)
        assert listener.of(placed.task_id) == [expected]

    linked(scenario)


def test_start_by_within_deadline(linked):
    """An order outlives the owner's claim on the worker's clock (P2)."""

    async def scenario(cell, worker, link, listener):
        cell.deadline_s = cell.clock.now_s() + 0.3
        link.start(placement_of(cell))
        await asyncio.sleep(0.1)
        last_ms = (cell.deadline_s + worker.clock_offset_s) * 1000
        assert [
            order.start_by_ms <= last_ms for order in cell.calls['start']
        ] == [True]

    linked(scenario)


@pytest.mark.parametrize('ago_s', [0, 1, float('inf')])
def test_nothing_after_deadline(linked, ago_s):
    """A start is sent, or the link dies, after the claim has lapsed."""

    async def scenario(cell, worker, link, listener):
        cell.deadline_s = cell.clock.now_s() - ago_s
        placed = placement_of(cell)
        link.start(placed)
        await asyncio.sleep(1)
        assert not cell.calls['start']
        assert listener.of(placed.task_id) == ['not_started']
        assert link.is_connected

    linked(scenario)


@pytest.mark.parametrize('is_answered', [True, False])
def test_restart_loses_tasks(linked, is_answered):
    """A start that took effect before a restart is called not started."""

    async def scenario(cell, worker, link, listener):
        worker.lost['start'] = 0 if is_answered else 1
        placed = placement_of(cell)
        link.start(placed)
        await asyncio.sleep(0.1)
        worker.clear()
        worker.clock_offset_s += 100
        await asyncio.sleep(3)
        assert cell.starts == [('w0', placed.task_id)]
        assert listener.of(placed.task_id)[-1] == 'lost'
        assert 'not_started' not in listener.of(placed.task_id)

    linked(scenario)


def test_higher_epoch_ends_ownership(linked):
    """An owner goes on after a successor fenced its worker (P2)."""

    async def scenario(cell, worker, link, listener):
        worker.fence(3)
        link.start(placement_of(cell))
        await asyncio.sleep(1)
        assert listener.told[-1][0] == 'ownership_lost'
        assert not cell.starts

    linked(scenario)


def test_loss_after_lease(linked):
    """A task is declared lost while its lease may still run (P2)."""

    async def scenario(cell, worker, link, listener):
        placed = placement_of(cell, expected_run_s=500)
        link.start(placed)
        await asyncio.sleep(20)
        worker.delays['renew', 'effect'] = asyncio.Event()
        await asyncio.sleep(4.4)
        worker.is_cut = True
        worker.delays.pop(('renew', 'effect')).set()
        while 'lost' not in listener.of(placed.task_id):
            await asyncio.sleep(0.1)
        worker.step()
        assert not worker.running

    linked(scenario)


def test_event_before_answer(linked):
    """A task that ends before its start is answered kills the link."""

    async def scenario(cell, worker, link, listener):
        worker.delays['start', 'answer'] = asyncio.Event()
        placed = placement_of(cell, expected_run_s=0.1)
        link.start(placed)
        await asyncio.sleep(1)
        worker.delays.pop(('start', 'answer')).set()
        await asyncio.sleep(20)
        assert listener.of(placed.task_id)[0] == 'finished'
        assert 'lost' not in listener.of(placed.task_id)
        assert not cell.running.done()

    linked(scenario)


def test_inventory_older_than_start(linked):
    """An inventory read before a start declares the task lost (P2)."""

    async def scenario(cell, worker, link, listener):
        worker.delays['renew', 'answer'] = asyncio.Event()
        await asyncio.sleep(8)
        placed = placement_of(cell, expected_run_s=100)
        link.start(placed)
        await asyncio.sleep(0.5)
        worker.delays.pop(('renew', 'answer')).set()
        await asyncio.sleep(0.5)
        assert listener.of(placed.task_id) == ['running']

    linked(scenario)


def test_inventory_older_than_event(linked):
    """An inventory read before an event lets an ended task run again."""

    async def scenario(cell, worker, link, listener):
        placed = placement_of(cell, expected_run_s=9)
        link.start(placed)
        worker.delays['renew', 'answer'] = asyncio.Event()
        await asyncio.sleep(12)
        worker.delays.pop(('renew', 'answer')).set()
        await asyncio.sleep(0.5)
        assert listener.of(placed.task_id)[-1] == 'finished'

    linked(scenario)


def test_huge_run_time(linked):
    """A run time beyond the numbers of the platform kills the link."""

    async def scenario(cell, worker, link, listener):
        link.start(placement_of(cell, expected_run_s=1e308))
        await asyncio.sleep(1)
        assert not cell.running.done()
        assert listener.of('dom.0.2.one/0') == ['running']

    linked(scenario)


def test_worker_moves(linked):
    """A worker that comes back under another address is never found."""

    async def scenario(cell, worker, link, listener):
        worker.url = 'http://elsewhere'
        worker.clear()
        link.update_worker(worker.info)
        placed = placement_of(cell)
        link.start(placed)
        await asyncio.sleep(1)
        assert listener.of(placed.task_id) == ['not_started']
        link.start(attrs.evolve(placed, task_id='dom.0.2.two/0'))
        await asyncio.sleep(1)
        assert listener.of('dom.0.2.two/0') == [TaskPhase.running]

    linked(scenario)
