"""Ends and runs of jobs whose records cannot be read for a while."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs._records import job_key, progress_key

NO_RECORD = b'no record'
ONE = '0' * 16


@pytest.mark.parametrize('key', [progress_key(ONE), job_key(ONE)])
def test_end_of_a_job_left_out_is_kept(play, job, wait_until, key):
    """The end was acknowledged by a leader that could not count it.

    Once the record was corrected the next leader started the task again.
    """

    async def scenario(fleet, site):
        worker = fleet.add('w1')
        fleet.work_s = 3
        first = site.start('a')
        await first.intake.submit(job(ONE))
        await wait_until(lambda: fleet.starts)
        await asyncio.sleep(1)
        first.kill()
        right = fleet.store.keys[key]
        fleet.store.keys[key] = attrs.evolve(right, stored=NO_RECORD)
        await asyncio.sleep(3)
        second = site.start('b')
        await wait_until(lambda: second.master and second.master.is_ready)
        await asyncio.sleep(2)
        second.kill()
        fleet.store.keys[key] = right
        third = site.start('c')
        await wait_until(lambda: third.master and third.master.is_ready)
        await asyncio.sleep(2)
        assert worker.lives == 1
        assert len(fleet.starts) == 1

    play(scenario)
