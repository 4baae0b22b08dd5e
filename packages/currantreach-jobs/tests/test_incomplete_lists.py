"""Replies of a worker that do not list all of its runs and ends.

A worker lists at most 500 ends at a time, and a row may be unreadable.
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
# Time in which a full list is acknowledged and the next one is read.
NEXT_LIST_S = 3


@pytest.fixture
def fill_list():
    """Return a function that puts ends of other tasks first in the list."""

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


def limit_list(worker, lose_next=False):
    """Let a worker list a limited number of ends.

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
                lambda: setattr(worker, 'drops_answers', False),
            )
        return attrs.evolve(reply, ended=reply.ended[:FULL_LIST])

    worker.hold = hold


async def lose_leader(fleet, cell, job, wait_until):
    """Start a task and kill its leader."""
    fleet.work_s = NEXT_LIST_S
    first = cell.start('a')
    await first.submissions.submit(job(JOB))
    await wait_until(lambda: fleet.starts)
    await asyncio.sleep(1)
    first.kill()


async def start_successor(cell, wait_until):
    """Start a successor and wait until it is the leader."""
    second = cell.start('b')
    await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
    await asyncio.sleep(NEXT_LIST_S)


def test_partial_list_gives_up_no_inherited_run(run_scenario, job, wait_until):
    """A run behind an unreadable row must not be started a second time."""

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
        await start_successor(cell, wait_until)
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_full_list_gives_up_no_inherited_run(
    run_scenario, job, wait_until, fill_list
):
    """A task whose end is not in a full list must not be started again."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        await lose_leader(fleet, cell, job, wait_until)
        fill_list(worker)
        limit_list(worker, lose_next=True)
        await asyncio.sleep(NEXT_LIST_S)
        fleet.add('w2')
        await start_successor(cell, wait_until)
        assert len(fleet.starts) == 1

    run_scenario(scenario)


def test_full_list_hides_no_failure(run_scenario, job, wait_until, fill_list):
    """A failed run must count as an attempt if a full list lacks its end."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        worker.fails = True
        await lose_leader(fleet, cell, job, wait_until)
        fill_list(worker)
        limit_list(worker)
        await asyncio.sleep(NEXT_LIST_S)
        second = cell.start('b')
        await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
        await asyncio.sleep(5 * NEXT_LIST_S)
        # The queue allows two attempts.
        assert len(fleet.starts) == 2

    run_scenario(scenario)


def test_rejected_record_hides_no_ends(run_scenario, job, wait_until):
    """One rejected record must not keep all ends of its worker listed.

    After 500 of them no further end was visible, and jobs made no progress.
    """

    async def scenario(fleet, cell):
        limit_list(fleet.add('w1'))
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        fleet.work_s = 1
        await daemon.submissions.submit(job(JOB))
        await wait_until(lambda: fleet.starts)
        commit = daemon.store.commit

        async def reject(expected, writes, removed=()):
            if progress_key(JOB) in {write.key for write in writes}:
                raise CallRejectedError('too large')
            return await commit(expected, writes, removed)

        daemon.store.commit = reject
        await asyncio.sleep(2)
        fleet.work_s = 0.1
        count = FULL_LIST + 100
        await daemon.submissions.submit(job(OTHER, count=count, needed=SMALL))
        await wait_until(lambda: len(fleet.done) == count + 1)
        await asyncio.sleep(5)
        assert daemon.scheduler.cluster.jobs[OTHER].visible_state == 'complete'

    run_scenario(scenario)


def test_lost_start_beside_an_unreadable_row(run_scenario, job, wait_until):
    """A task whose start was not carried out must not wait forever.

    No run is given up while the list of its worker is partial, however long
    that lasts.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        listed = worker.hold
        worker.hold = lambda *order: attrs.evolve(
            listed(*order),
            is_partial=True,
        )
        worker.late_starts = 3
        await daemon.submissions.submit(job(JOB))
        await wait_until(lambda: len(worker.delayed) == 3)
        await wait_until(lambda: fleet.done, timeout_s=60)

    run_scenario(scenario)
