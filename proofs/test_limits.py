"""Upper limits of teams under a much higher load."""

from __future__ import annotations

import asyncio
import collections
import json
import types
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from proofs._load import CHECK, SCAN, LoadGenerator, count_final_states
from proofs._plans import DOMAINS, small_plan

if TYPE_CHECKING:
    from collections.abc import Callable

    from proofs._report import ProofReport
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


def peak_running_tasks(cell: Cell, load: LoadGenerator, team: str) -> int:
    """Return the highest number of running tasks of a team."""
    own = {request.request_id for request in load.sent if request.team == team}
    changes = collections.defaultdict(int)
    for path in cell.worker_logs():
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event['task_id'].rpartition('/')[0] in own:
                change = {'start': 1, 'end': -1}.get(event['event'], 0)
                changes[event['wall_s']] += change
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
    report: ProofReport,
) -> None:
    """Guard against partitions that together exceed a team's limit.

    Both domains receive far more work than the limit allows while their
    owners are killed in turn and answers of the store are lost.
    """
    cell = await open_cell(small_plan(upper_limits=_LIMITS))
    load = LoadGenerator(cell, SEED)
    load.send_burst(attrs.evolve(SCAN, run_s=0.3), 180)
    load.send_burst(attrs.evolve(CHECK, run_s=0.3), 180)
    await asyncio.sleep(1.5)
    for domain in DOMAINS:
        await cell.inject('store', {'lost_answer_count': 10})
        report.count_faults(10)
        owner = await cell.owner_of(domain)
        await cell.daemons[owner].kill()
        report.count_faults()
        await asyncio.sleep(2.5)
        await cell.start_daemon(owner)
    report.add_findings(await load.wait_and_check())
    peaks = {team: peak_running_tasks(cell, load, team) for team in _LIMITS}
    assert min(peaks.values()) >= LIMIT / 2, peaks
    states = count_final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states
