"""Scheduler with indexed free capacity, shares and queue policies."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from currantreach_decisions._estimates import Estimator, Sizing
from currantreach_decisions._fleet import Fleet
from currantreach_decisions._health import Health
from currantreach_decisions._lanes import Lanes
from currantreach_decisions._ledger import EMPTY
from currantreach_decisions._placer import Placer
from currantreach_decisions._policies import default_policies
from currantreach_decisions._preemption import Preemptor
from currantreach_decisions._queued import QueuedScheduler
from currantreach_decisions._reservation import Reservation
from currantreach_decisions._reserve import PromptReserve
from currantreach_decisions._review import Review
from currantreach_decisions._scheduler import TaskEnd
from currantreach_decisions._server import Round, Server
from currantreach_decisions._shares import Shares
from currantreach_types import PolicyKind
from currantreach_types.refusals import (
    DEADLINE_UNREACHABLE,
    REPEATED_FAILURE,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantreach_decisions._lanes import Waiting
    from currantreach_decisions._ledger import PlacedTask, WorkerRoom
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
# Bounds how long one round keeps the owner from its renewals.
_ROUND_LIMIT = 256
# Refusing before the deadline needs a clear case, since the drain rate of
# the last second is uncertain.
_CLEARLY_LATE = 3


class IndexedScheduler(QueuedScheduler):
    """Scheduler of the owner.

    A round starts at most 256 requests; the owner calls :meth:`decide` again
    if a round returned that many.
    """

    def __init__(
        self,
        queue_limits: Mapping[str, int] | None = None,
    ) -> None:
        """Start with an empty fleet.

        :param queue_limits: requests that each queue holds at most; a queue
            that is not named holds 10,000.
        """
        super().__init__(queue_limits)
        ledger = self._ledger
        self._fleet = Fleet(ledger.workers)
        self._estimator = Estimator()
        self._health = Health()
        self._lanes = Lanes()
        self._shares = Shares(ledger)
        self._policies = default_policies()
        self._reserve = PromptReserve(self._fleet)
        self._reservation = Reservation(ledger, self._fleet, self._estimator)
        self._preempter = Preemptor(ledger, self._shares)
        self._placer = Placer(
            self._fleet,
            self._policies,
            self._reserve,
            self._reservation,
        )
        self._sizing = Sizing(ledger, self._estimator)
        self._review = Review(
            ledger,
            self._lanes,
            self._policies,
            self._shares,
            self._sizing,
        )
        self._server = Server(
            ledger,
            self._fleet,
            self._lanes,
            self._placer,
            self._sizing,
        )
        self._deadlines: list[tuple[float, int, Waiting]] = []

    def set_teams(self, teams: Mapping[str, TeamQuota]) -> None:
        """Replace the terms of all teams."""
        super().set_teams(teams)
        self._fleet.invalidate()

    def set_worker(self, worker: WorkerInfo, *, is_open: bool) -> None:
        """Add or update a worker; a closed one receives no new task."""
        known = self._ledger.workers.get(worker.name)
        if known is None or known.host != worker:
            known = self._ledger.set_worker(worker, is_open=is_open)
            self._set_open(known)
            self._fleet.rebuild()
        elif known.is_admitted is not is_open:
            known.is_admitted = is_open
            self._set_open(known)

    def remove_worker(self, name: str) -> tuple[str, ...]:
        """Remove a worker and return the ids of the tasks placed on it."""
        tasks = super().remove_worker(name)
        self._health.forget(name)
        self._fleet.rebuild()
        return tasks

    def recover(self, placement: Placement, now_s: float) -> None:
        """Count a task that was found on a worker, without starting it."""
        is_known = placement.task_id in self._ledger.tasks
        super().recover(placement, now_s)
        task = self._ledger.tasks[placement.task_id]
        if is_known:
            self._update(task.worker, has_grown=False)
        else:
            self._placed(task)

    def decide(self, now_s: float) -> Decisions:
        """Set aside room for waiting tasks as far as it reaches."""
        outcome = Round(now_s, _ROUND_LIMIT)
        self._reserve.step(now_s)
        self._expire(outcome)
        self._probe(outcome)
        self._server.serve(_URGENT_RANK, self._shares, self._try, outcome)
        is_due = self._review.is_due(now_s)
        if is_due:
            self._review.choose_holder(self._reservation, now_s)
        holder = self._reservation.holder
        if holder is not None and not holder.is_gone:
            self._server.serve_first(holder, self._try, outcome)
        for rank in self._policies.ranks():
            shares = self._shares if self._policies.is_fair(rank) else None
            self._server.serve(rank, shares, self._try, outcome)
        if is_due:
            self._review.preempt(self._preempter, outcome)
        return outcome.decisions()

    def end_task(self, task_id: str, end: TaskEnd, now_s: float) -> None:
        """Give back the room of a task."""
        task = self._ledger.release(task_id)
        if task is None:
            return
        self._policies.spread.remove(task)
        self._preempter.remove(task)
        if task.spec.policy is PolicyKind.prompt:
            self._reserve.running -= 1
        if end is TaskEnd.finished:
            self._estimator.learn_run(task.spec, now_s - task.started_s)
        if task.observed is not EMPTY:
            self._estimator.learn_size(task.spec, task.observed)
        self._judge(task, end, now_s)
        self._update(task.worker, has_grown=True)

    def observe(
        self,
        task_id: str,
        observed: Resources,
        now_s: float,
    ) -> None:
        """Learn from a lagging usage report of a running task."""
        super().observe(task_id, observed, now_s)
        task = self._ledger.tasks.get(task_id)
        if task is not None:
            task.observed = task.observed.at_least(observed)
            self._update(task.worker, has_grown=False)

    def explain(self, request_id: str, now_s: float) -> str:
        """Say which constraint keeps a request waiting."""
        waiting = self._waiting.get(request_id)
        if waiting is None:
            return 'the request is not waiting'
        spec = waiting.spec
        size = self._sizing.size(waiting)
        team = self._ledger.team(spec.team)
        if not team.admits(size.times(spec.gang_size)):
            return f'team {spec.team} has no allotment left'
        if self._placer.find(waiting, size, None, now_s):
            return 'the request starts with the next round'
        if next(self._fleet.pool(spec).fitting(size), None) is None:
            return 'no worker that matches has enough free room'
        if spec.gang_size > 1:
            return 'the fleet has no free room for all tasks of the gang'
        return 'free room is kept for prompt work or a reservation'

    def _refuse(self, spec: TaskSpec, now_s: float) -> Refusal | None:
        """Say why a request is refused at submission, if it is."""
        refusal = super()._refuse(spec, now_s)
        if refusal is not None:
            return refusal
        if self._health.is_bad_job(spec, now_s):
            return REPEATED_FAILURE
        if spec.policy is PolicyKind.prompt and spec.deadline_s is not None:
            rank = self._policies.policy(spec.policy).rank
            wait_s = self._reserve.expected_wait_s(self._lanes.count(rank))
            if wait_s > _CLEARLY_LATE * spec.deadline_s:
                return DEADLINE_UNREACHABLE.after(round(wait_s, 1))
        return None

    def _added(self, waiting: Waiting) -> None:
        """Put a request into the order of the queue."""
        spec = waiting.spec
        policy = self._policies.policy(spec.policy)
        rank = _URGENT_RANK if spec.is_urgent else policy.rank
        self._lanes.add(rank, policy.order_key(waiting), waiting)
        if waiting.start_by_s is not None:
            entry = (waiting.start_by_s, waiting.sequence, waiting)
            heapq.heappush(self._deadlines, entry)
        if spec.policy is PolicyKind.prompt:
            run_s = self._estimator.run_s(spec)
            self._reserve.arrived(spec.resources, run_s)

    def _take_out(self, waiting: Waiting) -> None:
        """Remove a waiting request."""
        super()._take_out(waiting)
        self._lanes.discard(waiting)

    def _placed(self, task: PlacedTask) -> None:
        """Take note of a new task."""
        self._update(task.worker, has_grown=False)
        room = self._ledger.workers.get(task.worker)
        if room is not None:
            self._policies.spread.add(task, room.host.rack)
        spec = task.spec
        if spec.policy is PolicyKind.prompt:
            self._reserve.started()
        policy = self._policies.policy(spec.policy)
        is_plain = not spec.is_unrepeatable and not spec.is_urgent
        if policy.is_preemptible and is_plain and spec.gang_size == 1:
            self._preempter.add(task)

    def _try(
        self,
        waiting: Waiting,
        workers: list[str],
        size: Resources,
        outcome: Round,
    ) -> bool:
        """Start a request, or refuse it if its job fails everywhere."""
        spec = waiting.spec
        if self._health.is_bad_job(spec, outcome.now_s):
            self._take_out(waiting)
            outcome.refused.append((spec.request_id, REPEATED_FAILURE))
            return True
        if self._is_still_placed(spec):
            return False
        outcome.add(self._start(waiting, workers, size, outcome.now_s))
        return True

    def _expire(self, outcome: Round) -> None:
        """Refuse requests whose latest start has passed."""
        while self._deadlines:
            start_by_s, _, waiting = self._deadlines[0]
            if not waiting.is_gone:
                if start_by_s >= outcome.now_s:
                    return
                self._take_out(waiting)
                request_id = waiting.spec.request_id
                outcome.refused.append((request_id, DEADLINE_UNREACHABLE))
            heapq.heappop(self._deadlines)

    def _probe(self, outcome: Round) -> None:
        """Start one repeatable batch task on each worker that is due."""
        rank = self._policies.policy(PolicyKind.batch).rank
        for name in self._health.due_probes(outcome.now_s):
            room = self._ledger.workers.get(name)
            if room is None or not room.is_admitted:
                continue
            waiting = self._server.probe_for(rank, room)
            if waiting is None:
                continue
            size = self._sizing.size(waiting)
            if self._try(waiting, [name], size, outcome):
                self._health.probe(name)

    def _judge(self, task: PlacedTask, end: TaskEnd, now_s: float) -> None:
        """Learn from the end of a task whether worker and job are healthy."""
        if end is TaskEnd.finished:
            has_changed = self._health.succeeded(task.spec, task.worker)
        elif end is TaskEnd.failed:
            has_changed = self._health.failed(task.spec, task.worker, now_s)
        else:
            self._health.release(task.worker)
            return
        room = self._ledger.workers.get(task.worker)
        if has_changed and room is not None:
            self._set_open(room)

    def _set_open(self, room: WorkerRoom) -> None:
        """Open a worker that is admitted and not quarantined."""
        is_healthy = room.host.name not in self._health.quarantined
        room.is_open = room.is_admitted and is_healthy
        self._fleet.update(room, has_grown=True)

    def _update(self, worker: str, *, has_grown: bool) -> None:
        """Take over the free room of a worker."""
        room = self._ledger.workers.get(worker)
        if room is not None:
            self._fleet.update(room, has_grown=has_grown)
        if has_grown and (room is None or not room.is_open):
            self._fleet.touch()
