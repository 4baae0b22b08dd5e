"""Takeovers after kills: how soon a successor leads and which ends count.

Many daemons are killed or lose power at once, with thousands of jobs in the
store.
"""

from __future__ import annotations

import asyncio
import itertools

import attrs
import pytest

from currantreach_jobs import EndKind, Outcome
from currantreach_jobs._records import decode_job, job_key
from currantreach_types.errors import OutcomeUnknownError

LIST_DELAY_S = 1.5
PAYLOAD_LENGTH = 4000


def test_restarted_leader_revokes_its_old_lease(run_scenario, job, wait_until):
    """A restarted leader must not wait until its old lease has expired."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        daemon.kill()
        began_s = fleet.clock.now_s()
        successor = cell.start('a')
        await wait_until(
            lambda: successor.scheduler and successor.scheduler.is_ready
        )
        assert fleet.clock.now_s() - began_s < 0.5

    run_scenario(scenario)


def test_other_host_waits_for_leader_lease(run_scenario, job, wait_until):
    """A daemon must not revoke the lease of a leader on another host.

    Only the host of a leader can know that its process has ended.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        scheduler = daemon.scheduler
        cell.start('b')
        await asyncio.sleep(5)
        assert daemon.scheduler is scheduler
        assert not scheduler.leadership.is_over

    run_scenario(scenario)


def test_worker_leases_are_renewed_during_recovery(
    run_scenario, job, wait_until
):
    """Leases must not expire while a successor reads thousands of jobs."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        first = cell.start('a')
        other = cell.start('b')
        await wait_until(lambda: first.scheduler or other.scheduler)
        leader, idle = (first, other) if first.scheduler else (other, first)
        await wait_until(lambda: leader.scheduler.is_ready)
        await asyncio.sleep(3)
        await leader.submissions.submit(job('1' * 16, count=2))
        await wait_until(lambda: len(fleet.starts) == 2)
        leader.kill()
        worker = fleet.workers['w1']
        deadline_ms = worker.deadline_ms
        fleet.store.list_delay_s = LIST_DELAY_S
        await wait_until(lambda: idle.scheduler)
        await wait_until(lambda: worker.deadline_ms > deadline_ms, 1)
        assert not idle.scheduler.is_ready
        await wait_until(lambda: idle.scheduler.is_ready)
        elected_at_s = idle.scheduler.leadership.acquired_at_s
        jobs = idle.scheduler.cluster.jobs
        await wait_until(lambda: jobs['1' * 16].state == 'complete')
        assert fleet.clock.now_s() - elected_at_s < LIST_DELAY_S + 0.5
        assert len(fleet.starts) == 2

    run_scenario(scenario)


def test_ends_count_after_restart_of_all_daemons(run_scenario, job, wait_until):
    """After a power loss, ends must count also on workers without runs.

    These workers, two fifths of the fleet, were not used for six seconds.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 1
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await asyncio.sleep(3)
        await daemon.submissions.submit(job('3' * 16, count=2))
        await wait_until(lambda: len(fleet.starts) == 2)
        daemon.kill()
        await asyncio.sleep(1.5)
        successor = cell.start('b')
        await wait_until(
            lambda: successor.scheduler and successor.scheduler.is_ready
        )
        jobs = successor.scheduler.cluster.jobs
        await wait_until(lambda: jobs['3' * 16].state == 'complete', 1)
        assert len(fleet.starts) == 2

    run_scenario(scenario)


def test_end_before_lease_expiry_counts(run_scenario, job, wait_until):
    """A task that was done before its lease expired must not run again."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 1
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await asyncio.sleep(3)
        await daemon.submissions.submit(job('4' * 16))
        await wait_until(lambda: fleet.starts)
        daemon.kill()
        await asyncio.sleep(9)
        fleet.workers['w1'].advance()
        assert fleet.lease_expirations
        successor = cell.start('b')
        await wait_until(
            lambda: successor.scheduler and successor.scheduler.is_ready
        )
        jobs = successor.scheduler.cluster.jobs
        await wait_until(lambda: jobs['4' * 16].state == 'complete', 1)
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_ended_job_is_stored_without_payload(run_scenario, job, wait_until):
    """A successor must not have to read the payloads of ended jobs."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        first = attrs.evolve(job('2' * 16), payload='x' * PAYLOAD_LENGTH)
        await daemon.submissions.submit(first)
        await wait_until(lambda: fleet.done)
        await asyncio.sleep(0.5)
        stored = fleet.store.keys[job_key('2' * 16)].stored
        assert len(stored) < PAYLOAD_LENGTH / 10
        assert decode_job(stored).queue == first.queue
        repeated = await daemon.submissions.submit(first)
        assert repeated.outcome is Outcome.ACCEPTED
        daemon.kill()
        successor = cell.start('b')
        await wait_until(
            lambda: successor.scheduler and successor.scheduler.is_ready
        )
        shown = await successor.job_queries.state(
            '2' * 16, 'lookups', 'orchard'
        )
        assert shown == 'complete'
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_lost_renewal_answers_keep_the_leader(run_scenario, wait_until):
    """A renewal whose answer is lost must not delay the next one.

    With a delay until the timeout and a third of the answers lost, the leader
    changed again and again.
    """

    async def scenario(fleet, cell):
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        renew = daemon.store.renew_lease
        numbers = itertools.count()

        async def renew_without_answer(lease_id):
            await renew(lease_id)
            if lease_id == daemon.coordinator.lease_id and next(numbers) % 3:
                await asyncio.sleep(0.8)
                raise OutcomeUnknownError('no answer')

        daemon.store.renew_lease = renew_without_answer
        leadership = daemon.scheduler.leadership
        for _ in range(200):
            await asyncio.sleep(0.05)
            assert leadership.can_start_runs(fleet.clock.now_s())

    run_scenario(scenario)


