"""Workers that are slow for some time after their start.

After an evacuation all workers of a failure domain come back at the same time,
and tasks that start there at once run late although warm workers are free.
"""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs._placement import (
    eligible_workers,
    workers_to_probe,
    workers_to_query,
)
from currantreach_types import Resources

WHOLE = Resources(cpu_milli=16000, memory_mib=1000)
HALF = Resources(cpu_milli=8000, memory_mib=1000)
QUARTER = Resources(cpu_milli=4000, memory_mib=1000)
ONE = '1' * 16
COLD_S = 9


@pytest.fixture
def chill(offline, reports):
    """Return a function that reports w1 and w2 with their remaining times."""

    def report(first_s, second_s, **changes):
        for found, cold_s in zip(reports, (first_s, second_s), strict=True):
            offline.cluster.add_worker(
                attrs.evolve(found, cold_remaining_s=cold_s, **changes)
            )

    return report


def stage_of(offline, made):
    """Add a job and return its stage."""
    offline.cluster.add_job(made)
    return offline.cluster.jobs[made.job_id].stages[0, 0]


def names(workers):
    """Return the ids of workers in their order."""
    return [worker.report.worker_id for worker in workers]


def test_warm_workers_are_used_first(offline, job, chill):
    """A cold worker with less free capacity was the best fit."""
    offline.cluster.add_job(job('a', needed=HALF))
    offline.started()
    assert offline.launched[0].worker_id == 'w1'
    chill(COLD_S, 0)
    offline.cluster.add_job(job('b', needed=QUARTER))
    offline.started()
    assert offline.launched[0].worker_id == 'w2'


def test_cold_workers_are_not_left_idle(offline, job, chill):
    """Work that finds no capacity on warm workers uses cold ones."""
    chill(COLD_S, 0)
    offline.cluster.add_job(job(ONE, count=4, needed=HALF))
    assert len(offline.started()) == 4
    assert [run.worker_id for run in offline.launched] == [
        'w2',
        'w2',
        'w1',
        'w1',
    ]


def test_worker_is_warm_once_it_reports_so(offline, job, chill):
    """A worker must not be avoided for longer than it is slow."""
    offline.cluster.add_job(job('a', needed=HALF))
    offline.started()
    chill(0.1, 0)
    chill(0, 0)
    offline.cluster.add_job(job('b', needed=QUARTER))
    offline.started()
    assert offline.launched[0].worker_id == 'w1'


def test_cold_worker_near_the_data_comes_later(offline, job, chill):
    """Data is read from another rack sooner than by a cold worker."""
    chill(COLD_S, 0, labels=frozenset())
    worker = offline.cluster.workers['w1']
    worker.report = attrs.evolve(worker.report, labels=frozenset(('r1',)))
    stage = stage_of(offline, job(ONE, data_rack='r1'))
    workers = offline.cluster.workers.values()
    assert names(eligible_workers(stage, workers, 100)) == ['w2', 'w1']


@pytest.mark.parametrize(('task_count', 'rack'), [(2, 'r2'), (4, 'r1')])
def test_gang_uses_one_warm_rack(offline, job, reports, task_count, rack):
    """A cold rack that came first by its name took gangs of one rack.

    A gang that does not fit on the warm workers still gets one rack.
    """
    offline.cluster.workers.clear()
    for name, label, cold_s in (
        ('a1', 'r1', COLD_S),
        ('a2', 'r1', COLD_S),
        ('b1', 'r2', 0),
        ('b2', 'r3', 0),
    ):
        report = attrs.evolve(
            reports[0],
            worker_id=name,
            labels=frozenset((label,)),
            cold_remaining_s=cold_s,
        )
        offline.add_workers([report])
    offline.cluster.workers['b2'].free = HALF
    made = job(
        ONE, count=task_count, needed=HALF, is_gang=True, is_rack_local=True
    )
    offline.cluster.add_job(made)
    offline.started()
    labels = [
        offline.cluster.workers[run.worker_id].report.labels
        for run in offline.launched
    ]
    assert len(labels) == task_count
    assert set(labels) == {frozenset((rack,))}


def test_warm_workers_are_queried_first(offline, job, chill, advised_queue):
    """An advice call about cold workers delays the tasks on warm ones."""
    chill(COLD_S, 0)
    stage = stage_of(offline, job(ONE, needed=HALF, queue=advised_queue))
    workers = list(offline.cluster.workers.values())
    assert names(workers_to_query(stage, workers, 1, 102)) == ['w2', 'w1']
    assert names(workers_to_probe(stage, workers, 1, 1)) == ['w2', 'w1']


def test_warm_workers_are_reserved_first(offline, job, chill):
    """A waiting gang must not wait for cold workers while others serve it."""
    offline.cluster.add_job(job('a', count=3, needed=HALF, estimate_s=1))
    offline.started()
    chill(COLD_S, COLD_S)
    full, half = sorted(
        offline.cluster.workers.values(),
        key=lambda worker: worker.free.cpu_milli,
    )
    full.report = attrs.evolve(full.report, cold_remaining_s=0)
    gang = job(ONE, count=2, needed=HALF, is_gang=True, estimate_s=1)
    stage = stage_of(offline, gang)
    offline.clock.advance(0.1)
    offline.started()
    assert full.reserved_by is stage
    assert half.reserved_by is None


def test_gang_starts_on_warm_workers_despite_slack(offline, durations, job):
    """A gang with slack must not prefer cold workers that were learned slow.

    The slowest workers on which it is on time came first, warm or not.
    """
    cluster = offline.cluster
    for number in range(2):
        report = cluster.workers['w1'].report
        cold = attrs.evolve(
            report, worker_id=f'cold{number}', cold_remaining_s=30
        )
        offline.add_workers([cold])
        durations.slowdowns[cold.worker_id] = 2
    cluster.add_job(
        job(
            'a' * 16,
            2,
            needed=Resources(cpu_milli=16000, memory_mib=1000),
            is_gang=True,
            estimate_s=0.1,
        )
    )
    offline.started()
    assert {run.worker_id for run in offline.launched} == {'w1', 'w2'}
