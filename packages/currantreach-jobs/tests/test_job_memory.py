"""How much memory the open jobs of all teams may take on a leader."""

from __future__ import annotations

import asyncio
import tracemalloc

import attrs
import pytest

from currantreach_jobs import EndedRun, EndKind, JobSettings, Outcome
from currantreach_jobs._bounds import MAX_INTEGER, MAX_STEPS, MAX_TASKS
from currantreach_jobs._load import Load, exceeds_memory, measure_load
from currantreach_jobs._memory import (
    MIN_LIMIT_BYTES,
    TeamBytes,
    accepted_bytes,
    occurrence_bytes,
)
from currantreach_jobs._records import MemberRecord, decode_job, encode_job
from currantreach_platform import KeyValue
from currantreach_types import Resources, encode_msgpack

ONE = '0' * 16
TINY = Resources(cpu_milli=1, memory_mib=1)
# The smallest hosts of a deployment.
HOST_BYTES = 200_000_000
LIMIT_BYTES = JobSettings(memory_bytes=HOST_BYTES).job_memory_bytes
# 22 jobs of this shape exceeded the memory of a leader.
OCCURRENCE_COUNT = 1000
STEP_COUNT = 20
JOB_COUNT = 22


@pytest.fixture
def make(job):
    """Return a function that makes a job, due now if it has occurrences."""

    def make_job(
        job_id, step_count=1, task_count=1, occurrence_count=0, team='orchard'
    ):
        made = job(job_id, count=task_count, needed=TINY, team=team)
        chain = [
            attrs.evolve(made.steps[0], after=(number - 1,) if number else ())
            for number in range(step_count)
        ]
        return attrs.evolve(
            made,
            steps=tuple(chain),
            occurrence_count=occurrence_count,
            first_run_unix_ms=1 if occurrence_count else 0,
            interval_ms=1 if occurrence_count else 0,
        )

    return make_job


@pytest.fixture
def small_host(offline):
    """Return an offline scheduler with the limit of the smallest hosts."""
    offline.cluster.memory.limit_bytes = LIMIT_BYTES
    return offline


@pytest.mark.parametrize(
    ('step_count', 'task_count'),
    [(1, 1), (1, 48), (STEP_COUNT, 1), (1, MAX_TASKS), (MAX_STEPS, STEP_COUNT)],
)
def test_estimate_covers_the_memory_of_a_job(
    offline, make, step_count, task_count
):
    """An estimate that is too low would let jobs exceed the memory."""
    made = make(ONE, step_count, task_count)
    stored = encode_job(made)
    # The first job fills caches of the process, which are no part of a job.
    offline.cluster.add_job(attrs.evolve(decode_job(stored), job_id='f' * 16))
    tracemalloc.start()
    try:
        for number in range(8):
            copy = attrs.evolve(decode_job(stored), job_id=f'{number:016x}')
            offline.cluster.add_job(copy)
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used_bytes / 8 < accepted_bytes(made)


