"""Packing of tasks by the scarcer of cores and memory.

On workers with 64 cores and 128 GB, tasks of 18 GB use up the memory of a
worker while a third of its cores is free. With best fit by cores, a worker
with few free cores and much memory was filled first, and tasks that need much
memory found it on no worker.
"""

from __future__ import annotations

import attrs
import pytest
from hypothesis import HealthCheck, given, settings, strategies

from currantreach_jobs._packing import choose_free_share, free_cpu, free_memory
from currantreach_jobs._placement import eligible_workers
from currantreach_jobs._usage import WorkerState
from currantreach_types import Resources

NOW_S = 100
ROOM = Resources(cpu_milli=64000, memory_mib=131072)


@pytest.fixture
def make_workers(reports):
    """Return a function that makes workers with some free resources."""

    def make(*free):
        return [
            WorkerState(
                report=attrs.evolve(
                    reports[0], worker_id=f'w{number}', room=ROOM
                ),
                free=Resources(cpu_milli=cpu_milli, memory_mib=memory_mib),
                is_usable=True,
            )
            for number, (cpu_milli, memory_mib) in enumerate(free)
        ]

    return make


@pytest.fixture
def stage(offline, job):
    """Return a stage of one task."""
    offline.cluster.add_job(job('j'))
    return offline.cluster.jobs['j'].stages[0, 0]


def names(workers):
    """Return the ids of workers."""
    return [worker.report.worker_id for worker in workers]


def test_memory_counts_where_it_is_scarcer(make_workers, stage):
    """A worker with much free memory must stay free for a large task."""
    workers = make_workers((20000, 60000), (30000, 19000), (40000, 20000))
    measure = choose_free_share(workers)
    assert measure is free_memory
    ordered = eligible_workers(stage, workers, NOW_S, free_share=measure)
    assert names(ordered) == ['w1', 'w2', 'w0']


def test_large_task_still_fits(offline, job, reports):
    """Tasks with little memory must not strand the memory of a worker."""
    offline.cluster.workers.clear()
    offline.add_workers(
        attrs.evolve(reports[0], worker_id=name, room=ROOM)
        for name in ('w1', 'w2')
    )
    for job_id, worker_id, cpu_milli, memory_mib in (
        ('r1', 'w1', 40000, 60000),
        ('r2', 'w2', 20000, 110000),
    ):
        needed = Resources(cpu_milli=cpu_milli, memory_mib=memory_mib)
        offline.cluster.add_job(job(job_id, needed=needed))
        running = offline.cluster.jobs[job_id].stages[0, 0]
        offline.cluster.create_run(running, 0, worker_id, 1)
    small = Resources(cpu_milli=2000, memory_mib=10000)
    offline.cluster.add_job(job('small', needed=small))
    assert offline.started() == ['small']
    assert offline.launched[0].worker_id == 'w2'
    large = Resources(cpu_milli=20000, memory_mib=70000)
    offline.cluster.add_job(job('large', needed=large))
    assert offline.started() == ['large']


@settings(
    max_examples=100,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    free=strategies.lists(
        strategies.tuples(
            strategies.integers(0, ROOM.cpu_milli),
            strategies.integers(0, ROOM.memory_mib),
        ),
        min_size=1,
        max_size=20,
    )
)
def test_order_is_kept_where_cores_are_scarcer(make_workers, stage, free):
    """Fleets on which memory is not the scarcer resource are used as before."""
    workers = make_workers(*free)
    measure = choose_free_share(workers)
    cpu_share = sum(cpu for cpu, _ in free) / ROOM.cpu_milli
    memory_share = sum(memory for _, memory in free) / ROOM.memory_mib
    if cpu_share <= memory_share:
        assert measure is free_cpu
    ordered = eligible_workers(stage, workers, NOW_S, free_share=measure)
    key = free_memory if memory_share < cpu_share else free_cpu
    assert names(ordered) == names(sorted(workers, key=key))


def test_empty_fleet_has_a_measure():
    """A fleet without any open worker must not end a round with an error."""
    assert choose_free_share([]) is free_cpu
