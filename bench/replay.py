"""Discrete-event replay of arrivals and completions with injected time."""

from __future__ import annotations

import collections
import heapq
import itertools
import time
from typing import TYPE_CHECKING

import attrs

from bench.workload import DURATION_S, Arrival
from currantreach_decisions import TaskEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.workload import Deployment
    from currantreach_decisions import Placement, Scheduler
    from currantreach_types import Refusal, Resources

    _Event = Callable[[], None]

TICK_S = 0.1
_MAX_ROUND_DECISIONS = 256
_MILLI = 1000
_USAGE_LAG_S = 2
_FAILED_RUN_S = 0.3
_CHECKPOINT_S = 0.5
_CHECKPOINT_LOSS_S = 2
_MAX_ATTEMPTS = 5
# During this period, one worker fails every task.
_FAILING_WORKER = 'worker-5'
_FAILING_PERIOD_S = (100, 400)
_CANCELLATION_TIMES_S = (150, 300, 450)
_DRAINED_AT_S = 250
_REMOVED_AT_S = 310
_DRAINED_WORKERS = ('worker-11', 'worker-17')


@attrs.define(slots=True, eq=False)
class Request:
    """State of a request in a replay.

    :ivar remaining_s: run time that remains after checkpoints.
    """

    arrival: Arrival
    remaining_s: float
    running: int = 0
    attempts: int = 0
    first_start_s: float | None = None
    refusal: str = ''
    is_finished: bool = False
    end: TaskEnd = TaskEnd.finished
    is_submitted: bool = False


@attrs.define(slots=True, eq=False)
class Timing:
    """Time spent in the scheduler.

    :ivar call_s: seconds in all calls.
    :ivar rounds: seconds and number of decisions of each round.
    """

    call_s: float = 0
    rounds: list[tuple[float, int]] = attrs.field(factory=list)


