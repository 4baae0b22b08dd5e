"""Waiting requests and accounts that all schedulers share."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from currantreach_decisions._lanes import Waiting
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

__all__ = ('QueuedScheduler',)

_DEFAULT_QUEUE_LIMIT = 10000


class QueuedScheduler(Scheduler):
    """Scheduler without the choice of what starts where."""

    def __init__(
        self,
        queue_limits: Mapping[str, int] | None = None,
    ) -> None:
        """Start with an empty fleet.

        :param queue_limits: requests that each queue holds at most; a queue
            that is not named holds 10,000.
        """
        self._limits = dict(queue_limits or {})
        self._ledger = Ledger()
        self._waiting: dict[str, Waiting] = {}
        self._queue_lengths: dict[str, int] = {}
        self._sequence = 0

    def set_teams(self, teams: Mapping[str, TeamQuota]) -> None:
        """Replace the terms of all teams."""
        self._ledger.apply_terms(teams)

    def set_worker(self, worker: WorkerInfo, *, is_open: bool) -> None:
        """Add or update a worker; a closed one receives no new task."""
        self._ledger.set_worker(worker, is_open=is_open)

    def remove_worker(self, name: str) -> tuple[str, ...]:
        """Remove a worker and return the ids of the tasks placed on it."""
        self._ledger.drop_worker(name)
        return tuple(self._ledger.tasks_on(name))

    def submit(self, spec: TaskSpec, now_s: float) -> Refusal | None:
        """Queue a request, or say why it is refused."""
        if spec.request_id in self._waiting:
            return None
        refusal = self._refuse(spec, now_s)
        if refusal is not None:
            return refusal
        self._sequence += 1
        start_by_s = None
        if spec.deadline_s is not None:
            start_by_s = now_s + spec.deadline_s
        waiting = Waiting(spec, now_s, self._sequence, start_by_s)
        self._waiting[spec.request_id] = waiting
        self._count(spec, 1)
        self._added(waiting)
        return None

    def recover(self, placement: Placement, now_s: float) -> None:
        """Count a task that was found on a worker, without starting it."""
        waiting = self._waiting.get(placement.spec.request_id)
        if waiting is not None:
            self._take_out(waiting)
        known = self._ledger.tasks.get(placement.task_id)
        if known is None:
            self._ledger.place(placement, now_s)
        else:
            room = known.room.at_least(placement.resources)
            self._ledger.resize(known, room)

    def cancel(self, request_ids: Sequence[str]) -> tuple[str, ...]:
        """Remove waiting requests and return the ids that were waiting."""
        cancelled = []
        for request_id in request_ids:
            waiting = self._waiting.get(request_id)
            if waiting is not None:
                self._take_out(waiting)
                cancelled.append(request_id)
        return tuple(cancelled)

    def end_task(self, task_id: str, end: TaskEnd, now_s: float) -> None:
        """Give back the room of a task."""
        self._ledger.release(task_id)

    def observe(
        self,
        task_id: str,
        observed: Resources,
        now_s: float,
    ) -> None:
        """Learn from a lagging usage report of a running task."""
        task = self._ledger.tasks.get(task_id)
        if task is not None and not observed.fits_in(task.room):
            self._ledger.resize(task, task.room.at_least(observed))

    def usage(self) -> Mapping[str, Resources]:
        """Return the room taken by each team."""
        teams = self._ledger.teams.items()
        return {name: account.used for name, account in teams}

    def demand(self) -> Mapping[str, Resources]:
        """Return the room that each team's waiting requests ask for."""
        teams = self._ledger.teams.items()
        return {name: account.wanted for name, account in teams}

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def _refuse(self, spec: TaskSpec, now_s: float) -> Refusal | None:
        """Say why a request is refused at submission, if it is."""
        if spec.team not in self._ledger.teams:
            return TEAM_UNKNOWN
        limit = self._limits.get(spec.queue, _DEFAULT_QUEUE_LIMIT)
        if self._queue_lengths.get(spec.queue, 0) >= limit:
            return QUEUE_FULL
        if not self._ledger.can_ever_hold(spec):
            return NEVER_FITS
        if spec.deadline_s is not None and spec.deadline_s < 0:
            return DEADLINE_UNREACHABLE
        return None

    def _count(self, spec: TaskSpec, change: int) -> None:
        """Count a request that joins or leaves its queue."""
        length = self._queue_lengths.get(spec.queue, 0)
        self._queue_lengths[spec.queue] = length + change
        account = self._ledger.team(spec.team)
        account.wanted += spec.resources.times(spec.gang_size * change)

    def _take_out(self, waiting: Waiting) -> None:
        """Remove a waiting request."""
        waiting.is_gone = True
        self._waiting.pop(waiting.spec.request_id)
        self._count(waiting.spec, -1)

    def _start(
        self,
        waiting: Waiting,
        workers: Sequence[str],
        room: Resources,
        now_s: float,
    ) -> list[Placement]:
        """Set aside room for all tasks of a request and dequeue it."""
        spec = waiting.spec
        self._take_out(waiting)
        placements = []
        for index, worker in enumerate(workers):
            placement = Placement(
                task_id=task_id(spec.request_id, index),
                spec=spec,
                worker=worker,
                resources=room,
            )
            self._placed(self._ledger.place(placement, now_s))
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
    def _added(self, waiting: Waiting) -> None:
        """Put a request into the order of the queue."""

    @abc.abstractmethod
    def _placed(self, task: PlacedTask) -> None:
        """Take note of a new task."""
