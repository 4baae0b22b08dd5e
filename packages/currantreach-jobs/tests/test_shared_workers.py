"""Services with a response time target beside best-effort tasks.

They share a worker where no other is left, as neither may wait for the other
for good. The best-effort tasks are paced, so that the services meet their
targets.
"""

from __future__ import annotations

import asyncio
import types

import pytest
from hypothesis import given, strategies

from currantreach_jobs import RunningRun, Step, TaskKey
from currantreach_jobs._pacing import FillPacer
from currantreach_types import Resources
from currantreach_types.errors import (
    OutcomeUnknownError,
    WorkerUnavailableError,
)

TARGET_MS = 100
# A task above its target for longer than this is harmed.
MAX_HARM_S = 4
# The lease of a run on a lost worker, the notice of its silence and a start.
MAX_AWAY_S = 9
NEEDED = Resources(cpu_milli=1000, memory_mib=1000)
SERVICE = {'is_lasting': True, 'tail_target_ms': TARGET_MS, 'needed': NEEDED}
FILL = {
    'is_lasting': True,
    'is_filling': True,
    'max_per_worker': 1,
    'needed': NEEDED,
}
# Paces take effect within 0.1 s, and lists come at least every 0.7 s.
PACE_DELAY_S = 0.1
LONGEST_LIST_S = 0.7


def worker_of(fleet, job_id):
    """Return the live worker that runs a job, if there is one."""
    for worker in fleet.workers.values():
        if not worker.silent and job_id in fleet.job_ids_on(worker.worker_id):
            return worker
    return None


async def observe_paces(fleet, worker, step_count):
    """Return the paces of the best-effort task over some time.

    The service beside it must not be above its target for too long.
    """
    over_since_s = None
    percents = []
    for _ in range(step_count):
        await asyncio.sleep(0.05)
        now_s = fleet.clock.now_s()
        if worker.tail_ms('service') <= TARGET_MS:
            over_since_s = None
        elif over_since_s is None:
            over_since_s = now_s
        assert now_s - (over_since_s or now_s) < MAX_HARM_S
        percents.append(worker.paces.get('fill', 100))
    return percents


@pytest.fixture
def open_cell(wait_until):
    """Return a function that starts a cell with some workers."""

    async def start(fleet, cell, worker_count):
        fleet.work_s = 1000
        for number in range(worker_count):
            fleet.add(f'w{number}')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        return daemon

    return start


@pytest.fixture
def open_shared_cell(open_cell, wait_until, job):
    """Return a function that starts a cell with one worker that is shared.

    The tail of its service is given without and with the best-effort task at
    full pace, in milliseconds.
    """

    async def start(fleet, cell, alone_ms, disturbed_ms):
        daemon = await open_cell(fleet, cell, 1)
        fleet.workers['w0'].tails_ms['service'] = alone_ms, disturbed_ms
        await daemon.submissions.submit(job('service', **SERVICE))
        await daemon.submissions.submit(job('fill', **FILL))
        await wait_until(lambda: len(fleet.workers['w0'].running) == 2)
        return daemon

    return start


def test_lost_service_runs_beside_fill(
    run_scenario, open_cell, wait_until, job
):
    """A service stays away for good as best effort runs on all workers."""

    async def scenario(fleet, cell):
        daemon = await open_cell(fleet, cell, 4)
        await daemon.submissions.submit(job('service', **SERVICE))
        await wait_until(lambda: worker_of(fleet, 'service'))
        lost = worker_of(fleet, 'service')
        await daemon.submissions.submit(job('fill', count=3, **FILL))
        await wait_until(
            lambda: (
                sum(len(each.running) for each in fleet.workers.values()) == 4
            )
        )
        assert fleet.job_ids_on(lost.worker_id) == {'service'}
        lost.silent = True
        await wait_until(lambda: worker_of(fleet, 'service'), MAX_AWAY_S)

    run_scenario(scenario)


def test_fill_runs_beside_services(run_scenario, open_cell, wait_until, job):
    """Best effort never starts as a service runs on every worker."""

    async def scenario(fleet, cell):
        daemon = await open_cell(fleet, cell, 2)
        await daemon.submissions.submit(
            job('service', count=2, max_per_worker=1, **SERVICE)
        )
        await wait_until(
            lambda: all(each.running for each in fleet.workers.values())
        )
        await daemon.submissions.submit(job('fill', **FILL))
        await wait_until(lambda: worker_of(fleet, 'fill'), 3)

    run_scenario(scenario)


@pytest.mark.parametrize('step', [SERVICE, FILL])
def test_separate_workers_come_first(offline, job, step):
    """A service is disturbed although a worker without best effort is free."""
    other = FILL if step is SERVICE else SERVICE
    offline.cluster.add_job(job('first', **other))
    assert offline.started() == ['first']
    used = offline.launched[0].worker_id
    offline.cluster.add_job(job('second', **step))
    assert offline.started() == ['second']
    assert offline.launched[0].worker_id != used


