"""Jobs through takeovers, outages and late orders, on virtual time."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import JobSettings, Outcome, Team
from currantreach_jobs._records import (
    Placement,
    ProgressRecord,
    StageRecord,
    encode_job,
    job_key,
    progress_key,
)
from currantreach_platform import Write
from currantreach_types import Resources, encode_msgpack


def states(daemon):
    """Return the states of all jobs that a leader knows."""
    return {
        name: job.state for name, job in daemon.scheduler.cluster.jobs.items()
    }


def test_job_runs_once_and_completes(run_scenario, job, wait_until):
    """An accepted job runs once and is then reported as complete."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        response = await daemon.submissions.submit(job('0' * 16, count=3))
        assert response.outcome is Outcome.ACCEPTED
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await wait_until(lambda: len(fleet.done) == 3)
        await asyncio.sleep(0.2)
        shown = await daemon.job_queries.state('0' * 16, 'lookups', 'orchard')
        assert shown == 'complete'
        assert len(fleet.starts) == 3

    run_scenario(scenario)


@pytest.mark.parametrize('delay_s', [0.05, 0.2, 0.45, 0.49, 0.55])
def test_successor_reruns_no_ended_task(run_scenario, job, wait_until, delay_s):
    """A successor must not rerun a task that ended while nobody led.

    The end of a run arrived right after its adoption and was treated as one
    after an expired lease, so the task ran a second time.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 3
        first = cell.start('a')
        second = cell.start('b')
        await first.submissions.submit(job('1' * 16, count=2))
        await wait_until(lambda: len(fleet.starts) == 2)
        await asyncio.sleep(delay_s)
        leader = first if first.scheduler else second
        other = second if first.scheduler else first
        leader.kill()
        await wait_until(lambda: other.scheduler and other.scheduler.is_ready)
        await wait_until(lambda: states(other)['1' * 16] == 'complete')
        assert len(fleet.starts) == 2

    run_scenario(scenario)


def test_power_loss_of_all_daemons_loses_no_job(run_scenario, job, wait_until):
    """A job that is accepted just before all daemons end must still run."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        response = await daemon.submissions.submit(job('2' * 16))
        assert response.outcome is Outcome.ACCEPTED
        daemon.kill()
        successor = cell.start('b')
        await wait_until(lambda: fleet.done)
        await wait_until(lambda: states(successor)['2' * 16] == 'complete')

    run_scenario(scenario)


def test_tasks_of_silent_worker_wait_for_its_lease(
    run_scenario, job, wait_until
):
    """Tasks of a silent worker may run elsewhere only after its lease ended."""

    async def scenario(fleet, cell):
        silent = fleet.add('w1')
        fleet.work_s = 4
        daemon = cell.start('a')
        await daemon.submissions.submit(job('3' * 16))
        await wait_until(lambda: fleet.starts)
        fleet.add('w2')
        silent.silent = True
        await wait_until(lambda: fleet.done, timeout_s=60)
        await wait_until(lambda: states(daemon)['3' * 16] == 'complete', 60)

    run_scenario(scenario)


def test_late_start_runs_task_once(run_scenario, job, wait_until):
    """A start that takes effect late must not run beside another one."""

    async def scenario(fleet, cell):
        late = fleet.add('w1')
        late.late_starts = 3
        daemon = cell.start('a')
        await daemon.submissions.submit(job('4' * 16))
        await wait_until(lambda: not late.late_starts)
        fleet.add('w2')
        await asyncio.sleep(2)
        late.carry_out()
        await wait_until(lambda: fleet.done)
        await asyncio.sleep(5)
        assert sum(fleet.done.values()) == 1

    run_scenario(scenario)


def test_store_outage_ends_no_run(run_scenario, job, wait_until):
    """A store outage of some seconds must not end runs."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 6
        daemon = cell.start('a')
        await daemon.submissions.submit(job('5' * 16))
        await wait_until(lambda: fleet.starts)
        fleet.store.is_down = True
        refused = await daemon.submissions.submit(job('6' * 16))
        assert refused.outcome is Outcome.STORE_UNAVAILABLE
        assert refused.retry_after_s > 0
        await asyncio.sleep(5)
        fleet.store.is_down = False
        await wait_until(lambda: fleet.done)
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_lost_answer_of_a_write_keeps_the_leader(run_scenario, job, wait_until):
    """A leader must recognise its own write after a lost answer.

    Otherwise it takes the write for that of another leader and resigns.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await daemon.submissions.submit(job('7' * 16, count=4))
        await wait_until(lambda: len(fleet.starts) == 4)
        fleet.store.lost = 2
        await wait_until(lambda: states(daemon)['7' * 16] == 'complete')
        assert daemon.scheduler.leadership.epoch == 1

    run_scenario(scenario)


def test_repeated_id_is_one_job(run_scenario, job, wait_until):
    """Submissions of one id are one job, at other daemons and later too."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        first = cell.start('a')
        second = cell.start('b')
        verdicts = await asyncio.gather(
            first.submissions.submit(job('8' * 16)),
            second.submissions.submit(job('8' * 16)),
            second.submissions.submit(job('8' * 16)),
        )
        assert {response.outcome for response in verdicts} == {Outcome.ACCEPTED}
        await wait_until(lambda: fleet.done)
        later = await first.submissions.submit(job('8' * 16))
        assert later.outcome is Outcome.ACCEPTED
        await asyncio.sleep(2)
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_cancelled_job_stops(run_scenario, job, wait_until):
    """All runs of a cancelled job must stop soon."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 20
        daemon = cell.start('a')
        await daemon.submissions.submit(job('9' * 16, count=4))
        await wait_until(lambda: len(fleet.starts) == 4)
        response = await daemon.submissions.cancel(
            '9' * 16, 'lookups', 'orchard'
        )
        assert response.outcome is Outcome.CANCELLED
        await asyncio.sleep(1)
        assert not worker.running
        shown = await daemon.job_queries.state('9' * 16, 'lookups', 'orchard')
        assert shown == 'cancelled'

    run_scenario(scenario)