def test_isolated_leader_is_replaced_soon(run_scenario, wait_until):
    """An isolated leader must be replaced in two seconds; it took three."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        other = cell.start('b')
        await asyncio.sleep(2)
        daemon.store.is_rejected = True
        isolated_at_s = fleet.clock.now_s()
        await wait_until(lambda: other.scheduler and other.scheduler.is_ready)
        assert fleet.clock.now_s() - isolated_at_s < 2

    run_scenario(scenario)


@pytest.mark.parametrize('delay_s', [0.02, 0.1, 0.3, 0.45])
def test_failure_is_counted_once(run_scenario, job, wait_until, delay_s):
    """A failed run that its worker still lists must be counted once.

    The task ran again on the same worker, so the successor attributed the
    earlier end to the run that it knew, and the job failed too soon.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        worker.fails = True
        fleet.work_s = 0.5
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await wait_until(lambda: 'w1' in daemon.scheduler._sessions)
        session = daemon.scheduler._sessions['w1']
        session._acknowledge_ends = lambda: asyncio.sleep(0.02)
        await daemon.submissions.submit(job('5' * 16))
        await wait_until(lambda: len(fleet.starts) == 2)
        await asyncio.sleep(delay_s)
        daemon.kill()
        worker.fails = False
        for run in worker.running.values():
            run.kind = EndKind.DONE
        successor = cell.start('a')
        await wait_until(
            lambda: successor.scheduler and successor.scheduler.is_ready
        )
        jobs = successor.scheduler.cluster.jobs
        await wait_until(lambda: jobs['5' * 16].state.is_final)
        assert jobs['5' * 16].state == 'complete'

    run_scenario(scenario)


def test_worker_lost_after_takeover_is_given_up_after_one_lease(
    run_scenario,
    job,
    wait_until,
):
    """A successor must not wait for a leader that it has fenced off.

    Tasks of a worker that was lost right after its adoption were not restarted
    for 15 s, on a fleet with free resources.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 60
        daemon = cell.start('a')
        await daemon.submissions.submit(job('6' * 16))
        await wait_until(lambda: fleet.starts)
        daemon.kill()
        successor = cell.start('a')
        await wait_until(
            lambda: successor.scheduler and successor.scheduler._sessions
        )
        await wait_until(lambda: successor.scheduler._sessions['w1'].is_adopted)
        fleet.add('w2')
        worker.silent = True
        lost_at_s = fleet.clock.now_s()
        await wait_until(lambda: len(fleet.starts) == 2)
        waited_s = fleet.clock.now_s() - lost_at_s
        settings = cell.settings
        # The last hold is sent after the one before has waited for an end.
        last_hold_s = settings.long_poll_s + 1
        assert waited_s < settings.max_lease_s + last_hold_s

    run_scenario(scenario)


# A worker may be lost four seconds before the load ends; after that each job
# has 14 s to continue.
LOST_WORKER_BOUND_S = 4 + 14


def test_takeover_does_not_double_the_wait_for_a_lost_worker(
    run_scenario,
    job,
    wait_until,
):
    """A change of the leader must not restart the wait for a lost worker.

    With leases of 8 s and 4 s of grace the task was not restarted for 22 s.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 60
        daemon = cell.start('a')
        await daemon.submissions.submit(job('7' * 16))
        await wait_until(lambda: fleet.starts)
        fleet.add('w2')
        worker.silent = True
        lost_at_s = fleet.clock.now_s()
        await asyncio.sleep(cell.settings.max_lease_s)
        assert len(fleet.starts) == 1
        daemon.kill()
        cell.start('a')
        await wait_until(lambda: len(fleet.starts) == 2)
        assert fleet.clock.now_s() - lost_at_s < LOST_WORKER_BOUND_S

    run_scenario(scenario)
