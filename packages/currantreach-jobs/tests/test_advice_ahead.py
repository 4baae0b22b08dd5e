"""Steps with a placement service, in a cell of several daemons.

The second step of a job began with a call of half a second after the end of
the first one. The leader now asks before, and has to neither start the step
before its time nor depend on the answer.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

STEP_S = 4
DAEMONS = tuple('abcdef')


@pytest.fixture
def two_steps(job, advised_queue):
    """Return a job with two steps of 4 s."""
    made = job('a' * 16, 2, queue=advised_queue, estimate_s=STEP_S)
    first = made.steps[0]
    second = attrs.evolve(first, after=(0,), is_gang=True)
    return attrs.evolve(made, steps=(first, second))


def starts_of(fleet):
    """Return the times of the first start of both steps."""
    first_s = {}
    for order, start_s in fleet.start_times:
        first_s.setdefault(order.task.step, start_s)
    return first_s


@pytest.fixture
def start_all(wait_until):
    """Return a function that starts a cell of six daemons and three workers."""

    async def start(fleet, cell):
        fleet.work_s = STEP_S
        fleet.start_times = []
        record_start = fleet.record_start

        def record(worker, order):
            fleet.start_times.append((order, fleet.clock.now_s()))
            record_start(worker, order)

        fleet.record_start = record
        for name in ('w1', 'w2', 'w3'):
            fleet.add(name)
        daemons = [cell.start(name) for name in DAEMONS]
        await wait_until(cell.scheduling_daemon)
        # All daemons have to be known as members.
        await asyncio.sleep(3)
        return daemons

    return start


def test_second_step_starts_at_once(
    run_scenario, wait_until, start_all, two_steps, log
):
    """No call must be in flight between two steps."""

    async def scenario(fleet, cell):
        daemons = await start_all(fleet, cell)
        await daemons[0].submissions.submit(two_steps)
        await wait_until(lambda: len(fleet.done) == 4)
        first_s = starts_of(fleet)
        # The first step runs for its whole time before.
        assert STEP_S <= first_s[1] - first_s[0] <= STEP_S + 0.3

    run_scenario(scenario)
    lines = [line for line in log.formatted_records if 'advice_given' in line]
    assert 'purpose=start' in lines[0]
    assert any('purpose=ahead call=1' in line for line in lines)


def test_call_ahead_without_answer_only_costs_time(
    run_scenario, wait_until, start_all, two_steps
):
    """A step whose call in advance fails must start after another call."""

    async def scenario(fleet, cell):
        daemons = await start_all(fleet, cell)
        await daemons[0].submissions.submit(two_steps)
        await wait_until(lambda: fleet.starts)
        fleet.advice_faults.append(OSError('no answer'))
        await wait_until(lambda: len(fleet.done) == 4)
        assert not fleet.advice_faults
        first_s = starts_of(fleet)
        assert STEP_S <= first_s[1] - first_s[0] <= STEP_S + 3

    run_scenario(scenario)


def test_new_leader_asks_again(run_scenario, wait_until, start_all, two_steps):
    """A change of leader after the call in advance must lose no step."""

    async def scenario(fleet, cell):
        daemons = await start_all(fleet, cell)
        await daemons[0].submissions.submit(two_steps)
        await wait_until(lambda: fleet.starts)
        await asyncio.sleep(STEP_S - 0.8)
        leader = cell.scheduling_daemon()
        calls = len(fleet.advice_calls)
        leader.kill()
        cell.daemons.pop(
            next(name for name, each in cell.daemons.items() if each is leader)
        )
        await wait_until(lambda: len(fleet.done) == 4, timeout_s=60)
        assert len(fleet.advice_calls) > calls
        first_s = starts_of(fleet)
        assert first_s[1] - first_s[0] >= STEP_S

    run_scenario(scenario)
