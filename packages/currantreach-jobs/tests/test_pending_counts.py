"""Which jobs count as not started, also after a change of the leader."""

from __future__ import annotations

import asyncio

import pytest

from currantreach_jobs import EndedRun, EndKind, JobState, StartAnswer
from currantreach_jobs._model import RunningRun, TaskKey
from currantreach_jobs._records import (
    Placement,
    ProgressRecord,
    StageRecord,
    decode_progress,
)
from currantreach_types import encode_msgpack

ONE = '0' * 16
TASK = TaskKey(ONE, 0, 0, 0)
QUEUE = 'lookups'
# Interval in which a leader stores starts that nothing else records.
CLEANUP_S = 5
PLACED = ProgressRecord(
    stages={'0.0': StageRecord(placed={0: Placement('w1', 7)})}
)


def count_pending(cell):
    """Return how many jobs the leader counts as not started."""
    return cell.scheduling_daemon().scheduler.cluster.pending_count(QUEUE)


@pytest.fixture
def replace_leader(wait_until):
    """Return a function that kills the leader and waits for the next one."""

    async def replace(cell):
        cell.scheduling_daemon().kill()
        await wait_until(lambda: cell.scheduling_daemon())

    return replace


def test_refused_jobs_are_pending_for_a_successor(
    run_scenario, job, wait_until, replace_leader
):
    """A placement is stored before its start, so it proves no start.

    After a change of the leader, jobs that their worker kept refusing were
    neither counted as pending nor shown as queued.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        worker.refusal = StartAnswer.UNHEALTHY
        for name in ('a', 'b'):
            cell.start(name)
        await wait_until(lambda: cell.scheduling_daemon())
        for number in range(4):
            made = job(f'{number:016x}')
            await cell.scheduling_daemon().submissions.submit(made)
        await asyncio.sleep(1)
        assert count_pending(cell) == 4
        await replace_leader(cell)
        for _ in range(20):
            assert count_pending(cell) == 4
            await asyncio.sleep(0.1)
        queries = cell.scheduling_daemon().job_queries
        state = await queries.state(ONE, QUEUE, 'orchard')
        assert state is JobState.QUEUED
        worker.refusal = None
        await wait_until(lambda: len(fleet.done) == 4)
        assert not count_pending(cell)

    run_scenario(scenario)


def test_running_job_is_not_pending_for_a_successor(
    run_scenario, job, wait_until, replace_leader
):
    """A run that its worker lists proves that the job has started."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 30
        for name in ('a', 'b'):
            cell.start(name)
        await wait_until(lambda: cell.scheduling_daemon())
        await cell.scheduling_daemon().submissions.submit(job(ONE))
        await wait_until(lambda: fleet.starts)
        await replace_leader(cell)
        await wait_until(lambda: not count_pending(cell), timeout_s=1)

    run_scenario(scenario)


def test_start_is_known_after_its_run_was_lost(
    run_scenario, job, wait_until, replace_leader
):
    """A job that has started must not be shown as queued again."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 30
        for name in ('a', 'b'):
            cell.start(name)
        await wait_until(lambda: cell.scheduling_daemon())
        await cell.scheduling_daemon().submissions.submit(job(ONE))
        await wait_until(lambda: worker.running)
        await asyncio.sleep(0.5)
        worker.refusal = StartAnswer.UNHEALTHY
        worker.end(next(iter(worker.running)), EndKind.LAPSED)
        await asyncio.sleep(CLEANUP_S + 0.5)
        assert not worker.ended
        await replace_leader(cell)
        assert not count_pending(cell)

    run_scenario(scenario)


def test_running_job_is_shown_as_running_without_a_leader(
    run_scenario, job, wait_until
):
    """A job that runs was shown as queued while no leader answered."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 30
        for name in ('a', 'b'):
            cell.start(name)
        await wait_until(lambda: cell.scheduling_daemon())
        leader = cell.scheduling_daemon()
        await leader.submissions.submit(job(ONE))
        await wait_until(lambda: worker.running)
        other = next(
            daemon for daemon in cell.daemons.values() if daemon is not leader
        )
        leader.kill()
        state = await other.job_queries.state(ONE, QUEUE, 'orchard')
        assert cell.scheduling_daemon() is None
        assert state is JobState.RUNNING

    run_scenario(scenario)


def test_unresolved_placement_counts_as_pending(offline, job):
    """A silent worker may have refused the start, so the job may be pending.

    The state is shown as running, as the run may be going on.
    """
    offline.cluster.add_job(job(ONE), PLACED)
    assert offline.cluster.pending_count(QUEUE) == 1
    progress = offline.cluster.jobs[ONE]
    assert progress.visible_state is JobState.RUNNING
    offline.cluster.drop_inherited('w1')
    assert progress.visible_state is JobState.QUEUED
    assert offline.cluster.pending_count(QUEUE) == 1


def test_run_that_may_be_hidden_proves_no_start(offline, job):
    """A list with an unreadable row may or may not contain the run."""
    offline.cluster.add_job(job(ONE), PLACED)
    run = RunningRun(task=TASK, attempt=7)
    assert offline.cluster.adopt('w1', run, is_listed=False)
    assert offline.cluster.pending_count(QUEUE) == 1


@pytest.mark.parametrize('kind', list(EndKind))
def test_listed_end_proves_a_start(offline, job, kind):
    """A run that has ended in any way was started."""
    offline.cluster.add_job(job(ONE, count=2), PLACED)
    ended = EndedRun(number=1, task=TASK, attempt=7, kind=kind)
    offline.cluster.end_run('w1', ended, is_inherited=True)
    assert not offline.cluster.pending_count(QUEUE)
    record = offline.cluster.jobs[ONE].record()
    assert decode_progress(encode_msgpack(record)).has_started


@pytest.mark.parametrize(
    ('stage', 'is_pending'),
    [
        (StageRecord(placed={0: Placement('w1', 7)}), True),
        (StageRecord(done=(0,)), False),
        (StageRecord(failures={0: 1}), False),
    ],
)
def test_record_of_an_earlier_build(offline, job, stage, is_pending):
    """A record without the start still shows it by its ends."""
    record = ProgressRecord(stages={'0.0': stage})
    offline.cluster.add_job(job(ONE, count=2), record)
    assert offline.cluster.pending_count(QUEUE) == is_pending
