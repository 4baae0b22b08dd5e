"""Writes of the releases that a library cancels."""

from __future__ import annotations

import asyncio

from currantreach_jobs._records import RELEASES_KEY


def test_cancelled_write_of_releases(run_scenario, job, wait_until):
    """A cancelled write must not end the task that writes the releases.

    A worker that answered again was not used until the leader changed.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await asyncio.sleep(2)
        commit = daemon.store.commit
        faults = [asyncio.CancelledError()]

        async def cancel_once(expected, writes, removed=()):
            if RELEASES_KEY in expected and faults:
                raise faults.pop()
            return await commit(expected, writes, removed)

        daemon.store.commit = cancel_once
        worker.silent = True
        await wait_until(lambda: not faults, timeout_s=5)
        worker.silent = False
        await daemon.submissions.submit(job('0' * 16))
        await wait_until(lambda: fleet.done, timeout_s=15)

    run_scenario(scenario)
