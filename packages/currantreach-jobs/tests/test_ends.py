"""Ends that no leader could store because of outages and leader changes.

The store does not answer for longer than a leader keeps its leadership. Tasks
end meanwhile, and their workers list the ends to each successor.
"""

from __future__ import annotations

import asyncio

import attrs

from currantreach_jobs import Step
from currantreach_types import Resources

# Within this time a ready leader has adopted a worker that answers and started
# tasks on it: two rounds of calls and a write.
NEXT_START_S = 1
# The leader extends the leases of its workers for 4.4 s without the store, so
# that they last longer than those that it could record.
OUTAGE_S = 6
NEEDED = Resources(cpu_milli=1000, memory_mib=1000)


def two_steps(job):
    """Return a job whose second step waits for a gang of two tasks."""
    return attrs.evolve(
        job('0' * 16),
        steps=(
            Step(task_count=2, needed=NEEDED, is_gang=True),
            Step(task_count=1, needed=NEEDED, after=(0,)),
        ),
    )


def steps_started(fleet):
    """Return the numbers of the steps in the order of their starts."""
    return [order.task.step for _, order in fleet.starts]


def test_done_step_is_not_run_again_after_two_takeovers(
    run_scenario, job, wait_until
):
    """A step that was done in an outage must not run again.

    Two leaders in turn could not prove that the lease of the worker had not
    expired, did not use the worker for 7 s each, and dropped the ends. The
    next step waited meanwhile.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.work_s = 1
        cell.start('a')
        first = cell.daemons['a']
        await wait_until(lambda: first.scheduler and first.scheduler.is_ready)
        await asyncio.sleep(3)
        await first.submissions.submit(two_steps(job))
        await wait_until(lambda: len(fleet.starts) == 2)
        fleet.store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        fleet.store.is_down = False
        second = cell.start('b')
        await wait_until(lambda: first.scheduler or second.scheduler)
        await asyncio.sleep(0.1)
        first.kill()
        second.kill()
        third = cell.start('c')
        await wait_until(lambda: third.scheduler and third.scheduler.is_ready)
        await wait_until(lambda: 1 in steps_started(fleet), NEXT_START_S)
        assert steps_started(fleet) == [0, 0, 1]

    run_scenario(scenario)


def test_end_of_a_worker_that_was_given_up_counts(
    run_scenario, job, wait_until
):
    """A task that was done on a silent worker must not be run elsewhere."""

    async def scenario(fleet, cell):
        silent = fleet.add('w1')
        fleet.work_s = 1
        daemon = cell.start('a')
        await daemon.submissions.submit(two_steps(job))
        await wait_until(lambda: len(fleet.starts) == 2)
        # The hold call that waits for an end loses its answer as well.
        silent.silent = True
        silent.drops_answers = True
        other = fleet.add('w2')
        fleet.work_s = 30
        await wait_until(lambda: len(fleet.starts) == 4)
        silent.silent = False
        silent.drops_answers = False
        await wait_until(lambda: 1 in steps_started(fleet), NEXT_START_S + 1)
        await asyncio.sleep(1)
        assert steps_started(fleet) == [0, 0, 0, 0, 1]
        assert 0 not in {task.step for task, _ in other.running}

    run_scenario(scenario)
