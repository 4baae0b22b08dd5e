"""Ends and runs of jobs whose records are unreadable for a while."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import EndedRun, EndKind, Outcome, TaskKey
from currantreach_jobs._records import cancel_key, job_key, progress_key
from currantreach_platform import Write
from currantreach_types import Resources

NO_RECORD = b'no record'
ONE = '0' * 16
OTHER = '1' * 16
# Half of the processors of a worker.
HALF = Resources(cpu_milli=8000, memory_mib=1000)


@pytest.mark.parametrize('key', [progress_key(ONE), job_key(ONE)])
def test_end_of_a_quarantined_job_is_kept(run_scenario, job, wait_until, key):
    """A leader must not acknowledge an end whose job it could not read.

    Once the record was corrected, the next leader started the task again.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 3
        first = cell.start('a')
        await first.submissions.submit(job(ONE))
        await wait_until(lambda: fleet.starts)
        await asyncio.sleep(1)
        first.kill()
        correct = fleet.store.keys[key]
        fleet.store.keys[key] = attrs.evolve(correct, stored=NO_RECORD)
        await asyncio.sleep(3)
        second = cell.start('b')
        await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
        await asyncio.sleep(2)
        second.kill()
        fleet.store.keys[key] = correct
        third = cell.start('c')
        await wait_until(lambda: third.scheduler and third.scheduler.is_ready)
        await asyncio.sleep(2)
        assert worker.process_count == 1
        assert len(fleet.starts) == 1

    run_scenario(scenario)


async def lead_without_record(fleet, cell, job, wait_until, key):
    """Start a task and let a successor lead that cannot read a record.

    :returns: the successor and the correct record.
    """
    fleet.work_s = 10
    first = cell.start('a')
    await first.submissions.submit(job(ONE, needed=HALF))
    await wait_until(lambda: fleet.starts)
    await asyncio.sleep(1)
    first.kill()
    correct = fleet.store.keys[key]
    fleet.store.keys[key] = attrs.evolve(correct, stored=NO_RECORD)
    second = cell.start('b')
    await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
    return second, correct


@pytest.mark.parametrize(
    ('key', 'started'),
    [(progress_key(ONE), 1), (job_key(ONE), 0)],
)
def test_run_of_a_quarantined_job_continues(
    run_scenario, job, wait_until, key, started
):
    """A run of a quarantined job must not be stopped as an orphan.

    The run keeps its resources. If these are not known, nothing else is
    started on its worker.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        second, correct = await lead_without_record(
            fleet, cell, job, wait_until, key
        )
        await second.submissions.submit(job(OTHER, count=2, needed=HALF))
        await asyncio.sleep(3)
        others = [
            order for _, order in fleet.starts if order.task.job_id == OTHER
        ]
        assert len(others) == started
        assert not worker.closed
        second.kill()
        fleet.store.keys[key] = correct
        third = cell.start('c')
        await wait_until(lambda: len(fleet.done) == 3, timeout_s=40)
        cluster = third.scheduler.cluster
        await wait_until(lambda: cluster.jobs[ONE].visible_state == 'complete')
        assert set(fleet.done.values()) == {1}

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('key', 'outcome'),
    [
        (progress_key(ONE), Outcome.CANCELLED),
        (job_key(ONE), Outcome.UNKNOWN),
    ],
)
def test_cancelled_quarantined_job_is_stopped(
    run_scenario,
    job,
    wait_until,
    key,
    outcome,
):
    """The runs of a quarantined job must stop when it is cancelled.

    Their resources become free and their ends are acknowledged. The team of an
    unreadable job is not known, so only operators can cancel it.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        second, _ = await lead_without_record(fleet, cell, job, wait_until, key)
        await asyncio.sleep(1)
        assert worker.running
        response = await second.submissions.cancel(ONE, 'lookups', 'orchard')
        assert response.outcome is outcome
        if outcome is Outcome.UNKNOWN:
            write = Write(key=cancel_key(ONE), stored=b'')
            await fleet.store.commit({}, [write])
        await wait_until(lambda: not worker.running, timeout_s=3)
        await second.submissions.submit(job(OTHER, count=2, needed=HALF))
        await wait_until(lambda: len(worker.running) == 2, timeout_s=3)
        await wait_until(lambda: not worker.ended, timeout_s=3)
        assert second.scheduler.cluster.workers['w1'].free.cpu_milli == 0

    run_scenario(scenario)


@pytest.mark.parametrize('key', [progress_key(ONE), job_key(ONE)])
def test_ends_of_a_quarantined_job_hide_no_others(
    run_scenario, job, wait_until, key
):
    """Ends that are not acknowledged must not fill the list of a worker."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        second, _ = await lead_without_record(fleet, cell, job, wait_until, key)
        worker.ended += [
            EndedRun(
                number=next(worker.numbers),
                task=TaskKey(ONE, 0, 0, index),
                attempt=1,
                kind=EndKind.DONE,
            )
            for index in range(400)
        ]
        await asyncio.sleep(3)
        assert not second.scheduler.leadership.is_over
        assert len(worker.ended) == 250

    run_scenario(scenario)