def test_cancelled_runs_still_use_capacity(run_scenario, job, wait_until):
    """A successor must count the resources of runs that it stops.

    After a takeover the runs of a cancelled job were being stopped, but their
    resources counted as free and the worker was overcommitted.
    """
    whole_worker = Resources(cpu_milli=16000, memory_mib=1000)

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        worker.stop_s = 1
        fleet.work_s = 30
        first = cell.start('a')
        second = cell.start('b')
        await first.submissions.submit(job('a' * 16, needed=whole_worker))
        await wait_until(lambda: fleet.starts)
        leader = first if first.scheduler else second
        other = second if first.scheduler else first
        leader.kill()
        await other.submissions.cancel('a' * 16, 'lookups', 'orchard')
        await other.submissions.submit(job('b' * 16, needed=whole_worker))
        await wait_until(lambda: len(fleet.starts) == 2)
        assert not fleet.overcommitted

    run_scenario(scenario)


def test_silent_worker_delays_only_its_own_tasks(run_scenario, job, wait_until):
    """After a takeover a silent worker must not delay all other tasks.

    Every task that was open at a takeover waited for the leases of all
    unreachable workers, 12 s when a failure domain was partitioned.
    """
    whole_worker = Resources(cpu_milli=16000, memory_mib=1000)

    async def scenario(fleet, cell):
        silent = fleet.add('w1')
        fleet.work_s = 1
        first = cell.start('a')
        second = cell.start('b')
        await first.submissions.submit(job('c' * 16, needed=whole_worker))
        await wait_until(lambda: fleet.starts)
        await first.submissions.submit(job('d' * 16, needed=whole_worker))
        silent.silent = True
        fleet.add('w2')
        leader = first if first.scheduler else second
        other = second if first.scheduler else first
        leader.kill()
        await wait_until(lambda: other.scheduler and other.scheduler.is_ready)
        await wait_until(lambda: len(fleet.starts) == 2, timeout_s=3)
        assert fleet.starts[1][1].task.job_id == 'd' * 16
        await wait_until(lambda: states(other)['c' * 16] == 'complete', 60)

    run_scenario(scenario)


def test_host_with_more_capacity_leads(run_scenario, wait_until):
    """A host with little bandwidth must not lead beside a better one.

    In a large deployment a host with half a core and 5 Mbit/s became the
    leader and could not keep up.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        cell.settings = attrs.evolve(cell.settings, link_mbps=5)
        weak = cell.start('weak')
        cell.settings = JobSettings(core_count=2)
        strong = cell.start('strong')
        await wait_until(lambda: strong.scheduler or weak.scheduler)
        assert strong.scheduler is not None
        strong.kill()
        await wait_until(lambda: weak.scheduler)
        restarted = cell.start('again')
        await wait_until(lambda: restarted.scheduler)

    run_scenario(scenario)


def test_placement_on_removed_worker_is_released(run_scenario, job, wait_until):
    """A task that is placed on a removed worker must run elsewhere.

    A leader removed the worker and ended before it had written the record of
    the task again; its successor waited for that worker forever.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        placed = StageRecord(
            placed={0: Placement('gone', 1), 1: Placement('gone', 1)}
        )
        await fleet.store.commit(
            {},
            [
                Write(
                    key=job_key('e' * 16),
                    stored=encode_job(job('e' * 16, count=2)),
                ),
                Write(
                    key=progress_key('e' * 16),
                    stored=encode_msgpack(
                        ProgressRecord(stages={'0.0': placed})
                    ),
                ),
            ],
        )
        cell.start('a')
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=10)

    run_scenario(scenario)


@pytest.mark.parametrize('delay_s', [0, 0.1, 0.2, 0.3, 0.35, 0.4, 0.45])
def test_leaving_daemon_is_not_elected(run_scenario, wait_until, delay_s):
    """A stopping daemon must not take over from one that has resigned.

    It led until it ended, and then there was no leader until its lease had
    expired.
    """

    async def leave(daemon):
        daemon.coordinator.is_leaving = True
        if daemon.scheduler is not None:
            await daemon.scheduler.resign()

    async def scenario(fleet, cell):
        first = cell.start('a')
        await wait_until(lambda: first.scheduler and first.scheduler.is_ready)
        second = cell.start('b')
        await wait_until(lambda: second.coordinator.leader is not None)
        await leave(first)
        await asyncio.sleep(delay_s)
        await leave(second)
        await asyncio.sleep(0.5)
        third = cell.start('c')
        await wait_until(
            lambda: third.scheduler and third.scheduler.is_ready, 1
        )

    run_scenario(scenario)


def test_leader_without_a_configuration_starts_nothing(
    run_scenario, job, wait_until
):
    """A leader must not start tasks before it knows the limits of teams.

    A restarted daemon started nine tasks of a team at once, beyond its limit.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 2
        limited = Team(name='orchard', limit=Resources(cpu_milli=2000))
        config = attrs.evolve(fleet.known_config, teams={'orchard': limited})
        fleet.known_config = None
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await daemon.submissions.submit(job('f' * 16, count=8))
        await asyncio.sleep(1)
        assert not fleet.starts
        fleet.known_config = config
        await wait_until(lambda: fleet.starts, 1)
        assert len(fleet.starts) == 2
        await wait_until(lambda: len(fleet.done) == 8)

    run_scenario(scenario)
