"""A daemon that the store turns away lets others write for it."""

from __future__ import annotations

import asyncio

from currantreach_jobs import Outcome


def test_rejected_daemon_accepts_through_another(play, job, wait_until):
    """Callers of a daemon that the store rejects must still be served."""

    async def scenario(fleet, site):
        fleet.add('w1')
        leader = site.start('a')
        await wait_until(lambda: leader.master and leader.master.is_ready)
        rejected = site.start('b')
        await asyncio.sleep(1)
        rejected.store.is_rejected = True
        verdict = await rejected.intake.submit(job('0' * 16))
        assert verdict.outcome is Outcome.ACCEPTED
        await wait_until(lambda: fleet.done)
        await asyncio.sleep(0.2)
        shown = await rejected.answers.state('0' * 16, 'lookups', 'orchard')
        assert shown == 'complete'

    play(scenario)


def test_rejected_daemon_cancels_through_another(play, job, wait_until):
    """A cancellation at a daemon that the store rejects must take effect."""

    async def scenario(fleet, site):
        worker = fleet.add('w1')
        fleet.work_s = 30
        leader = site.start('a')
        rejected = site.start('b')
        await leader.intake.submit(job('1' * 16))
        await wait_until(lambda: fleet.starts)
        deciding, other = (
            (leader, rejected) if leader.master else (rejected, leader)
        )
        other.store.is_rejected = True
        verdict = await other.intake.cancel('1' * 16, 'lookups', 'orchard')
        assert verdict.outcome is Outcome.CANCELLED
        await wait_until(lambda: not worker.running)
        assert deciding.master is not None

    play(scenario)


def test_rejected_daemon_learns_of_a_new_leader(play, job, wait_until):
    """A daemon without the store must not ask a leader that has ended."""

    async def scenario(fleet, site):
        fleet.add('w1')
        hosts = [site.start('a'), site.start('b'), site.start('c')]
        await wait_until(lambda: any(host.master for host in hosts))
        await asyncio.sleep(1)
        first = next(host for host in hosts if host.master)
        rejected, other = (host for host in hosts if host is not first)
        rejected.store.is_rejected = True
        first.kill()
        await wait_until(lambda: other.master and other.master.is_ready)
        await wait_until(
            lambda: (
                rejected.cell.leader
                and rejected.cell.leader.daemon_id == other.cell.daemon_id
            ),
        )

    play(scenario)


def test_refusal_is_true_when_nobody_can_write(play, job, wait_until):
    """A job that no daemon can store is refused at once and never runs."""

    async def scenario(fleet, site):
        fleet.add('w1')
        host = site.start('a')
        site.start('b')
        await wait_until(lambda: host.cell.leader)
        fleet.store.is_down = True
        verdict = await host.intake.submit(job('2' * 16))
        assert verdict.outcome is Outcome.STORE_UNAVAILABLE
        assert verdict.retry_after_s > 0
        fleet.store.is_down = False
        await asyncio.sleep(5)
        assert not fleet.starts

    play(scenario)


def test_isolated_daemon_refuses_at_once(play, job, wait_until):
    """A daemon in a cut domain must not let each caller wait for timeouts."""

    async def scenario(fleet, site):
        fleet.add('w1')
        host = site.start('a')
        await wait_until(lambda: host.cell.leader)
        host.store.is_rejected = True
        await host.intake.submit(job('3' * 16))
        began_s = fleet.clock.now_s()
        verdict = await host.intake.submit(job('4' * 16))
        assert verdict.outcome is Outcome.STORE_UNAVAILABLE
        assert fleet.clock.now_s() == began_s

    play(scenario)


def test_silent_store_holds_up_few_callers(play, job, wait_until):
    """In a cut domain callers waited until their deadlines, one after another.

    A call that finds the store silent tells those after it.
    """

    async def scenario(fleet, site):
        host = site.start('a')
        await wait_until(lambda: host.cell.leader)
        await asyncio.sleep(1)
        host.store.is_silent = True
        first = asyncio.ensure_future(host.intake.submit(job('5' * 16)))
        await asyncio.sleep(2.5)
        assert first.done()
        waits_s = []
        for number in range(30):
            began_s = fleet.clock.now_s()
            verdict = await host.intake.submit(job(f'{number:016x}'))
            waits_s.append(fleet.clock.now_s() - began_s)
            assert verdict.outcome is Outcome.STORE_UNAVAILABLE
            await asyncio.sleep(0.1)
        assert max(waits_s) < 0.1
        host.store.is_silent = False
        await asyncio.sleep(3)
        verdict = await host.intake.submit(job('6' * 16))
        assert verdict.outcome is Outcome.ACCEPTED

    play(scenario)
