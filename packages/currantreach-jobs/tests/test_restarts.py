"""Takeovers after kills: how soon a successor decides, and what it trusts.

Pattern: many daemons are killed or lose power at once in the middle of a
day, with thousands of jobs in the store.
"""

from __future__ import annotations

import asyncio
import itertools

import attrs
import pytest

from currantreach_jobs import EndKind, Outcome
from currantreach_jobs._records import decode_job, job_key
from currantreach_types.errors import LostAnswerError

_PAGE_S = 1.5
BIG = 4000


def test_restarted_leader_ends_its_own_record(run_scenario, job, wait_until):
    """The lead stayed vacant until the lease of a dead process ran out."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        host.kill()
        began_s = fleet.clock.now_s()
        again = cell.start('a')
        await wait_until(lambda: again.scheduler and again.scheduler.is_ready)
        assert fleet.clock.now_s() - began_s < 0.5

    run_scenario(scenario)


def test_other_host_waits_for_the_lease(run_scenario, job, wait_until):
    """Only the host of a leader knows that it is dead."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        leading = host.scheduler
        cell.start('b')
        await asyncio.sleep(5)
        assert host.scheduler is leading
        assert not leading.leadership.is_over

    run_scenario(scenario)


def test_workers_are_held_while_jobs_are_read(run_scenario, job, wait_until):
    """Reading thousands of jobs took longer than the leases had left."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        first = cell.start('a')
        other = cell.start('b')
        await wait_until(lambda: first.scheduler or other.scheduler)
        deciding, idle = (first, other) if first.scheduler else (other, first)
        await wait_until(lambda: deciding.scheduler.is_ready)
        await asyncio.sleep(3)
        await deciding.submissions.submit(job('1' * 16, count=2))
        await wait_until(lambda: len(fleet.starts) == 2)
        deciding.kill()
        worker = fleet.workers['w1']
        held_until_ms = worker.deadline_ms
        fleet.store.list_delay_s = _PAGE_S
        await wait_until(lambda: idle.scheduler)
        await wait_until(lambda: worker.deadline_ms > held_until_ms, 1)
        assert not idle.scheduler.is_ready
        await wait_until(lambda: idle.scheduler.is_ready)
        took = idle.scheduler.leadership.acquired_at_s
        jobs = idle.scheduler.cluster.jobs
        await wait_until(lambda: jobs['1' * 16].state == 'complete')
        assert fleet.clock.now_s() - took < _PAGE_S + 0.5
        assert len(fleet.starts) == 2

    run_scenario(scenario)


def test_restart_of_all_trusts_the_ends(run_scenario, job, wait_until):
    """After a power loss ends counted only on workers that still ran tasks.

    The others were left alone for six seconds, two fifths of the fleet.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 1
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        await asyncio.sleep(3)
        await host.submissions.submit(job('3' * 16, count=2))
        await wait_until(lambda: len(fleet.starts) == 2)
        host.kill()
        await asyncio.sleep(1.5)
        again = cell.start('b')
        await wait_until(lambda: again.scheduler and again.scheduler.is_ready)
        jobs = again.scheduler.cluster.jobs
        await wait_until(lambda: jobs['3' * 16].state == 'complete', 1)
        assert len(fleet.starts) == 2

    run_scenario(scenario)


def test_end_listed_before_a_lapse_counts(run_scenario, job, wait_until):
    """Work that was done before a lease ran out was done a second time."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 1
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        await asyncio.sleep(3)
        await host.submissions.submit(job('4' * 16))
        await wait_until(lambda: fleet.starts)
        host.kill()
        await asyncio.sleep(9)
        fleet.workers['w1'].step()
        assert fleet.lapses
        again = cell.start('b')
        await wait_until(lambda: again.scheduler and again.scheduler.is_ready)
        jobs = again.scheduler.cluster.jobs
        await wait_until(lambda: jobs['4' * 16].state == 'complete', 1)
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_ended_job_keeps_its_id_only(run_scenario, job, wait_until):
    """A successor had to read the payloads of all jobs of the last minutes."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        first = attrs.evolve(job('2' * 16), payload='x' * BIG)
        await host.submissions.submit(first)
        await wait_until(lambda: fleet.done)
        await asyncio.sleep(0.5)
        stored = fleet.store.keys[job_key('2' * 16)].stored
        assert len(stored) < BIG / 10
        assert decode_job(stored).queue == first.queue
        again = await host.submissions.submit(first)
        assert again.outcome is Outcome.ACCEPTED
        host.kill()
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


