"""Random fleets and queues, checked by independent accounting."""

from __future__ import annotations

import random

import pytest

from currantreach_decisions import (
    IndexedScheduler,
    NaiveScheduler,
    TaskEnd,
    TeamQuota,
)
from currantreach_types import PolicyKind, Resources, TaskSpec, WorkerInfo

SCHEDULERS = (NaiveScheduler, IndexedScheduler)
ROUNDS = 500


def make_worker(rng, index):
    """Return a random worker."""
    rack = index // 3
    cores = rng.choice((4, 8, 16))
    capacity = Resources(8, cores * 1000, cores * 2048, rng.choice((0, 2)), 64)
    return WorkerInfo(
        name=f'worker-{index}',
        failure_domain='north',
        rack=f'rack-{rack}',
        url='http://127.0.0.1:1',
        capacity=capacity,
        labels={'disk': rng.choice(('fast', 'slow'))},
    )


def make_spec(rng, index):
    """Return a random request."""
    policy = rng.choice(tuple(PolicyKind))
    return TaskSpec(
        request_id=f'north.0.1.{index}',
        team=f'team-{rng.randrange(3)}',
        queue=policy.value,
        workload=f'{policy.value}-{rng.randrange(2)}',
        policy=policy,
        resources=Resources(
            1,
            rng.randrange(100, 6000),
            rng.randrange(64, 12000),
            rng.choice((0, 0, 0, 1)),
            rng.randrange(4),
        ),
        gang_size=rng.randrange(2, 5) if policy is PolicyKind.gang else 1,
        is_urgent=not rng.randrange(10),
        is_unrepeatable=not rng.randrange(5),
        deadline_s=rng.choice((None, None, 5, 60)),
        constraints=rng.choice(({}, {}, {'disk': 'fast'}, {'rack': 'rack-0'})),
    )


class Cell:
    """A scheduler and independent accounting of its decisions."""

    def __init__(self, scheduler, rng, workers, allotment):
        """Start with workers and three teams."""
        self.scheduler = scheduler
        self.rng = rng
        self.workers = {worker.name: worker for worker in workers}
        self.teams = {
            f'team-{index}': TeamQuota(share=index + 1, allotment=allotment)
            for index in range(3)
        }
        self.placed = {}
        self.waiting = {}
        self.now_s = 0
        self.observed = False
        scheduler.set_teams(self.teams)
        for worker in workers:
            scheduler.set_worker(worker, is_admitted=True)

    def submit(self, spec):
        """Submit a request."""
        refusal = self.scheduler.submit(spec, self.now_s)
        if refusal is None:
            self.waiting[spec.request_id] = spec
        return refusal

    def decide(self):
        """Run one round and check its decisions."""
        decisions = self.scheduler.decide(self.now_s)
        for request_id, _ in decisions.refused:
            self.waiting.pop(request_id)
        started = {}
        for placement in decisions.placements:
            assert placement.task_id not in self.placed
            assert placement.spec.resources.fits_in(placement.resources)
            labels = self.labels(placement.worker)
            assert placement.spec.constraints.items() <= labels.items()
            self.placed[placement.task_id] = placement
            started.setdefault(placement.spec.request_id, []).append(placement)
        for request_id, placements in started.items():
            assert len(placements) == self.waiting.pop(request_id).gang_size
        for preemption in decisions.preemptions:
            assert preemption.task_id in self.placed
        self.check()
        return decisions

    def labels(self, worker):
        """Return the labels of a worker."""
        worker_info = self.workers[worker]
        return {
            **worker_info.labels,
            'rack': worker_info.rack,
            'worker': worker_info.name,
        }

    def end(self, task_id, end=TaskEnd.finished):
        """End a placed task."""
        self.placed.pop(task_id)
        self.scheduler.end_task(task_id, end, self.now_s)

    def check(self):
        """Compare the allocations with capacities, allotments and usage."""
        used = dict.fromkeys(self.workers, Resources())
        teams = dict.fromkeys(self.teams, Resources())
        for placement in self.placed.values():
            used[placement.worker] += placement.resources
            teams[placement.spec.team] += placement.resources
        for name, worker in self.workers.items():
            assert used[name].fits_in(worker.capacity)
        for name, quota in self.teams.items():
            assert teams[name].fits_in(quota.allotment)
            if not self.observed:
                assert self.scheduler.usage()[name] == teams[name]
        assert self.scheduler.waiting_count() == len(self.waiting)


@pytest.mark.parametrize('scheduler_type', SCHEDULERS)
def test_random_cells_stay_within_limits(scheduler_type):
    """Guard against overcommitted workers or teams and partial gangs."""
    for seed in range(ROUNDS):
        rng = random.Random(seed)
        workers = [
            make_worker(rng, index) for index in range(rng.randint(1, 9))
        ]
        allotment = Resources(rng.randint(5, 30), 40000, 80000, 4, 200)
        cell = Cell(scheduler_type(), rng, workers, allotment)
        for index in range(rng.randrange(60)):
            cell.submit(make_spec(rng, index))
            if not rng.randrange(3):
                cell.decide()
            if cell.placed and not rng.randrange(3):
                cell.end(
                    rng.choice(sorted(cell.placed)),
                    rng.choice(tuple(TaskEnd)),
                )
            cell.now_s += rng.random()


def test_first_request_into_empty_fleet():
    """Guard against an index that misses capacity that a scan finds."""
    for seed in range(ROUNDS * 4):
        rng = random.Random(seed)
        workers = [
            make_worker(rng, index) for index in range(rng.randint(1, 9))
        ]
        spec = make_spec(rng, 0)
        allotment = Resources(30, 40000, 80000, 4, 200)
        outcomes = []
        for scheduler_type in SCHEDULERS:
            cell = Cell(scheduler_type(), rng, workers, allotment)
            refusal = cell.submit(spec)
            outcomes.append((refusal, len(cell.decide().placements)))
        assert outcomes[0] == outcomes[1], seed
