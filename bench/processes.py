"""Benchmark of a local multi-process cell: ``python -m bench.processes``."""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import pathlib
import sys
import tempfile
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import attrs

from testbed import Cell, CellPlan

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ('main',)

_DOMAINS = (
    'north',
    'middle',
    'south',
    'east',
    'west',
    'river',
    'hill',
    'lake',
    'shore',
)
_TEAM = 'nib-works'
_QUEUE = 'tip-smoothing-preview'


@attrs.frozen(slots=True, kw_only=True)
class Case:
    """Size of a cell and its load.

    :ivar rate: total requests per second; 0 for as many as possible, negative
        for none.
    :ivar load_count: number of load processes.
    :ivar loop_count: number of concurrent callers in each load process.
    """

    domain_count: int
    daemon_count: int
    worker_count: int
    rate: float
    seconds: float
    load_count: int = 2
    extra_team_count: int = 0
    loop_count: int = 32
    run_s: float = 0.01


@attrs.define(slots=True, kw_only=True)
class Snapshot:
    """Counters of a cell at one point in time."""

    wall_s: float
    cpu_s: dict[str, float]
    calls: Mapping[str, int]
    peer_bytes: dict[str, float]


async def _take_snapshot(cell: Cell) -> Snapshot:
    url = cell.urls['store']
    async with cell.session.get(f'{url}/v1/stats') as reply:
        stats = await reply.json()
    calls = stats.get('calls', stats)
    return Snapshot(
        wall_s=time.monotonic(),
        cpu_s={name: daemon.cpu_s() for name, daemon in cell.daemons.items()},
        calls=calls,
        peer_bytes=await _peer_bytes(cell),
    )


async def _measure_config_change_s(cell: Cell) -> float:
    """Measure the time until each domain confirms a configuration change."""
    started_at_s = time.monotonic()
    reply = await cell.call_admin_api(
        'POST',
        '/v1/admin/keys',
        body={'team': _TEAM},
    )
    if 'token' not in reply:
        raise RuntimeError(f'no API key was issued: {reply}')
    return round(time.monotonic() - started_at_s, 3)


async def _peer_bytes(cell: Cell) -> dict[str, float]:
    bytes_by_daemon: dict[str, float] = {}
    for name, url in cell.http_urls.items():
        async with cell.session.get(f'{url}/metrics') as reply:
            text = await reply.text()
        for line in text.splitlines():
            if line.startswith('currantreach_peer_bytes{'):
                bytes_by_daemon[name] = float(line.split()[-1])
    return bytes_by_daemon


async def _run_load(cell: Cell, case: Case) -> list[tuple[str, float, float]]:
    urls = list(cell.http_urls.values())
    children = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.load',
            '--urls',
            *urls[number % len(urls) :],
            *urls[: number % len(urls)],
            '--key',
            cell.keys[_TEAM],
            '--team',
            _TEAM,
            '--queue',
            _QUEUE,
            '--seconds',
            str(case.seconds),
            '--loops',
            str(case.loop_count),
            '--run-s',
            str(case.run_s),
            '--rate',
            str(case.rate / case.load_count),
            stdout=asyncio.subprocess.PIPE,
        )
        for number in range(case.load_count)
    ]
    outputs = await asyncio.gather(*(child.communicate() for child in children))
    return [
        outcome
        for printed, _error in outputs
        for outcome in json.loads(printed)
    ]


async def run_case(case: Case) -> dict[str, Any]:
    """Run one case and return its metrics."""
    plan = CellPlan(
        site='agency',
        domains=_DOMAINS[: case.domain_count],
        daemon_count=case.daemon_count,
        worker_count=case.worker_count,
        extra_team_count=case.extra_team_count,
    )
    with tempfile.TemporaryDirectory() as directory:
        async with Cell(plan, pathlib.Path(directory)) as cell:
            await asyncio.sleep(2)
            change_s = await _measure_config_change_s(cell)
            before = await _take_snapshot(cell)
            if case.rate < 0:
                await asyncio.sleep(case.seconds)
                outcomes = []
            else:
                outcomes = await _run_load(cell, case)
            after = await _take_snapshot(cell)
            resident_mib = {
                name: daemon.resident_mib()
                for name, daemon in cell.daemons.items()
            }
    metrics = _compute_metrics(case, before, after, outcomes, resident_mib)
    return {**metrics, 'change_in_force_s': change_s}


def _compute_metrics(
    case: Case,
    before: Snapshot,
    after: Snapshot,
    outcomes: Sequence[tuple[str, float, float]],
    resident_mib: Mapping[str, float],
) -> dict[str, Any]:
    elapsed_s = after.wall_s - before.wall_s
    cores = [
        (after.cpu_s[name] - before.cpu_s[name]) / elapsed_s
        for name in before.cpu_s
    ]
    waits = sorted(
        wait for state, wait, _total_s in outcomes if state == 'finished'
    )
    ends = collections.Counter(outcome[0] for outcome in outcomes)
    return {
        **attrs.asdict(case),
        'finished_per_s': round(ends['finished'] / case.seconds, 1),
        'outcomes': dict(ends),
        'wait_p50_ms': _quantile_ms(waits, 0.5),
        'wait_p99_ms': _quantile_ms(waits, 0.99),
        'core_percent_max': round(max(cores) * 100, 1),
        'core_percent_mean': round(sum(cores) / len(cores) * 100, 1),
        'peer_bytes_per_s_mean': round(
            (sum(after.peer_bytes.values()) - sum(before.peer_bytes.values()))
            / elapsed_s
            / len(cores),
        ),
        'resident_mib_max': round(max(resident_mib.values()), 1),
        'store_calls_per_s': {
            kind: round(
                (after.calls[kind] - before.calls.get(kind, 0)) / elapsed_s, 1
            )
            for kind in after.calls
            if after.calls[kind] != before.calls.get(kind, 0)
        },
    }


def _quantile_ms(ordered_s: Sequence[float], fraction: float) -> float | None:
    if not ordered_s:
        return None
    return round(ordered_s[int(fraction * (len(ordered_s) - 1))] * 1000, 2)


def main() -> None:
    """Run the cases and print their metrics, one line of JSON each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--domains', type=int, nargs='+', default=[1])
    parser.add_argument('--daemons', type=int, nargs='+', default=[1, 2])
    parser.add_argument('--workers', type=int, nargs='+', default=[24])
    parser.add_argument(
        '--rates',
        type=float,
        nargs='+',
        default=[-1, 100, 0],
        help='requests a second; 0: as many as possible; -1: none',
    )
    parser.add_argument('--loads', type=int, default=2)
    parser.add_argument('--loops', type=int, default=32)
    parser.add_argument('--run-s', type=float, default=0.01)
    parser.add_argument('--teams', type=int, default=0)
    parser.add_argument('--seconds', type=float, default=5)
    options = parser.parse_args()
    for domain_count in options.domains:
        for daemon_count in options.daemons:
            for worker_count in options.workers:
                for rate in options.rates:
                    case = Case(
                        domain_count=domain_count,
                        daemon_count=daemon_count,
                        worker_count=worker_count,
                        rate=rate,
                        seconds=options.seconds,
                        extra_team_count=options.teams,
                        load_count=options.loads,
                        loop_count=options.loops,
                        run_s=options.run_s,
                    )
                    metrics = asyncio.run(run_case(case))
                    sys.stdout.write(f'{json.dumps(metrics)}\n')
                    sys.stdout.flush()


if __name__ == '__main__':
    main()
