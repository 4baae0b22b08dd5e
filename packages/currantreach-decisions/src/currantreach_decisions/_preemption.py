"""Selection of batch tasks to preempt."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from currantreach_decisions._ledger import PlacedTask, WorkerAccount, unit_count
from currantreach_decisions._scheduler import Preemption
from currantreach_decisions._shares import dominant_share
from currantreach_types import Resources

if TYPE_CHECKING:
    from currantreach_decisions._backlogs import WaitingRequest
    from currantreach_decisions._ledger import Ledger
    from currantreach_decisions._shares import Shares

__all__ = ('Preemptor',)

# Number of youngest tasks to examine in each team; bounds the work.
_CANDIDATE_LIMIT = 48
# Deviation from the entitlement that is tolerated without preemption.
_SHARE_MARGIN = 0.02
# Time allowed for checkpoints before more tasks are preempted for the same
# request.
_CHECKPOINT_WAIT_S = 2
# Minimum run time before a task may be preempted; avoids thrashing.
_MIN_RUN_S = 5


@attrs.define(slots=True, eq=False)
class _Victims:
    """Tasks of one worker that may be preempted.

    :ivar free: free capacity of the worker once all of them have ended.
    """

    worker: WorkerAccount
    free: Resources
    tasks: list[PlacedTask] = attrs.field(factory=list)


class Preemptor:
    """Select victims among the tasks of teams above their share.

    :ivar running: preemptible tasks by team, the youngest last.
    """

    def __init__(self, ledger: Ledger, shares: Shares) -> None:
        """Start without running tasks."""
        self.running: dict[str, dict[str, PlacedTask]] = {}
        self._ledger = ledger
        self._shares = shares

    def add(self, task: PlacedTask) -> None:
        """Add a task that may be preempted."""
        self.running.setdefault(task.spec.team, {})[task.task_id] = task

    def remove(self, task: PlacedTask) -> None:
        """Remove a task that ended."""
        self.running.get(task.spec.team, {}).pop(task.task_id, None)

    def is_below_share(self, team: str, entitlements: dict[str, float]) -> bool:
        """Tell whether a team is below its share by more than the margin."""
        return self._shares.excess(team, entitlements) < -_SHARE_MARGIN

    def preempt_for(
        self,
        request: WaitingRequest,
        size: Resources,
        entitlements: dict[str, float],
        now_s: float,
    ) -> list[Preemption]:
        """Return the tasks to preempt, or none if that would not suffice."""
        spec = request.spec
        if now_s < request.preempted_at_s + _CHECKPOINT_WAIT_S:
            return []
        if not self._may_preempt(request, entitlements):
            return []
        candidates = self._find_victims(request, size, entitlements, now_s)
        chosen = _choose_fewest(candidates, size, spec.gang_size)
        if chosen:
            request.preempted_at_s = now_s
        for victim in chosen:
            victim.is_preempted = True
        return [
            Preemption(task_id=task.task_id, worker=task.worker)
            for task in chosen
        ]

    def _may_preempt(
        self,
        request: WaitingRequest,
        entitlements: dict[str, float],
    ) -> bool:
        """Tell whether a request may preempt tasks of others."""
        spec = request.spec
        account = self._ledger.team(spec.team)
        if not account.admits(spec.resources.scaled_by(spec.gang_size)):
            return False
        if spec.is_urgent:
            return True
        return self.is_below_share(spec.team, entitlements)

    def _find_victims(
        self,
        request: WaitingRequest,
        size: Resources,
        entitlements: dict[str, float],
        now_s: float,
    ) -> list[_Victims]:
        """Return the possible victims by worker, if they free enough."""
        victims_by_worker: dict[str, _Victims] = {}
        excesses = [
            (self._shares.excess(team, entitlements), team)
            for team in self.running
        ]
        for excess, team in sorted(excesses, reverse=True):
            if team != request.spec.team or request.spec.is_urgent:
                self._collect_victims(
                    team,
                    excess,
                    request,
                    victims_by_worker,
                    now_s,
                )
        return [
            victims
            for victims in victims_by_worker.values()
            if size.fits_in(victims.free)
        ]

    def _collect_victims(
        self,
        team: str,
        excess: float,
        request: WaitingRequest,
        victims_by_worker: dict[str, _Victims],
        now_s: float,
    ) -> None:
        """Add the youngest tasks of a team while it stays above its share."""
        youngest = reversed(self.running[team].values())
        is_urgent = request.spec.is_urgent
        for task in itertools.islice(youngest, _CANDIDATE_LIMIT):
            worker = self._ledger.workers.get(task.worker)
            if worker is None or not _is_eligible(task, worker, request, now_s):
                continue
            excess -= dominant_share(task.allocated, self._ledger.capacity)
            if excess < 0 and not is_urgent:
                return
            victims = victims_by_worker.setdefault(
                task.worker,
                _Victims(worker, worker.free),
            )
            victims.tasks.append(task)
            victims.free += task.allocated


def _is_eligible(
    task: PlacedTask,
    worker: WorkerAccount,
    request: WaitingRequest,
    now_s: float,
) -> bool:
    """Tell whether preempting a task could help a request."""
    if task.is_preempted or not worker.is_open:
        return False
    is_new = now_s - task.started_at_s < _MIN_RUN_S
    if is_new and not request.spec.is_urgent:
        return False
    return worker.matches(request.spec.constraints)


def _choose_fewest(
    candidates: list[_Victims],
    size: Resources,
    needed: int,
) -> list[PlacedTask]:
    """Choose victims on the workers with the fewest of them first."""
    chosen: list[PlacedTask] = []
    candidates.sort(key=_task_count)
    for victims in candidates:
        free = victims.worker.free
        for task in victims.tasks:
            units = unit_count(free, size)
            if units >= needed:
                break
            free += task.allocated
            chosen.append(task)
        needed -= unit_count(free, size)
        if needed <= 0:
            return chosen
    return []


def _task_count(victims: _Victims) -> int:
    """Return the number of possible victims."""
    return len(victims.tasks)
