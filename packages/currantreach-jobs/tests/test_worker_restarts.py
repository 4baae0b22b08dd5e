"""Workers that restart under the same id while an order is repeated."""

from __future__ import annotations

import asyncio

import pytest


@pytest.mark.parametrize('away_s', [1.2, 1.3, 1.4])
@pytest.mark.parametrize('phase_s', [0, 0.25, 0.5, 0.75])
def test_end_after_worker_restart_is_not_lost(
    run_scenario,
    job,
    wait_until,
    phase_s,
    away_s,
):
    """A hold after a restart must not acknowledge ends of the new process.

    A repeated start reached the new process before the next hold, which still
    carried the number of the old one. The end of the new run was dropped
    before it was read, and its task was started again.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        fleet.work_s = 0.1
        await daemon.submissions.submit(job('0' * 16, count=9))
        await wait_until(lambda: len(fleet.acknowledged) == 9)
        await asyncio.sleep(phase_s)
        # The process of the worker has ended, so calls to it are lost.
        worker.running.clear()
        worker.silent = True
        worker.drops_answers = True
        await daemon.submissions.submit(job('1' * 16))
        await asyncio.sleep(away_s)
        worker.restart()
        worker.silent = False
        worker.drops_answers = False
        await asyncio.sleep(10)
        assert len(fleet.starts) == 10

    run_scenario(scenario)
