"""Choice of the batch tasks that make room for others."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from currantreach_decisions._ledger import PlacedTask, WorkerRoom, unit_count
from currantreach_decisions._scheduler import Preemption
from currantreach_decisions._shares import dominant_share
from currantreach_types import Resources

if TYPE_CHECKING:
    from currantreach_decisions._lanes import Waiting
    from currantreach_decisions._ledger import Ledger
    from currantreach_decisions._shares import Shares

__all__ = ('Preemptor',)

# Youngest tasks that are looked at in each team; the work is bounded.
_LOOKED_AT = 48
# Margin below and above the share in which nothing is preempted.
_MARGIN = 0.02
# Time for a checkpoint to end before more tasks are preempted.
_PAUSE_S = 2
# A task that just started is not stopped again at once.
_LEAST_RUN_S = 5


@attrs.define(slots=True, eq=False)
class _Victims:
    """Tasks of one worker that would make room."""

    room: WorkerRoom
    free: Resources
    tasks: list[PlacedTask] = attrs.field(factory=list)


class Preemptor:
    """Find tasks of teams above their share.

    :ivar running: preemptible tasks by team, the youngest last.
    """

    def __init__(self, ledger: Ledger, shares: Shares) -> None:
        """Start without running tasks."""
        self.running: dict[str, dict[str, PlacedTask]] = {}
        self._ledger = ledger
        self._shares = shares

    def add(self, task: PlacedTask) -> None:
        """Note a task that may be preempted."""
        self.running.setdefault(task.spec.team, {})[task.task_id] = task

    def remove(self, task: PlacedTask) -> None:
        """Forget a task that ended."""
        self.running.get(task.spec.team, {}).pop(task.task_id, None)

    def is_owed(self, team: str, entitlements: dict[str, float]) -> bool:
        """Tell whether a team is clearly below its share."""
        return self._shares.over(team, entitlements) < -_MARGIN

    def preempt_for(
        self,
        waiting: Waiting,
        size: Resources,
        entitlements: dict[str, float],
        now_s: float,
    ) -> list[Preemption]:
        """Return the tasks to checkpoint, or none if it does not help."""
        spec = waiting.spec
        if now_s < waiting.preempted_s + _PAUSE_S:
            return []
        if not self._may_preempt(waiting, entitlements):
            return []
        options = self._options(waiting, size, entitlements, now_s)
        chosen = _fewest(options, size, spec.gang_size)
        if chosen:
            waiting.preempted_s = now_s
        for victim in chosen:
            victim.is_leaving = True
        return [
            Preemption(task_id=task.task_id, worker=task.worker)
            for task in chosen
        ]

    def _may_preempt(
        self,
        waiting: Waiting,
        entitlements: dict[str, float],
    ) -> bool:
        """Tell whether a request is owed room."""
        spec = waiting.spec
        account = self._ledger.team(spec.team)
        if not account.admits(spec.resources.times(spec.gang_size)):
            return False
        if spec.is_urgent:
            return True
        return self.is_owed(spec.team, entitlements)

    def _options(
        self,
        waiting: Waiting,
        size: Resources,
        entitlements: dict[str, float],
        now_s: float,
    ) -> list[_Victims]:
        """Return what could be freed on each worker."""
        options: dict[str, _Victims] = {}
        spares = [
            (self._shares.over(team, entitlements), team)
            for team in self.running
        ]
        for spare, team in sorted(spares, reverse=True):
            if team != waiting.spec.team or waiting.spec.is_urgent:
                self._collect(team, spare, waiting, options, now_s)
        return [
            victims
            for victims in options.values()
            if size.fits_in(victims.free)
        ]

    def _collect(
        self,
        team: str,
        spare: float,
        waiting: Waiting,
        options: dict[str, _Victims],
        now_s: float,
    ) -> None:
        """Add the youngest tasks of a team while it stays at its share."""
        youngest = reversed(self.running[team].values())
        is_urgent = waiting.spec.is_urgent
        for task in itertools.islice(youngest, _LOOKED_AT):
            room = self._ledger.workers.get(task.worker)
            if room is None or not _may_go(task, room, waiting, now_s):
                continue
            spare -= dominant_share(task.room, self._ledger.capacity)
            if spare < 0 and not is_urgent:
                return
            victims = options.setdefault(
                task.worker,
                _Victims(room, room.free),
            )
            victims.tasks.append(task)
            victims.free += task.room


def _may_go(
    task: PlacedTask,
    room: WorkerRoom,
    waiting: Waiting,
    now_s: float,
) -> bool:
    """Tell whether the end of a task could help a request."""
    if task.is_leaving or not room.is_open:
        return False
    is_new = now_s - task.started_s < _LEAST_RUN_S
    if is_new and not waiting.spec.is_urgent:
        return False
    return room.matches(waiting.spec.constraints)


def _fewest(
    options: list[_Victims],
    size: Resources,
    needed: int,
) -> list[PlacedTask]:
    """Choose the workers on which the fewest tasks have to go."""
    chosen: list[PlacedTask] = []
    options.sort(key=_task_count)
    for victims in options:
        free = victims.room.free
        for task in victims.tasks:
            units = unit_count(free, size)
            if units >= needed:
                break
            free += task.room
            chosen.append(task)
        needed -= unit_count(free, size)
        if needed <= 0:
            return chosen
    return []


def _task_count(victims: _Victims) -> int:
    """Return how many tasks have to go."""
    return len(victims.tasks)
