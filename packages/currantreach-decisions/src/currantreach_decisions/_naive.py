"""First in, first fit: the reference and baseline of the decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_decisions._queued import QueuedScheduler
from currantreach_decisions._scheduler import Decisions
from currantreach_types.refusals import DEADLINE_UNREACHABLE

if TYPE_CHECKING:
    from currantreach_decisions._lanes import Waiting
    from currantreach_decisions._ledger import PlacedTask, WorkerRoom
    from currantreach_decisions._scheduler import Placement
    from currantreach_types import Refusal, Resources, TaskSpec

__all__ = ('NaiveScheduler',)


class NaiveScheduler(QueuedScheduler):
    """Scheduler that tries all requests in order on all workers.

    It respects capacity, allotments and gangs, and nothing else.
    """

    def decide(self, now_s: float) -> Decisions:
        """Set aside room for waiting tasks as far as it reaches."""
        placements: list[Placement] = []
        refused: list[tuple[str, Refusal]] = []
        for waiting in tuple(self._waiting.values()):
            start_by_s = waiting.start_by_s
            if start_by_s is not None and start_by_s < now_s:
                self._take_out(waiting)
                refused.append(
                    (waiting.spec.request_id, DEADLINE_UNREACHABLE),
                )
                continue
            workers = self._find(waiting.spec)
            if workers:
                room = waiting.spec.resources
                placements += self._start(waiting, workers, room, now_s)
        return Decisions(
            placements=tuple(placements),
            refused=tuple(refused),
        )

    def explain(self, request_id: str, now_s: float) -> str:
        """Say which constraint keeps a request waiting."""
        waiting = self._waiting.get(request_id)
        if waiting is None:
            return 'the request is not waiting'
        spec = waiting.spec
        team = self._ledger.team(spec.team)
        if not team.admits(spec.resources.times(spec.gang_size)):
            return f'team {spec.team} has no allotment left'
        return 'no worker has enough free room'

    def _find(self, spec: TaskSpec) -> list[str]:
        """Return a worker for each task, or nothing."""
        team = self._ledger.team(spec.team)
        if not team.admits(spec.resources.times(spec.gang_size)):
            return []
        if self._is_still_placed(spec):
            return []
        found: list[str] = []
        for room in self._ledger.workers.values():
            if room.is_open and room.matches(spec.constraints):
                missing = spec.gang_size - len(found)
                found += _fill(room, spec.resources, missing)
            if len(found) == spec.gang_size:
                return found
        return []

    def _added(self, waiting: Waiting) -> None:
        """Leave the request in order of submission."""

    def _placed(self, task: PlacedTask) -> None:
        """Take no note of it."""


def _fill(room: WorkerRoom, size: Resources, count: int) -> list[str]:
    """Name the worker once for each task that fits, up to ``count``."""
    names: list[str] = []
    free = room.free
    while len(names) < count and size.fits_in(free):
        names.append(room.host.name)
        free -= size
    return names