def test_largest_job_fits_into_the_least_limit(make):
    """A job within the bounds must not wait forever for memory."""
    largest = make(ONE, MAX_STEPS, MAX_TASKS // MAX_STEPS)
    largest = attrs.evolve(largest, payload='x' * 4000)
    assert 2 * accepted_bytes(largest) < MIN_LIMIT_BYTES


def test_due_occurrences_exhaust_no_memory(small_host, make):
    """Scheduled jobs that are all due at once must not end each leader."""
    tracemalloc.start()
    try:
        for number in range(JOB_COUNT):
            small_host.cluster.add_job(
                make(
                    f'{number:016x}',
                    STEP_COUNT,
                    occurrence_count=OCCURRENCE_COUNT,
                )
            )
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used_bytes < 2 * LIMIT_BYTES


def test_deferred_occurrences_start_when_others_have_ended(small_host, make):
    """What waits for memory must go on, and finish in the end."""
    made = make(ONE, occurrence_count=20)
    memory = small_host.cluster.memory
    memory.limit_bytes = 6 * occurrence_bytes(made)
    small_host.cluster.add_job(made)
    started = []
    while small_host.started():
        assert memory.opened.total_bytes <= memory.limit_bytes
        for run in tuple(small_host.launched):
            small_host.cluster.confirm_start(run)
            started.append(run.task.occurrence)
            finish(small_host, run, len(started))
    assert started == list(range(20))
    assert not small_host.cluster.open_jobs
    assert not memory.opened.total_bytes
    assert not memory.accepted.total_bytes


def finish(offline, run, number):
    """Let the worker of a run list its end as done."""
    ended = EndedRun(
        number=number, task=run.task, attempt=run.attempt, kind=EndKind.DONE
    )
    offline.cluster.end_run(run.worker_id, ended)


def test_other_teams_are_opened_beside_a_large_one(small_host, make):
    """A team with more due work than fits must not keep others waiting."""
    for number in range(JOB_COUNT):
        hot = make(f'{number:016x}', 1, MAX_TASKS, team='hot')
        small_host.cluster.add_job(hot)
    steady = make('f' * 16, team='steady')
    small_host.cluster.add_job(steady)
    assert small_host.cluster.jobs[steady.job_id].stages
    opened = small_host.cluster.memory.opened
    assert 2 * opened.bytes_of('hot') <= LIMIT_BYTES


def test_team_may_use_what_is_free_for_all():
    """One team must leave as much memory as it uses."""
    memory = TeamBytes()
    memory.add('hot', 50)
    assert not memory.fits('hot', 1, 100)
    assert memory.fits('steady', 25, 100)
    assert not memory.fits('steady', 26, 100)
    memory.add('hot', -20)
    assert memory.fits('hot', 20, 100)
    assert not memory.fits('hot', 21, 100)


def test_leader_without_memory_refuses_further_jobs(small_host, make):
    """Jobs that no leader could hold were accepted."""
    large = make(ONE, MAX_STEPS, MAX_TASKS // MAX_STEPS, team='hot')
    unreported = TeamBytes()
    load = measure_load(small_host.cluster, small_host.clock.now_s())
    assert not exceeds_memory(load, large, unreported)
    for number in range(3):
        small_host.cluster.add_job(attrs.evolve(large, job_id=f'{number:016x}'))
    load = measure_load(small_host.cluster, small_host.clock.now_s())
    assert exceeds_memory(load, large, unreported)
    assert not exceeds_memory(load, make(ONE, team='steady'), unreported)


def test_jobs_accepted_since_the_last_load_count(make):
    """A burst between two measurements must not exceed the memory."""
    large = make(ONE, 1, MAX_TASKS)
    load = Load(free_bytes=3 * accepted_bytes(large))
    unreported = TeamBytes()
    accepted = 0
    while not exceeds_memory(load, large, unreported):
        unreported.add(large.team, accepted_bytes(large))
        accepted += 1
    assert accepted == 1


def test_refusal_for_memory(run_scenario, make, wait_until):
    """A job beyond the memory is refused at once; an accepted one is not."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        first = make(ONE)
        response = await daemon.submissions.submit(first)
        assert response.outcome is Outcome.ACCEPTED
        daemon.submissions.load = Load(free_bytes=0)
        response = await daemon.submissions.submit(make('1' * 16))
        assert response.outcome is Outcome.MEMORY_FULL
        assert response.retry_after_s
        response = await daemon.submissions.submit(first)
        assert response.outcome is Outcome.ACCEPTED

    run_scenario(scenario)


def test_memory_counts_while_the_cell_has_no_leader(run_scenario, wait_until):
    """The open jobs are still there when the next leader decides."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        following = asyncio.create_task(daemon.submissions.follow_load())
        await wait_until(
            lambda: daemon.submissions.load.free_bytes < MAX_INTEGER
        )
        free_bytes = daemon.submissions.load.free_bytes
        daemon.scheduler = None
        await asyncio.sleep(2)
        assert daemon.submissions.load.free_bytes == free_bytes
        following.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('member_bytes', 'limit_bytes'),
    [
        (0, LIMIT_BYTES),
        (MAX_INTEGER, LIMIT_BYTES),
        (LIMIT_BYTES // 2, LIMIT_BYTES // 2),
        (1, MIN_LIMIT_BYTES),
    ],
)
def test_limit_is_that_of_the_smallest_member(
    run_scenario, member_bytes, limit_bytes
):
    """Any member may have to lead, and an odd record must stop no cell."""

    async def scenario(fleet, cell):
        daemon = cell.start('a')
        await asyncio.sleep(1)
        record = MemberRecord(address='b', job_memory_bytes=member_bytes)
        fleet.store.keys['cell/members/b'] = KeyValue(
            key='cell/members/b', stored=encode_msgpack(record), revision=99
        )
        fleet.store.log.append((99, 'cell/members/b'))
        fleet.store.revision = 99
        await asyncio.sleep(3)
        assert daemon.coordinator.job_memory_bytes() == limit_bytes

    run_scenario(scenario)
