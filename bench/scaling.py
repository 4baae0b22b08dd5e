"""Decision time against fleet size with 50,000 requests waiting."""

from __future__ import annotations

import random
import time

import attrs

from bench.report import quantile
from bench.workload import DEPLOYMENTS, constant_sizes
from currantreach_decisions import IndexedScheduler, TaskEnd, TeamTerms

FLEET_SIZES = (24, 200, 1300)
WAITING = 50000
_ROUNDS = 4000
_LIMIT = 200000
_PARTS = {'p50': 0.5, 'p99': 0.99}
_MICRO = 1000000


def scaling(seed: int) -> list[dict[str, float]]:
    """Return and print the figures of each fleet size."""
    rows = [_measure(count, seed) for count in FLEET_SIZES]
    for row in rows:
        print(' '.join(f'{key}={amount}' for key, amount in row.items()))
    return rows


def _measure(worker_count: int, seed: int) -> dict[str, float]:
    """Fill a fleet, keep requests waiting, then end one task a round."""
    rng = random.Random(seed)
    deployment = attrs.evolve(DEPLOYMENTS['agency'], worker_count=worker_count)
    scheduler = IndexedScheduler({'batch': _LIMIT})
    for worker in deployment.workers():
        scheduler.set_worker(worker, is_open=True)
    specs = constant_sizes(WAITING + 10 * worker_count + _ROUNDS, seed)
    terms = TeamTerms(share=1, allotment=deployment.total())
    scheduler.set_teams({spec.team: terms for spec in specs})
    for spec in specs:
        scheduler.submit(spec, 0)
    now_s: float = 1
    running: list[str] = []
    start = time.perf_counter()
    placements = scheduler.decide(now_s).placements
    while placements:
        running += [placement.task_id for placement in placements]
        placements = scheduler.decide(now_s).placements
    fill_s = time.perf_counter() - start
    filled = len(running)
    rounds_s, cycles_s, placed = [], [], 0
    for _ in range(_ROUNDS):
        now_s += 0.002
        index = rng.randrange(len(running))
        running[index], running[-1] = running[-1], running[index]
        start = time.perf_counter()
        scheduler.end_task(running.pop(), TaskEnd.finished, now_s)
        middle = time.perf_counter()
        decisions = scheduler.decide(now_s)
        end = time.perf_counter()
        rounds_s.append(end - middle)
        cycles_s.append(end - start)
        placed += len(decisions.placements)
        running += [each.task_id for each in decisions.placements]
    row: dict[str, float] = {
        'workers': worker_count,
        'waiting': scheduler.waiting_count(),
        'filled': filled,
        'fill_placements_per_s': round(filled / fill_s),
        'placed': placed,
        'placements_per_s': round(placed / sum(cycles_s)),
    }
    for name, part in _PARTS.items():
        row[f'round_us_{name}'] = round(quantile(rounds_s, part) * _MICRO)
    row['round_us_max'] = round(max(rounds_s) * _MICRO)
    return row
