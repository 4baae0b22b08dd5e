"""Decision time against fleet size with 50,000 requests waiting."""

from __future__ import annotations

import random
import time

import attrs

from bench.report import quantile, say
from bench.workload import DEPLOYMENTS, constant_sizes
from currantreach_decisions import IndexedScheduler, TaskEnd, TeamQuota

FLEET_SIZES = (24, 200, 1300)
WAITING = 50000
_ROUNDS = 4000
_LIMIT = 200000
_PARTS = (('p50', 0.5), ('p99', 0.99))
_TASKS_PER_WORKER = 10
_FIRST_S = 2
_CYCLE_S = 0.002
_MICRO = 1000000


def scaling(seed: int) -> list[dict[str, float]]:
    """Return and print the figures of each fleet size."""
    rows = [_measure(count, seed) for count in FLEET_SIZES]
    for row in rows:
        say(' '.join(f'{key}={amount}' for key, amount in row.items()))
    return rows


class _Cell:
    """A full fleet with requests waiting."""

    def __init__(self, worker_count: int, seed: int) -> None:
        """Fill the fleet and note how long it takes."""
        self.rounds_s: list[float] = []
        self.cycles_s: list[float] = []
        self.placed = 0
        self.running: list[str] = []
        self.scheduler = IndexedScheduler({'batch': _LIMIT})
        self._rng = random.Random(seed)
        self._submit(worker_count, seed)
        start_s = time.perf_counter()
        while self._decide(1):
            self.placed = 0
        self.fill_s = time.perf_counter() - start_s

    def cycle(self, now_s: float) -> None:
        """End one task and let others start."""
        last = len(self.running) - 1
        index = self._rng.randrange(last + 1)
        ended = self.running[index]
        self.running[index] = self.running[last]
        self.running.pop()
        start_s = time.perf_counter()
        self.scheduler.end_task(ended, TaskEnd.finished, now_s)
        self._decide(now_s)
        self.cycles_s.append(time.perf_counter() - start_s)

    def _submit(self, worker_count: int, seed: int) -> None:
        """Add the workers and queue the requests."""
        deployment = attrs.evolve(
            DEPLOYMENTS['agency'],
            worker_count=worker_count,
        )
        for worker in deployment.workers():
            self.scheduler.set_worker(worker, is_open=True)
        count = WAITING + _TASKS_PER_WORKER * worker_count + _ROUNDS
        specs = constant_sizes(count, seed)
        terms = TeamQuota(share=1, allotment=deployment.total())
        self.scheduler.set_teams({spec.team: terms for spec in specs})
        for spec in specs:
            self.scheduler.submit(spec, 0)

    def _decide(self, now_s: float) -> int:
        """Run a round and return the number of tasks it starts."""
        start_s = time.perf_counter()
        placements = self.scheduler.decide(now_s).placements
        self.rounds_s.append(time.perf_counter() - start_s)
        self.running += [placement.task_id for placement in placements]
        self.placed += len(placements)
        return len(placements)


def _measure(worker_count: int, seed: int) -> dict[str, float]:
    """Fill a fleet, keep requests waiting, then end one task a round."""
    cell = _Cell(worker_count, seed)
    filled = len(cell.running)
    cell.rounds_s.clear()
    for index in range(_ROUNDS):
        cell.cycle(_FIRST_S + index * _CYCLE_S)
    row: dict[str, float] = {
        'workers': worker_count,
        'waiting': cell.scheduler.waiting_count(),
        'filled': filled,
        'fill_placements_per_s': round(filled / cell.fill_s),
        'placed': cell.placed,
        'placements_per_s': round(cell.placed / sum(cell.cycles_s)),
    }
    for name, part in _PARTS:
        row[f'round_us_{name}'] = round(quantile(cell.rounds_s, part) * _MICRO)
    row['round_us_max'] = round(max(cell.rounds_s) * _MICRO)
    return row
