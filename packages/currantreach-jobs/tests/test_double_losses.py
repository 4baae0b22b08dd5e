"""Workers that are lost at the same moment as the leader.

A successor waited for leases that the killed leader might have renewed for
three seconds after the end of its own, and for stray orders, so that a service
was away for 13 s although all other workers were idle.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import JobSettings

# The platform lists a lost worker for 4.5 s; after that it takes a service to
# be away for too long once four calm seconds and three more have passed.
MAX_AWAY_S = 11.5
# The slowest clock that the platform allows.
SLOWEST_RATE = 0.98
SERVICE_ID = 'service'


@pytest.fixture
def open_cell(wait_until, job):
    """Return a function that starts a cell with a service on a worker.

    It returns the leader and the worker of the service.
    """

    async def start(fleet, cell):
        fleet.work_s = 1000
        cell.settings = attrs.evolve(JobSettings(), lease_limit_s=10)
        for number in range(4):
            fleet.add(f'w{number}', rate=SLOWEST_RATE)
        for name in ('a', 'b', 'c'):
            cell.start(name)
        await wait_until(cell.scheduling_daemon)
        leader = cell.scheduling_daemon()
        await leader.submissions.submit(job(SERVICE_ID, is_lasting=True))
        await wait_until(lambda: workers_of(fleet))
        await asyncio.sleep(6)
        return leader, workers_of(fleet)[0]

    return start


def workers_of(fleet):
    """Return the live workers that run the service."""
    return [
        worker
        for name, worker in fleet.workers.items()
        if not worker.silent and SERVICE_ID in fleet.job_ids_on(name)
    ]


def starts_of(fleet, job_id):
    """Return the workers that have started tasks of a job."""
    return [name for name, order in fleet.starts if order.task.job_id == job_id]


def name_of(cell, daemon):
    """Return the name of the host of a daemon."""
    return next(name for name, found in cell.daemons.items() if found is daemon)


async def kill(cell, leader):
    """Kill the leader for good."""
    leader.kill()


async def restart(cell, leader):
    """Kill the leader; its host starts another daemon soon."""
    leader.kill()
    await asyncio.sleep(0.5)
    cell.start(name_of(cell, leader))


async def cut_off(cell, leader):
    """Cut the leader off from the store, while it reaches all workers."""
    leader.store.is_rejected = True


async def freeze(cell, leader):
    """Freeze the leader for some seconds; it goes on with its old state."""
    leader.store.is_silent = True
    worker_names = tuple(cell.fleet.workers)
    for name in worker_names:
        cell.fleet.workers[name].unreachable_from = {name_of(cell, leader)}
    await asyncio.sleep(4)
    leader.store.is_silent = False
    for name in worker_names:
        cell.fleet.workers[name].unreachable_from = set()


@pytest.mark.parametrize('lost_count', [1, 2])
@pytest.mark.parametrize('trouble', [kill, restart, cut_off, freeze])
def test_service_is_back_soon_after_a_double_loss(
    run_scenario, open_cell, wait_until, trouble, lost_count
):
    """A service stays away for leases that nobody can have renewed.

    With two lost workers, the next one by the order of the placement is among
    them.
    """

    async def scenario(fleet, cell):
        leader, lost = await open_cell(fleet, cell)
        others = [each for each in fleet.workers.values() if each is not lost]
        for worker in (lost, *others)[:lost_count]:
            worker.silent = True
        lost_at_s = fleet.clock.now_s()
        troubling = asyncio.ensure_future(trouble(cell, leader))
        await wait_until(lambda: workers_of(fleet))
        assert fleet.clock.now_s() - lost_at_s <= MAX_AWAY_S
        await troubling

    run_scenario(scenario)


@pytest.mark.parametrize('down_s', [4.5, 5.6])
def test_runs_survive_an_outage_of_the_store(run_scenario, open_cell, down_s):
    """Leases that a leader without the store does not extend end too early."""

    async def scenario(fleet, cell):
        await open_cell(fleet, cell)
        fleet.store.is_down = True
        await asyncio.sleep(down_s)
        fleet.store.is_down = False
        await asyncio.sleep(10)
        assert not fleet.lease_expirations
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_run_that_was_never_listed_is_waited_for(
    run_scenario, open_cell, wait_until, job
):
    """A stray start must not run beside the next run of its task.

    The worker restarts, and a start for its former process takes effect after
    the leader has ended. The successor never reaches the worker. The clock of
    the former process gives the run the longest lease that the worker grants.
    """

    async def scenario(fleet, cell):
        leader, _ = await open_cell(fleet, cell)
        await asyncio.sleep(60)
        for name in ('w1', 'w2', 'w3'):
            fleet.workers[name].is_draining = True
        worker = fleet.workers['w0']
        worker.late_starts = 100
        await leader.submissions.submit(job('stray', is_lasting=True))
        await wait_until(lambda: worker.delayed)
        leader.kill()
        worker.unreachable_from = {'a', 'b', 'c'}
        worker.restart()
        await wait_until(cell.scheduling_daemon)
        worker.carry_out()
        assert 'stray' in fleet.job_ids_on('w0')
        carried_out_at_s = fleet.clock.now_s()
        for name in ('w1', 'w2', 'w3'):
            fleet.workers[name].is_draining = False
        await wait_until(lambda: len(starts_of(fleet, 'stray')) == 2)
        assert fleet.clock.now_s() - carried_out_at_s > 10

    run_scenario(scenario)


def test_run_adopted_from_a_stray_start_is_waited_for(
    run_scenario, open_cell, wait_until, job
):
    """A stray start that a leader has adopted must not run beside the next run.

    Its lease is the longest one that the worker grants, whatever the leader
    that has listed the run asks for. That leader resigns at once, and the next
    one never reaches the worker.
    """

    async def scenario(fleet, cell):
        first, _ = await open_cell(fleet, cell)
        await asyncio.sleep(60)
        for name in ('w1', 'w2', 'w3'):
            fleet.workers[name].is_draining = True
        worker = fleet.workers['w0']
        worker.late_starts = 100
        await first.submissions.submit(job('stray', is_lasting=True))
        await wait_until(lambda: worker.delayed)
        first.kill()
        worker.unreachable_from = {'a', 'b', 'c'}
        worker.restart()
        await wait_until(cell.scheduling_daemon)
        second = cell.scheduling_daemon()
        worker.late_starts = 0
        worker.carry_out()
        worker.unreachable_from = set()
        await wait_until(lambda: is_adopted(second, 'stray'))
        await asyncio.sleep(0.1)
        worker.unreachable_from = {'a', 'b', 'c'}
        await second.scheduler.resign()
        second.kill()
        for name in ('w1', 'w2', 'w3'):
            fleet.workers[name].is_draining = False
        await wait_until(lambda: len(starts_of(fleet, 'stray')) == 2)

    run_scenario(scenario)


def is_adopted(daemon, job_id):
    """Tell whether a leader has a run of a job."""
    progress = daemon.scheduler.cluster.jobs.get(job_id)
    return progress is not None and progress.stages[0, 0].tasks[0].run
