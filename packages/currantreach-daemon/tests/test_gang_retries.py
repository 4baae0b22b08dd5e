"""Failed runs of requests, whose tasks end one by one or are reported twice.

Each failed task of a gang counted as a failure of the request, so that a gang
was shown as failed with attempts left.
"""

from __future__ import annotations

import asyncio

import pytest

from currantreach_types import TaskPhase

MEMBER_COUNT = 4
# A request fails with its third failed run.
RUN_LIMIT = 3
# Retries that a team has without any earlier request.
BUDGET_COUNT = 5
# Duration of task leases in the simulated cell.
LEASE_S = 30
# The delay before the first retry is at least this long.
MIN_DELAY_S = 0.25


@pytest.fixture
def start_gang():
    """Return a function that submits a gang and waits until it runs."""

    async def start(cell, size=MEMBER_COUNT):
        spec = cell.spec('gang', gang_size=size, expected_run_s=20)
        await cell.submit(spec)
        await asyncio.sleep(0.5)
        assert len(cell.workers_of(spec.request_id)) == size
        return spec

    return start


def fail_members(cell, spec, count):
    """End some running tasks of a gang as failed, all at the same time."""
    failed = 0
    for worker in cell.all_workers():
        for name in sorted(worker.running):
            if name.startswith(spec.request_id) and failed < count:
                worker.end(name, TaskPhase.failed)
                failed += 1
    assert failed == count


async def finished(cell, spec):
    """Tell whether a request ends as finished."""
    return (await cell.final_answer(spec.request_id)).state == 'finished'


@pytest.mark.parametrize('failed_count', [1, 3, MEMBER_COUNT])
def test_members_failed_in_one_run_count_once(
    simulate, start_gang, failed_count
):
    """A gang was shown as failed as three of its tasks failed in one run."""

    async def scenario(cell):
        spec = await start_gang(cell)
        fail_members(cell, spec, failed_count)
        assert await finished(cell, spec)
        assert cell.start_count(spec.request_id) == 2 * MEMBER_COUNT

    simulate(scenario)


@pytest.mark.parametrize('failed_count', [1, 3, MEMBER_COUNT])
def test_gang_fails_with_its_last_run(simulate, start_gang, failed_count):
    """A gang must have all its runs, and no more of them."""

    async def scenario(cell):
        spec = await start_gang(cell)
        for run in range(RUN_LIMIT):
            assert cell.start_count(spec.request_id) == MEMBER_COUNT * (run + 1)
            fail_members(cell, spec, failed_count)
            await asyncio.sleep(10)
        answer = await cell.final_answer(spec.request_id)
        assert (answer.state, answer.reason) == ('failed', 'task_failed')
        assert len(cell.starts) == RUN_LIMIT * MEMBER_COUNT

    simulate(scenario)


def test_failed_run_of_a_gang_spends_one_retry(simulate, start_gang):
    """A failed run must not spend a retry of its team for each member."""

    async def scenario(cell):
        gang = await start_gang(cell, BUDGET_COUNT)
        fail_members(cell, gang, BUDGET_COUNT)
        assert await finished(cell, gang)
        for _ in range(BUDGET_COUNT - 1):
            single = cell.spec(expected_run_s=1)
            await cell.submit(single)
            await asyncio.sleep(0.2)
            fail_members(cell, single, 1)
            assert await finished(cell, single)

    simulate(scenario, retry_budget_ratio=0)


def test_retry_of_a_gang_is_delayed(simulate, start_gang):
    """The retry was not delayed if a stopped task was the last to end.

    A task that keeps failing then runs again and again without a pause.
    """

    async def scenario(cell):
        spec = await start_gang(cell)
        fail_members(cell, spec, 1)
        while cell.workers_of(spec.request_id):
            await asyncio.sleep(0.01)
        await asyncio.sleep(MIN_DELAY_S - 0.02)
        assert cell.start_count(spec.request_id) == MEMBER_COUNT
        assert await finished(cell, spec)

    simulate(scenario)


def test_run_that_two_owners_hear_of_counts_once(simulate, start_gang):
    """Members that fail before and after a takeover fail in one run."""

    async def scenario(cell):
        spec = await start_gang(cell)
        fail_members(cell, spec, 1)
        await asyncio.sleep(0.01)
        await cell.replace_owner()
        for worker in cell.all_workers():
            for name in worker.running:
                worker.end(name, TaskPhase.failed)
        assert await finished(cell, spec)
        assert cell.start_count(spec.request_id) == 2 * MEMBER_COUNT

    simulate(scenario)


def test_gang_that_fails_on_all_workers_is_retried(simulate, start_gang):
    """A gang was refused at its retry as it had failed on three workers.

    For a minute, all requests of its team and workload were refused as well.
    """

    async def scenario(cell):
        spec = await start_gang(cell, 4 * MEMBER_COUNT)
        fail_members(cell, spec, 4 * MEMBER_COUNT)
        assert await finished(cell, spec)

    simulate(scenario, worker_count=4)


def test_worker_without_numbers_of_runs_is_believed(simulate, start_gang):
    """Failures must count, and a gang be retried, on workers that report none.

    Such a worker does not know the field of the start order.
    """

    async def scenario(cell):
        for worker in cell.all_workers():
            worker.reports_attempts = False
        spec = await start_gang(cell)
        fail_members(cell, spec, MEMBER_COUNT)
        await asyncio.sleep(10)
        assert cell.start_count(spec.request_id) == 2 * MEMBER_COUNT
        for failing in cell.all_workers():
            failing.fails = True
        fail_members(cell, spec, MEMBER_COUNT)
        answer = await cell.final_answer(spec.request_id)
        assert (answer.state, answer.reason) == ('failed', 'task_failed')
        assert cell.start_count(spec.request_id) == RUN_LIMIT * MEMBER_COUNT

    simulate(scenario)


