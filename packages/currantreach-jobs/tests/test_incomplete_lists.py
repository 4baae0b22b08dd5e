"""Lists of a worker that do not show all of its runs and ends.

A worker lists 500 ends at a time, and a row may be unreadable.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import EndedRun, EndKind, TaskKey
from currantreach_jobs._records import progress_key
from currantreach_types import Resources
from currantreach_types.errors import CallRejectedError

FULL_LIST = 500
JOB = '0' * 16
OTHER = '1' * 16
SMALL = Resources(cpu_milli=100, memory_mib=10)
# A full list is acknowledged and the next one read within this time.
NEXT_LIST_S = 3


@pytest.fixture
def fill_list():
    """Return a function that lists ends of other tasks first."""

    def fill(worker):
        worker.ended += [
            EndedRun(
                number=next(worker.numbers),
                task=TaskKey('f' * 16, 0, 0, index),
                attempt=1,
                kind=EndKind.DONE,
            )
            for index in range(FULL_LIST)
        ]

    return fill


def bound_list(worker, lose_next=False):
    """Let a worker list a bounded number of ends.

    :param lose_next: whether the first answer after a full list is lost.
    """
    listed = worker.hold
    lost = [] if lose_next else [0]

    def hold(token, acked_through, deadline_ms):
        reply = listed(token, acked_through, deadline_ms)
        if acked_through >= FULL_LIST and not lost:
            lost.append(acked_through)
            worker.drops_answers = True
            asyncio.get_running_loop().call_later(
                0.5,
                lambda: setattr(worker, 'mute', False),
            )
        return attrs.evolve(reply, ended=reply.ended[:FULL_LIST])

    worker.hold = hold


async def lose_leader(fleet, cell, job, wait_until):
    """Start a task and end its leader."""
    fleet.work_s = NEXT_LIST_S
    first = cell.start('a')
    await first.submissions.submit(job(JOB))
    await wait_until(lambda: fleet.starts)
    await asyncio.sleep(1)
    first.kill()


async def lead(cell, wait_until):
    """Start a successor and wait until it leads."""
    second = cell.start('b')
    await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
    await asyncio.sleep(NEXT_LIST_S)


def test_partial_list_gives_up_no_held_run(run_scenario, job, wait_until):
    """A run behind an unreadable row was started again beside itself."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        await lose_leader(fleet, cell, job, wait_until)
        fleet.add('w2')
        listed = worker.hold
        worker.hold = lambda *order: attrs.evolve(
            listed(*order),
            running=(),
            is_partial=True,
        )
        await lead(cell, wait_until)
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_full_list_gives_up_no_held_run(
    run_scenario, job, wait_until, fill_list
):
    """A task whose end comes after a full list was started again."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        await lose_leader(fleet, cell, job, wait_until)
        fill_list(worker)
        bound_list(worker, lose_next=True)
        await asyncio.sleep(NEXT_LIST_S)
        fleet.add('w2')
        await lead(cell, wait_until)
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_full_list_hides_no_failure(run_scenario, job, wait_until, fill_list):
    """A failed end after a full list did not count as an attempt."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        worker.fails = True
        await lose_leader(fleet, cell, job, wait_until)
        fill_list(worker)
        bound_list(worker)
        await asyncio.sleep(NEXT_LIST_S)
        second = cell.start('b')
        await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
        await asyncio.sleep(5 * NEXT_LIST_S)
        # The queue allows two attempts.
        assert len(fleet.starts) == 2

    run_scenario(scenario)


def test_rejected_record_hides_no_ends(run_scenario, job, wait_until):
    """One rejected record kept all ends of its worker listed.

    After 500 of them no other end was seen, and jobs stood still.
    """

    async def scenario(fleet, cell):
        bound_list(fleet.add('w1'))
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        fleet.work_s = 1
        await host.submissions.submit(job(JOB))
        await wait_until(lambda: fleet.starts)
        commit = host.store.commit

        async def reject(expected, writes, removed=()):
            if progress_key(JOB) in {write.key for write in writes}:
                raise CallRejectedError('too large')
            return await commit(expected, writes, removed)

        host.store.commit = reject
        await asyncio.sleep(2)
        fleet.work_s = 0.1
        count = FULL_LIST + 100
        await host.submissions.submit(job(OTHER, count=count, needed=SMALL))
        await wait_until(lambda: len(fleet.done) == count + 1)
        await asyncio.sleep(5)
        assert host.scheduler.cluster.jobs[OTHER].visible_state == 'complete'

    run_scenario(scenario)


def test_lost_start_beside_an_unreadable_row(run_scenario, job, wait_until):
    """A start that was not carried out kept its task waiting for ever.

    No run is given up with a partial list, however long that lasts.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        listed = worker.hold
        worker.hold = lambda *order: attrs.evolve(
            listed(*order),
            is_partial=True,
        )
        worker.late_starts = 3
        await host.submissions.submit(job(JOB))
        await wait_until(lambda: len(worker.delayed) == 3)
        await wait_until(lambda: fleet.done, timeout_s=60)

    run_scenario(scenario)
