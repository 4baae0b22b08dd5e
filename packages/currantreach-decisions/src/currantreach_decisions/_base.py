"""Queueing and resource accounting shared by all schedulers."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from currantreach_decisions._backlogs import WaitingRequest
from currantreach_decisions._ledger import Ledger
from currantreach_decisions._scheduler import Placement, Scheduler
from currantreach_types import task_id
from currantreach_types.refusals import (
    DEADLINE_UNREACHABLE,
    NEVER_FITS,
    QUEUE_FULL,
    TEAM_UNKNOWN,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_decisions._ledger import PlacedTask
    from currantreach_decisions._scheduler import TaskEnd, TeamQuota
    from currantreach_types import Refusal, Resources, TaskSpec, WorkerInfo

__all__ = ('BaseScheduler',)

_DEFAULT_QUEUE_LIMIT = 10000


class BaseScheduler(Scheduler):
    """Base class of schedulers; subclasses choose what starts where."""

    def __init__(
        self,
        queue_limits: Mapping[str, int] | None = None,
    ) -> None:
        """Start with an empty fleet.

        :param queue_limits: maximum number of waiting requests by queue; the
            default is 10,000.
        """
        self._queue_limits = dict(queue_limits or {})
        self._ledger = Ledger()
        self._waiting: dict[str, WaitingRequest] = {}
        self._queue_lengths: dict[str, int] = {}
        self._sequence = 0

    def set_teams(self, teams: Mapping[str, TeamQuota]) -> None:
        """Replace the quotas of all teams."""
        self._ledger.apply_quotas(teams)

    def set_worker(self, worker: WorkerInfo, *, is_admitted: bool) -> None:
        """Add or update a worker; a closed one receives no new tasks."""
        self._ledger.set_worker(worker, is_admitted=is_admitted)

    def remove_worker(self, name: str) -> tuple[str, ...]:
        """Remove a worker and return the ids of the tasks placed on it."""
        self._ledger.drop_worker(name)
        return tuple(self._ledger.tasks_on(name))

    def submit(self, spec: TaskSpec, now_s: float) -> Refusal | None:
        """Queue a request, or return why it is refused."""
        if spec.request_id in self._waiting:
            return None
        refusal = self._refuse(spec, now_s)
        if refusal is not None:
            return refusal
        self._sequence += 1
        start_by_s = None
        if spec.deadline_s is not None:
            start_by_s = now_s + spec.deadline_s
        request = WaitingRequest(spec, now_s, self._sequence, start_by_s)
        self._waiting[spec.request_id] = request
        self._count_request(spec, 1)
        self._on_enqueued(request)
        return None

    def recover(self, placement: Placement, now_s: float) -> None:
        """Account for a task that already runs on a worker."""
        request = self._waiting.get(placement.spec.request_id)
        if request is not None:
            self._dequeue(request)
        known = self._ledger.tasks.get(placement.task_id)
        if known is None:
            self._ledger.place(placement, now_s)
        else:
            allocated = known.allocated.elementwise_max(placement.resources)
            self._ledger.resize(known, allocated)

    def cancel(self, request_ids: Sequence[str]) -> tuple[str, ...]:
        """Remove waiting requests and return the ids that were waiting."""
        cancelled = []
        for request_id in request_ids:
            request = self._waiting.get(request_id)
            if request is not None:
                self._dequeue(request)
                cancelled.append(request_id)
        return tuple(cancelled)

    def end_task(self, task_id: str, end: TaskEnd, now_s: float) -> None:
        """Release the resources of a task."""
        self._ledger.release(task_id)

    def observe(
        self,
        task_id: str,
        observed: Resources,
        now_s: float,
    ) -> None:
        """Record a usage report of a running task, which may be delayed."""
        task = self._ledger.tasks.get(task_id)
        if task is not None and not observed.fits_in(task.allocated):
            self._ledger.resize(task, task.allocated.elementwise_max(observed))

    def usage(self) -> Mapping[str, Resources]:
        """Return the resources allocated to each team."""
        teams = self._ledger.teams.items()
        return {name: account.used for name, account in teams}

    def demand(self) -> Mapping[str, Resources]:
        """Return the resources that each team's waiting requests ask for."""
        teams = self._ledger.teams.items()
        return {name: account.demand for name, account in teams}

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def _refuse(self, spec: TaskSpec, now_s: float) -> Refusal | None:
        """Return why a request is refused at submission, if it is."""
        if spec.team not in self._ledger.teams:
            return TEAM_UNKNOWN
        limit = self._queue_limits.get(spec.queue, _DEFAULT_QUEUE_LIMIT)
        if self._queue_lengths.get(spec.queue, 0) >= limit:
            return QUEUE_FULL
        if not self._ledger.fits_empty_fleet(spec):
            return NEVER_FITS
        if spec.deadline_s is not None and spec.deadline_s < 0:
            return DEADLINE_UNREACHABLE
        return None

    def _count_request(self, spec: TaskSpec, change: int) -> None:
        """Update the counters when a request enters or leaves its queue."""
        length = self._queue_lengths.get(spec.queue, 0)
        self._queue_lengths[spec.queue] = length + change
        account = self._ledger.team(spec.team)
        account.demand += spec.resources.scaled_by(spec.gang_size * change)

    def _dequeue(self, request: WaitingRequest) -> None:
        """Remove a waiting request."""
        request.is_removed = True
        self._waiting.pop(request.spec.request_id)
        self._count_request(request.spec, -1)

    def _allocate(
        self,
        request: WaitingRequest,
        workers: Sequence[str],
        allocated: Resources,
        now_s: float,
    ) -> list[Placement]:
        """Dequeue a request and allocate resources to all of its tasks."""
        spec = request.spec
        self._dequeue(request)
        placements = []
        for index, worker in enumerate(workers):
            placement = Placement(
                task_id=task_id(spec.request_id, index),
                spec=spec,
                worker=worker,
                resources=allocated,
                # Each submission starts one run.
                attempt=request.sequence,
            )
            self._on_placed(self._ledger.place(placement, now_s))
            placements.append(placement)
        return placements

    def _is_still_placed(self, spec: TaskSpec) -> bool:
        """Tell whether a task of an earlier start has not ended yet."""
        tasks = self._ledger.tasks
        return any(
            task_id(spec.request_id, index) in tasks
            for index in range(spec.gang_size)
        )

    @abc.abstractmethod
    def _on_enqueued(self, request: WaitingRequest) -> None:
        """Index a request that was queued."""

    @abc.abstractmethod
    def _on_placed(self, task: PlacedTask) -> None:
        """Index a task that was placed."""