@pytest.fixture
def fail_again(simulate, logged):
    """Return a function that runs a scenario with a task that fails once.

    The scenario gets the worker of the task, makes the owner hear of the
    failure, and returns events. They are set after the task has been started
    again, and let a call answer that lists the failed run.
    """

    def run(hear_of_failure):
        async def scenario(cell):
            spec = cell.spec(expected_run_s=30)
            await cell.submit(spec)
            await asyncio.sleep(1)
            worker = cell.workers['w0']
            released = await hear_of_failure(cell, worker, spec)
            while cell.start_count(spec.request_id) < 2:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            for held in released:
                held.set()
            assert await finished(cell, spec)
            assert cell.start_count(spec.request_id) == 2
            assert len(logged('task_failed')) == 1

        simulate(scenario, worker_count=1)

    return run


def hold(worker, method, part):
    """Delay a part of the calls of a method until an event is set."""
    worker.delays[method, part] = asyncio.Event()
    return worker.delays[method, part]


def test_inventory_older_than_the_retry_counts_no_failure(fail_again):
    """A failure counted twice, as a late renewal listed it again.

    The resources of the running retry were freed as well.
    """

    async def hear_of_failure(cell, worker, spec):
        hold(worker, 'renew', 'effect')
        await asyncio.sleep(LEASE_S / 4)
        worker.end(f'{spec.request_id}/0', TaskPhase.failed)
        held = hold(worker, 'renew', 'answer')
        worker.delays['renew', 'effect'].set()
        return [held]

    fail_again(hear_of_failure)


def test_retry_that_starts_during_a_renewal_is_not_lost(fail_again):
    """A retry was taken as lost, as its former run was there before.

    The inventory was read after the former run had been deleted, and before the
    retry was started.
    """

    async def hear_of_failure(cell, worker, spec):
        name = f'{spec.request_id}/0'
        hold(worker, 'renew', 'effect')
        await asyncio.sleep(LEASE_S / 4)
        worker.end(name, TaskPhase.failed)
        while name in worker.tasks:
            await asyncio.sleep(0.0002)
        held = hold(worker, 'renew', 'answer')
        worker.delays['renew', 'effect'].set()
        return [held]

    fail_again(hear_of_failure)


def test_events_older_than_the_retry_count_no_failure(fail_again):
    """A failure heard by a renewal counted again by late events."""

    async def hear_of_failure(cell, worker, spec):
        held = hold(worker, 'events', 'answer')
        worker.end(f'{spec.request_id}/0', TaskPhase.failed)
        return [held]

    fail_again(hear_of_failure)


def test_adoption_older_than_the_retry_counts_no_failure(fail_again):
    """A failure counted again by the inventory of a new connection.

    The connection was lost while the failed run was being deleted.
    """

    async def hear_of_failure(cell, worker, spec):
        retirement = hold(worker, 'retire', 'effect')
        worker.end(f'{spec.request_id}/0', TaskPhase.failed)
        # The retry waits for the deletion of the failed run.
        await asyncio.sleep(2)
        adoption = hold(worker, 'adopt', 'answer')
        worker.dropped['events'] = 1
        await asyncio.sleep(2)
        retirement.set()
        await asyncio.sleep(0.1)
        adoption.set()
        return []

    fail_again(hear_of_failure)


def test_lost_run_that_is_kept_counts_no_failure(simulate, logged):
    """A failed run that was given up counted when its worker was used again.

    The worker kept that run, so it did not carry out the start, and the owner
    took the failure of the former run for that of the retry.
    """

    async def scenario(cell):
        spec = cell.spec(expected_run_s=100)
        await cell.submit(spec)
        await asyncio.sleep(1)
        first = cell.workers[cell.workers_of(spec.request_id)[0]]
        first.end(f'{spec.request_id}/0', TaskPhase.failed)
        first.is_unreachable = True
        await asyncio.sleep(LEASE_S + 10)
        second = cell.workers[cell.workers_of(spec.request_id)[0]]
        assert second is not first
        first.is_unreachable = False
        await asyncio.sleep(5)
        cell.closed = {second.name}
        cell.publish_hosts()
        second.end(f'{spec.request_id}/0', TaskPhase.failed)
        assert await finished(cell, spec)
        assert len(logged('task_failed')) == 1
        assert cell.start_count(spec.request_id) == 3

    simulate(scenario)


def test_former_run_that_a_worker_still_has_is_retired(simulate, logged):
    """A start was refused as known again and again, for a run that had ended.

    Its end had reached the owner while the start was on its way.
    """

    async def scenario(cell):
        spec = cell.spec(expected_run_s=30)
        await cell.submit(spec)
        await asyncio.sleep(1)
        worker = cell.workers['w0']
        name = f'{spec.request_id}/0'
        kept = worker.tasks[name]
        worker.end(name, TaskPhase.failed)
        held = hold(worker, 'start', 'effect')
        link = cell.owner._state.links['w0']
        while name not in link._runs.in_flight:
            await asyncio.sleep(0.01)
        worker.tasks[name] = kept
        worker.event_log.append(name)
        await asyncio.sleep(0.1)
        held.set()
        assert await finished(cell, spec)
        assert cell.start_count(spec.request_id) == 2
        assert len(logged('task_failed')) == 1

    simulate(scenario, worker_count=1)
