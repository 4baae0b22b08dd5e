"""Workers that die, freeze, fail, lose answers or leave."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from proofs._load import CHECK, PREVIEW, SCAN, Load, final_states
from proofs._plans import DOMAINS, FAST, SMALL

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from proofs._ledger import Ledger
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 23
# The stated bound on new work after a worker is listed as leaving.
LEAVING_BOUND_S = 5
_LONG_RUN_S = 3


def starts_on(cell: Cell, worker: str) -> Iterator[float]:
    """Iterate over the wall times of the starts on a worker."""
    for path in cell.worker_logs():
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event['event'] == 'start' and event['worker'] == worker:
                yield event['wall_s']


async def set_states(cell: Cell, states: dict[str, str]) -> None:
    """Set the states of hosts in the host list."""
    url = cell.urls['hosts']
    async with cell.session.post(
        f'{url}/v1/hosts',
        json={'states': states},
    ) as reply:
        reply.raise_for_status()


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_workers_die_and_freeze_and_return(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against a second run while a worker that is silent still works.

    One worker dies and two freeze for longer than the task lease; all
    return, and one of them then dies for a moment.
    """
    cell = await open_cell(SMALL)
    load = Load(cell, SEED)
    load.failed_workers.update(('north-w0', 'north-w1', 'south-w0'))
    load.burst(SCAN, 40)
    load.stream(FAST['task_lease_s'] + 5)
    await asyncio.sleep(1)
    faults = (
        ('north', {'workers': ['north-w0'], 'dead': True}),
        ('north', {'workers': ['north-w1'], 'freeze': True}),
        ('south', {'workers': ['south-w0'], 'freeze': True}),
    )
    for domain, fault in faults:
        await cell.inject(f'workers-{domain}', fault)
        ledger.fault()
    await asyncio.sleep(FAST['task_lease_s'] + 2)
    for domain in DOMAINS:
        await cell.inject(f'workers-{domain}', {})
    await asyncio.sleep(1)
    await cell.inject('workers-south', {'workers': ['south-w0'], 'dead': True})
    ledger.fault()
    await asyncio.sleep(0.5)
    await cell.inject('workers-south', {})
    ledger.add(await load.finish())
    assert load.sent, final_states(load.sent)


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_failing_worker_and_lost_start_answers(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against room freed by the end of an earlier run elsewhere.

    One worker fails each task; answers to starts of the others are lost.
    """
    cell = await open_cell(SMALL)
    load = Load(cell, SEED + 1)
    load.burst(SCAN, 80)
    load.stream(7)
    for _ in range(6):
        await asyncio.sleep(1)
        await cell.inject(
            'workers-north',
            {
                'workers': ['north-w0'],
                'fail_all': True,
                'lost_start_answers': 3,
            },
        )
        await cell.inject(
            'workers-north',
            {'workers': ['north-w1', 'north-w2'], 'lost_start_answers': 3},
        )
        await cell.inject(
            'workers-south',
            {'workers': ['south-w0'], 'lost_start_answers': 3},
        )
        ledger.fault(13)
    ledger.add(await load.finish())
    done = sum(known.state == 'finished' for known in load.sent)
    assert done > len(load.sent) / 2, final_states(load.sent)


@pytest.mark.proof('P8')
async def test_leaving_worker_receives_nothing(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against starts on a worker that the host list shows as leaving.

    The owner is killed as well, so that its successor has to learn it too.
    """
    cell = await open_cell(SMALL)
    load = Load(cell, SEED + 2)
    load.burst(SCAN, 120)
    load.stream(11)
    await asyncio.sleep(1)
    names = [f'{domain}-w1' for domain in DOMAINS]
    await set_states(cell, dict.fromkeys(names, 'leaving'))
    left_wall_s = time.time()
    ledger.fault(2)
    await asyncio.sleep(LEAVING_BOUND_S)
    await cell.daemons[await cell.owner_of(DOMAINS[0])].kill()
    ledger.fault()
    ledger.add(await load.finish())
    for name in names:
        started = list(starts_on(cell, name))
        assert started, f'{name} never had work'
        late = [at_s - left_wall_s for at_s in started]
        ledger.expect(
            'P8',
            is_met=max(late) <= LEAVING_BOUND_S,
            seen=f'{name} was given work {max(late):.1f} s after it left',
        )
    others = [f'{domain}-w0' for domain in DOMAINS]
    for name in others:
        assert max(starts_on(cell, name)) > left_wall_s + LEAVING_BOUND_S


@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_wave_of_cancellations_during_starts(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against "not run" for a request whose start was in flight."""
    cell = await open_cell(SMALL)
    load = Load(cell, SEED + 3)
    for standin in ('workers-north', 'workers-south'):
        await cell.inject(standin, {'delay_ms': 40})
        ledger.fault()
    for kind, count in ((SCAN, 200), (CHECK, 200), (PREVIEW, 100)):
        load.burst(attrs.evolve(kind, run_s=_LONG_RUN_S), count)
    async with asyncio.timeout(60):
        while sum(bool(known.states) for known in load.sent) < 250:
            await asyncio.sleep(0.01)
    by_team: dict[str, list[str]] = {}
    for known in load.sent:
        if known.request_id:
            by_team.setdefault(known.team, []).append(known.request_id)
    await asyncio.gather(
        *(_cancel(cell, team, ids) for team, ids in by_team.items()),
    )
    ledger.fault(500)
    ledger.add(await load.finish())
    states = final_states(load.sent)
    assert states.get('not_run/cancelled', 0) > 50, states


async def _cancel(cell: Cell, team: str, ids: list[str]) -> None:
    for url in cell.http_urls.values():
        async with cell.session.post(
            f'{url}/v1/cancellations',
            json={'request_ids': ids},
            headers=cell.authorization(team),
        ) as reply:
            assert reply.status == 200
            return