def test_lost_renewals_cost_no_lead(run_scenario, wait_until):
    """A renewal whose answer is lost held up the next one until its deadline.

    With a third of the answers lost the lead changed hands again and again.
    """

    async def scenario(fleet, cell):
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        renew = host.store.renew_lease
        numbers = itertools.count()

        async def renew_unheard(lease_id):
            await renew(lease_id)
            if lease_id == host.coordinator.lease_id and next(numbers) % 3:
                await asyncio.sleep(0.8)
                raise LostAnswerError('no answer')

        host.store.renew_lease = renew_unheard
        leadership = host.scheduler.leadership
        for _ in range(200):
            await asyncio.sleep(0.05)
            assert leadership.can_start_runs(fleet.clock.now_s())

    run_scenario(scenario)


def test_lead_of_a_silent_host_is_taken_soon(run_scenario, wait_until):
    """A leader that is cut off kept everything waiting for three seconds."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        other = cell.start('b')
        await asyncio.sleep(2)
        host.store.is_rejected = True
        cut_at_s = fleet.clock.now_s()
        await wait_until(lambda: other.scheduler and other.scheduler.is_ready)
        assert fleet.clock.now_s() - cut_at_s < 2

    run_scenario(scenario)


@pytest.mark.parametrize('delay_s', [0.02, 0.1, 0.3, 0.45])
def test_failure_is_counted_once(run_scenario, job, wait_until, delay_s):
    """A failed run that its worker still lists was counted by two leaders.

    The task ran again on the same worker, so the successor took the earlier
    end for that of the run that it knew of, and the job failed too soon.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        worker.fails = True
        fleet.work_s = 0.5
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        await wait_until(lambda: 'w1' in host.scheduler._sessions)
        session = host.scheduler._sessions['w1']
        session._acknowledge = lambda: asyncio.sleep(0.02)
        await host.submissions.submit(job('5' * 16))
        await wait_until(lambda: len(fleet.starts) == 2)
        await asyncio.sleep(delay_s)
        host.kill()
        worker.fails = False
        for run in worker.running.values():
            run.kind = EndKind.DONE
        again = cell.start('a')
        await wait_until(lambda: again.scheduler and again.scheduler.is_ready)
        jobs = again.scheduler.cluster.jobs
        await wait_until(lambda: jobs['5' * 16].state.is_final)
        assert jobs['5' * 16].state == 'complete'

    run_scenario(scenario)


def test_worker_lost_after_a_takeover_is_not_waited_for_twice(
    run_scenario,
    job,
    wait_until,
):
    """A successor waited for the earlier leader though it had fenced it off.

    Tasks of a worker that was lost right after its adoption stood still for
    15 s on a fleet with room.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 60
        host = cell.start('a')
        await host.submissions.submit(job('6' * 16))
        await wait_until(lambda: fleet.starts)
        host.kill()
        again = cell.start('a')
        await wait_until(lambda: again.scheduler and again.scheduler._sessions)
        await wait_until(lambda: again.scheduler._sessions['w1'].is_adopted)
        fleet.add('w2')
        worker.silent = True
        lost_at_s = fleet.clock.now_s()
        await wait_until(lambda: len(fleet.starts) == 2)
        waited_s = fleet.clock.now_s() - lost_at_s
        settings = cell.settings
        # The last hold is sent when the one before has waited for an end.
        last_hold_s = settings.long_poll_s + 1
        assert waited_s < settings.max_lease_s + last_hold_s

    run_scenario(scenario)


# A worker that is lost four seconds before the load ends, and the time after
# it in which each job has to go on.
LOST_WORKER_BOUND_S = 4 + 14


def test_takeover_does_not_double_the_wait_for_a_lost_worker(
    run_scenario,
    job,
    wait_until,
):
    """A change of the leader starts the wait for a lost worker anew.

    With leases of 8 s and 4 s of grace the task stood still for 22 s.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 60
        host = cell.start('a')
        await host.submissions.submit(job('7' * 16))
        await wait_until(lambda: fleet.starts)
        fleet.add('w2')
        worker.silent = True
        lost_at_s = fleet.clock.now_s()
        await asyncio.sleep(cell.settings.max_lease_s)
        assert len(fleet.starts) == 1
        host.kill()
        cell.start('a')
        await wait_until(lambda: len(fleet.starts) == 2)
        assert fleet.clock.now_s() - lost_at_s < LOST_WORKER_BOUND_S

    run_scenario(scenario)
