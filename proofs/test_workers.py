"""Workers that die, freeze, fail tasks, lose answers or leave."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from proofs._load import (
    CHECK,
    GANG,
    PREVIEW,
    SCAN,
    LoadGenerator,
    count_final_states,
)
from proofs._plans import DOMAINS, SHORT_LEASES, SMALL_PLAN

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from proofs._report import ProofReport
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 23
# Documented time after which a worker listed as leaving receives no new work.
LEAVING_BOUND_S = 5
_LONG_RUN_S = 3
_POLL_S = 0.02
# A failed run is retried at most twice.
_RUN_LIMIT = 3
# As many tasks as the three workers of a domain have slots.
_WIDE_GANG = attrs.evolve(GANG, gang_size=18)


def worker_events(cell: Cell) -> Iterator[dict[str, Any]]:
    """Iterate over what the workers have logged."""
    for path in cell.worker_logs():
        yield from map(json.loads, path.read_text().splitlines())


def starts_on(cell: Cell, worker: str) -> Iterator[float]:
    """Iterate over the wall times of the starts on a worker."""
    for event in worker_events(cell):
        if event['event'] == 'start' and event['worker'] == worker:
            yield event['wall_s']


def count_failed_tasks(cell: Cell) -> int:
    """Return how many tasks have ended as failed."""
    return sum(
        event['event'] == 'end' and event['phase'] == 'failed'
        for event in worker_events(cell)
    )


async def set_host_states(cell: Cell, states: dict[str, str]) -> None:
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
    report: ProofReport,
) -> None:
    """Guard against a second run while a silent worker still runs the first.

    One worker dies and two freeze for longer than the task lease. All
    return, and one of them then dies briefly.
    """
    cell = await open_cell(SMALL_PLAN)
    load = LoadGenerator(cell, SEED)
    load.failed_workers.update(('north-w0', 'north-w1', 'south-w0'))
    load.send_burst(SCAN, 40)
    load.start_mix(SHORT_LEASES['task_lease_s'] + 5)
    await asyncio.sleep(1)
    faults = (
        ('north', {'workers': ['north-w0'], 'dead': True}),
        ('north', {'workers': ['north-w1'], 'freeze': True}),
        ('south', {'workers': ['south-w0'], 'freeze': True}),
    )
    for domain, fault in faults:
        await cell.inject(f'workers-{domain}', fault)
        report.count_faults()
    await asyncio.sleep(SHORT_LEASES['task_lease_s'] + 2)
    for domain in DOMAINS:
        await cell.inject(f'workers-{domain}', {})
    await asyncio.sleep(1)
    await cell.inject('workers-south', {'workers': ['south-w0'], 'dead': True})
    report.count_faults()
    await asyncio.sleep(0.5)
    await cell.inject('workers-south', {})
    report.add_findings(await load.wait_and_check())
    assert load.sent, count_final_states(load.sent)


@pytest.mark.proof('P1')
@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_failing_worker_and_lost_start_answers(
    open_cell: Callable[..., Any],
    report: ProofReport,
) -> None:
    """Guard against capacity that the end of an earlier run frees.

    The earlier run was on another worker. One worker fails each task;
    answers to starts on the others are lost.
    """
    cell = await open_cell(SMALL_PLAN)
    load = LoadGenerator(cell, SEED + 1)
    load.send_burst(SCAN, 80)
    load.start_mix(7)
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
        report.count_faults(13)
    report.add_findings(await load.wait_and_check())
    done = sum(request.state == 'finished' for request in load.sent)
    assert done > len(load.sent) / 2, count_final_states(load.sent)


@pytest.mark.proof('P6')
async def test_gang_whose_tasks_fail_together_is_retried(
    open_cell: Callable[..., Any],
    report: ProofReport,
) -> None:
    """Guard against a gang that fails with retries left.

    All workers fail each task until more tasks of the gang have failed than it
    may have failed runs.
    """
    cell = await open_cell(SMALL_PLAN)
    load = LoadGenerator(cell, SEED + 4)
    for domain in DOMAINS:
        await cell.inject(f'workers-{domain}', {'fail_all': True})
        report.count_faults()
    load.send(_WIDE_GANG)
    while count_failed_tasks(cell) <= _RUN_LIMIT:
        await asyncio.sleep(_POLL_S)
    for healed in DOMAINS:
        await cell.inject(f'workers-{healed}', {})
    report.add_findings(await load.wait_and_check())
    assert load.sent[0].state == 'finished', load.sent[0].answer


@pytest.mark.proof('P8')
async def test_leaving_worker_receives_nothing(
    open_cell: Callable[..., Any],
    report: ProofReport,
) -> None:
    """Guard against starts on a worker that the host list shows as leaving.

    An owner is killed as well, so that its successor must respect the list
    too.
    """
    cell = await open_cell(SMALL_PLAN)
    load = LoadGenerator(cell, SEED + 2)
    load.send_burst(SCAN, 120)
    load.start_mix(11)
    await asyncio.sleep(1)
    names = [f'{domain}-w1' for domain in DOMAINS]
    await set_host_states(cell, dict.fromkeys(names, 'leaving'))
    leaving_since_wall_s = time.time()
    report.count_faults(2)
    await asyncio.sleep(LEAVING_BOUND_S)
    await cell.daemons[await cell.owner_of(DOMAINS[0])].kill()
    report.count_faults()
    report.add_findings(await load.wait_and_check())
    for name in names:
        start_times = list(starts_on(cell, name))
        assert start_times, f'{name} never had work'
        delays = [at_s - leaving_since_wall_s for at_s in start_times]
        report.expect(
            'P8',
            is_met=max(delays) <= LEAVING_BOUND_S,
            details=f'{name} was given work {max(delays):.1f} s after it left',
        )
    others = [f'{domain}-w0' for domain in DOMAINS]
    for name in others:
        assert (
            max(starts_on(cell, name)) > leaving_since_wall_s + LEAVING_BOUND_S
        )


@pytest.mark.proof('P2')
@pytest.mark.proof('P6')
@pytest.mark.proof('P7')
async def test_wave_of_cancellations_during_starts(
    open_cell: Callable[..., Any],
    report: ProofReport,
) -> None:
    """Guard against "not run" for a request whose start is in flight."""
    cell = await open_cell(SMALL_PLAN)
    load = LoadGenerator(cell, SEED + 3)
    for standin in ('workers-north', 'workers-south'):
        await cell.inject(standin, {'delay_ms': 40})
        report.count_faults()
    for kind, count in ((SCAN, 200), (CHECK, 200), (PREVIEW, 100)):
        load.send_burst(attrs.evolve(kind, run_s=_LONG_RUN_S), count)
    async with asyncio.timeout(60):
        while sum(bool(request.states) for request in load.sent) < 250:
            await asyncio.sleep(0.01)
    by_team: dict[str, list[str]] = {}
    for request in load.sent:
        if request.request_id:
            by_team.setdefault(request.team, []).append(request.request_id)
    await asyncio.gather(
        *(_cancel(cell, team, ids) for team, ids in by_team.items()),
    )
    report.count_faults(500)
    report.add_findings(await load.wait_and_check())
    states = count_final_states(load.sent)
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
