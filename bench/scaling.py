"""Decision time by fleet size, with 50,000 waiting requests."""

from __future__ import annotations

import random
import time

import attrs

from bench.report import print_line, quantile
from bench.workload import DEPLOYMENTS, scaling_specs
from currantreach_decisions import IndexedScheduler, TaskEnd, TeamQuota

FLEET_SIZES = (24, 200, 1300)
WAITING = 50000
_CYCLES = 4000
_QUEUE_LIMIT = 200000
_QUANTILES = (('p50', 0.5), ('p99', 0.99))
_TASKS_PER_WORKER = 10
_FIRST_CYCLE_S = 2
_CYCLE_S = 0.002
_MICRO = 1000000


def scaling(seed: int) -> list[dict[str, float]]:
    """Measure each fleet size, print the metrics and return them."""
    rows = [_measure(count, seed) for count in FLEET_SIZES]
    for row in rows:
        print_line(' '.join(f'{key}={figure}' for key, figure in row.items()))
    return rows


class _LoadedFleet:
    """Full fleet with waiting requests."""

    def __init__(self, worker_count: int, seed: int) -> None:
        """Fill the fleet and measure the time that this takes."""
        self.rounds_s: list[float] = []
        self.cycles_s: list[float] = []
        self.placed = 0
        self.running: list[str] = []
        self.scheduler = IndexedScheduler({'batch': _QUEUE_LIMIT})
        self._rng = random.Random(seed)
        self._submit(worker_count, seed)
        start_s = time.perf_counter()
        while self._run_round(1):
            self.placed = 0
        self.fill_s = time.perf_counter() - start_s

    def cycle(self, now_s: float) -> None:
        """End one random task and run a round."""
        last = len(self.running) - 1
        index = self._rng.randrange(last + 1)
        ended = self.running[index]
        self.running[index] = self.running[last]
        self.running.pop()
        start_s = time.perf_counter()
        self.scheduler.end_task(ended, TaskEnd.finished, now_s)
        self._run_round(now_s)
        self.cycles_s.append(time.perf_counter() - start_s)

    def _submit(self, worker_count: int, seed: int) -> None:
        """Add the workers and submit the requests."""
        deployment = attrs.evolve(
            DEPLOYMENTS['agency'],
            worker_count=worker_count,
        )
        for worker in deployment.workers():
            self.scheduler.set_worker(worker, is_admitted=True)
        count = WAITING + _TASKS_PER_WORKER * worker_count + _CYCLES
        specs = scaling_specs(count, seed)
        quota = TeamQuota(share=1, allotment=deployment.total())
        self.scheduler.set_teams({spec.team: quota for spec in specs})
        for spec in specs:
            self.scheduler.submit(spec, 0)

    def _run_round(self, now_s: float) -> int:
        """Run a round and return the number of placed tasks."""
        start_s = time.perf_counter()
        placements = self.scheduler.decide(now_s).placements
        self.rounds_s.append(time.perf_counter() - start_s)
        self.running += [placement.task_id for placement in placements]
        self.placed += len(placements)
        return len(placements)


def _measure(worker_count: int, seed: int) -> dict[str, float]:
    """Fill a fleet, end one task per round, and return the metrics."""
    fleet = _LoadedFleet(worker_count, seed)
    filled = len(fleet.running)
    fleet.rounds_s.clear()
    for index in range(_CYCLES):
        fleet.cycle(_FIRST_CYCLE_S + index * _CYCLE_S)
    row: dict[str, float] = {
        'workers': worker_count,
        'waiting': fleet.scheduler.waiting_count(),
        'filled': filled,
        'fill_placements_per_s': round(filled / fleet.fill_s),
        'placed': fleet.placed,
        'placements_per_s': round(fleet.placed / sum(fleet.cycles_s)),
    }
    for name, fraction in _QUANTILES:
        row[f'round_us_{name}'] = round(
            quantile(fleet.rounds_s, fraction) * _MICRO
        )
    row['round_us_max'] = round(max(fleet.rounds_s) * _MICRO)
    return row
