"""Answers over connections that are delayed, stalled or cut."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, Any

import pytest

from proofs._load import LoadGenerator, count_final_states
from proofs._plans import small_plan
from testbed import Relay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from proofs._report import ProofReport
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 101
_ROUND_COUNT = 6
_MAX_DELAY_S = 0.15


@contextlib.asynccontextmanager
async def caller_relays(cell: Cell) -> AsyncIterator[list[Relay]]:
    """Start a relay between the callers and each daemon."""
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
    report: ProofReport,
) -> None:
    """Guard against an answer that reaches the caller of another request.

    Connections of callers and daemons are delayed, cut or stalled for good,
    while new ones work. Workers answer late and lose answers to starts.
    """
    cell = await open_cell(small_plan(has_relays=True))
    rng = random.Random(SEED)
    async with caller_relays(cell) as relays:
        urls = [f'http://127.0.0.1:{relay.port}' for relay in relays]
        load = LoadGenerator(cell, SEED, urls)
        load.start_mix(_ROUND_COUNT)
        all_relays = [*relays, *cell.mesh.relays.values()]
        for _ in range(_ROUND_COUNT):
            await asyncio.sleep(1)
            for relay in rng.sample(all_relays, 4):
                relay.delay_s = _MAX_DELAY_S * rng.random()
            report.count_faults(4 + rng.choice(all_relays).stall_connections())
            report.count_faults(rng.choice(all_relays).close_connections())
            await cell.inject(
                rng.choice(('workers-north', 'workers-south')),
                {
                    'delay_ms': rng.randrange(60),
                    'lost_start_answers': 1,
                },
            )
            report.count_faults(2)
        report.add_findings(await load.wait_and_check())
    states = count_final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states
