"""Outages of the store and lost answers of its writes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from proofs._load import CHECK, GANG, PREVIEW, SCAN, Load, final_states
from proofs._plans import SMALL

if TYPE_CHECKING:
    from collections.abc import Callable

    from proofs._ledger import Ledger

pytestmark = pytest.mark.timeout(180)

SEED = 37
OUTAGE_S = 10
# Owners notice the outage and collect promises in this time.
SETTLED_S = 3


@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
async def test_outage_during_load(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against lost work and stopped prompt work in an outage."""
    cell = await open_cell(SMALL)
    load = Load(cell, SEED)
    load.stream(OUTAGE_S + 4)
    await asyncio.sleep(1.5)
    await cell.inject('store', {'outage': 'close'})
    ledger.fault()
    await asyncio.sleep(SETTLED_S)
    prompt = load.burst(PREVIEW, 20)
    durable = load.burst(SCAN, 10) + load.burst(CHECK, 10)
    await asyncio.sleep(OUTAGE_S - SETTLED_S)
    prompt_states = final_states([done.result() for done in prompt])
    assert set(prompt_states) == {'finished/'}, prompt_states
    await cell.inject('store', {})
    durable_sent = [await done for done in durable]
    for known in durable_sent:
        ledger.expect(
            'P6',
            is_met=known.state == 'finished'
            or known.answer.get('reason') == 'store_unavailable',
            seen=f'{known.request_id} {known.states} {known.answer}',
        )
    refused = final_states(durable_sent)
    assert refused.get('not_run/store_unavailable'), refused
    ledger.add(await load.finish())
    after = await asyncio.gather(*load.burst(SCAN, 10))
    assert final_states(after) == {'finished/': 10}


@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_lost_answers_of_writes(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against a write that is repeated, or taken for one that failed."""
    cell = await open_cell(SMALL)
    load = Load(cell, SEED + 1)
    load.stream(6)
    for _ in range(3):
        await cell.inject('store', {'lost_answer_count': 20})
        ledger.fault(20)
        load.burst(CHECK, 30)
        load.burst(SCAN, 30)
        load.burst(GANG, 2)
        await asyncio.sleep(2)
    ledger.add(await load.finish())
    states = final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states
