"""Partition owners that die or pause under load."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from proofs._load import CHECK, SCAN, LoadGenerator, count_final_states
from proofs._plans import DOMAINS, SMALL_PLAN

if TYPE_CHECKING:
    from collections.abc import Callable

    from proofs._report import ProofReport
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 11
# More than twice the default session lease of 4 s, and more than four times the
# lease of these cells.
PAUSE_S = 8.5


async def wait_new_owner(cell: Cell, domain: str, previous: str) -> str:
    """Wait until a domain has an owner other than ``previous``."""
    async with asyncio.timeout(30):
        while True:
            owner = await cell.owner_of(domain)
            if owner not in {'', previous}:
                return owner
            await asyncio.sleep(0.1)


def check_most_finished(load: LoadGenerator) -> None:
    """Check that most requests finished despite the fault."""
    states = count_final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_owner_killed(
    open_cell: Callable[..., Any],
    report: ProofReport,
) -> None:
    """Guard against a successor that does not know the running tasks.

    The owner of each domain is killed in turn, the second one as soon as the
    first domain has a new owner.
    """
    cell = await open_cell(SMALL_PLAN)
    load = LoadGenerator(cell, SEED)
    # Some tasks run for longer than a takeover.
    load.send_burst(attrs.evolve(SCAN, run_s=4), 8)
    load.send_burst(attrs.evolve(CHECK, run_s=4), 4)
    load.send_burst(SCAN, 60)
    load.start_mix(8)
    await asyncio.sleep(1.5)
    for domain in DOMAINS:
        owner = await cell.owner_of(domain)
        await cell.daemons[owner].kill()
        report.count_faults()
        await wait_new_owner(cell, domain, owner)
    report.add_findings(await load.wait_and_check())
    check_most_finished(load)


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_owner_paused_beyond_its_lease(
    open_cell: Callable[..., Any],
    report: ProofReport,
) -> None:
    """Guard against starts by an owner that was replaced while paused.

    It has a long queue when it pauses, so that it has tasks to start once it
    resumes.
    """
    cell = await open_cell(SMALL_PLAN)
    load = LoadGenerator(cell, SEED + 1)
    load.send_burst(attrs.evolve(SCAN, run_s=1), 120)
    load.send_burst(attrs.evolve(CHECK, run_s=1), 60)
    load.start_mix(12)
    await asyncio.sleep(1.5)
    owners = [await cell.owner_of(domain) for domain in DOMAINS]
    for owner in owners:
        cell.pause(owner)
        report.count_faults()
    await asyncio.sleep(PAUSE_S)
    for owner in owners:
        cell.resume(owner)
    report.add_findings(await load.wait_and_check())
    for domain, owner in zip(DOMAINS, owners, strict=True):
        assert await wait_new_owner(cell, domain, owner)
    check_most_finished(load)
