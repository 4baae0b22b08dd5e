"""Jobs whose records the store rejects."""

from __future__ import annotations

import asyncio

import pytest

from currantreach_jobs._records import progress_key
from currantreach_types.errors import CallRejectedError

ONE = '0' * 16
OTHER = '1' * 16


@pytest.fixture
def reject():
    """Return a function that lets the store of a daemon reject one record."""

    def wrap(daemon, job_id):
        commit = daemon.store.commit

        async def checked(expected, writes, removed=()):
            if progress_key(job_id) in {write.key for write in writes}:
                raise CallRejectedError('too large')
            return await commit(expected, writes, removed)

        daemon.store.commit = checked
        return commit

    return wrap


def test_successor_finds_the_ends_of_a_rejected_record(
    run_scenario,
    job,
    wait_until,
    reject,
):
    """A task that is done must not run again if its record was rejected.

    A successor learns of it only from the end that the worker lists, also
    after later ends of another job.
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


def test_rejected_record_uses_no_capacity(
    run_scenario, job, wait_until, reject
):
    """A job whose placements cannot be stored must allocate no resources.

    It is started once the store accepts its record.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        commit = reject(daemon, ONE)
        await daemon.submissions.submit(job(ONE))
        await asyncio.sleep(3)
        worker = daemon.scheduler.cluster.workers['w1']
        for _ in range(20):
            assert not worker.runs
            await asyncio.sleep(0.1)
        assert not fleet.starts
        assert (
            daemon.scheduler.wait_monitor.count_by_reason()['record_rejected']
            == 1
        )
        daemon.store.commit = commit
        await wait_until(lambda: fleet.done, timeout_s=7)

    run_scenario(scenario)