class Replay:
    """Replay of one sequence of arrivals with one scheduler."""

    def __init__(
        self,
        scheduler: Scheduler,
        deployment: Deployment,
        arrivals: list[Arrival],
        sample: Callable[[Replay], None],
    ) -> None:
        """Prepare the fleet and the initial events.

        :param sample: called once per simulated second.
        """
        self.scheduler = scheduler
        self.now_s: float = 0
        self.requests: dict[str, Request] = {}
        self.running: dict[str, tuple[Placement, float]] = {}
        self.timing = Timing()
        self.memory_used: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.wasted_s: float = 0
        self.completed_core_s: float = 0
        self.completed_worker_s: float = 0
        self._capacity = deployment.capacity
        self._sample = sample
        self._workers = {entry.name: entry for entry in deployment.workers()}
        self._tie_breakers = itertools.count()
        self._events: list[tuple[float, int, _Event]] = []
        scheduler.set_teams(deployment.quotas())
        for worker in self._workers.values():
            scheduler.set_worker(worker, is_admitted=True)
        self._schedule_initial_events(arrivals)

    def run(self) -> None:
        """Run the replay until its end."""
        while self._events:
            at_s, _, event = heapq.heappop(self._events)
            self.now_s = at_s
            if self.now_s > DURATION_S:
                return
            event()
            self._run_rounds()

    def _schedule_initial_events(self, arrivals: list[Arrival]) -> None:
        """Schedule the events that do not depend on decisions."""
        for arrival in arrivals:
            request = Request(arrival, arrival.run_s)
            self.requests[arrival.spec.request_id] = request
            self._schedule(arrival.at_s, self._submit, request)
        self._schedule(0, self._tick, 0)
        for cancelled_at_s in _CANCELLATION_TIMES_S:
            self._schedule(cancelled_at_s, self._cancel)
        for name in _DRAINED_WORKERS:
            self._schedule(_DRAINED_AT_S, self._drain, name)
            self._schedule(_REMOVED_AT_S, self._remove, name)

    def _schedule(
        self,
        at_s: float,
        call: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Schedule an event."""
        entry = (at_s, next(self._tie_breakers), lambda: call(*arguments))
        heapq.heappush(self._events, entry)

    def _timed(self, call: Callable[[], object]) -> object:
        """Call the scheduler and add up the time spent."""
        start = time.perf_counter()
        outcome = call()
        self.timing.call_s += time.perf_counter() - start
        return outcome

    def _tick(self, count: int) -> None:
        """Trigger time-dependent rules, and sample once per second."""
        self._schedule((count + 1) * TICK_S, self._tick, count + 1)
        if not count % round(1 / TICK_S):
            self._sample(self)

    def _submit(self, request: Request) -> None:
        """Submit or resubmit a request."""
        spec = request.arrival.spec
        request.is_submitted = True
        if request.first_start_s is not None:
            spec = attrs.evolve(spec, deadline_s=None)
        refusal = self._timed(
            lambda: self.scheduler.submit(spec, self.now_s),
        )
        if refusal is not None:
            self._record_refusal(request, refusal)

    def _record_refusal(self, request: Request, refusal: Refusal) -> None:
        """Record a refusal."""
        request.refusal = refusal.reason
        self.counts[refusal.reason] += 1

    def _run_rounds(self) -> None:
        """Run rounds until nothing more can be decided at this time."""
        while True:
            start = time.perf_counter()
            decisions = self.scheduler.decide(self.now_s)
            spent_s = time.perf_counter() - start
            self.timing.call_s += spent_s
            count = len(
                {placed.spec.request_id for placed in decisions.placements}
            )
            count += len(decisions.refused) + len(decisions.preemptions)
            self.timing.rounds.append((spent_s, count))
            for placement in decisions.placements:
                self._start(placement)
            for request_id, refusal in decisions.refused:
                self._record_refusal(self.requests[request_id], refusal)
            for preemption in decisions.preemptions:
                end_s = self.now_s + _CHECKPOINT_S
                self._schedule(end_s, self._checkpoint, preemption.task_id)
            if count < _MAX_ROUND_DECISIONS:
                return

    def _start(self, placement: Placement) -> None:
        """Start a task and schedule its end."""
        request = self.requests[placement.spec.request_id]
        if request.first_start_s is None:
            request.first_start_s = self.now_s
        request.running += 1
        request.end = TaskEnd.finished
        self.running[placement.task_id] = (placement, self.now_s)
        memory_mib = request.arrival.used.memory_mib
        worker = placement.worker
        self.memory_used[worker] += memory_mib
        end, run_s = TaskEnd.finished, request.remaining_s
        capacity = self._workers[worker].capacity
        if self.memory_used[worker] > capacity.memory_mib:
            self.counts['out_of_memory'] += 1
            end, run_s = TaskEnd.failed, min(run_s, _FAILED_RUN_S)
        elif self._fails(request, worker):
            end, run_s = TaskEnd.failed, min(run_s, _FAILED_RUN_S)
        run_key = (placement.task_id, self.now_s)
        self._schedule(
            self.now_s + min(run_s, _USAGE_LAG_S), self._observe, run_key
        )
        self._schedule(self.now_s + run_s, self._end, run_key, end)

    def _fails(self, request: Request, worker: str) -> bool:
        """Tell whether the task fails because of its job or its worker."""
        first_s, last_s = _FAILING_PERIOD_S
        is_bad_worker = worker == _FAILING_WORKER
        if is_bad_worker and first_s <= self.now_s < last_s:
            self.counts['failed_by_worker'] += 1
            return True
        return request.arrival.is_bad

    def _observe(self, run_key: tuple[str, float]) -> None:
        """Report the usage of a task."""
        task_id, started_s = run_key
        placement, current_started_s = self.running.get(task_id, (None, None))
        if placement is None or current_started_s != started_s:
            return
        used = self.requests[placement.spec.request_id].arrival.used
        self._timed(
            lambda: self.scheduler.observe(task_id, used, self.now_s),
        )

    def _end(self, run_key: tuple[str, float], end: TaskEnd) -> None:
        """End a task unless it has already ended in another way."""
        task_id, started_s = run_key
        placement, current_started_s = self.running.get(task_id, (None, None))
        if placement is None or current_started_s != started_s:
            return
        self.running.pop(task_id)
        self._timed(
            lambda: self.scheduler.end_task(task_id, end, self.now_s),
        )
        request = self.requests[placement.spec.request_id]
        self.memory_used[placement.worker] -= request.arrival.used.memory_mib
        ran_s = self.now_s - started_s
        if end is TaskEnd.finished:
            self._count_completed(request.arrival.used, ran_s)
        else:
            request.end = end
            self.wasted_s += ran_s
        request.running -= 1
        if not request.running:
            self._complete_attempt(request, ran_s)

    def _complete_attempt(self, request: Request, ran_s: float) -> None:
        """Finish a request or resubmit it."""
        end = request.end
        if end is TaskEnd.finished:
            request.is_finished = True
            return
        if end is TaskEnd.checkpointed:
            saved_s = max(ran_s - _CHECKPOINT_S - _CHECKPOINT_LOSS_S, 0)
            self.wasted_s -= saved_s
            self._count_completed(request.arrival.used, saved_s)
            request.remaining_s -= saved_s
        else:
            request.attempts += 1
        is_repeatable = not request.arrival.spec.is_unrepeatable
        if is_repeatable and request.attempts < _MAX_ATTEMPTS:
            self._submit(request)

    def _checkpoint(self, task_id: str) -> None:
        """End a preempted task at its checkpoint."""
        placed_run = self.running.get(task_id)
        if placed_run is not None:
            self.counts['checkpoints'] += 1
            self._end((task_id, placed_run[1]), TaskEnd.checkpointed)

    def _cancel(self) -> None:
        """Cancel many requests at once."""
        request_ids = [
            request_id
            for request_id, request in self.requests.items()
            if request.arrival.is_cancelled and request.is_submitted
        ]
        cancelled = self._timed(lambda: self.scheduler.cancel(request_ids))
        for request_id in cancelled:
            self.requests[request_id].refusal = 'cancelled'
        self.counts['cancelled'] += len(cancelled)

    def _drain(self, name: str) -> None:
        """Close a worker for new tasks."""
        worker = self._workers[name]
        self.scheduler.set_worker(worker, is_admitted=False)

    def _remove(self, name: str) -> None:
        """Remove a worker; the tasks that still run on it are lost."""
        for task_id in self.scheduler.remove_worker(name):
            self._end((task_id, self.running[task_id][1]), TaskEnd.lost)

    def _count_completed(self, used: Resources, ran_s: float) -> None:
        """Count completed work, weighted by its dominant share of a worker."""
        capacity = self._capacity
        fraction = max(
            1 / capacity.slot_count,
            used.cpu_milli / capacity.cpu_milli,
            used.memory_mib / capacity.memory_mib,
        )
        self.completed_worker_s += ran_s * fraction
        self.completed_core_s += ran_s * used.cpu_milli / _MILLI
