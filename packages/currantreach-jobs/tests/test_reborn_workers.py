"""Workers that start again under their id while an order is repeated."""

from __future__ import annotations

import asyncio
import random

import pytest


@pytest.mark.parametrize('away_s', [1.2, 1.3, 1.4])
@pytest.mark.parametrize('phase_s', [0, 0.25, 0.5, 0.75])
def test_end_of_a_new_life_is_not_acknowledged_unread(
    run_scenario,
    job,
    wait_until,
    phase_s,
    away_s,
):
    """The first call to a worker acknowledged ends of its life before.

    A start that was repeated reached the new life of the worker before the
    next hold; the hold carried the number of the old life, so that the end of
    the new run was forgotten unread and its task was started again.
    """

    async def scenario(fleet, cell):
        random.seed(0)
        worker = fleet.add('w1')
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        fleet.work_s = 0.1
        await host.submissions.submit(job('0' * 16, count=9))
        await wait_until(lambda: len(fleet.settled) == 9)
        await asyncio.sleep(phase_s)
        # The process of the worker is gone, calls to it are lost.
        worker.running.clear()
        worker.silent = True
        worker.drops_answers = True
        await host.submissions.submit(job('1' * 16))
        await asyncio.sleep(away_s)
        worker.restart()
        worker.silent = False
        worker.drops_answers = False
        await asyncio.sleep(10)
        assert len(fleet.starts) == 10

    run_scenario(scenario)
