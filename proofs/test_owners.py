"""Owners that die or pause under load."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from proofs._load import CHECK, SCAN, Load, final_states
from proofs._plans import DOMAINS, SMALL

if TYPE_CHECKING:
    from collections.abc import Callable

    from proofs._ledger import Ledger
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 11
# Longer than twice the default session lease of 4 s, and four times the one
# of these cells.
PAUSE_S = 8.5


async def new_owner(cell: Cell, domain: str, old: str) -> str:
    """Wait until a domain has another owner than ``old``."""
    async with asyncio.timeout(30):
        while True:
            owner = await cell.owner_of(domain)
            if owner not in {'', old}:
                return owner
            await asyncio.sleep(0.1)


def check_most_finished(load: Load) -> None:
    """Check that the fault left most requests untouched."""
    states = final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_owner_killed(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against a successor that does not know what is running.

    The owner of each domain is killed in turn, the second one while the
    first domain has just recovered.
    """
    cell = await open_cell(SMALL)
    load = Load(cell, SEED)
    # Some tasks run for longer than a takeover takes.
    load.burst(attrs.evolve(SCAN, run_s=4), 8)
    load.burst(attrs.evolve(CHECK, run_s=4), 4)
    load.burst(SCAN, 60)
    load.stream(8)
    await asyncio.sleep(1.5)
    for domain in DOMAINS:
        owner = await cell.owner_of(domain)
        await cell.daemons[owner].kill()
        ledger.fault()
        await new_owner(cell, domain, owner)
    ledger.add(await load.finish())
    check_most_finished(load)


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_owner_paused_beyond_its_lease(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against starts by an owner that was replaced while it paused.

    It pauses with a long queue, so that it has work to start once it resumes.
    """
    cell = await open_cell(SMALL)
    load = Load(cell, SEED + 1)
    load.burst(attrs.evolve(SCAN, run_s=1), 120)
    load.burst(attrs.evolve(CHECK, run_s=1), 60)
    load.stream(12)
    await asyncio.sleep(1.5)
    owners = [await cell.owner_of(domain) for domain in DOMAINS]
    for owner in owners:
        cell.freeze(owner)
        ledger.fault()
    await asyncio.sleep(PAUSE_S)
    for owner in owners:
        cell.thaw(owner)
    ledger.add(await load.finish())
    for domain, owner in zip(DOMAINS, owners, strict=True):
        assert await new_owner(cell, domain, owner)
    check_most_finished(load)
