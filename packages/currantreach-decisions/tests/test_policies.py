"""Tests of rules that random fleets rarely exercise."""

from __future__ import annotations

import pytest

from currantreach_decisions import IndexedScheduler, TaskEnd, TeamQuota
from currantreach_types import PolicyKind, Resources, TaskSpec, WorkerInfo

CAPACITY = Resources(4, 4000, 4096, 0, 64)
UNIT = Resources(1, 1000, 1024, 0, 1)


@pytest.fixture
def scheduler():
    """Return a scheduler with four workers in two racks."""
    cell = IndexedScheduler()
    quota = TeamQuota(share=1, allotment=CAPACITY.scaled_by(4))
    cell.set_teams({'north': quota, 'south': quota})
    for index in range(4):
        worker = WorkerInfo(
            name=f'worker-{index}',
            failure_domain='north',
            rack='a' if index < 2 else 'b',
            url='',
            capacity=CAPACITY,
        )
        cell.set_worker(worker, is_admitted=True)
    return cell


def spec(name, policy=PolicyKind.batch, team='north', **fields):
    """Return a request of one unit."""
    return TaskSpec(
        request_id=name,
        team=team,
        queue=policy.value,
        workload=fields.pop('workload', 'scan'),
        policy=policy,
        resources=UNIT,
        **fields,
    )


def only(decided):
    """Return the one decision that is expected."""
    assert len(decided) == 1
    return decided[0]


def fill(scheduler, count, now_s=0, **fields):
    """Start single tasks and return their ids."""
    for index in range(count):
        scheduler.submit(spec(f'fill-{index}', **fields), now_s)
    return [each.task_id for each in scheduler.decide(now_s).placements]


def test_two_gangs_do_not_block_each_other(scheduler):
    """Guard against a deadlock of gangs that each occupy half the fleet."""
    tasks = fill(scheduler, 16)
    assert len(tasks) == 16
    for team in ('north', 'south'):
        gang = spec(team, PolicyKind.gang, team, gang_size=12)
        assert scheduler.submit(gang, 1) is None
    started = []
    for now_s, task_id in enumerate(tasks, start=2):
        scheduler.end_task(task_id, TaskEnd.finished, now_s)
        started += scheduler.decide(now_s).placements
    first = {each.spec.request_id for each in started}
    assert len(first) == 1
    for placement in started:
        scheduler.end_task(placement.task_id, TaskEnd.finished, 50)
    second = scheduler.decide(51).placements
    assert first | {each.spec.request_id for each in second} == {
        'north',
        'south',
    }


def test_urgent_work_preempts_batch_but_no_service(scheduler):
    """Guard against urgent tasks blocked by batch, and stopped services."""
    fill(scheduler, 12, policy=PolicyKind.service)
    batch = {f'batch-{index}/0' for index in range(4)}
    for task_id in batch:
        scheduler.submit(spec(task_id[:-2]), 0)
    assert len(scheduler.decide(0).placements) == 4
    scheduler.submit(spec('urgent', team='south', is_urgent=True), 20)
    scheduler.decide(20)
    preemption = only(scheduler.decide(20.5).preemptions)
    assert preemption.task_id in batch
    scheduler.end_task(preemption.task_id, TaskEnd.checkpointed, 21)
    placement = only(scheduler.decide(21).placements)
    assert placement.spec.request_id == 'urgent'


def test_worker_that_fails_everything_is_quarantined(scheduler):
    """Guard against a worker that attracts all tasks by failing fast."""
    now_s = 0
    for index in range(6):
        constraints = {'worker': 'worker-0'}
        workload = f'job-{index}'
        scheduler.submit(
            spec(workload, workload=workload, constraints=constraints),
            now_s,
        )
        for placement in scheduler.decide(now_s).placements:
            scheduler.end_task(placement.task_id, TaskEnd.failed, now_s)
    assert scheduler.waiting_count() == 3
    probe = only(scheduler.decide(11).placements)
    scheduler.end_task(probe.task_id, TaskEnd.finished, 12)
    assert len(scheduler.decide(13).placements) == 2


def test_job_that_fails_everywhere_is_refused(scheduler):
    """Guard against quarantining healthy workers for a failing job."""
    for index in range(3):
        constraints = {'worker': f'worker-{index}'}
        scheduler.submit(spec(f'bad-{index}', constraints=constraints), 0)
        placement = only(scheduler.decide(0).placements)
        scheduler.end_task(placement.task_id, TaskEnd.failed, 0)
    refusal = scheduler.submit(spec('bad-3'), 1)
    assert refusal.reason == 'repeated_failure'
    assert scheduler.submit(spec('good', workload='other'), 1) is None
    assert len(scheduler.decide(1).placements) == 1


def test_failed_run_on_several_workers_is_one_failure(scheduler):
    """A gang was refused after one run that had failed on three workers."""
    gang = spec('gang', PolicyKind.gang, gang_size=16)
    for now_s in range(3):
        assert scheduler.submit(gang, now_s) is None
        placements = scheduler.decide(now_s).placements
        assert len({each.worker for each in placements}) == 4
        for failed in placements:
            scheduler.end_task(failed.task_id, TaskEnd.failed, now_s)
    assert scheduler.submit(gang, 3).reason == 'repeated_failure'


def test_observed_usage_reduces_free_capacity(scheduler):
    """Guard against placing tasks beside one that exceeds its size."""
    constraints = {'worker': 'worker-0'}
    scheduler.submit(spec('large', constraints=constraints), 0)
    placement = only(scheduler.decide(0).placements)
    scheduler.observe(placement.task_id, CAPACITY.scaled_by(2), 1)
    scheduler.submit(spec('next', constraints=constraints), 1)
    assert not scheduler.decide(1).placements
    assert 'room' in scheduler.explain('next', 1)


def prompt(name):
    """Return a prompt request that has to start within a second."""
    return spec(name, PolicyKind.prompt, deadline_s=1)


def test_prompt_burst_on_idle_fleet_starts(scheduler):
    """Guard against a rate of starts that only shows how little was asked.

    Requests that arrive between two rounds were refused as if the fleet could
    start no more of them per second than had been submitted before.
    """
    for second in range(4):
        scheduler.submit(prompt(f'single-{second}'), second)
        placement = only(scheduler.decide(second).placements)
        scheduler.end_task(placement.task_id, TaskEnd.finished, second + 0.1)
    refused = [
        scheduler.submit(prompt(f'burst-{index}'), 4.1) for index in range(12)
    ]
    assert not any(refused), refused
    assert len(scheduler.decide(4.1).placements) == 12


def test_prompt_request_on_full_fleet_is_refused_at_once(scheduler):
    """Guard against prompt requests that wait although they start too late."""
    running = fill(scheduler, 16, policy=PolicyKind.prompt)
    refusals = []
    for second in range(1, 4):
        refusals += [
            scheduler.submit(prompt(f'late-{second}-{index}'), second)
            for index in range(8)
        ]
        scheduler.end_task(running.pop(), TaskEnd.finished, second)
        assert len(scheduler.decide(second).placements) == 1
    # One start per second was seen, and more than three requests wait.
    assert refusals[-1] is not None
    assert refusals[-1].reason == 'deadline_unreachable'
    assert refusals[-1].retry_after_s > 3
