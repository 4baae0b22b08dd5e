"""Daemons that are killed and restarted together, and two faults at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from proofs._load import CHECK, GANG, SCAN, Load, final_states
from proofs._plans import DOMAINS, SMALL

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from proofs._ledger import Ledger
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 53


async def restart(cell: Cell, names: Sequence[str]) -> None:
    """Kill daemons at once and start them again."""
    await asyncio.gather(*(cell.daemons[name].kill() for name in names))
    await asyncio.gather(*(cell.start_daemon(name) for name in names))


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_domain_and_cell_restarted_at_once(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against accepted durable work that only a daemon remembered."""
    cell = await open_cell(SMALL)
    load = Load(cell, SEED)
    load.stream(4)
    await asyncio.sleep(1)
    durable = (
        load.burst(attrs.evolve(SCAN, run_s=1), 80)
        + load.burst(CHECK, 40)
        + load.burst(GANG, 3)
    )
    await asyncio.sleep(0.7)
    local = [name for name in cell.daemons if name.startswith(DOMAINS[0])]
    await restart(cell, local)
    ledger.fault(len(local))
    await asyncio.sleep(2.5)
    everyone = tuple(cell.daemons)
    await restart(cell, everyone)
    ledger.fault(len(everyone))
    sent = [await done for done in durable]
    ledger.add(await load.finish())
    accepted = [known for known in sent if 'accepted' in known.states]
    assert len(accepted) > 60, final_states(sent)
    for known in accepted:
        if not known.body['is_unrepeatable']:
            ledger.expect(
                'P6',
                is_met=known.state == 'finished',
                seen=f'{known.request_id} {known.states[-1:]} {known.answer}',
            )


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_two_faults_together_one_of_them_twice(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against recoveries that only work when nothing else is broken.

    Answers of the store are lost while an owner is killed; the successor is
    killed as soon as it owns the partition, while the first one restarts.
    """
    cell = await open_cell(SMALL)
    load = Load(cell, SEED + 1)
    load.burst(SCAN, 60)
    load.stream(8)
    await asyncio.sleep(1.5)
    domain = DOMAINS[0]
    for _ in range(2):
        await cell.inject('store', {'lost_answer_count': 20})
        ledger.fault(20)
        old = await cell.owner_of(domain)
        await cell.daemons[old].kill()
        ledger.fault()
        owner = old
        async with asyncio.timeout(30):
            while owner in {'', old}:
                await asyncio.sleep(0.05)
                owner = await cell.owner_of(domain)
        await cell.start_daemon(old)
    ledger.add(await load.finish())
    states = final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states
