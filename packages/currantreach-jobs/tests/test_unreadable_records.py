"""Unreadable stored records, which must affect no other jobs.

An error for one record ended the recovery, so the leader gave up and each
successor failed on the same record.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import JobState, Outcome
from currantreach_jobs._records import (
    EPOCH_KEY,
    FLEET_KEY,
    Placement,
    ProgressRecord,
    StageRecord,
    encode_job,
    job_key,
    progress_key,
)
from currantreach_platform import Write
from currantreach_types import encode_msgpack

BAD = 'b' * 16
GOOD = 'a' * 16
NO_RECORD = b'\xc1'


def of_stage(name='0.0', **fields):
    """Return the record of a job with one stage."""
    return encode_msgpack(ProgressRecord(stages={name: StageRecord(**fields)}))


BAD_PROGRESS = {
    'no_record': NO_RECORD,
    'stage_name': of_stage('first'),
    'done_index': of_stage(done=(7,)),
    'failed_index': of_stage(failures={7: 1}),
    'placed_index': of_stage(placed={7: Placement('w1', 1)}),
    'negative_index': of_stage(done=(-1,)),
}


@pytest.fixture
def store_all():
    """Return a function that writes keys as an earlier leader would."""

    async def write(fleet, stored):
        writes = [Write(key=key, stored=each) for key, each in stored.items()]
        await fleet.store.commit({}, writes)

    return write


@pytest.mark.parametrize('name', BAD_PROGRESS)
def test_bad_progress_delays_no_other_job(
    run_scenario,
    job,
    wait_until,
    store_all,
    name,
):
    """Other jobs run, and nothing of the job with the bad record is started.

    Its tasks may be done already or run somewhere.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        await store_all(
            fleet,
            {
                job_key(GOOD): encode_job(job(GOOD, count=2)),
                job_key(BAD): encode_job(job(BAD, count=2)),
                progress_key(BAD): BAD_PROGRESS[name],
            },
        )
        daemon = cell.start('a')
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=5)
        await daemon.submissions.submit(job(BAD, count=2))
        await asyncio.sleep(3)
        assert {order.task.job_id for _, order in fleet.starts} == {GOOD}
        state = await daemon.job_queries.state(BAD, 'lookups', 'orchard')
        assert state in {JobState.QUEUED, JobState.RUNNING}

    run_scenario(scenario)


@pytest.mark.parametrize('after', [None, (5,)])
def test_bad_job_delays_no_other_job(
    run_scenario, job, wait_until, store_all, after
):
    """Other jobs run beside an unreadable job or one with a bad dependency."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        bad = NO_RECORD
        if after:
            made = job(BAD)
            steps = (attrs.evolve(made.steps[0], after=after),)
            bad = encode_job(attrs.evolve(made, steps=steps))
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await store_all(fleet, {job_key(BAD): bad})
        await daemon.submissions.submit(job(GOOD))
        await wait_until(lambda: fleet.done, timeout_s=5)
        daemon.kill()
        successor = cell.start('b')
        await wait_until(
            lambda: successor.scheduler and successor.scheduler.is_ready,
            timeout_s=5,
        )
        await successor.submissions.submit(job('c' * 16))
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=5)
        assert BAD in successor.scheduler.cluster.unreadable
        response = await successor.submissions.cancel(BAD, 'lookups', 'orchard')
        assert response.outcome is not Outcome.UNKNOWN_JOB

    run_scenario(scenario)


@pytest.mark.parametrize('key', [FLEET_KEY, EPOCH_KEY])
def test_bad_record_of_the_cell_stops_nothing(
    run_scenario,
    job,
    wait_until,
    store_all,
    key,
):
    """A task that an earlier leader started runs on or is restarted."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 20
        first = cell.start('a')
        await first.submissions.submit(job(GOOD))
        await wait_until(lambda: fleet.starts)
        await asyncio.sleep(1)
        first.kill()
        await store_all(fleet, {key: NO_RECORD})
        second = cell.start('b')
        await wait_until(
            lambda: second.scheduler and second.scheduler.is_ready,
            timeout_s=15,
        )
        await wait_until(lambda: fleet.done, timeout_s=40)

    run_scenario(scenario)


def test_unknown_fleet_starts_nothing_twice(
    run_scenario, job, wait_until, store_all
):
    """Without the fleet record, a task must not be started twice.

    It may run on a worker that nobody knows of. It was started on another
    worker at once, while the first run went on.
    """

    async def scenario(fleet, cell):
        silent = fleet.add('w1')
        fleet.work_s = 8
        first = cell.start('a')
        await first.submissions.submit(job(GOOD))
        await wait_until(lambda: fleet.starts)
        await asyncio.sleep(1)
        silent.silent = True
        first.kill()
        fleet.add('w2')
        await store_all(fleet, {FLEET_KEY: NO_RECORD})
        cell.start('b')
        await wait_until(lambda: len(fleet.starts) == 2, timeout_s=20)
        await wait_until(lambda: fleet.done, timeout_s=10)

    run_scenario(scenario)
