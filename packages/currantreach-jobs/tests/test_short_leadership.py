"""A leadership that ends before its campaign is answered."""

from __future__ import annotations

import asyncio

from currantreach_jobs._records import LEADER_KEY

ANSWER_DELAY_S = 0.3


def test_leadership_ending_before_campaign_answer(
    run_scenario, job, wait_until
):
    """A daemon whose leadership ended early must campaign again.

    Its watch reported the end of the leader record before its campaign was
    answered. The daemon then set the record, and no event removed it again.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        commit = host.store.commit
        campaigns = []

        async def commit_with_late_answer(expected, writes, removed=()):
            revision = await commit(expected, writes, removed)
            if LEADER_KEY in {write.key for write in writes} and not campaigns:
                campaigns.append(revision)
                fleet.store._end_lease(host.coordinator.lease_id)
                await asyncio.sleep(ANSWER_DELAY_S)
            return revision

        host.store.commit = commit_with_late_answer
        await wait_until(lambda: campaigns)
        await asyncio.sleep(5)
        await wait_until(
            lambda: host.scheduler and host.scheduler.is_ready,
            timeout_s=10,
        )
        await host.submissions.submit(job('0' * 16))
        await wait_until(lambda: fleet.done, timeout_s=10)

    run_scenario(scenario)
