"""Stateful test of successive owners of a partition under faults."""

from __future__ import annotations

import asyncio
import collections

import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from currantreach_types import Resources, TaskPhase

# A request fails with its third failed run.
RUN_LIMIT = 3
# Retries that a team has without any earlier request.
BUDGET_COUNT = 5
_NUMBERS = st.integers(0, 9)
_CALLS = ('start', 'renew', 'stop', 'retire', 'adopt')


class OwnerMachine(stateful.RuleBasedStateMachine):
    """Submissions, cancellations, faults and takeovers in any order."""

    new_loop = None
    new_cell = None

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=self.new_loop)
        self.cell = self.new_cell(self.runner.get_loop())
        self.specs = []
        self.accepted = {}
        self.not_run = {}
        self.runner.run(self.cell.start_owner())

    def record_answers(self, answers):
        """Record the requests that callers were told were not run."""
        for answer in answers:
            if answer.state == 'not_run' and answer.reason != 'id_reused':
                self.not_run[answer.request_id] = answer.reason

    def pick(self, number):
        """Return one of the requests."""
        return self.specs[number % len(self.specs)]

    @stateful.rule(
        policy=st.sampled_from(['batch', 'prompt', 'gang']),
        is_unrepeatable=st.booleans(),
        run_s=st.sampled_from([0.01, 1, 20]),
        waits=st.booleans(),
    )
    def submit(self, policy, is_unrepeatable, run_s, waits):
        """Submit a request, and wait for the answer or disconnect."""
        spec = self.cell.spec(
            policy,
            is_unrepeatable=is_unrepeatable,
            expected_run_s=run_s,
            gang_size=3 if policy == 'gang' else 1,
            deadline_s=5 if policy == 'prompt' else None,
        )
        self.specs.append(spec)
        self.send(spec, waits)

    @stateful.precondition(lambda machine: machine.specs)
    @stateful.rule(number=_NUMBERS, waits=st.booleans())
    def submit_again(self, number, waits):
        """Repeat a submission."""
        self.send(self.pick(number), waits)

    def send(self, spec, waits):
        """Submit to the current owner.

        An owner that was not ready has no entry of the request, so a caller
        may submit it again and have it run; other refusals are final.
        """
        if self.not_run.get(spec.request_id) == 'no_owner':
            self.not_run.pop(spec.request_id)

        async def sent():
            submitted = asyncio.create_task(self.cell.submit(spec))
            await asyncio.wait([submitted], timeout=1 if waits else 0.005)
            submitted.cancel()
            await asyncio.wait([submitted])
            return None if submitted.cancelled() else submitted.result()

        answer = self.runner.run(sent())
        if answer is None:
            return
        self.record_answers([answer])
        if answer.state == 'accepted' and spec.policy != 'prompt':
            self.accepted[spec.request_id] = spec

    @stateful.precondition(lambda machine: machine.specs)
    @stateful.rule(number=_NUMBERS)
    def cancel(self, number):
        """Cancel a request."""
        request_id = self.pick(number).request_id
        self.accepted.pop(request_id, None)

        async def cancelled():
            return self.cell.owner.cancel([request_id], 'tine')

        self.record_answers(self.runner.run(cancelled()))

    @stateful.rule(step_s=st.sampled_from([0.002, 0.02, 0.3, 3, 12, 45]))
    def advance(self, step_s):
        """Advance the virtual time."""
        self.runner.run(asyncio.sleep(step_s))

    @stateful.precondition(lambda machine: machine.specs)
    @stateful.rule(number=_NUMBERS, count=st.integers(1, 3))
    def fail_tasks(self, number, count):
        """End running tasks of a request as failed, at the same time."""
        running = collections.defaultdict(list)
        for worker in self.cell.all_workers():
            for name in sorted(worker.running):
                running[name.rpartition('/')[0]].append((worker, name))
        if not running:
            return
        request_ids = sorted(running)
        chosen = request_ids[number % len(request_ids)]
        for failing, task_id in running[chosen][:count]:
            failing.end(task_id, TaskPhase.failed)

    @stateful.rule(
        name=st.sampled_from(['w0', 'w1']), is_unreachable=st.booleans()
    )
    def disconnect_worker(self, name, is_unreachable):
        """Make a worker unreachable, or reachable again."""
        self.cell.workers[name].is_unreachable = is_unreachable

    @stateful.rule(name=st.sampled_from(['w0', 'w1']))
    def restart_worker(self, name):
        """Restart a worker."""
        self.cell.workers[name].restart()

    @stateful.rule(
        name=st.sampled_from(['w0', 'w1']),
        method=st.sampled_from(_CALLS),
        fault=st.sampled_from(['lost', 'dropped']),
    )
    def lose_message(self, name, method, fault):
        """Lose the next call of a method, or the answer to it."""
        getattr(self.cell.workers[name], fault)[method] = 1

    @stateful.rule(
        name=st.sampled_from(['w0', 'w1']),
        method=st.sampled_from((*_CALLS, 'events')),
        part=st.sampled_from(['effect', 'answer']),
        delay_s=st.sampled_from([0.3, 1, 4]),
    )
    def delay_calls(self, name, method, part, delay_s):
        """Delay the next calls of a method, or the answers to them.

        Later calls of other methods overtake them.
        """
        delays = self.cell.workers[name].delays
        released = delays.setdefault((method, part), asyncio.Event())

        def release():
            released.set()
            delays.pop((method, part), None)

        self.runner.get_loop().call_later(delay_s, release)

    @stateful.rule(fault=st.sampled_from(['down', 'lost', 'late']))
    def fail_append(self, fault):
        """Make the next write to the journal fail."""
        self.cell.journal.faults.append(fault)

    @stateful.rule(is_down=st.booleans())
    def set_store_outage(self, is_down):
        """Start or end an outage of the store."""
        self.cell.journal.is_down = is_down

    @stateful.rule(is_killed=st.booleans())
    def replace_owner(self, is_killed):
        """Start a successor, with the old owner stopped or still running."""

        async def replaced():
            if is_killed:
                await self.cell.stop_owner()
            self.cell.new_owner()

        self.runner.run(replaced())

    @stateful.invariant()
    def guarantees_hold(self):
        """Check the guarantees that apply at any time."""
        assert not self.cell.violations
        unrepeatable = [spec for spec in self.specs if spec.is_unrepeatable]
        for spec in unrepeatable:
            assert self.cell.start_count(spec.request_id) <= spec.gang_size
            names = [
                name
                for _, name in self.cell.starts
                if name.startswith(f'{spec.request_id}/')
            ]
            assert len(names) == len(set(names))
        for request_id in self.not_run:
            assert self.cell.start_count(request_id) == 0

    def teardown(self):
        """End the faults; accepted repeatable requests must then finish."""
        try:
            self.runner.run(self.recover())
            self.guarantees_hold()
        finally:
            self.runner.close()

    def has_failed(self, answer):
        """Tell whether a request failed as often as its answer says."""
        failed_runs = self.cell.failed_runs
        if answer.reason == 'task_failed':
            return len(failed_runs[answer.request_id]) >= RUN_LIMIT
        if answer.reason == 'retry_budget_spent':
            total = sum(len(runs) for runs in failed_runs.values())
            return failed_runs[answer.request_id] and total > BUDGET_COUNT
        return False

    async def recover(self):
        """End all faults and check the final answer of each request."""
        self.cell.journal.is_down = False
        self.cell.journal.faults.clear()
        for worker in self.cell.all_workers():
            worker.is_unreachable = False
            worker.lost.clear()
            worker.dropped.clear()
        await asyncio.sleep(90)
        for spec in self.specs:
            answer = await self.cell.final_answer(spec.request_id, 200)
            self.record_answers([answer])
            assert answer.state.is_final, (spec, answer)
            if spec.request_id in self.accepted and not spec.is_unrepeatable:
                has_cause = answer.state == 'failed' and self.has_failed(answer)
                assert answer.state == 'finished' or has_cause, (spec, answer)
        assert not any(worker.running for worker in self.cell.all_workers())
        used = sum(self.cell.owner.usage().values(), Resources())
        assert used == Resources()
        await self.cell.stop_owner()


@pytest.mark.timeout(300)
def test_owner_machine(new_loop, new_cell, machine_settings):
    """Guard against orders of faults that break what the scheduler promises.

    No worker holds more than its capacity, no task runs in two places, "not
    run" means not run, accepted durable work is not lost, and unrepeatable
    work runs at most once.
    """
    machine = type(
        'Machine',
        (OwnerMachine,),
        {'new_loop': new_loop, 'new_cell': new_cell},
    )
    stateful.run_state_machine_as_test(
        machine,
        settings=machine_settings(60, 25),
    )
