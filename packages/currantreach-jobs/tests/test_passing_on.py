"""A daemon that the store turns away lets others write for it."""

from __future__ import annotations

import asyncio

from currantreach_jobs import Outcome


def test_rejected_daemon_accepts_through_another(run_scenario, job, wait_until):
    """Callers of a daemon that the store rejects must still be served."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        leader = cell.start('a')
        await wait_until(lambda: leader.scheduler and leader.scheduler.is_ready)
        rejected = cell.start('b')
        await asyncio.sleep(1)
        rejected.store.is_rejected = True
        response = await rejected.submissions.submit(job('0' * 16))
        assert response.outcome is Outcome.ACCEPTED
        await wait_until(lambda: fleet.done)
        await asyncio.sleep(0.2)
        shown = await rejected.job_queries.state('0' * 16, 'lookups', 'orchard')
        assert shown == 'complete'

    run_scenario(scenario)


def test_rejected_daemon_cancels_through_another(run_scenario, job, wait_until):
    """A cancellation at a daemon that the store rejects must take effect."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 30
        leader = cell.start('a')
        rejected = cell.start('b')
        await leader.submissions.submit(job('1' * 16))
        await wait_until(lambda: fleet.starts)
        deciding, other = (
            (leader, rejected) if leader.scheduler else (rejected, leader)
        )
        other.store.is_rejected = True
        response = await other.submissions.cancel(
            '1' * 16, 'lookups', 'orchard'
        )
        assert response.outcome is Outcome.CANCELLED
        await wait_until(lambda: not worker.running)
        assert deciding.scheduler is not None

    run_scenario(scenario)


def test_rejected_daemon_learns_of_a_new_leader(run_scenario, job, wait_until):
    """A daemon without the store must not ask a leader that has ended."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        hosts = [cell.start('a'), cell.start('b'), cell.start('c')]
        await wait_until(lambda: any(host.scheduler for host in hosts))
        await asyncio.sleep(1)
        first = next(host for host in hosts if host.scheduler)
        rejected, other = (host for host in hosts if host is not first)
        rejected.store.is_rejected = True
        first.kill()
        await wait_until(lambda: other.scheduler and other.scheduler.is_ready)
        await wait_until(
            lambda: (
                rejected.coordinator.leader
                and rejected.coordinator.leader.daemon_id
                == other.coordinator.daemon_id
            ),
        )

    run_scenario(scenario)


def test_refusal_is_true_when_nobody_can_write(run_scenario, job, wait_until):
    """A job that no daemon can store is refused at once and never runs."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        cell.start('b')
        await wait_until(lambda: host.coordinator.leader)
        fleet.store.is_down = True
        response = await host.submissions.submit(job('2' * 16))
        assert response.outcome is Outcome.STORE_UNAVAILABLE
        assert response.retry_after_s > 0
        fleet.store.is_down = False
        await asyncio.sleep(5)
        assert not fleet.starts

    run_scenario(scenario)


def test_isolated_daemon_refuses_at_once(run_scenario, job, wait_until):
    """A daemon in a cut domain must not let each caller wait for timeouts."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        await wait_until(lambda: host.coordinator.leader)
        host.store.is_rejected = True
        await host.submissions.submit(job('3' * 16))
        began_s = fleet.clock.now_s()
        response = await host.submissions.submit(job('4' * 16))
        assert response.outcome is Outcome.STORE_UNAVAILABLE
        assert fleet.clock.now_s() == began_s

    run_scenario(scenario)


def test_silent_store_holds_up_few_callers(run_scenario, job, wait_until):
    """In a cut domain callers waited until their deadlines, one after another.

    A call that finds the store silent tells those after it.
    """

    async def scenario(fleet, cell):
        host = cell.start('a')
        await wait_until(lambda: host.coordinator.leader)
        await asyncio.sleep(1)
        host.store.is_silent = True
        first = asyncio.ensure_future(host.submissions.submit(job('5' * 16)))
        await asyncio.sleep(2.5)
        assert first.done()
        waits_s = []
        for number in range(30):
            began_s = fleet.clock.now_s()
            response = await host.submissions.submit(job(f'{number:016x}'))
            waits_s.append(fleet.clock.now_s() - began_s)
            assert response.outcome is Outcome.STORE_UNAVAILABLE
            await asyncio.sleep(0.1)
        assert max(waits_s) < 0.1
        host.store.is_silent = False
        await asyncio.sleep(3)
        response = await host.submissions.submit(job('6' * 16))
        assert response.outcome is Outcome.ACCEPTED

    run_scenario(scenario)
