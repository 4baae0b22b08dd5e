"""Parts of a daemon that end by an unforeseen error."""

from __future__ import annotations

import asyncio

import pytest

from currantreach_jobs._coordinator import load_shared_secret
from currantreach_jobs._key_writer import KeyWriter
from currantreach_jobs._records import SECRET_KEY
from currantreach_jobs._supervision import keep_running
from currantreach_platform import Write
from currantreach_types.errors import OutcomeUnknownError
from testbed.virtual_time import VirtualLoop

ONE = '0' * 16
OTHER = '1' * 16


class FailingPart:
    """Part that fails at once, a number of times."""

    def __init__(self, failure_count):
        self.failure_count = failure_count
        self.started_at_s = []

    async def run(self):
        """Fail, or run until cancelled."""
        self.started_at_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0)
        if len(self.started_at_s) <= self.failure_count:
            raise OverflowError('too large')
        await asyncio.Event().wait()


def test_pauses_of_a_failing_part_grow_up_to_a_bound():
    """A part that fails at once must neither end the daemon nor spin."""
    part = FailingPart(12)
    reasons = []

    async def scenario():
        task = asyncio.create_task(
            keep_running('part', part.run, reasons.append)
        )
        await asyncio.sleep(60)
        assert not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(scenario())
    assert len(part.started_at_s) == 13
    pauses_s = [
        later - earlier
        for earlier, later in zip(
            part.started_at_s, part.started_at_s[1:], strict=False
        )
    ]
    growing_s = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5, 5, 5, 5, 5]
    assert pauses_s == pytest.approx(growing_s)
    assert set(reasons) == {'part_failed'}
    assert len(reasons) == 12


def test_part_that_ends_without_an_error_is_not_repeated():
    """A part that has done its work must not be started again."""
    starts = []

    async def run():
        await asyncio.sleep(0)
        starts.append(1)

    asyncio.run(keep_running('part', run, starts.append))
    assert starts == [1]


def test_failing_directory_moves_no_leadership(run_scenario, job, wait_until):
    """The reader of the worker list failed for each leader in turn.

    Its error was taken for the end of the leader, and the next leader read the
    same entry, so that the whole cell stood still.
    """

    async def scenario(fleet, cell):
        async def follow():
            await asyncio.sleep(0)
            raise TypeError('unhashable entry')

        fleet.follow = follow
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        cell.start('b')
        await asyncio.sleep(10)
        await daemon.submissions.submit(job(ONE))
        await wait_until(lambda: fleet.done)
        assert daemon.scheduler.leadership.epoch == 1

    run_scenario(scenario)


def test_stage_that_cannot_be_scheduled_delays_no_other(
    run_scenario, job, wait_until
):
    """An error for one stage ended the round, and with it the process."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        stage_scheduler = daemon.scheduler._stage_scheduler
        place = stage_scheduler._place

        def place_others(stage, now_s):
            if stage.job_progress.job.job_id == ONE:
                raise ZeroDivisionError('odd amounts')
            return place(stage, now_s)

        stage_scheduler._place = place_others
        await daemon.submissions.submit(job(ONE))
        await daemon.submissions.submit(job(OTHER))
        await wait_until(lambda: fleet.done)
        stage_scheduler._place = place
        await wait_until(lambda: len(fleet.done) == 2)
        assert daemon.scheduler.leadership.epoch == 1

    run_scenario(scenario)


def test_failed_round_moves_no_leadership(run_scenario, job, wait_until):
    """An error in a round of decisions must not end the leader."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        stage_scheduler = daemon.scheduler._stage_scheduler
        schedule = stage_scheduler.schedule

        def fail():
            raise ValueError('odd state')

        stage_scheduler.schedule = fail
        await daemon.submissions.submit(job(ONE))
        await asyncio.sleep(5)
        stage_scheduler.schedule = schedule
        await wait_until(lambda: fleet.done)
        assert daemon.scheduler.leadership.epoch == 1

    run_scenario(scenario)


def test_job_that_cannot_be_added_is_quarantined(run_scenario, job, wait_until):
    """An error for one job of a list must not hide the jobs behind it."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        cluster = daemon.scheduler.cluster
        add_job = cluster.add_job

        def add_others(added, *args):
            if added.job_id == ONE:
                raise OverflowError('too large')
            add_job(added, *args)

        cluster.add_job = add_others
        await daemon.submissions.submit(job(ONE))
        await daemon.submissions.submit(job(OTHER))
        await wait_until(lambda: fleet.done)
        assert ONE in cluster.unreadable

    run_scenario(scenario)


def test_failed_write_answers_its_callers(run_scenario):
    """A caller must not wait forever for a write that was cut short."""

    async def scenario(fleet, _):
        async def commit(*_):
            await asyncio.sleep(0)
            raise KeyError('odd answer')

        fleet.store.commit = commit
        writer = KeyWriter(fleet.store)
        running = asyncio.create_task(writer.run())
        with pytest.raises(OutcomeUnknownError):
            await asyncio.wait_for(writer.create('key', b''), 5)
        assert not running.done()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_scenario(scenario)


def test_unreadable_secret_is_replaced(run_scenario):
    """A daemon must not start with a secret that anybody could guess."""

    async def scenario(fleet, _):
        await fleet.store.commit({}, [Write(key=SECRET_KEY, stored=b'')])
        secret = await load_shared_secret(fleet.store)
        assert len(secret) == 32
        assert await load_shared_secret(fleet.store) == secret

    run_scenario(scenario)
