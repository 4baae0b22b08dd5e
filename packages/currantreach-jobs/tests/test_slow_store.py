"""Load while the store is slow: a start waits for its own job's record only.

The store answers sixty times slower for some seconds, or most jobs change at
once. Starts that waited for the records of all jobs timed out, were retried
and changed the records again, so that nothing started for the rest of the day.
"""

from __future__ import annotations

import asyncio

import pytest

from currantreach_jobs import Outcome
from currantreach_jobs._committer import Committer
from currantreach_jobs._progress import JobProgress
from currantreach_jobs._settings import Leadership

SLOW_S = 0.25
JOBS = 400
JOB_IDS = [f'j{number}' for number in range(JOBS)]


def test_burst_on_a_slow_store_is_served(run_scenario, job, wait_until):
    """Starts must not time out and be retried without end."""

    async def scenario(fleet, cell):
        for number in range(50):
            fleet.add(f'w{number}')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        fleet.store.delay_s = SLOW_S
        jobs = [job(f'j{number}', count=2) for number in range(JOBS)]
        await asyncio.gather(
            *(daemon.submissions.submit(each) for each in jobs)
        )
        await wait_until(lambda: len(fleet.done) == 2 * JOBS, timeout_s=20)
        assert len(fleet.starts) == 2 * JOBS

    run_scenario(scenario)


@pytest.fixture
def leadership():
    """Return a leadership without an end."""
    return Leadership(epoch=1, revision=0, valid_until_s=1e9, acquired_at_s=0)


@pytest.fixture
def commit(job, leadership):
    """Return a function that starts a committer for some jobs."""

    def start(fleet, job_ids):
        committer = Committer(fleet.store, leadership, fleet.clock)
        committer.jobs = {
            name: JobProgress(job=job(name), attempt_base=0, accepted_at_s=0)
            for name in job_ids
        }
        return committer, asyncio.ensure_future(committer.run())

    return start


def test_record_waits_for_no_other_job(run_scenario, commit):
    """A job whose record is written must not wait for those of other jobs."""

    async def scenario(fleet, _):
        committer, writing = commit(fleet, JOB_IDS)
        began_s = fleet.clock.now_s()
        committer.mark_dirty('j0')
        await asyncio.sleep(0.001)
        for name in committer.jobs:
            committer.mark_dirty(name)
        committer.mark_dirty('j0')
        await committer.wait_written(('j1',))
        first_s = fleet.clock.now_s() - began_s
        await committer.flush()
        all_s = fleet.clock.now_s() - began_s
        assert first_s < 0.02 < all_s
        assert committer.lag_s() == 0
        writing.cancel()

    run_scenario(scenario)


def test_change_during_a_write_is_written_as_well(run_scenario, commit):
    """A change while the record is being written must not be lost."""

    async def scenario(fleet, _):
        committer, writing = commit(fleet, ['j'])
        committer.mark_dirty('j')
        await asyncio.sleep(0.002)
        committer.mark_dirty('j')
        await committer.wait_written(('j',))
        written = [key for _, key in fleet.store.log]
        assert written == ['progress/j', 'progress/j']
        writing.cancel()

    run_scenario(scenario)


def test_outage_keeps_changes(run_scenario, commit):
    """Changes that the store refused are written once it is available."""

    async def scenario(fleet, _):
        committer, writing = commit(fleet, ['j'])
        fleet.store.is_down = True
        committer.mark_dirty('j')
        await asyncio.sleep(1)
        assert committer.lag_s() == pytest.approx(1)
        fleet.store.is_down = False
        await asyncio.wait_for(committer.flush(), 0.3)
        assert 'progress/j' in fleet.store.keys
        writing.cancel()

    run_scenario(scenario)


def test_accepted_job_reaches_the_leader_at_once(run_scenario, job, wait_until):
    """A slow watch must not delay the start of a job by another call."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        first = cell.start('a')
        second = cell.start('b')
        await wait_until(lambda: first.scheduler or second.scheduler)
        leading, other = first, second
        if second.scheduler:
            leading, other = second, first
        await wait_until(lambda: leading.scheduler.is_ready)
        await wait_until(lambda: other.coordinator.leader)
        fleet.store.watch_delay_s = 1
        response = await other.submissions.submit(job('0' * 16))
        assert response.outcome is Outcome.ACCEPTED
        await asyncio.sleep(0.2)
        assert leading.announced == ['0' * 16]
        assert len(fleet.starts) == 1
        await asyncio.sleep(3)
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_lost_announcement_loses_no_job(run_scenario, job, wait_until):
    """A leader that gets no announcement finds the job in the store."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        daemon.submissions.accept_announced_job = lambda _: None
        await daemon.submissions.submit(job('1' * 16))
        await wait_until(lambda: fleet.done)

    run_scenario(scenario)
