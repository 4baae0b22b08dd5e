"""Replay of arrivals and completions with injected time."""

from __future__ import annotations

import collections
import heapq
import itertools
import time
from typing import TYPE_CHECKING

import attrs

from bench.workload import LENGTH_S, Arrival
from currantreach_decisions import TaskEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.workload import Deployment
    from currantreach_decisions import Placement, Scheduler
    from currantreach_types import Refusal, Resources

    _Event = Callable[[], None]

TICK_S = 0.1
_ROUND_LIMIT = 256
_MILLI = 1000
_USAGE_LAG_S = 2
_FAILURE_S = 0.3
_CHECKPOINT_S = 0.5
_LOST_BY_CHECKPOINT_S = 2
_ATTEMPT_LIMIT = 5
# One worker fails every task between these times.
_FAILING_WORKER = 'worker-5'
_FAILING_S = (100, 400)
_CANCELLED_AT_S = (150, 300, 450)
_CLOSED_AT_S = 250
_REMOVED_AT_S = 310
_LEAVING = ('worker-11', 'worker-17')


@attrs.define(slots=True, eq=False)
class Request:
    """What happened to a request.

    :ivar left_s: run time that is left after checkpoints.
    """

    arrival: Arrival
    left_s: float
    running: int = 0
    attempts: int = 0
    first_start_s: float | None = None
    refusal: str = ''
    is_finished: bool = False
    end: TaskEnd = TaskEnd.finished
    is_submitted: bool = False


@attrs.define(slots=True, eq=False)
class Timing:
    """Seconds spent in the scheduler.

    :ivar rounds: seconds and number of decisions of each round.
    """

    call_s: float = 0
    rounds: list[tuple[float, int]] = attrs.field(factory=list)


