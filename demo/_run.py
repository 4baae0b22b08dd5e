"""Run of both sites and the table of what happened."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys
import tempfile
from typing import TYPE_CHECKING

from demo._mixes import AGENCY, PRUNELLE
from testbed import Caller, Cell, CellPlan, check_logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from demo._mixes import Mix, Workload
    from testbed import Findings, Sent

__all__ = ('run_demo',)

_PATIENCE_S = 20
_KILL_AFTER_S = 2
_SEED = 7
_HIGH = 0.99
_WORKER_COUNT = 3
_RESIDENT_LIMIT_MIB = 64
_COLUMNS = '{:24}{:>9}{:>9}{:>10}{:>10}{:>8}{:>6}  {}'


async def run_demo() -> int:
    """Serve both sites and return the exit code."""
    breaches: list[str] = []
    for mix in (AGENCY, PRUNELLE):
        with tempfile.TemporaryDirectory() as directory:
            breaches += await _run_site(mix, pathlib.Path(directory))
    for breach in breaches:
        _say(f'BROKEN {breach}')
    _say(f'promises broken: {len(breaches)}')
    return 1 if breaches else 0


async def _run_site(mix: Mix, directory: pathlib.Path) -> list[str]:
    plan = CellPlan(
        site=mix.site,
        domains=mix.domains,
        worker_count=_WORKER_COUNT,
        rack_size=mix.rack_size,
        capacity=mix.capacity,
    )
    async with Cell(plan, directory) as cell:
        resident_mib = max(
            daemon.resident_mib() for daemon in cell.daemons.values()
        )
        _say(
            f'\n{mix.site}: {len(cell.daemons)} daemons in '
            + f'{len(mix.domains)} failure domains, '
            + f'{_WORKER_COUNT * len(mix.domains)} workers, '
            + f'{resident_mib:.0f} MiB resident at rest',
        )
        caller = Caller(
            cell.session,
            tuple(cell.http_urls.values()),
            cell.keys,
            _SEED,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(_kill_owner(cell, mix.domains[0]))
            for workload in mix.workloads:
                group.create_task(_send(caller, workload))
        upper_limits = {
            team['name']: team['upper_limit']
            for team in cell.documents()['base']['teams']
        }
        findings = check_logs(cell.worker_logs(), caller.sent, upper_limits)
    _print_table(mix, caller.sent, findings)
    breaches = findings.all()
    if resident_mib >= _RESIDENT_LIMIT_MIB:
        breaches.append(f'resident size: {resident_mib:.0f} MiB')
    return breaches


async def _kill_owner(cell: Cell, domain: str) -> None:
    await asyncio.sleep(_KILL_AFTER_S)
    owner = await cell.owner_of(domain)
    _say(f'killing {owner}, which owns the workers of {domain}')
    await cell.daemons[owner].kill()


async def _send(caller: Caller, workload: Workload) -> None:
    async with asyncio.TaskGroup() as group:
        for number in range(workload.count):
            group.create_task(
                caller.run(
                    workload.team,
                    workload.body(number),
                    _PATIENCE_S,
                    is_durable=workload.is_durable,
                ),
            )
            await asyncio.sleep(workload.gap_s)


def _print_table(
    mix: Mix,
    sent: Sequence[Sent],
    findings: Findings,
) -> None:
    _say(
        _COLUMNS.format(
            'workload',
            'requests',
            'answers',
            'p50 ms',
            'p99 ms',
            'doubled',
            'lost',
            'refusals and unknown outcomes',
        ),
    )
    for workload in mix.workloads:
        own = [known for known in sent if known.workload == workload.name]
        ids = {known.request_id for known in own}
        waits_ms = sorted(
            known.answer['waited_s'] * 1000
            for known in own
            if known.answer.get('waited_s') is not None
        )
        reasons = collections.Counter(
            f'{known.state or "silent"}/{known.answer.get("reason", "")}'
            for known in own
            if known.state != 'finished'
        )
        _say(
            _COLUMNS.format(
                workload.name,
                len(own),
                sum(known.state == 'finished' for known in own),
                _quantile(waits_ms, 0.5),
                _quantile(waits_ms, _HIGH),
                _count(findings.doubled, ids),
                _count(findings.lost, ids),
                ', '.join(f'{key} {count}' for key, count in reasons.items()),
            ),
        )


def _quantile(ordered: Sequence[float], part: float) -> str:
    if not ordered:
        return '-'
    return f'{ordered[int(part * (len(ordered) - 1))]:.1f}'


def _count(lines: Sequence[str], ids: set[str]) -> int:
    return sum(line.split()[0].partition('/')[0] in ids for line in lines)


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
