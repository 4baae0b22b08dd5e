"""Tests of the link to one worker, by the calls of its listener."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_daemon._worker_link import WorkerLink, WorkerListener
from currantreach_decisions import Placement
from currantreach_types import TaskPhase


class Listener(WorkerListener):
    """Listener that records its calls."""

    def __init__(self):
        self.reports = []

    def worker_adopted(self, worker, inventory):
        self.reports.append(('adopted', inventory.boot_id))

    def worker_disconnected(self, worker):
        self.reports.append(('disconnected', worker))

    def task_reported(self, worker, task):
        self.reports.append((task.phase.value, task.task_id))

    def task_not_started(self, placement):
        self.reports.append(('not_started', placement.task_id))

    def task_lost(self, worker, task_id):
        self.reports.append(('lost', task_id))

    def ownership_lost(self):
        self.reports.append(('ownership_lost', ''))

    def of(self, task_id):
        """Return the reports about a task."""
        return [event for event, name in self.reports if name == task_id]


@pytest.fixture
def simulate_link(simulate):
    """Return a function that runs a scenario on a link to one worker."""

    def run_scenario(scenario):
        async def run_all(cell):
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
                lambda: cell.claim_valid_until_s,
                30,
            )
            cell.running = asyncio.create_task(link.run())
            await asyncio.sleep(0.1)
            await scenario(cell, worker, link, listener)

        simulate(run_all, worker_count=1)

    return run_scenario


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
def test_lost_answer(simulate_link, fault, expected):
    """Guard against a guessed outcome of an unanswered start.

    Properties: "not run" means not run; accepted durable work is not
    lost; unrepeatable work runs at most once.
    """

    async def scenario(cell, worker, link, listener):
        getattr(worker, fault)['start'] = 1
        placement = placement_of(cell)
        link.start(placement)
        await asyncio.sleep(0.7)
        if fault == 'dropped':
            assert not listener.of(placement.task_id)
        await asyncio.sleep(3)
        assert listener.of(placement.task_id) == [expected]

    simulate_link(scenario)


def test_start_by_within_deadline(simulate_link):
    """Guard against an order that is valid longer than the claim.

    The latest start time is measured on the clock of the worker.

    Property: no task runs in two places.
    """

    async def scenario(cell, worker, link, listener):
        cell.claim_valid_until_s = cell.clock.now_s() + 0.3
        link.start(placement_of(cell))
        await asyncio.sleep(0.1)
        last_ms = (cell.claim_valid_until_s + worker.clock_offset_s) * 1000
        assert [
            order.start_by_ms <= last_ms for order in cell.calls['start']
        ] == [True]

    simulate_link(scenario)


@pytest.mark.parametrize('ago_s', [0, 1, float('inf')])
def test_nothing_after_deadline(simulate_link, ago_s):
    """Guard against a start, or a link failure, after the claim expired."""

    async def scenario(cell, worker, link, listener):
        cell.claim_valid_until_s = cell.clock.now_s() - ago_s
        placement = placement_of(cell)
        link.start(placement)
        await asyncio.sleep(1)
        assert not cell.calls['start']
        assert listener.of(placement.task_id) == ['not_started']
        assert link.is_connected

    simulate_link(scenario)


@pytest.mark.parametrize('is_answered', [True, False])
def test_restart_loses_tasks(simulate_link, is_answered):
    """Guard against ``not_started`` for a task that a restart ended."""

    async def scenario(cell, worker, link, listener):
        worker.lost['start'] = 0 if is_answered else 1
        placement = placement_of(cell)
        link.start(placement)
        await asyncio.sleep(0.1)
        worker.restart()
        worker.clock_offset_s += 100
        await asyncio.sleep(3)
        assert cell.starts == [('w0', placement.task_id)]
        assert listener.of(placement.task_id)[-1] == 'lost'
        assert 'not_started' not in listener.of(placement.task_id)

    simulate_link(scenario)


def test_higher_epoch_ends_ownership(simulate_link):
    """Guard against an owner that continues when its worker is fenced.

    Property: no task runs in two places.
    """

    async def scenario(cell, worker, link, listener):
        worker.fence(3)
        link.start(placement_of(cell))
        await asyncio.sleep(1)
        assert listener.reports[-1][0] == 'ownership_lost'
        assert not cell.starts

    simulate_link(scenario)


def test_loss_after_lease(simulate_link):
    """Guard against a task reported lost before its lease expired.

    Property: no task runs in two places.
    """

    async def scenario(cell, worker, link, listener):
        placement = placement_of(cell, expected_run_s=500)
        link.start(placement)
        await asyncio.sleep(20)
        worker.delays['renew', 'effect'] = asyncio.Event()
        await asyncio.sleep(4.4)
        worker.is_unreachable = True
        worker.delays.pop(('renew', 'effect')).set()
        while 'lost' not in listener.of(placement.task_id):
            await asyncio.sleep(0.1)
        worker.advance()
        assert not worker.running

    simulate_link(scenario)


def test_event_before_answer(simulate_link):
    """Guard against a link failure if a task ends before its start answer."""

    async def scenario(cell, worker, link, listener):
        worker.delays['start', 'answer'] = asyncio.Event()
        placement = placement_of(cell, expected_run_s=0.1)
        link.start(placement)
        await asyncio.sleep(1)
        worker.delays.pop(('start', 'answer')).set()
        await asyncio.sleep(20)
        assert listener.of(placement.task_id)[0] == 'finished'
        assert 'lost' not in listener.of(placement.task_id)
        assert not cell.running.done()

    simulate_link(scenario)


def test_inventory_older_than_start(simulate_link):
    """Guard against a task lost by an inventory read before its start.

    Property: no task runs in two places.
    """

    async def scenario(cell, worker, link, listener):
        worker.delays['renew', 'answer'] = asyncio.Event()
        await asyncio.sleep(8)
        placement = placement_of(cell, expected_run_s=100)
        link.start(placement)
        await asyncio.sleep(0.5)
        worker.delays.pop(('renew', 'answer')).set()
        await asyncio.sleep(0.5)
        assert listener.of(placement.task_id) == ['running']

    simulate_link(scenario)


def test_inventory_older_than_event(simulate_link):
    """Guard against an ended task that an older inventory shows as running."""

    async def scenario(cell, worker, link, listener):
        placement = placement_of(cell, expected_run_s=9)
        link.start(placement)
        worker.delays['renew', 'answer'] = asyncio.Event()
        await asyncio.sleep(12)
        worker.delays.pop(('renew', 'answer')).set()
        await asyncio.sleep(0.5)
        assert listener.of(placement.task_id)[-1] == 'finished'

    simulate_link(scenario)


def test_huge_run_time(simulate_link):
    """Guard against a link failure from a run time out of the wire's range."""

    async def scenario(cell, worker, link, listener):
        link.start(placement_of(cell, expected_run_s=1e308))
        await asyncio.sleep(1)
        assert not cell.running.done()
        assert listener.of('dom.0.2.one/0') == ['running']

    simulate_link(scenario)


def test_worker_moves(simulate_link):
    """Guard against a link that does not follow a change of the address."""

    async def scenario(cell, worker, link, listener):
        worker.url = 'http://elsewhere'
        worker.restart()
        link.update_worker(worker.info)
        placement = placement_of(cell)
        link.start(placement)
        await asyncio.sleep(1)
        assert listener.of(placement.task_id) == ['not_started']
        link.start(attrs.evolve(placement, task_id='dom.0.2.two/0'))
        await asyncio.sleep(1)
        assert listener.of('dom.0.2.two/0') == [TaskPhase.running]

    simulate_link(scenario)
