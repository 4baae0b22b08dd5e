"""Demo run of both sites, with a table of the outcomes."""

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
    from testbed import Findings, SentRequest

__all__ = ('run_demo',)

_REQUEST_TIMEOUT_S = 20
_KILL_AFTER_S = 2
_SEED = 7
_P99 = 0.99
_WORKER_COUNT = 3
_RESIDENT_LIMIT_MIB = 64
_COLUMNS = '{:24}{:>9}{:>9}{:>10}{:>10}{:>8}{:>6}  {}'


async def run_demo() -> int:
    """Run both sites and return the exit code."""
    violations: list[str] = []
    for mix in (AGENCY, PRUNELLE):
        with tempfile.TemporaryDirectory() as directory:
            violations += await _run_site(mix, pathlib.Path(directory))
    for violation in violations:
        _print_line(f'BROKEN {violation}')
    _print_line(f'promises broken: {len(violations)}')
    return 1 if violations else 0


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
        _print_line(
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
                group.create_task(_send_workload(caller, workload))
        upper_limits = {
            team['name']: team['upper_limit']
            for team in cell.documents()['base']['teams']
        }
        findings = check_logs(cell.worker_logs(), caller.sent, upper_limits)
    _print_table(mix, caller.sent, findings)
    violations = findings.all()
    if resident_mib >= _RESIDENT_LIMIT_MIB:
        violations.append(f'resident size: {resident_mib:.0f} MiB')
    return violations


async def _kill_owner(cell: Cell, domain: str) -> None:
    await asyncio.sleep(_KILL_AFTER_S)
    owner = await cell.owner_of(domain)
    _print_line(f'killing {owner}, which owns the workers of {domain}')
    await cell.daemons[owner].kill()


async def _send_workload(caller: Caller, workload: Workload) -> None:
    async with asyncio.TaskGroup() as group:
        for number in range(workload.count):
            group.create_task(
                caller.run(
                    workload.team,
                    workload.body(number),
                    _REQUEST_TIMEOUT_S,
                    is_durable=workload.is_durable,
                ),
            )
            await asyncio.sleep(workload.interval_s)


def _print_table(
    mix: Mix,
    sent: Sequence[SentRequest],
    findings: Findings,
) -> None:
    _print_line(
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
        requests = [
            request for request in sent if request.workload == workload.name
        ]
        request_ids = {request.request_id for request in requests}
        waits_ms = sorted(
            request.answer['waited_s'] * 1000
            for request in requests
            if request.answer.get('waited_s') is not None
        )
        reasons = collections.Counter(
            f'{request.state or "silent"}/{request.answer.get("reason", "")}'
            for request in requests
            if request.state != 'finished'
        )
        _print_line(
            _COLUMNS.format(
                workload.name,
                len(requests),
                sum(request.state == 'finished' for request in requests),
                _quantile(waits_ms, 0.5),
                _quantile(waits_ms, _P99),
                _count_lines(findings.doubled, request_ids),
                _count_lines(findings.lost, request_ids),
                ', '.join(f'{key} {count}' for key, count in reasons.items()),
            ),
        )


def _quantile(ordered_ms: Sequence[float], fraction: float) -> str:
    if not ordered_ms:
        return '-'
    return f'{ordered_ms[int(fraction * (len(ordered_ms) - 1))]:.1f}'


def _count_lines(lines: Sequence[str], request_ids: set[str]) -> int:
    return sum(
        line.split()[0].partition('/')[0] in request_ids for line in lines
    )


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
