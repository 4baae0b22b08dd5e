"""Scheduler with indexed free capacity, shares and queue policies."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from currantreach_decisions._backlogs import Backlogs
from currantreach_decisions._base import BaseScheduler
from currantreach_decisions._dispatcher import Dispatcher, Round
from currantreach_decisions._estimates import Estimator, TaskSizer
from currantreach_decisions._fleet import Fleet
from currantreach_decisions._health import Health
from currantreach_decisions._ledger import EMPTY
from currantreach_decisions._placer import Placer
from currantreach_decisions._policies import default_policies
from currantreach_decisions._preemption import Preemptor
from currantreach_decisions._reservation import Reservation
from currantreach_decisions._reserve import PromptReserve
from currantreach_decisions._review import PeriodicReview
from currantreach_decisions._scheduler import TaskEnd
from currantreach_decisions._shares import Shares
from currantreach_types import PolicyKind
from currantreach_types.refusals import (
    DEADLINE_UNREACHABLE,
    REPEATED_FAILURE,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantreach_decisions._backlogs import WaitingRequest
    from currantreach_decisions._ledger import PlacedTask, WorkerAccount
    from currantreach_decisions._scheduler import (
        Decisions,
        Placement,
        TeamQuota,
    )
    from currantreach_types import (
        Refusal,
        Resources,
        TaskSpec,
        WorkerInfo,
    )

__all__ = ('IndexedScheduler',)

_URGENT_RANK = 0
# Bounds how long one round delays the lease renewals of the owner.
_ROUND_LIMIT = 256
# A request is refused before its deadline only if the expected wait exceeds
# the deadline by this factor, because the start rate of the last second is a
# noisy estimate.
_LATE_RATIO = 3


class IndexedScheduler(BaseScheduler):
    """Scheduler used by the owner of a partition.

    A round starts at most 256 requests; the owner calls :meth:`decide` again
    if a round returned that many.
    """

    def __init__(
        self,
        queue_limits: Mapping[str, int] | None = None,
    ) -> None:
        """Start with an empty fleet.

        :param queue_limits: maximum number of waiting requests by queue; the
            default is 10,000.
        """
        super().__init__(queue_limits)
        ledger = self._ledger
        self._fleet = Fleet(ledger.workers)
        self._estimator = Estimator()
        self._health = Health()
        self._backlogs = Backlogs()
        self._shares = Shares(ledger)
        self._policies = default_policies()
        self._reserve = PromptReserve(self._fleet)
        self._reservation = Reservation(ledger, self._fleet, self._estimator)
        self._preemptor = Preemptor(ledger, self._shares)
        self._placer = Placer(
            self._fleet,
            self._policies,
            self._reserve,
            self._reservation,
        )
        self._task_sizer = TaskSizer(ledger, self._estimator)
        self._review = PeriodicReview(
            ledger,
            self._backlogs,
            self._policies,
            self._shares,
            self._task_sizer,
        )
        self._dispatcher = Dispatcher(
            ledger,
            self._fleet,
            self._backlogs,
            self._placer,
            self._task_sizer,
        )
        self._deadlines: list[tuple[float, int, WaitingRequest]] = []

    def set_teams(self, teams: Mapping[str, TeamQuota]) -> None:
        """Replace the quotas of all teams."""
        super().set_teams(teams)
        self._fleet.invalidate()

    def set_worker(self, worker: WorkerInfo, *, is_admitted: bool) -> None:
        """Add or update a worker; a closed one receives no new tasks."""
        known = self._ledger.workers.get(worker.name)
        if known is None or known.registration != worker:
            known = self._ledger.set_worker(worker, is_admitted=is_admitted)
            self._update_open(known)
            self._fleet.rebuild()
        elif known.is_admitted is not is_admitted:
            known.is_admitted = is_admitted
            self._update_open(known)

    def remove_worker(self, name: str) -> tuple[str, ...]:
        """Remove a worker and return the ids of the tasks placed on it."""
        tasks = super().remove_worker(name)
        self._health.forget(name)
        self._fleet.rebuild()
        return tasks

    def recover(self, placement: Placement, now_s: float) -> None:
        """Account for a task that already runs on a worker."""
        is_known = placement.task_id in self._ledger.tasks
        super().recover(placement, now_s)
        task = self._ledger.tasks[placement.task_id]
        if is_known:
            self._update_index(task.worker, has_freed=False)
        else:
            self._on_placed(task)

    def decide(self, now_s: float) -> Decisions:
        """Allocate free resources to waiting tasks."""
        current_round = Round(now_s, _ROUND_LIMIT)
        self._reserve.update(now_s)
        self._expire(current_round)
        self._start_probes(current_round)
        self._dispatcher.dispatch(
            _URGENT_RANK,
            self._shares,
            self._try_start,
            current_round,
        )
        is_due = self._review.start_if_due(now_s)
        if is_due:
            self._review.choose_holder(self._reservation, now_s)
        holder = self._reservation.holder
        if holder is not None and not holder.is_removed:
            self._dispatcher.dispatch_first(
                holder, self._try_start, current_round
            )
        for rank in self._policies.ranks():
            shares = self._shares if self._policies.is_fair(rank) else None
            self._dispatcher.dispatch(
                rank, shares, self._try_start, current_round
            )
        prompt_rank = self._policies.policy(PolicyKind.prompt).rank
        self._reserve.record_round(self._backlogs.count(prompt_rank))
        if is_due:
            self._review.preempt(self._preemptor, current_round)
        return current_round.decisions()

    def end_task(self, task_id: str, end: TaskEnd, now_s: float) -> None:
        """Release the resources of a task."""
        task = self._ledger.release(task_id)
        if task is None:
            return
        self._policies.topology_spread.remove(task)
        self._preemptor.remove(task)
        if task.spec.policy is PolicyKind.prompt:
            self._reserve.running -= 1
        if end is TaskEnd.finished:
            self._estimator.learn_run(task, now_s)
        if task.observed is not EMPTY:
            self._estimator.learn_size(task.spec, task.observed)
        self._update_health(task, end, now_s)
        self._update_index(task.worker, has_freed=True)

    def observe(
        self,
        task_id: str,
        observed: Resources,
        now_s: float,
    ) -> None:
        """Record a usage report of a running task, which may be delayed."""
        super().observe(task_id, observed, now_s)
        task = self._ledger.tasks.get(task_id)
        if task is not None:
            task.observed = task.observed.elementwise_max(observed)
            self._update_index(task.worker, has_freed=False)

    def explain(self, request_id: str, now_s: float) -> str:
        """Describe the constraint that keeps a request waiting."""
        request = self._waiting.get(request_id)
        if request is None:
            return 'the request is not waiting'
        spec = request.spec
        size = self._task_sizer.size(request)
        team = self._ledger.team(spec.team)
        if not team.admits(size.scaled_by(spec.gang_size)):
            return f'team {spec.team} has no allotment left'
        if self._placer.find(request, size, None, now_s):
            return 'the request starts with the next round'
        if next(self._fleet.pool(spec).fitting(size), None) is None:
            return 'no worker that matches has enough free room'
        if spec.gang_size > 1:
            return 'the fleet has no free room for all tasks of the gang'
        return 'free room is kept for prompt work or a reservation'

    def _refuse(self, spec: TaskSpec, now_s: float) -> Refusal | None:
        """Return why a request is refused at submission, if it is."""
        refusal = super()._refuse(spec, now_s)
        if refusal is not None:
            return refusal
        if self._health.is_bad_job(spec, now_s):
            return REPEATED_FAILURE
        if spec.policy is PolicyKind.prompt and spec.deadline_s is not None:
            rank = self._policies.policy(spec.policy).rank
            wait_s = self._reserve.expected_wait_s(self._backlogs.count(rank))
            if wait_s > _LATE_RATIO * spec.deadline_s:
                return DEADLINE_UNREACHABLE.with_retry_after(round(wait_s, 1))
        return None

    def _on_enqueued(self, request: WaitingRequest) -> None:
        """Add a request to the backlog of its team."""
        spec = request.spec
        policy = self._policies.policy(spec.policy)
        rank = _URGENT_RANK if spec.is_urgent else policy.rank
        self._backlogs.add(rank, policy.order_key(request), request)
        if request.start_by_s is not None:
            entry = (request.start_by_s, request.sequence, request)
            heapq.heappush(self._deadlines, entry)
        if spec.policy is PolicyKind.prompt:
            run_s = self._estimator.run_s(spec)
            self._reserve.record_arrival(spec.resources, run_s)

    def _dequeue(self, request: WaitingRequest) -> None:
        """Remove a waiting request."""
        super()._dequeue(request)
        self._backlogs.discard(request)

    def _on_placed(self, task: PlacedTask) -> None:
        """Update the indexes for a task that was placed."""
        self._update_index(task.worker, has_freed=False)
        account = self._ledger.workers.get(task.worker)
        if account is not None:
            self._policies.topology_spread.add(task, account.registration.rack)
        spec = task.spec
        if spec.policy is PolicyKind.prompt:
            self._reserve.record_start()
        policy = self._policies.policy(spec.policy)
        is_plain = not spec.is_unrepeatable and not spec.is_urgent
        if policy.is_preemptible and is_plain and spec.gang_size == 1:
            self._preemptor.add(task)

    def _try_start(
        self,
        request: WaitingRequest,
        workers: list[str],
        size: Resources,
        current_round: Round,
    ) -> bool:
        """Start a request, or refuse it if its job keeps failing.

        :returns: whether the request left the queue.
        """
        spec = request.spec
        if self._health.is_bad_job(spec, current_round.now_s):
            self._dequeue(request)
            current_round.refused.append((spec.request_id, REPEATED_FAILURE))
            return True
        if self._is_still_placed(spec):
            return False
        current_round.add(
            self._allocate(request, workers, size, current_round.now_s)
        )
        return True

    def _expire(self, current_round: Round) -> None:
        """Refuse requests whose latest start has passed."""
        while self._deadlines:
            start_by_s, _, request = self._deadlines[0]
            if not request.is_removed:
                if start_by_s >= current_round.now_s:
                    return
                self._dequeue(request)
                request_id = request.spec.request_id
                current_round.refused.append((request_id, DEADLINE_UNREACHABLE))
            heapq.heappop(self._deadlines)

    def _start_probes(self, current_round: Round) -> None:
        """Start a repeatable batch task on each worker due for a probe."""
        rank = self._policies.policy(PolicyKind.batch).rank
        for name in self._health.due_probes(current_round.now_s):
            account = self._ledger.workers.get(name)
            if account is None or not account.is_admitted:
                continue
            request = self._dispatcher.find_probe(rank, account)
            if request is None:
                continue
            size = self._task_sizer.size(request)
            if self._try_start(request, [name], size, current_round):
                self._health.start_probe(name)

    def _update_health(
        self,
        task: PlacedTask,
        end: TaskEnd,
        now_s: float,
    ) -> None:
        """Update the health of worker and job after a task ended."""
        if end is TaskEnd.finished:
            has_changed = self._health.succeeded(task.spec, task.worker)
        elif end is TaskEnd.failed:
            has_changed = self._health.failed(
                task.spec, task.worker, task.attempt, now_s
            )
        else:
            self._health.end_probe(task.worker)
            return
        account = self._ledger.workers.get(task.worker)
        if has_changed and account is not None:
            self._update_open(account)

    def _update_open(self, account: WorkerAccount) -> None:
        """Open a worker that is admitted and not quarantined, else close it."""
        is_healthy = account.registration.name not in self._health.quarantined
        account.is_open = account.is_admitted and is_healthy
        self._fleet.update(account, has_freed=True)

    def _update_index(self, worker: str, *, has_freed: bool) -> None:
        """Update the index with the free capacity of a worker."""
        account = self._ledger.workers.get(worker)
        if account is not None:
            self._fleet.update(account, has_freed=has_freed)
        if has_freed and (account is None or not account.is_open):
            self._fleet.bump_version()
