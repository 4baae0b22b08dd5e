"""Simultaneous restarts of daemons, and two faults at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from proofs._load import CHECK, GANG, SCAN, LoadGenerator, count_final_states
from proofs._plans import DOMAINS, SMALL_PLAN

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from proofs._report import ProofReport
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 53


async def restart(cell: Cell, names: Sequence[str]) -> None:
    """Kill daemons at the same time and start them again."""
    await asyncio.gather(*(cell.daemons[name].kill() for name in names))
    await asyncio.gather(*(cell.start_daemon(name) for name in names))


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_domain_and_cell_restarted_at_once(
    open_cell: Callable[..., Any],
    report: ProofReport,
) -> None:
    """Guard against accepted durable work that only daemons had in memory."""
    cell = await open_cell(SMALL_PLAN)
    load = LoadGenerator(cell, SEED)
    load.start_mix(4)
    await asyncio.sleep(1)
    durable = (
        load.send_burst(attrs.evolve(SCAN, run_s=1), 80)
        + load.send_burst(CHECK, 40)
        + load.send_burst(GANG, 3)
    )
    await asyncio.sleep(0.7)
    domain_daemons = [
        name for name in cell.daemons if name.startswith(DOMAINS[0])
    ]
    await restart(cell, domain_daemons)
    report.count_faults(len(domain_daemons))
    await asyncio.sleep(2.5)
    all_daemons = tuple(cell.daemons)
    await restart(cell, all_daemons)
    report.count_faults(len(all_daemons))
    sent = [await done for done in durable]
    report.add_findings(await load.wait_and_check())
    accepted = [request for request in sent if 'accepted' in request.states]
    assert len(accepted) > 60, count_final_states(sent)
    for request in accepted:
        if not request.body['is_unrepeatable']:
            report.expect(
                'P6',
                is_met=request.state == 'finished',
                details=(
                    f'{request.request_id} {request.states[-1:]} '
                    f'{request.answer}'
                ),
            )


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_two_faults_together_one_of_them_twice(
    open_cell: Callable[..., Any],
    report: ProofReport,
) -> None:
    """Guard against a recovery that fails if a second fault occurs.

    Answers of the store are lost while an owner is killed. Its successor is
    killed as soon as it owns the partition, while the first owner restarts.
    """
    cell = await open_cell(SMALL_PLAN)
    load = LoadGenerator(cell, SEED + 1)
    load.send_burst(SCAN, 60)
    load.start_mix(8)
    await asyncio.sleep(1.5)
    domain = DOMAINS[0]
    for _ in range(2):
        await cell.inject('store', {'lost_answer_count': 20})
        report.count_faults(20)
        previous = await cell.owner_of(domain)
        await cell.daemons[previous].kill()
        report.count_faults()
        owner = previous
        async with asyncio.timeout(30):
            while owner in {'', previous}:
                await asyncio.sleep(0.05)
                owner = await cell.owner_of(domain)
        await cell.start_daemon(previous)
    report.add_findings(await load.wait_and_check())
    states = count_final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states
