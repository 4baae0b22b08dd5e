"""State machine test of the resource accounting of both schedulers."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from currantreach_decisions import (
    IndexedScheduler,
    NaiveScheduler,
    Placement,
    TaskEnd,
    TeamQuota,
)
from currantreach_types import PolicyKind, Resources, TaskSpec, WorkerInfo

CAPACITY = Resources(4, 4000, 4096, 1, 8)
LIMIT = Resources(6, 6000, 8192, 2, 0)
TEAMS = ('north', 'south')
SIZES = st.builds(
    Resources,
    st.just(1),
    st.integers(1, 3000),
    st.integers(1, 3000),
    st.integers(0, 1),
    st.integers(0, 2),
)


def has_placed(machine):
    """Tell whether a task is placed."""
    return bool(machine.allocations)


def has_waiting(machine):
    """Tell whether a request is waiting."""
    return bool(machine.waiting)


class Accounts(RuleBasedStateMachine):
    """Compare the reports of a scheduler with a plain list of tasks."""

    scheduler_type = NaiveScheduler

    def __init__(self):
        """Start with two teams and no worker."""
        super().__init__()
        self.scheduler = self.scheduler_type({'batch': 8})
        quota = TeamQuota(share=1, allotment=LIMIT)
        self.scheduler.set_teams(dict.fromkeys(TEAMS, quota))
        self.workers = {}
        self.waiting = {}
        self.allocations = {}
        self.count = 0
        self.now_s = 0

    @rule(index=st.integers(0, 2), is_admitted=st.booleans())
    def set_worker(self, index, is_admitted):
        """Add, open or close a worker."""
        name = f'worker-{index}'
        self.workers[name] = is_admitted
        worker = WorkerInfo(
            name=name,
            failure_domain='north',
            rack='rack',
            url='',
            capacity=CAPACITY,
        )
        self.scheduler.set_worker(worker, is_admitted=is_admitted)

    @rule(index=st.integers(0, 2))
    def remove_worker(self, index):
        """Remove a worker; its tasks still count for their teams."""
        name = f'worker-{index}'
        self.workers.pop(name, None)
        on_worker = {
            task_id
            for task_id, (placement, _) in self.allocations.items()
            if placement.worker == name
        }
        assert set(self.scheduler.remove_worker(name)) == on_worker

    @rule(
        team=st.sampled_from(TEAMS),
        policy=st.sampled_from(tuple(PolicyKind)),
        size=SIZES,
        gang_size=st.integers(2, 3),
        is_urgent=st.booleans(),
    )
    def submit(self, team, policy, size, gang_size, is_urgent):
        """Submit a request."""
        self.count += 1
        spec = TaskSpec(
            request_id=f'north.0.1.{self.count}',
            team=team,
            queue='batch',
            workload='scan',
            policy=policy,
            resources=size,
            gang_size=gang_size if policy is PolicyKind.gang else 1,
            is_urgent=is_urgent,
        )
        refusal = self.scheduler.submit(spec, self.now_s)
        if len(self.waiting) >= 8:
            assert refusal.reason == 'queue_full'
        if refusal is None:
            self.waiting[spec.request_id] = spec

    @rule(seconds=st.floats(0, 40))
    def decide(self, seconds):
        """Run a round; new tasks must respect capacity and limits."""
        self.now_s += seconds
        decisions = self.scheduler.decide(self.now_s)
        started = {}
        for request_id, _ in decisions.refused:
            self.waiting.pop(request_id)
        for placement in decisions.placements:
            assert placement.task_id not in self.allocations
            self.allocations[placement.task_id] = (
                placement,
                placement.resources,
            )
            request_id = placement.spec.request_id
            started[request_id] = started.get(request_id, 0) + 1
            assert self.used_on(placement.worker).fits_in(CAPACITY)
        for request_id, task_count in started.items():
            spec = self.waiting.pop(request_id)
            assert task_count == spec.gang_size
            used = self.used_by(spec.team)
            assert used.slot_count <= LIMIT.slot_count
            assert used.cpu_milli <= LIMIT.cpu_milli
            assert used.memory_mib <= LIMIT.memory_mib
        for preemption in decisions.preemptions:
            assert preemption.task_id in self.allocations

    @precondition(has_placed)
    @rule(choice=st.integers(0), end=st.sampled_from(tuple(TaskEnd)))
    def end_task(self, choice, end):
        """End a task twice, as repeated reports do."""
        task_id = sorted(self.allocations)[choice % len(self.allocations)]
        self.allocations.pop(task_id)
        self.scheduler.end_task(task_id, end, self.now_s)
        self.scheduler.end_task(task_id, end, self.now_s)

    @precondition(has_placed)
    @rule(choice=st.integers(0), observed=SIZES)
    def observe(self, choice, observed):
        """Report usage, which may exceed the allocated resources."""
        task_id = sorted(self.allocations)[choice % len(self.allocations)]
        placement, allocated = self.allocations[task_id]
        self.allocations[task_id] = (
            placement,
            allocated.elementwise_max(observed),
        )
        self.scheduler.observe(task_id, observed, self.now_s)

    @precondition(has_waiting)
    @rule(choice=st.integers(0))
    def cancel(self, choice):
        """Cancel a waiting request together with an unknown one."""
        request_id = sorted(self.waiting)[choice % len(self.waiting)]
        self.waiting.pop(request_id)
        cancelled = self.scheduler.cancel([request_id, 'unknown'])
        assert cancelled == (request_id,)

    @precondition(has_waiting)
    @rule(choice=st.integers(0), index=st.integers(0, 2))
    def recover(self, choice, index):
        """Recover a task of a waiting request from a worker."""
        request_id = sorted(self.waiting)[choice % len(self.waiting)]
        spec = self.waiting.pop(request_id)
        placement = Placement(
            task_id=f'{request_id}/0',
            spec=spec,
            worker=f'worker-{index}',
            resources=spec.resources,
        )
        self.allocations[placement.task_id] = (placement, spec.resources)
        self.scheduler.recover(placement, self.now_s)

    @invariant()
    def accounts_agree(self):
        """Compare usage, demand and number of waiting requests."""
        wanted = dict.fromkeys(TEAMS, Resources())
        for spec in self.waiting.values():
            wanted[spec.team] += spec.resources.scaled_by(spec.gang_size)
        for team in TEAMS:
            assert self.scheduler.usage()[team] == self.used_by(team)
            assert self.scheduler.demand()[team] == wanted[team]
        assert self.scheduler.waiting_count() == len(self.waiting)

    def used_on(self, worker):
        """Return the resources allocated on an open worker."""
        assert self.workers[worker]
        return self.total(
            allocated
            for placement, allocated in self.allocations.values()
            if placement.worker == worker
        )

    def used_by(self, team):
        """Return the resources allocated to a team."""
        return self.total(
            allocated
            for placement, allocated in self.allocations.values()
            if placement.spec.team == team
        )

    def total(self, allocations):
        """Return the sum of allocations."""
        return sum(allocations, Resources())


class IndexedAccounts(Accounts):
    """Run the same checks for the indexed scheduler."""

    scheduler_type = IndexedScheduler


@pytest.mark.parametrize('machine', [Accounts, IndexedAccounts])
def test_accounts(machine, machine_settings):
    """Guard against resources leaked, counted twice or overcommitted."""
    run_state_machine_as_test(machine, settings=machine_settings(100, 40))
