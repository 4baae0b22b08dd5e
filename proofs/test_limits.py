"""Team limits under load far above them."""

from __future__ import annotations

import asyncio
import collections
import json
import types
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from proofs._load import CHECK, SCAN, Load, final_states
from proofs._plans import DOMAINS, small_plan

if TYPE_CHECKING:
    from collections.abc import Callable

    from proofs._ledger import Ledger
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 97
LIMIT = 9
_LIMITS = types.MappingProxyType(
    {
        SCAN.team: {'slot_count': LIMIT},
        CHECK.team: {'cpu_milli': LIMIT * CHECK.cpu_milli},
    },
)


def peak_of(cell: Cell, load: Load, team: str) -> int:
    """Return the largest number of tasks that a team had running."""
    own = {known.request_id for known in load.sent if known.team == team}
    changes = collections.defaultdict(int)
    for path in cell.worker_logs():
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event['task_id'].rpartition('/')[0] in own:
                step = {'start': 1, 'end': -1}.get(event['event'], 0)
                changes[event['wall_s']] += step
    running = 0
    peak = 0
    for at_s in sorted(changes):
        running += changes[at_s]
        peak = max(peak, running)
    return peak


@pytest.mark.proof('P4')
@pytest.mark.proof('P1')
async def test_load_above_limit_while_owners_die(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against two partitions that together exceed a team's limit.

    Both domains receive far more than the limit while the owner of each is
    killed in turn and answers of the store are lost.
    """
    cell = await open_cell(small_plan(upper_limits=_LIMITS))
    load = Load(cell, SEED)
    load.burst(attrs.evolve(SCAN, run_s=0.3), 180)
    load.burst(attrs.evolve(CHECK, run_s=0.3), 180)
    await asyncio.sleep(1.5)
    for domain in DOMAINS:
        await cell.inject('store', {'lost_answer_count': 10})
        ledger.fault(10)
        owner = await cell.owner_of(domain)
        await cell.daemons[owner].kill()
        ledger.fault()
        await asyncio.sleep(2.5)
        await cell.start_daemon(owner)
    ledger.add(await load.finish())
    peaks = {team: peak_of(cell, load, team) for team in _LIMITS}
    assert min(peaks.values()) >= LIMIT / 2, peaks
    states = final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states