@pytest.mark.parametrize('disturbed_ms', [90, 150, 1000])
def test_service_meets_its_target(run_scenario, open_shared_cell, disturbed_ms):
    """Best effort keeps a service above its target for over four seconds."""

    async def scenario(fleet, cell):
        await open_shared_cell(fleet, cell, 30, disturbed_ms)
        worker = fleet.workers['w0']
        percents = await observe_paces(fleet, worker, 600)
        # Best effort gets what the service leaves unused.
        assert max(percents[300:]) > 0

    run_scenario(scenario)


def test_fill_gets_its_full_pace_again(
    run_scenario, open_shared_cell, wait_until
):
    """Best effort stays slow after the service beside it has ended."""

    async def scenario(fleet, cell):
        daemon = await open_shared_cell(fleet, cell, 50, 1000)
        worker = fleet.workers['w0']
        await wait_until(lambda: worker.paces.get('fill') == 0)
        await daemon.submissions.cancel('service', 'lookups', 'orchard')
        await wait_until(lambda: worker.paces['fill'] == 100)

    run_scenario(scenario)


@pytest.mark.parametrize('disturbed_ms', [30, 1000])
def test_new_leader_sets_the_pace(
    run_scenario, open_shared_cell, wait_until, disturbed_ms
):
    """A new leader leaves best effort at the pace that its predecessor set."""

    async def scenario(fleet, cell):
        first = await open_shared_cell(fleet, cell, 20, 1000)
        worker = fleet.workers['w0']
        await wait_until(lambda: worker.paces.get('fill') == 0)
        worker.tails_ms['service'] = 20, disturbed_ms
        first.kill()
        second = cell.start('b')
        await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
        await wait_until(lambda: worker.paces['fill'] > 0)
        if disturbed_ms < TARGET_MS:
            await wait_until(lambda: worker.paces['fill'] == 100)

    run_scenario(scenario)


def test_failed_pace_is_sent_again(run_scenario, open_shared_cell, wait_until):
    """A lost order leaves best effort at a pace that harms the service."""

    async def scenario(fleet, cell):
        await open_shared_cell(fleet, cell, 30, 40)
        worker = fleet.workers['w0']
        worker.faults['pace'] = [
            OutcomeUnknownError('no answer'),
            WorkerUnavailableError('unhealthy'),
        ]
        worker.tails_ms['service'] = 30, 1000
        await wait_until(lambda: worker.paces.get('fill') == 0, MAX_HARM_S)

    run_scenario(scenario)


@pytest.mark.parametrize('travel_s', [2.2, 2.6, 3, 3.4, 3.8])
def test_late_pace_is_corrected(
    run_scenario, open_shared_cell, wait_until, travel_s
):
    """A pace that takes effect after a newer one harms the service for good."""

    async def scenario(fleet, cell):
        await open_shared_cell(fleet, cell, 30, 1000)
        worker = fleet.workers['w0']
        await wait_until(lambda: worker.paces.get('fill') == 0)
        worker.travel_times_s['pace'] = [travel_s]
        await observe_paces(fleet, worker, 400)

    run_scenario(scenario)


class SharedWorker:
    """Worker with a service and a best-effort task."""

    report = types.SimpleNamespace(worker_id='w1')

    def steps_by_run(self):
        """Return the steps of both runs."""
        steps = (Step(task_count=1, **SERVICE), Step(task_count=1, **FILL))
        return {
            (found.task, found.attempt): step
            for found, step in zip(self.listed(0), steps, strict=True)
        }

    def listed(self, tail_ms):
        """Return the list of both runs."""
        return [
            RunningRun(task=TaskKey(name, 0, 0, 0), attempt=1, recent_load=load)
            for name, load in (('service', tail_ms), ('fill', 900))
        ]


@given(
    alone_ms=strategies.integers(0, 95),
    phases=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5000),
            strategies.lists(
                strategies.floats(0.05, LONGEST_LIST_S), min_size=1, max_size=30
            ),
        ),
        min_size=1,
        max_size=5,
    ),
)
def test_pace_follows_any_disturbance(alone_ms, phases):
    """A disturbance that changes within seconds outruns the pacer.

    Each phase has the disturbance at full pace, in milliseconds, and the pauses
    between the lists of the worker.
    """
    worker = SharedWorker()
    pacer = FillPacer()
    now_s, percent, over_s = 0, 100, 0
    for disturbance_ms, pauses_s in phases:
        for pause_s in pauses_s:
            now_s += pause_s
            tail_ms = alone_ms + disturbance_ms * percent / 100
            over_s = over_s + pause_s if tail_ms > TARGET_MS else 0
            assert over_s + PACE_DELAY_S < MAX_HARM_S
            for order in pacer.update(worker, worker.listed(tail_ms), now_s):
                assert order.task.job_id == 'fill'
                percent = order.percent
                pacer.confirm(order)
