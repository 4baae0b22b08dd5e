"""Tests of the owner: acceptance, dispatch, cancellation and completion."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_types import Resources, TaskPhase


def test_same_id_twice(simulate):
    """Guard against a repeated submission that runs the request again.

    Property: unrepeatable work runs at most once.
    """

    async def scenario(cell):
        spec = cell.spec('prompt')
        for _ in range(3):
            answer = await cell.submit(spec)
            assert answer.state in {'accepted', 'running'}
            await asyncio.sleep(0.2)
        other = await cell.submit(attrs.evolve(spec, payload='other'))
        assert other.reason == 'id_reused'
        assert (await cell.final_answer(spec.request_id)).state == 'finished'
        assert (await cell.submit(spec)).state == 'finished'
        assert cell.start_count(spec.request_id) == 1

    simulate(scenario)


@pytest.mark.parametrize('is_recovering', [True, False])
def test_earlier_epoch(simulate, is_recovering):
    """Guard against a run, or ``not_run``, for an id of an earlier epoch.

    The predecessor may have run the request.
    """

    async def scenario(cell):
        spec = cell.spec('prompt')
        await cell.replace_owner()
        if not is_recovering:
            await asyncio.sleep(1)
        answer = await cell.submit(spec)
        assert answer.state == 'unknown'
        assert answer.can_retry is is_recovering
        await asyncio.sleep(1)
        assert cell.start_count(spec.request_id) == 0

    simulate(scenario)


def test_retired_id(simulate):
    """Guard against a second run of an id whose answer was retired.

    Property: unrepeatable work runs at most once.
    """

    async def scenario(cell):
        early = cell.spec('prompt')
        spec = cell.spec('prompt')
        await cell.submit(spec)
        await cell.final_answer(spec.request_id)
        await asyncio.sleep(70)
        for stale in (spec, early):
            assert (await cell.submit(stale)).state == 'unknown'
        fresh = cell.spec('prompt')
        await cell.submit(fresh)
        assert (await cell.final_answer(fresh.request_id)).state == 'finished'
        assert cell.start_count(spec.request_id) == 1

    simulate(scenario, result_retention_s=60)


def test_store_unavailable(simulate):
    """Guard against the start of a durable request without a record.

    Property: "not run" means not run; accepted durable work is not lost.
    """

    async def scenario(cell):
        cell.journal.is_down = True
        spec = cell.spec()
        answer = await cell.submit(spec)
        assert (answer.state, answer.reason) == ('not_run', 'store_unavailable')
        cell.journal.is_down = False
        await asyncio.sleep(5)
        assert not cell.calls['start']

    simulate(scenario)


@pytest.mark.parametrize(
    ('fault', 'expected'),
    [('lost', 'finished'), ('late', 'not_run')],
)
def test_lost_store_answer(simulate, fault, expected):
    """Guard against a guessed outcome of a record without an answer.

    The state stays unknown until the journal has resolved the outcome.

    Property: "not run" means not run; accepted durable work is not lost.
    """

    async def scenario(cell):
        cell.journal.faults.append(fault)
        spec = cell.spec()
        answer = await cell.submit(spec)
        assert (answer.state, answer.can_retry) == ('unknown', True)
        assert (await cell.submit(spec)).state == 'unknown'
        assert not cell.calls['start']
        assert (await cell.final_answer(spec.request_id)).state == expected

    simulate(scenario)


def test_repeated_while_recording(simulate):
    """Guard against ``accepted`` for a repetition before the record exists."""

    async def scenario(cell):
        cell.journal.append_barrier = asyncio.Event()
        cell.journal.faults.append('down')
        spec = cell.spec()
        first = asyncio.create_task(cell.submit(spec))
        await asyncio.sleep(0.1)
        assert (await cell.submit(spec)).state == 'unknown'
        cell.journal.append_barrier.set()
        assert (await first).state == 'not_run'

    simulate(scenario)


def test_retired_during_outage(simulate):
    """Guard against records of requests that were retired in an outage."""

    async def scenario(cell):
        spec = cell.spec(expected_run_s=1)
        await cell.submit(spec)
        await cell.final_answer(spec.request_id)
        cell.journal.is_down = True
        await asyncio.sleep(20)
        cell.journal.is_down = False
        await asyncio.sleep(5)
        assert not cell.journal.records

    simulate(scenario, result_retention_s=10)


def test_owner_ends_while_recording(simulate):
    """Guard against callers without answers when the owner stops.

    Properties: each caller gets the answer to its own request; a graceful
    stop interrupts no request.
    """

    async def scenario(cell):
        cell.journal.append_barrier = asyncio.Event()
        submitted = asyncio.create_task(cell.submit(cell.spec()))
        await asyncio.sleep(0.1)
        await cell.stop_owner()
        answer = await submitted
        assert (answer.state, answer.can_retry) == ('unknown', True)

    simulate(scenario)


def test_caller_gone_while_recording(simulate):
    """Guard against a recorded request that never runs.

    Its caller disconnected while the record was being written.
    """

    async def scenario(cell):
        cell.journal.append_barrier = asyncio.Event()
        spec = cell.spec()
        first = asyncio.create_task(cell.submit(spec))
        await asyncio.sleep(0.1)
        first.cancel()
        cell.journal.append_barrier.set()
        assert (await cell.final_answer(spec.request_id)).state == 'finished'

    simulate(scenario)


def test_lost_worker(simulate):
    """Guard against wrong handling of requests on a lost worker.

    Repeatable ones run again; unrepeatable ones end with an unknown outcome.

    Property: unrepeatable work runs at most once.
    """

    async def scenario(cell):
        unrepeatable = cell.spec(is_unrepeatable=True, expected_run_s=50)
        repeatable = cell.spec(expected_run_s=50)
        for spec in (unrepeatable, repeatable):
            await cell.submit(spec)
            await asyncio.sleep(0.1)
        for name in cell.workers_of(unrepeatable.request_id) + cell.workers_of(
            repeatable.request_id
        ):
            cell.workers[name].is_unreachable = True
        cell.add_worker('w9')
        cell.publish_hosts()
        assert (
            await cell.final_answer(unrepeatable.request_id)
        ).state == 'unknown'
        assert (
            await cell.final_answer(repeatable.request_id)
        ).state == 'finished'
        assert cell.start_count(unrepeatable.request_id) == 1
        assert cell.start_count(repeatable.request_id) == 2

    simulate(scenario)


def test_unanswered_intent(simulate):
    """Guard against a second start after an intent with a lost answer."""

    async def scenario(cell):
        cell.journal.faults.extend((None, 'lost'))
        spec = cell.spec(is_unrepeatable=True)
        await cell.submit(spec)
        assert (await cell.final_answer(spec.request_id)).state == 'finished'
        assert cell.start_count(spec.request_id) == 1

    simulate(scenario)


def test_expired_claim(simulate):
    """Guard against prompt requests that wait although the claim expired.

    The owner may not start them, and refuses them after their deadline.
    """

    async def scenario(cell):
        cell.closed = set(cell.workers)
        cell.publish_hosts()
        spec = cell.spec('prompt', deadline_s=2)
        await cell.submit(spec)
        cell.claim_valid_until_s = cell.clock.now_s()
        cell.closed = set()
        cell.publish_hosts()
        assert (await cell.submit(cell.spec('prompt'))).reason == 'no_owner'
        answer = await cell.final_answer(spec.request_id, 3)
        assert (answer.state, answer.reason) == (
            'not_run',
            'deadline_unreachable',
        )
        assert not cell.calls['start']

    simulate(scenario)


def test_cancel(simulate):
    """Guard against wrong answers to cancelled requests.

    A cancelled request does not run later, and is not reported as not run if
    a task of it ran.

    Property: "not run" means not run; accepted durable work is not lost.
    """

    async def scenario(cell):
        cell.closed = set(cell.workers)
        cell.publish_hosts()
        before = cell.spec()
        await cell.submit(before)
        cell.owner.cancel([before.request_id], 'feed')
        cell.owner.cancel([before.request_id], 'tine')
        assert (await cell.final_answer(before.request_id)).state == 'not_run'
        cell.closed = set()
        cell.publish_hosts()
        for worker in cell.all_workers():
            worker.delays['start', 'effect'] = asyncio.Event()
        during = cell.spec('prompt')
        await cell.submit(during)
        await asyncio.sleep(0.1)
        cell.owner.cancel([during.request_id], 'tine')
        for worker in cell.all_workers():
            worker.delays.pop(('start', 'effect')).set()
        answer = await cell.final_answer(during.request_id)
        assert (answer.state, answer.reason) == ('failed', 'cancelled')
        after = cell.spec('prompt', expected_run_s=0.1)
        await cell.submit(after)
        await cell.final_answer(after.request_id)
        answers = cell.owner.cancel([after.request_id], 'tine')
        assert answers[0].state == 'finished'
        assert cell.start_count(before.request_id) == 0

    simulate(scenario)


@pytest.mark.parametrize('fault', [None, 'down', 'lost', 'late'])
def test_cancel_while_recording(simulate, fault):
    """Guard against a successor that runs a cancelled request.

    The request was cancelled, and answered as not run, while it was recorded.

    Property: "not run" means not run; accepted durable work is not lost.
    """

    async def scenario(cell):
        cell.closed = set(cell.workers)
        cell.publish_hosts()
        cell.journal.append_barrier = asyncio.Event()
        cell.journal.faults.append(fault)
        spec = cell.spec()
        submitted = asyncio.create_task(cell.submit(spec))
        await asyncio.sleep(0.02)
        cell.owner.cancel([spec.request_id], 'tine')
        cell.journal.append_barrier.set()
        await submitted
        answer = await cell.final_answer(spec.request_id)
        assert answer.state == 'not_run'
        cell.closed = set()
        await cell.replace_owner()
        await asyncio.sleep(3)
        assert cell.start_count(spec.request_id) == 0

    simulate(scenario)


@pytest.mark.parametrize('fault', [None, 'down', 'lost', 'late'])
def test_cancel_before_recording(simulate, fault):
    """Guard against a cancelled request that stays accepted or runs.

    The cancellation arrives after the submission, before the task that
    records the submission has run for the first time.

    Property: "not run" means not run; accepted durable work is not lost.
    """

    async def scenario(cell):
        cell.closed = set(cell.workers)
        cell.publish_hosts()
        cell.journal.faults.append(fault)
        spec = cell.spec()
        submitted = asyncio.create_task(cell.submit(spec))
        await asyncio.sleep(0)
        cell.owner.cancel([spec.request_id], 'tine')
        await submitted
        answer = await cell.final_answer(spec.request_id)
        assert (answer.state, answer.reason) == ('not_run', 'cancelled')
        cell.closed = set()
        await cell.replace_owner()
        await asyncio.sleep(3)
        assert not cell.starts

    simulate(scenario)


def test_output_above_limit(simulate):
    """Guard against a caller that waits for a too large result.

    The journal cannot record it, so the request ends as failed.

    Property: each caller gets the answer to its own request.
    """

    async def scenario(cell):
        for worker in cell.all_workers():
            worker.padding = 'x' * cell.journal.answer_limit_bytes
        spec = cell.spec()
        await cell.submit(spec)
        answer = await cell.final_answer(spec.request_id)
        assert (answer.state, answer.reason) == ('failed', 'output_too_large')
        await cell.replace_owner()
        assert await cell.final_answer(spec.request_id) == answer

    simulate(scenario)


@pytest.mark.parametrize('method', ['adopt', 'events', 'start', 'renew'])
@pytest.mark.parametrize('is_unrepeatable', [False, True])
def test_link_fails(simulate, method, is_unrepeatable):
    """Guard against a worker link that an unexpected error ends.

    The owner would continue to place tasks on the worker and never send them.

    Property: "not run" means not run; accepted durable work is not lost.
    """

    async def scenario(cell):
        for worker in cell.all_workers():
            worker.broken[method] = 1
            if method == 'adopt':
                worker.dropped['events'] = 1
        await asyncio.sleep(15)
        specs = [cell.spec(is_unrepeatable=is_unrepeatable) for _ in range(4)]
        for spec in specs:
            await cell.submit(spec)
        for spec in specs:
            assert (
                await cell.final_answer(spec.request_id)
            ).state == 'finished'
            assert cell.start_count(spec.request_id) == 1

    simulate(scenario)


@pytest.mark.parametrize('fault', ['lost', 'cut', 'down', 'stopped'])
def test_gang(simulate, fault):
    """Guard against a gang that hangs or runs a task twice.

    One of its tasks fails, is stopped, or is lost with its worker.

    Property: no task runs in two places.
    """

    async def scenario(cell):
        spec = cell.spec('gang', gang_size=6, expected_run_s=20)
        await cell.submit(spec)
        await asyncio.sleep(1)
        assert len(cell.workers_of(spec.request_id)) == 6
        first = cell.workers[cell.workers_of(spec.request_id)[0]]
        if fault == 'lost':
            first.end(next(iter(first.running)), TaskPhase.failed)
        elif fault == 'stopped':
            first.dropped['stop'] = 99
            first.end(next(iter(first.running)), TaskPhase.stopped)
        elif fault == 'cut':
            first.is_unreachable = True
            cell.add_worker('w9')
            cell.publish_hosts()
        else:
            first.restart()
        answer = await cell.final_answer(spec.request_id, 300)
        assert (answer.state, len(answer.output)) == ('finished', 6)

    simulate(scenario)


def test_gang_starts_whole(simulate):
    """Guard against a gang of which only some tasks are started."""

    async def scenario(cell):
        spec = cell.spec('gang', gang_size=8)
        small = cell.spec(expected_run_s=30)
        await cell.submit(small)
        await asyncio.sleep(1)
        await cell.submit(spec)
        await asyncio.sleep(25)
        assert not cell.workers_of(spec.request_id)
        await asyncio.sleep(7)
        assert len(cell.workers_of(spec.request_id)) == 8
        assert (await cell.final_answer(spec.request_id)).state == 'finished'

    simulate(scenario)


def test_unrepeatable_gang(simulate):
    """Guard against a second run of tasks of an unrepeatable gang.

    The start of some of its tasks is lost while others end.

    Property: unrepeatable work runs at most once.
    """

    async def scenario(cell):
        for worker in cell.all_workers()[:1]:
            worker.dropped['start'] = 1
        spec = cell.spec(
            'gang', gang_size=8, is_unrepeatable=True, expected_run_s=0.1
        )
        await cell.submit(spec)
        answer = await cell.final_answer(spec.request_id)
        assert answer.state in {'failed', 'unknown'}
        names = [name for _, name in cell.starts]
        assert len(names) == len(set(names))

    simulate(scenario)


def test_orphan_frees_no_resources(simulate):
    """Guard against the end of an earlier run that frees resources.

    The resources belong to the current run on another worker.

    Properties: no worker holds more than its capacity; no task runs in two
    places.
    """

    async def scenario(cell):
        spec = cell.spec(expected_run_s=60)
        await cell.submit(spec)
        await asyncio.sleep(0.5)
        old = cell.workers[cell.workers_of(spec.request_id)[0]]
        old.is_unreachable = True
        await asyncio.sleep(45)
        assert cell.start_count(spec.request_id) == 2
        old.is_unreachable = False
        await asyncio.sleep(5)
        assert cell.owner.usage()['tine'].slot_count == 1
        old.restart()
        await asyncio.sleep(5)
        assert cell.start_count(spec.request_id) == 2
        assert (await cell.final_answer(spec.request_id)).state == 'finished'

    simulate(scenario)


def test_requeued_into_full_queue(simulate):
    """Guard against an accepted request refused at a retry by a full queue."""

    async def scenario(cell):
        cell.workers['w1'].is_unreachable = True
        await asyncio.sleep(1)
        specs = [cell.spec(queue='short', expected_run_s=9) for _ in range(6)]
        for spec in specs[:4]:
            await cell.submit(spec)
            await asyncio.sleep(0.2)
        await cell.submit(specs[4])
        refused = await cell.submit(specs[5])
        assert refused.reason == 'queue_full'
        cell.workers['w0'].restart()
        for spec in specs[:5]:
            assert (
                await cell.final_answer(spec.request_id)
            ).state == 'finished'

    simulate(scenario)


def test_requeued_prompt_deadline(simulate):
    """Guard against a requeued prompt request that starts past its deadline."""

    async def scenario(cell):
        spec = cell.spec('prompt', deadline_s=2, expected_run_s=30)
        await cell.submit(spec)
        await asyncio.sleep(0.5)
        cell.closed = set(cell.workers)
        cell.publish_hosts()
        worker = cell.workers[cell.workers_of(spec.request_id)[0]]
        worker.restart()
        answer = await cell.final_answer(spec.request_id, 4)
        assert (answer.state, answer.reason) == (
            'failed',
            'deadline_unreachable',
        )

    simulate(scenario)


def test_preempted_then_failed(simulate):
    """Guard against preemptions that count as failures.

    One failure after them would then end the request.
    """

    async def scenario(cell):
        spec = cell.spec(expected_run_s=30)
        await cell.submit(spec)
        for phase in (TaskPhase.stopped,) * 3 + (TaskPhase.failed,):
            await asyncio.sleep(2)
            worker = cell.workers[cell.workers_of(spec.request_id)[0]]
            worker.end(f'{spec.request_id}/0', phase)
        assert (await cell.final_answer(spec.request_id)).state == 'finished'

    simulate(scenario)


def test_failed_tasks_are_logged(simulate, logged):
    """Guard against a request that ends as failed without its failed runs."""

    async def scenario(cell):
        for worker in cell.all_workers():
            worker.fails = True
        spec = cell.spec()
        await cell.submit(spec)
        answer = await cell.final_answer(spec.request_id)
        assert answer.reason == 'task_failed'
        counts = [line.split('failures=')[1] for line in logged('task_failed')]
        assert counts == [
            f'{count} most=3 is_counted=True' for count in (1, 2, 3)
        ]

    simulate(scenario)


def test_retry_budget(simulate):
    """Guard against unlimited retries of a team whose tasks all fail."""

    async def scenario(cell):
        specs = [cell.spec(expected_run_s=20) for _ in range(8)]
        for spec in specs:
            await cell.submit(spec)
        await asyncio.sleep(1)
        for worker in cell.all_workers():
            for name in worker.running:
                worker.end(name, TaskPhase.failed)
        answers = [await cell.final_answer(spec.request_id) for spec in specs]
        spent = [
            answer
            for answer in answers
            if (answer.state, answer.reason) == ('failed', 'retry_budget_spent')
        ]
        assert len(spent) == 3
        assert len(cell.starts) == 8 + 5
        page = cell.options['metrics'].render()
        assert b'reason="retry_budget_spent"' in page

    simulate(scenario, retry_budget_ratio=0)


@pytest.mark.parametrize(
    'excess',
    [Resources(2), Resources(memory_mib=2000), Resources(cpu_milli=1500)],
)
def test_preempt_excess(simulate, excess):
    """Guard against wrong preemption after a lowered limit.

    It has to free enough resources, and preempt repeatable requests first.
    """

    async def scenario(cell):
        specs = [
            cell.spec(is_unrepeatable=number > 1, expected_run_s=30)
            for number in range(4)
        ]
        for spec in specs:
            await cell.submit(spec)
        await asyncio.sleep(1)
        cell.owner.preempt_excess('feed', excess)
        assert not cell.calls['checkpoint']
        cell.owner.preempt_excess('tine', excess)
        await asyncio.sleep(0.1)
        expected = {f'{spec.request_id}/0' for spec in specs[:2]}
        assert set(cell.calls['checkpoint']) == expected

    simulate(scenario)


def test_worker_leaves_list(simulate):
    """Guard against use of a worker that left the host list.

    It receives no tasks, and is removed after the leases of its tasks.

    Property: leaving workers receive no new work.
    """

    async def scenario(cell):
        unlisted = cell.workers['w1']
        cell.publish_hosts(without='w1')
        unlisted.is_unreachable = True
        await asyncio.sleep(1)
        unlisted.is_unreachable = False
        await asyncio.sleep(1)
        assert not cell.owner.workers.is_open('w1')
        unlisted.is_unreachable = True
        for _ in range(45):
            await asyncio.sleep(1)
            cell.publish_hosts(without='w1')
        assert list(cell.owner.workers.registrations) == ['w0']

    simulate(scenario)


def test_worker_moves(simulate):
    """Guard against an outdated entry of a worker with a new address.

    Its capacity has changed as well.

    Property: no worker holds more than its capacity.
    """

    async def scenario(cell):
        moved = cell.workers['w1']
        first_url = moved.url
        for url in ('http://nowhere', first_url, 'http://elsewhere'):
            moved.url = url
            cell.publish_hosts()
        moved.capacity = Resources(1, 1000, 1000)
        moved.restart()
        cell.publish_hosts()
        await asyncio.sleep(2)
        for _ in range(8):
            await cell.submit(cell.spec(expected_run_s=30))
        await asyncio.sleep(2)
        assert len(moved.running) == 1

    simulate(scenario)


def test_prompt_output_kept(simulate):
    """Guard against a prompt output retired before a takeover.

    A successor reads it from the worker for longer than a takeover takes.
    """

    async def scenario(cell):
        await asyncio.sleep(3)
        spec = cell.spec('prompt', expected_run_s=1)
        await cell.submit(spec)
        answer = await cell.final_answer(spec.request_id)
        await asyncio.sleep(7)
        await cell.replace_owner()
        await asyncio.sleep(1)
        found = await cell.final_answer(spec.request_id, 1)
        assert found.output == answer.output
        await asyncio.sleep(20)
        assert not any(worker.tasks for worker in cell.all_workers())

    simulate(scenario)


def test_one_end_line(simulate, logged_ends):
    """Guard against a request end with no log line, or with two."""

    async def scenario(cell):
        specs = [cell.spec('prompt'), cell.spec(), cell.spec(queue='short')]
        specs.append(attrs.evolve(specs[0], request_id=cell.owner.issue_id()))
        specs[3] = attrs.evolve(specs[3], deadline_s=-1)
        for spec in specs:
            await cell.submit(spec)
            await cell.submit(spec)
            await cell.final_answer(spec.request_id)
        for spec in specs:
            lines = [line for line in logged_ends() if spec.request_id in line]
            assert len(lines) == 1

    simulate(scenario)


def test_memory_bound(simulate):
    """Guard against large payloads that use up the memory of a small host."""

    async def scenario(cell):
        cell.closed = set(cell.workers)
        cell.publish_hosts()
        large = [cell.spec('prompt', payload='x' * 500_000) for _ in range(30)]
        answers = [await cell.submit(spec) for spec in large]
        assert answers[-1].reason == 'queue_full'
        cell.closed = set()
        cell.publish_hosts()
        for spec in large[:10]:
            assert (
                await cell.final_answer(spec.request_id)
            ).state == 'finished'
        after = await cell.submit(cell.spec('prompt', payload='x' * 500_000))
        assert after.state == 'accepted'

    simulate(scenario)


@pytest.mark.parametrize('arrival_s', [0.3, 2])
def test_stray_start_after_restart_has_no_effect(simulate, arrival_s):
    """Guard against a task that runs twice after its worker has restarted.

    Its start arrived late, at a process with a clock that is behind, after the
    owner had given it up and started it elsewhere.

    Property: no task runs in two places.
    """

    async def scenario(cell):
        for lossy in cell.all_workers():
            lossy.lost['start'] = 1
        spec = cell.spec(expected_run_s=30)
        await cell.submit(spec)
        await asyncio.sleep(0.2)
        stray = cell.calls['start'][0]
        name = cell.workers_of(spec.request_id)[0]
        worker = cell.workers[name]
        worker.restart()
        worker.clock_offset_s = -worker.clock_offset_s
        cell.closed = {name}
        cell.publish_hosts()
        for other in cell.all_workers():
            other.lost['start'] = 0
        await asyncio.sleep(arrival_s)
        assert cell.workers_of(spec.request_id)
        worker.start(stray)
        assert name not in cell.workers_of(spec.request_id)
        assert (await cell.final_answer(spec.request_id)).state == 'finished'

    simulate(scenario)
