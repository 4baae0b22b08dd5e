"""Tests of the run times that the estimator learns."""

from __future__ import annotations

import pytest

from currantreach_decisions._estimates import Estimator
from currantreach_decisions._ledger import PlacedTask
from currantreach_types import PolicyKind, Resources, TaskSpec


@pytest.fixture
def make_task():
    """Return a function that makes a placed task."""

    def make(workload='lookups', expected_run_s=1, gang_size=1):
        return PlacedTask(
            task_id='task',
            spec=TaskSpec(
                request_id='request',
                team='orchard',
                queue='batch',
                workload=workload,
                policy=PolicyKind.batch,
                resources=Resources(1, 1000, 1000),
                gang_size=gang_size,
                expected_run_s=expected_run_s,
            ),
            worker='w1',
            allocated=Resources(1, 1000, 1000),
            started_at_s=100,
            attempt=1,
        )

    return make


@pytest.mark.parametrize('gang_size', [1, 3])
def test_run_time_replaces_declared_one(make_task, gang_size):
    """Declared run times that are off would delay gangs by their error."""
    estimator = Estimator()
    task = make_task(gang_size=gang_size)
    for _ in range(30):
        estimator.learn_run(task, 104)
    assert estimator.run_s(task.spec) == pytest.approx(4, rel=0.2)
    other = make_task(workload='plans', expected_run_s=7)
    assert estimator.run_s(other.spec) == 7


def test_run_that_ends_before_its_start_teaches_nothing(make_task):
    """A clock that goes backwards would teach a negative run time."""
    estimator = Estimator()
    task = make_task()
    estimator.learn_run(task, 99)
    assert estimator.run_s(task.spec) == 1


def test_declared_time_far_off_is_replaced(make_task):
    """A run time far above the declared one must be learned as well.

    Runs of more than a hundred times the declared time were dropped as
    measured wrongly. It is 1 s where a caller declares none, so tasks of some
    minutes were expected to end at once.
    """
    estimator = Estimator()
    task = make_task()
    for _ in range(30):
        estimator.learn_run(task, 250)
    assert estimator.run_s(task.spec) == pytest.approx(150, rel=0.2)


def test_many_workloads_are_learned(make_task):
    """A hundred workloads in turn must all keep their run times.

    Only 64 of them were kept, and the others had their declared times again.
    """
    estimator = Estimator()
    tasks = [make_task(workload=f'workload-{number}') for number in range(100)]
    for _ in range(30):
        for task in tasks:
            estimator.learn_run(task, 104)
    assert all(estimator.run_s(task.spec) > 2 for task in tasks)


@pytest.mark.parametrize('run_s', [4000, 86400])
def test_run_times_above_one_hour_are_learned(make_task, run_s):
    """Tasks of hours would keep their declared run time.

    Runs of more than an hour were dropped, which holds for jobs only.
    """
    estimator = Estimator()
    task = make_task()
    for _ in range(30):
        estimator.learn_run(task, 100 + run_s)
    assert estimator.run_s(task.spec) == pytest.approx(run_s, rel=0.2)
