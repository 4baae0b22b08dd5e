"""Jobs whose records the store does not take."""

from __future__ import annotations

import asyncio

import pytest

from currantreach_jobs._records import progress_key
from currantreach_types.errors import CallRejectedError

ONE = '0' * 16
OTHER = '1' * 16


@pytest.fixture
def reject():
    """Return a function that lets a daemon's store reject one record."""

    def wrap(host, job_id):
        commit = host.store.commit

        async def checked(expected, writes, removed=()):
            if progress_key(job_id) in {write.key for write in writes}:
                raise CallRejectedError('too large')
            return await commit(expected, writes, removed)

        host.store.commit = checked
        return commit

    return wrap


def test_successor_finds_the_ends_of_a_rejected_record(
    run_scenario,
    job,
    wait_until,
    reject,
):
    """A done task whose record was rejected must not run again.

    Its end is the only thing that tells a successor of it, also after later
    ends of another job.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 1
        first = cell.start('a')
        await first.submissions.submit(job(ONE))
        await wait_until(lambda: fleet.starts)
        reject(first, ONE)
        await asyncio.sleep(3)
        await first.submissions.submit(job(OTHER))
        cluster = first.scheduler.cluster
        await wait_until(lambda: cluster.jobs[OTHER].state.is_final)
        assert cluster.jobs[ONE].is_unwritable
        await asyncio.sleep(3)
        first.kill()
        second = cell.start('b')
        await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
        await asyncio.sleep(3)
        assert len(fleet.starts) == 2
        assert second.scheduler.cluster.jobs[ONE].visible_state == 'complete'

    run_scenario(scenario)


def test_rejected_record_takes_no_room(run_scenario, job, wait_until, reject):
    """A job whose places cannot be noted kept taking room for its starts.

    It is started once the store takes its record.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        commit = reject(host, ONE)
        await host.submissions.submit(job(ONE))
        await asyncio.sleep(3)
        room = host.scheduler.cluster.workers['w1']
        for _ in range(20):
            assert not room.runs
            await asyncio.sleep(0.1)
        assert not fleet.starts
        assert (
            host.scheduler.wait_monitor.count_by_reason()['record_rejected']
            == 1
        )
        host.store.commit = commit
        await wait_until(lambda: fleet.done, timeout_s=7)

    run_scenario(scenario)
