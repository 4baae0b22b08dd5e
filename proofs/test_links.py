"""Answers over connections that are late, silent or cut."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, Any

import pytest

from proofs._load import Load, final_states
from proofs._plans import small_plan
from testbed import Relay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from proofs._ledger import Ledger
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 101
_ROUNDS = 6
_LONGEST_DELAY_S = 0.15


@contextlib.asynccontextmanager
async def caller_relays(cell: Cell) -> AsyncIterator[list[Relay]]:
    """Put a relay between the callers and each daemon."""
    relays = [
        Relay(int(url.rpartition(':')[2])) for url in cell.http_urls.values()
    ]
    try:
        for relay in relays:
            await relay.start()
        yield relays
    finally:
        for opened in relays:
            await opened.close()


@pytest.mark.proof('P5')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_answers_over_disturbed_connections(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against an answer that reaches the caller of another request.

    Connections of callers and of daemons are delayed, cut, and silenced for
    good while new ones work; workers answer late and lose start answers.
    """
    cell = await open_cell(small_plan(has_relays=True))
    chance = random.Random(SEED)
    async with caller_relays(cell) as relays:
        urls = [f'http://127.0.0.1:{relay.port}' for relay in relays]
        load = Load(cell, SEED, urls)
        load.stream(_ROUNDS)
        everything = [*relays, *cell.mesh.relays.values()]
        for _ in range(_ROUNDS):
            await asyncio.sleep(1)
            for relay in chance.sample(everything, 4):
                relay.delay_s = _LONGEST_DELAY_S * chance.random()
            ledger.fault(4 + chance.choice(everything).stall())
            ledger.fault(chance.choice(everything).cut())
            await cell.inject(
                chance.choice(('workers-north', 'workers-south')),
                {
                    'delay_ms': chance.randrange(60),
                    'lost_start_answers': 1,
                },
            )
            ledger.fault(2)
        ledger.add(await load.finish())
    states = final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states
