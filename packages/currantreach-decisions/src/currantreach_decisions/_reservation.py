"""Reservation of workers for the next gang or large task.

A reservation is a set of workers for one waiting request. The headroom that is
always kept free for prompt tasks is the reserve (see ``_reserve``).
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from currantreach_decisions._ledger import EMPTY, unit_count
from currantreach_types import PolicyKind

if TYPE_CHECKING:
    from currantreach_decisions._backlogs import WaitingRequest
    from currantreach_decisions._estimates import Estimator
    from currantreach_decisions._fleet import Fleet
    from currantreach_decisions._ledger import Ledger, PlacedTask, WorkerAccount
    from currantreach_types import Resources

__all__ = ('Reservation',)

# Maximum number of workers to consider; bounds the work in a large fleet.
_PLANNED_WORKERS = 96
_PLAN_AGE_S = 5
# A task that exceeded its estimate is expected to run for another half of the
# time that it has run so far.
_OVERRUN_RATIO = 0.5


class Reservation:
    """Reservation with backfill.

    Only one request at a time reserves workers, so that two gangs cannot
    deadlock. Other requests may backfill these workers with tasks that are
    expected to end before the holder can start.

    :ivar holder: request that the workers are reserved for.
    """

    def __init__(
        self,
        ledger: Ledger,
        fleet: Fleet,
        estimator: Estimator,
    ) -> None:
        """Start without a holder."""
        self.holder: WaitingRequest | None = None
        self._ledger = ledger
        self._fleet = fleet
        self._estimator = estimator
        self._workers: frozenset[str] = frozenset()
        self._start_at_s: float = 0
        self._planned_at_s: float = 0

    def hold(
        self,
        holder: WaitingRequest,
        size: Resources,
        now_s: float,
    ) -> None:
        """Reserve the workers that are expected to fit the holder first."""
        if self.holder is holder and now_s < self._planned_at_s + _PLAN_AGE_S:
            return
        self.holder = holder
        self._planned_at_s = now_s
        needed = holder.spec.gang_size
        pool = self._fleet.pool(holder.spec)
        events: list[tuple[float, str]] = []
        for worker in itertools.islice(pool.workers, _PLANNED_WORKERS):
            if worker.is_open:
                events += self._expected_capacity(worker, size, needed, now_s)
        chosen = sorted(events)[:needed]
        if len(chosen) < needed:
            chosen = []
        self._workers = frozenset(name for _, name in chosen)
        self._start_at_s = chosen[-1][0] if chosen else now_s
        self._fleet.invalidate()

    def clear(self) -> None:
        """End the reservation."""
        if self.holder is not None:
            self.holder = None
            self._workers = frozenset()
            self._fleet.invalidate()

    def allows(
        self,
        worker: WorkerAccount,
        request: WaitingRequest,
        now_s: float,
    ) -> bool:
        """Tell whether the reservation lets a request use a worker."""
        if (
            worker.registration.name not in self._workers
            or request is self.holder
        ):
            return True
        spec = request.spec
        if spec.policy is PolicyKind.prompt or spec.is_urgent:
            return True
        return now_s + self._estimator.run_s(spec) <= self._start_at_s

    def _expected_capacity(
        self,
        worker: WorkerAccount,
        size: Resources,
        needed: int,
        now_s: float,
    ) -> list[tuple[float, str]]:
        """Return when a worker is expected to fit each further task."""
        name = worker.registration.name
        free = worker.free
        units = min(unit_count(free, size), needed)
        events = list(itertools.repeat((now_s, name), units))
        for end_s, task in self._expected_ends(name, now_s):
            if len(events) >= needed:
                break
            free += task.allocated
            gained = min(unit_count(free, size), needed) - len(events)
            events += itertools.repeat((end_s, name), gained)
        return events

    def _expected_ends(
        self,
        worker: str,
        now_s: float,
    ) -> list[tuple[float, PlacedTask]]:
        """Return the tasks of a worker, ordered by their expected end."""
        ends = []
        for task in self._ledger.tasks_on(worker).values():
            if (
                task.spec.policy is PolicyKind.service
                or task.allocated is EMPTY
            ):
                continue
            end_s = task.started_at_s + self._estimator.run_s(task.spec)
            if end_s < now_s:
                end_s = now_s + _OVERRUN_RATIO * (now_s - task.started_at_s)
            ends.append((end_s, task))
        ends.sort(key=lambda end: end[0])
        return ends
