"""Tests of the recovery of requests from the journal and inventories."""

from __future__ import annotations

import asyncio

import pytest

from currantreach_types import TaskPhase


def test_links_wait_for_journal(simulate):
    """Guard against adoption of workers before the journal was read.

    The owner would stop all tasks of requests that it does not know yet.
    """

    async def scenario(cell):
        unrepeatable = cell.spec(is_unrepeatable=True, expected_run_s=20)
        repeatable = cell.spec(expected_run_s=20)
        for spec in (unrepeatable, repeatable):
            await cell.submit(spec)
        await asyncio.sleep(1)
        await cell.stop_owner()
        cell.journal.is_down = True
        cell.new_owner()
        await asyncio.sleep(5)
        cell.journal.is_down = False
        for spec in (unrepeatable, repeatable):
            assert (
                await cell.final_answer(spec.request_id)
            ).state == 'finished'
            assert cell.start_count(spec.request_id) == 1

    simulate(scenario)


@pytest.mark.parametrize('is_restarted', [True, False])
def test_intent(simulate, is_restarted):
    """Guard against a recorded intent that is ignored after a restart.

    An empty inventory proves that the task was not started only if the worker
    has not restarted since the intent.

    Property: unrepeatable work runs at most once.
    """

    async def scenario(cell):
        for worker in cell.all_workers():
            worker.delays['start', 'effect'] = asyncio.Event()
        spec = cell.spec(is_unrepeatable=True)
        await cell.submit(spec)
        await asyncio.sleep(0.5)
        await cell.stop_owner()
        for worker in cell.all_workers():
            worker.delays.clear()
            if is_restarted:
                worker.restart()
        cell.new_owner()
        answer = await cell.final_answer(spec.request_id)
        expected = 'unknown' if is_restarted else 'finished'
        assert answer.state == expected
        assert cell.start_count(spec.request_id) == 1 - is_restarted

    simulate(scenario)


@pytest.mark.parametrize('is_unrepeatable', [True, False])
def test_unadopted_worker(simulate, is_unrepeatable):
    """Guard against a second run beside one on an unreachable worker.

    Property: no task runs in two places.
    """

    async def scenario(cell):
        spec = cell.spec(is_unrepeatable=is_unrepeatable, expected_run_s=50)
        await cell.submit(spec)
        await asyncio.sleep(1)
        await cell.stop_owner()
        worker = cell.workers[cell.workers_of(spec.request_id)[0]]
        worker.is_unreachable = True
        cell.new_owner()
        await asyncio.sleep(25)
        assert cell.start_count(spec.request_id) == 1
        answer = await cell.final_answer(spec.request_id, 90)
        expected = 'unknown' if is_unrepeatable else 'finished'
        assert answer.state == expected

    simulate(scenario)


def test_old_run_on_first_worker(simulate):
    """Guard against another start after the end of an earlier run.

    The successor adopts the worker of the earlier run before the one that
    runs the request now.

    Property: no task runs in two places.
    """

    async def scenario(cell):
        spec = cell.spec(expected_run_s=40)
        await cell.submit(spec)
        await asyncio.sleep(1)
        old = cell.workers[cell.workers_of(spec.request_id)[0]]
        other = next(
            worker for worker in cell.all_workers() if worker is not old
        )
        cell.closed = {old.name}
        cell.publish_hosts()
        old.dropped['retire'] = 9
        old.end(f'{spec.request_id}/0', TaskPhase.stopped)
        await asyncio.sleep(1)
        assert cell.workers_of(spec.request_id) == [other.name]
        await cell.stop_owner()
        cell.closed = set()
        other.dropped['adopt'] = 2
        cell.new_owner()
        assert (await cell.final_answer(spec.request_id)).state == 'finished'
        assert cell.start_count(spec.request_id) == 2

    simulate(scenario)


def test_unrepeatable_gang(simulate):
    """Guard against a second run of a partly ended gang.

    The gang is unrepeatable, and a worker restarts while there is no owner.

    Property: unrepeatable work runs at most once.
    """

    async def scenario(cell):
        spec = cell.spec('gang', gang_size=8, is_unrepeatable=True)
        await cell.submit(spec)
        await asyncio.sleep(1)
        await cell.stop_owner()
        cell.workers['w0'].restart()
        await asyncio.sleep(7)
        cell.new_owner()
        answer = await cell.final_answer(spec.request_id)
        assert answer.state == 'unknown'
        names = [name for _, name in cell.starts]
        assert len(names) == len(set(names))

    simulate(scenario)


def test_prompt_found_on_worker(simulate):
    """Guard against a successor that loses a running prompt request.

    Property: each caller gets the answer to its own request.
    """

    async def scenario(cell):
        spec = cell.spec('prompt', expected_run_s=5)
        await cell.submit(spec)
        await asyncio.sleep(1)
        await cell.replace_owner()
        await asyncio.sleep(1)
        assert (await cell.submit(spec)).state == 'running'
        assert (await cell.final_answer(spec.request_id)).state == 'finished'
        assert cell.start_count(spec.request_id) == 1

    simulate(scenario)


def test_ended_work_keeps_its_answer(simulate):
    """Guard against a second run of a request whose end is recorded."""

    async def scenario(cell):
        spec = cell.spec(expected_run_s=1)
        await cell.submit(spec)
        answer = await cell.final_answer(spec.request_id)
        await cell.replace_owner()
        await asyncio.sleep(1)
        assert (
            await cell.final_answer(spec.request_id)
        ).output == answer.output
        assert (await cell.submit(spec)).state == 'finished'
        assert cell.start_count(spec.request_id) == 1

    simulate(scenario)


@pytest.mark.parametrize('is_unrepeatable', [True, False])
def test_cancel_after_takeover(simulate, is_unrepeatable):
    """Guard against ``not_run`` for work of the predecessor.

    Only the start of unrepeatable requests is recorded, so others may have
    run.

    Property: "not run" means not run; accepted durable work is not lost.
    """

    async def scenario(cell):
        cell.closed = set(cell.workers)
        cell.publish_hosts()
        spec = cell.spec(is_unrepeatable=is_unrepeatable)
        await cell.submit(spec)
        await cell.replace_owner()
        await asyncio.sleep(1)
        cell.owner.cancel([spec.request_id], 'tine')
        expected = 'not_run' if is_unrepeatable else 'failed'
        assert (await cell.final_answer(spec.request_id)).state == expected

    simulate(scenario)
