"""Orders meant for one process of a worker that reach a later one.

The deadline of an order is a reading of the clock of one process. If the clock
of the next one is behind, the lease lasts as long as the worker permits.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import JobSettings

STRAY_JOB = '0' * 16
LATER_JOB = '1' * 16


async def send_stray_start(daemon, worker, job, wait_until):
    """Send a start order that stays on its way while the worker restarts."""
    worker.late_starts = 1
    await daemon.submissions.submit(job(STRAY_JOB))
    await wait_until(lambda: worker.delayed)
    worker.restart()


async def lose(fleet, worker, task_count):
    """Cut a worker off for good and wait until its tasks run elsewhere."""
    worker.silent = True
    fleet.add('w2')
    async with asyncio.timeout(20):
        while len(fleet.workers['w2'].running) < task_count:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize('arrival_s', [0.1, 0.4])
def test_stray_order_before_restart_is_noticed_causes_no_second_run(
    run_scenario, start_cell, job, wait_until, arrival_s
):
    """A task of a restarted worker must not run twice after its loss.

    The leader waited for the lease that it had asked for, and the worker kept
    the longer one of an order that was meant for its former process.
    """

    async def scenario(fleet, cell):
        daemon, worker = await start_cell(fleet, cell)
        await send_stray_start(daemon, worker, job, wait_until)
        await asyncio.sleep(arrival_s)
        worker.carry_out()
        await wait_until(lambda: STRAY_JOB in fleet.job_ids_on('w1'))
        await daemon.submissions.submit(job(LATER_JOB))
        await wait_until(lambda: LATER_JOB in fleet.job_ids_on('w1'))
        await lose(fleet, worker, 2)

    run_scenario(scenario)


@pytest.mark.parametrize('arrival_s', [3, 6])
def test_stray_order_after_restart_is_noticed_has_no_effect(
    run_scenario, start_cell, job, wait_until, arrival_s
):
    """A restarted worker must refuse orders meant for its former process.

    They carried the same fencing token as the orders for the new process. One
    of them still extended the lease seconds later, and no wait covered that.
    """

    async def scenario(fleet, cell):
        daemon, worker = await start_cell(fleet, cell)
        await send_stray_start(daemon, worker, job, wait_until)
        await daemon.submissions.submit(job(LATER_JOB))
        await wait_until(lambda: len(worker.running) == 2)
        daemon.scheduler.cluster.cancel(STRAY_JOB)
        await asyncio.sleep(arrival_s)
        deadline_ms = worker.deadline_ms
        worker.carry_out()
        assert worker.deadline_ms == deadline_ms
        await lose(fleet, worker, 1)

    run_scenario(scenario)


@pytest.mark.parametrize('arrival_s', [0.1, 0.6])
def test_stray_start_on_worker_that_never_answers_again_is_waited_for(
    run_scenario, start_cell, job, wait_until, arrival_s
):
    """A start without an answer must not run twice if its worker is cut off.

    It may have reached a process that the leader never hears of, where its
    lease is longer than the one that the leader has asked for.
    """

    async def scenario(fleet, cell):
        daemon, worker = await start_cell(fleet, cell)
        await send_stray_start(daemon, worker, job, wait_until)
        worker.silent = True
        await asyncio.sleep(arrival_s)
        worker.carry_out()
        assert STRAY_JOB in fleet.job_ids_on('w1')
        await lose(fleet, worker, 1)

    run_scenario(scenario)


def test_listed_run_of_lost_worker_waits_for_its_own_lease_only(
    run_scenario, start_cell, job, wait_until
):
    """A run that a lost worker had listed must not wait for stray orders.

    All tasks of a failure domain would wait for the limit of the workers.
    """

    async def scenario(fleet, cell):
        daemon, worker = await start_cell(fleet, cell)
        await daemon.submissions.submit(job(LATER_JOB))
        await wait_until(lambda: LATER_JOB in fleet.job_ids_on('w1'))
        await asyncio.sleep(cell.settings.long_poll_s * 2)
        lost_at_s = fleet.clock.now_s()
        await lose(fleet, worker, 1)
        waited_s = fleet.clock.now_s() - lost_at_s
        # The last call waits for an end, and is repeated once.
        detection_s = cell.settings.long_poll_s + 1
        assert waited_s < cell.settings.max_lease_s + detection_s

    run_scenario(scenario)


def test_successor_waits_for_stray_orders_of_its_predecessor(
    run_scenario, start_cell, job, wait_until
):
    """A change of the leader must not shorten the wait for a stray order.

    The successor took the lease that leaders ask for as the bound of all leases
    that the worker had before its first answer.
    """

    async def scenario(fleet, cell):
        daemon, worker = await start_cell(fleet, cell)
        await send_stray_start(daemon, worker, job, wait_until)
        daemon.kill()
        worker.unreachable_from = {'b'}
        successor = cell.start('b')
        await wait_until(
            lambda: successor.scheduler and successor.scheduler.is_ready
        )
        worker.carry_out()
        worker.unreachable_from = set()
        await successor.submissions.submit(job(LATER_JOB))
        await wait_until(lambda: LATER_JOB in fleet.job_ids_on('w1'))
        await lose(fleet, worker, 2)

    run_scenario(scenario)


@pytest.mark.parametrize('limit_s', [6, 10, 30])
def test_inherited_leases_cover_stray_orders(limit_s):
    """A worker that never answers a successor may hold the longest lease.

    The bound must not depend on how the limit compares with a takeover.
    """
    settings = attrs.evolve(JobSettings(), lease_limit_s=limit_s)
    # An earlier leader whose record was dropped early sends starts, and renews
    # leases, until the end of its own.
    latest_order_s = settings.leader_lease_s
    assert settings.inherited_stray_lease_s >= (
        latest_order_s + settings.stray_lease_s
    )
    for inherited_s in (
        settings.inherited_lease_s,
        settings.inherited_stray_lease_s,
    ):
        assert inherited_s >= latest_order_s + settings.max_lease_s


def test_first_answer_of_restarted_worker_covers_stray_orders(
    run_scenario, start_cell, job, wait_until
):
    """A release from before a restart must not bound the leases after it.

    A successor inherited the wait for a silent worker, which then answered. By
    then an order for its former process had extended the lease.
    """

    async def scenario(fleet, cell):
        daemon, worker = await start_cell(fleet, cell)
        worker.silent = True
        releases = daemon.scheduler._releases
        await wait_until(lambda: not releases.can_send_orders('w1'))
        await asyncio.sleep(cell.settings.run_lease_s)
        daemon.kill()
        successor = cell.start('b')
        await wait_until(
            lambda: successor.scheduler and successor.scheduler.is_ready
        )
        former_clock_ms = worker.clock_ms()
        worker.restart()
        worker.hold(0, 0, former_clock_ms)
        worker.silent = False
        await successor.submissions.submit(job(LATER_JOB))
        await wait_until(lambda: LATER_JOB in fleet.job_ids_on('w1'))
        await lose(fleet, worker, 1)

    run_scenario(scenario)
