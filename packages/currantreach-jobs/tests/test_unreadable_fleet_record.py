"""Takeovers with an unreadable fleet record."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import JobSettings
from currantreach_jobs._records import FLEET_KEY

SLOWEST_RATE = 0.98


@pytest.mark.parametrize('phase_s', [0, 0.2, 0.4, 0.6, 0.8])
def test_unreadable_fleet_record_waits_for_earlier_leader(
    run_scenario,
    job,
    wait_until,
    phase_s,
):
    """A successor must wait for leases of an old leader without the record.

    The store had dropped the lease of a leader that still renewed run leases.
    Without the fleet record the successor waited for the grace time of the
    earlier leader, but not for its lease, and started its task again.
    """

    async def scenario(fleet, cell):
        # With this many cores a host campaigns without a delay.
        cell.settings = JobSettings(core_count=2)
        fleet.add('w1', rate=SLOWEST_RATE)
        fleet.work_s = 30
        first = cell.start('a')
        await first.submissions.submit(job('0' * 16))
        await wait_until(lambda: fleet.starts)
        cell.start('b')
        fleet.add('w2')
        await asyncio.sleep(2 + phase_s)
        fleet.workers['w1'].unreachable_from = {'b'}
        leadership = first.scheduler.leadership
        valid_until_s = leadership.valid_until_s
        await wait_until(lambda: leadership.valid_until_s > valid_until_s)
        first.store.is_rejected = True
        fleet.store.keys[FLEET_KEY] = attrs.evolve(
            fleet.store.keys[FLEET_KEY],
            stored=b'none',
        )
        fleet.store._end_lease(first.coordinator.lease_id)
        await wait_until(lambda: len(fleet.starts) == 2, timeout_s=40)

    run_scenario(scenario)
