"""Stored records that cannot be used: they hold up nothing but themselves.

Pattern: one record raises in the recovery, so that the leader gives up and
each successor meets the same record.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import JobState, Outcome
from currantreach_jobs._records import (
    EPOCH_KEY,
    FLEET_KEY,
    Place,
    ProgressRecord,
    StageRecord,
    encode_job,
    job_key,
    progress_key,
)
from currantreach_platform import Write
from currantreach_types import encode_packed

BAD = 'b' * 16
GOOD = 'a' * 16
NO_RECORD = b'\xc1'


def of_stage(name='0.0', **fields):
    """Return the record of a job with one stage."""
    return encode_packed(ProgressRecord(stages={name: StageRecord(**fields)}))


BAD_PROGRESS = {
    'no_record': NO_RECORD,
    'stage_name': of_stage('first'),
    'done_index': of_stage(done=(7,)),
    'failed_index': of_stage(failures={7: 1}),
    'placed_index': of_stage(placed={7: Place('w1', 1)}),
    'negative_index': of_stage(done=(-1,)),
}


@pytest.fixture
def store_all():
    """Return a function that writes keys as an earlier leader did."""

    async def write(fleet, stored):
        writes = [Write(key=key, stored=each) for key, each in stored.items()]
        await fleet.store.commit({}, writes)

    return write


@pytest.mark.parametrize('name', BAD_PROGRESS)
def test_bad_progress_holds_up_no_other(
    play,
    job,
    wait_until,
    store_all,
    name,
):
    """Other jobs run, and nothing of the job with the record is started.

    Tasks of it may be done already or run somewhere.
    """

    async def scenario(fleet, site):
        fleet.add('w1')
        await store_all(
            fleet,
            {
                job_key(GOOD): encode_job(job(GOOD, count=2)),
                job_key(BAD): encode_job(job(BAD, count=2)),
                progress_key(BAD): BAD_PROGRESS[name],
            },
        )
        host = site.start('a')
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=5)
        await host.intake.submit(job(BAD, count=2))
        await asyncio.sleep(3)
        assert {order.task.job_id for _, order in fleet.starts} == {GOOD}
        state = await host.answers.state(BAD, 'lookups', 'orchard')
        assert state in {JobState.QUEUED, JobState.RUNNING}

    play(scenario)


@pytest.mark.parametrize('after', [None, (5,)])
def test_bad_job_holds_up_no_other(play, job, wait_until, store_all, after):
    """A job that cannot be read or that waits for a step it has not."""

    async def scenario(fleet, site):
        fleet.add('w1')
        bad = NO_RECORD
        if after:
            made = job(BAD)
            steps = (attrs.evolve(made.steps[0], after=after),)
            bad = encode_job(attrs.evolve(made, steps=steps))
        host = site.start('a')
        await wait_until(lambda: host.master and host.master.is_ready)
        await store_all(fleet, {job_key(BAD): bad})
        await host.intake.submit(job(GOOD))
        await wait_until(lambda: fleet.done, timeout_s=5)
        host.kill()
        successor = site.start('b')
        await wait_until(
            lambda: successor.master and successor.master.is_ready,
            timeout_s=5,
        )
        await successor.intake.submit(job('c' * 16))
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=5)
        assert BAD in successor.master.board.unreadable
        verdict = await successor.intake.cancel(BAD, 'lookups', 'orchard')
        assert verdict.outcome is not Outcome.UNKNOWN_JOB

    play(scenario)


@pytest.mark.parametrize('key', [FLEET_KEY, EPOCH_KEY])
def test_bad_record_of_the_cell_stops_nothing(
    play,
    job,
    wait_until,
    store_all,
    key,
):
    """The task that an earlier leader placed runs on, or once more."""

    async def scenario(fleet, site):
        fleet.add('w1')
        fleet.work_s = 20
        first = site.start('a')
        await first.intake.submit(job(GOOD))
        await wait_until(lambda: fleet.starts)
        await asyncio.sleep(1)
        first.kill()
        await store_all(fleet, {key: NO_RECORD})
        second = site.start('b')
        await wait_until(
            lambda: second.master and second.master.is_ready,
            timeout_s=15,
        )
        await wait_until(lambda: fleet.done, timeout_s=40)

    play(scenario)


def test_unknown_fleet_starts_nothing_twice(play, job, wait_until, store_all):
    """Without the record of the fleet a task may run where nobody looks.

    Its task was started elsewhere at once, beside the first run.
    """

    async def scenario(fleet, site):
        silent = fleet.add('w1')
        fleet.work_s = 8
        first = site.start('a')
        await first.intake.submit(job(GOOD))
        await wait_until(lambda: fleet.starts)
        await asyncio.sleep(1)
        silent.silent = True
        first.kill()
        fleet.add('w2')
        await store_all(fleet, {FLEET_KEY: NO_RECORD})
        site.start('b')
        await wait_until(lambda: len(fleet.starts) == 2, timeout_s=20)
        await wait_until(lambda: fleet.done, timeout_s=10)

    play(scenario)
