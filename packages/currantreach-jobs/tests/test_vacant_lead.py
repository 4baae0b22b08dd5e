"""A lead that ends before the daemon that took it has its answer."""

from __future__ import annotations

import asyncio

from currantreach_jobs._records import LEADER_KEY

ANSWER_S = 0.3


def test_lead_that_ends_before_its_answer(run_scenario, job, wait_until):
    """The daemon took itself for the leader and campaigned no more.

    The watch told the end of its record before the answer to its claim; the
    record was noted afterwards, and no event removed it again.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        commit = host.store.commit
        claims = []

        async def answer_late(expected, writes, removed=()):
            revision = await commit(expected, writes, removed)
            if LEADER_KEY in {write.key for write in writes} and not claims:
                claims.append(revision)
                fleet.store._end_lease(host.coordinator.lease_id)
                await asyncio.sleep(ANSWER_S)
            return revision

        host.store.commit = answer_late
        await wait_until(lambda: claims)
        await asyncio.sleep(5)
        await wait_until(
            lambda: host.scheduler and host.scheduler.is_ready,
            timeout_s=10,
        )
        await host.submissions.submit(job('0' * 16))
        await wait_until(lambda: fleet.done, timeout_s=10)

    run_scenario(scenario)