class Replay:
    """One scheduler under one sequence of arrivals."""

    def __init__(
        self,
        scheduler: Scheduler,
        deployment: Deployment,
        arrivals: list[Arrival],
        sample: Callable[[Replay], None],
    ) -> None:
        """Prepare the fleet and the first events.

        :param sample: is called once a simulated second.
        """
        self.scheduler = scheduler
        self.now_s: float = 0
        self.requests: dict[str, Request] = {}
        self.running: dict[str, tuple[Placement, float]] = {}
        self.timing = Timing()
        self.memory_used: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.wasted_s: float = 0
        self.done_core_s: float = 0
        self.done_worker_s: float = 0
        self._capacity = deployment.capacity
        self._sample = sample
        self._workers = {each.name: each for each in deployment.workers()}
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, _Event]] = []
        scheduler.set_teams(deployment.terms())
        for worker in self._workers.values():
            scheduler.set_worker(worker, is_open=True)
        self._plan(arrivals)

    def run(self) -> None:
        """Replay until the end."""
        while self._events:
            at_s, _, event = heapq.heappop(self._events)
            self.now_s = at_s
            if self.now_s > LENGTH_S:
                return
            event()
            self._decide()

    def _plan(self, arrivals: list[Arrival]) -> None:
        """Queue the events that do not depend on decisions."""
        for arrival in arrivals:
            request = Request(arrival, arrival.run_s)
            self.requests[arrival.spec.request_id] = request
            self._at(arrival.at_s, self._submit, request)
        self._at(0, self._tick, 0)
        for wave_s in _CANCELLED_AT_S:
            self._at(wave_s, self._cancel)
        for name in _LEAVING:
            self._at(_CLOSED_AT_S, self._close, name)
            self._at(_REMOVED_AT_S, self._remove, name)

    def _at(
        self,
        at_s: float,
        call: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Queue an event."""
        entry = (at_s, next(self._sequence), lambda: call(*arguments))
        heapq.heappush(self._events, entry)

    def _timed(self, call: Callable[[], object]) -> object:
        """Call the scheduler and count the time."""
        start = time.perf_counter()
        outcome = call()
        self.timing.call_s += time.perf_counter() - start
        return outcome

    def _tick(self, count: int) -> None:
        """Let time-dependent rules act, and sample once a second."""
        self._at((count + 1) * TICK_S, self._tick, count + 1)
        if not count % round(1 / TICK_S):
            self._sample(self)

    def _submit(self, request: Request) -> None:
        """Submit a request, perhaps again."""
        spec = request.arrival.spec
        request.is_submitted = True
        if request.first_start_s is not None:
            spec = attrs.evolve(spec, deadline_s=None)
        refusal = self._timed(
            lambda: self.scheduler.submit(spec, self.now_s),
        )
        if refusal is not None:
            self._refused(request, refusal)

    def _refused(self, request: Request, refusal: Refusal) -> None:
        """Note a refusal."""
        request.refusal = refusal.reason
        self.counts[refusal.reason] += 1

    def _decide(self) -> None:
        """Run rounds until nothing more is decided at this time."""
        while True:
            start = time.perf_counter()
            decisions = self.scheduler.decide(self.now_s)
            spent_s = time.perf_counter() - start
            self.timing.call_s += spent_s
            count = len({each.spec.request_id for each in decisions.placements})
            count += len(decisions.refused) + len(decisions.preemptions)
            self.timing.rounds.append((spent_s, count))
            for placement in decisions.placements:
                self._start(placement)
            for request_id, refusal in decisions.refused:
                self._refused(self.requests[request_id], refusal)
            for preemption in decisions.preemptions:
                end_s = self.now_s + _CHECKPOINT_S
                self._at(end_s, self._checkpoint, preemption.task_id)
            if count < _ROUND_LIMIT:
                return

    def _start(self, placement: Placement) -> None:
        """Start a task and decide when and how it ends."""
        request = self.requests[placement.spec.request_id]
        if request.first_start_s is None:
            request.first_start_s = self.now_s
        request.running += 1
        request.end = TaskEnd.finished
        self.running[placement.task_id] = (placement, self.now_s)
        memory_mib = request.arrival.used.memory_mib
        worker = placement.worker
        self.memory_used[worker] += memory_mib
        end, run_s = TaskEnd.finished, request.left_s
        capacity = self._workers[worker].capacity
        if self.memory_used[worker] > capacity.memory_mib:
            self.counts['out_of_memory'] += 1
            end, run_s = TaskEnd.failed, min(run_s, _FAILURE_S)
        elif self._fails(request, worker):
            end, run_s = TaskEnd.failed, min(run_s, _FAILURE_S)
        mark = (placement.task_id, self.now_s)
        self._at(self.now_s + min(run_s, _USAGE_LAG_S), self._observe, mark)
        self._at(self.now_s + run_s, self._end, mark, end)

    def _fails(self, request: Request, worker: str) -> bool:
        """Tell whether the job or the worker is bad."""
        first_s, last_s = _FAILING_S
        is_bad_worker = worker == _FAILING_WORKER
        if is_bad_worker and first_s <= self.now_s < last_s:
            self.counts['failed_by_worker'] += 1
            return True
        return request.arrival.is_bad

    def _observe(self, mark: tuple[str, float]) -> None:
        """Report what a task uses."""
        task_id, started_s = mark
        placement, known_s = self.running.get(task_id, (None, None))
        if placement is None or known_s != started_s:
            return
        used = self.requests[placement.spec.request_id].arrival.used
        self._timed(
            lambda: self.scheduler.observe(task_id, used, self.now_s),
        )

    def _end(self, mark: tuple[str, float], end: TaskEnd) -> None:
        """End a task, unless it ended in another way before."""
        task_id, started_s = mark
        placement, known_s = self.running.get(task_id, (None, None))
        if placement is None or known_s != started_s:
            return
        self.running.pop(task_id)
        self._timed(
            lambda: self.scheduler.end_task(task_id, end, self.now_s),
        )
        request = self.requests[placement.spec.request_id]
        self.memory_used[placement.worker] -= request.arrival.used.memory_mib
        ran_s = self.now_s - started_s
        if end is TaskEnd.finished:
            self._count_done(request.arrival.used, ran_s)
        else:
            request.end = end
            self.wasted_s += ran_s
        request.running -= 1
        if not request.running:
            self._settle(request, ran_s)

    def _settle(self, request: Request, ran_s: float) -> None:
        """Finish a request or submit it again."""
        end = request.end
        if end is TaskEnd.finished:
            request.is_finished = True
            return
        if end is TaskEnd.checkpointed:
            kept_s = max(ran_s - _CHECKPOINT_S - _LOST_BY_CHECKPOINT_S, 0)
            self.wasted_s -= kept_s
            self._count_done(request.arrival.used, kept_s)
            request.left_s -= kept_s
        else:
            request.attempts += 1
        is_repeatable = not request.arrival.spec.is_unrepeatable
        if is_repeatable and request.attempts < _ATTEMPT_LIMIT:
            self._submit(request)

    def _checkpoint(self, task_id: str) -> None:
        """End a task that had to make room."""
        known = self.running.get(task_id)
        if known is not None:
            self.counts['checkpoints'] += 1
            self._end((task_id, known[1]), TaskEnd.checkpointed)

    def _cancel(self) -> None:
        """Cancel many requests at once."""
        wave = [
            request_id
            for request_id, request in self.requests.items()
            if request.arrival.is_cancelled and request.is_submitted
        ]
        cancelled = self._timed(lambda: self.scheduler.cancel(wave))
        for request_id in cancelled:
            self.requests[request_id].refusal = 'cancelled'
        self.counts['cancelled'] += len(cancelled)

    def _close(self, name: str) -> None:
        """Let a worker leave."""
        worker = self._workers[name]
        self.scheduler.set_worker(worker, is_open=False)

    def _remove(self, name: str) -> None:
        """Remove a worker and lose what still runs on it."""
        for task_id in self.scheduler.remove_worker(name):
            self._end((task_id, self.running[task_id][1]), TaskEnd.lost)

    def _count_done(self, used: Resources, ran_s: float) -> None:
        """Count completed work by the part of a worker that it needs most."""
        capacity = self._capacity
        part = max(
            1 / capacity.slot_count,
            used.cpu_milli / capacity.cpu_milli,
            used.memory_mib / capacity.memory_mib,
        )
        self.done_worker_s += ran_s * part
        self.done_core_s += ran_s * used.cpu_milli / _MILLI
