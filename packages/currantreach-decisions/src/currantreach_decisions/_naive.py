"""First-in, first-fit scheduler; reference and baseline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_decisions._base import BaseScheduler
from currantreach_decisions._scheduler import Decisions
from currantreach_types.refusals import DEADLINE_UNREACHABLE

if TYPE_CHECKING:
    from currantreach_decisions._backlogs import WaitingRequest
    from currantreach_decisions._ledger import PlacedTask, WorkerAccount
    from currantreach_decisions._scheduler import Placement
    from currantreach_types import Refusal, Resources, TaskSpec

__all__ = ('NaiveScheduler',)


class NaiveScheduler(BaseScheduler):
    """Scheduler that tries all requests in order on all workers.

    It respects capacity, allotments, constraints, latest starts and gangs,
    but neither shares nor policies.
    """

    def decide(self, now_s: float) -> Decisions:
        """Allocate free resources to waiting tasks."""
        placements: list[Placement] = []
        refused: list[tuple[str, Refusal]] = []
        for request in tuple(self._waiting.values()):
            start_by_s = request.start_by_s
            if start_by_s is not None and start_by_s < now_s:
                self._dequeue(request)
                refused.append(
                    (request.spec.request_id, DEADLINE_UNREACHABLE),
                )
                continue
            workers = self._find(request.spec)
            if workers:
                allocated = request.spec.resources
                placements += self._allocate(request, workers, allocated, now_s)
        return Decisions(
            placements=tuple(placements),
            refused=tuple(refused),
        )

    def explain(self, request_id: str, now_s: float) -> str:
        """Describe the constraint that keeps a request waiting."""
        request = self._waiting.get(request_id)
        if request is None:
            return 'the request is not waiting'
        spec = request.spec
        team = self._ledger.team(spec.team)
        if not team.admits(spec.resources.scaled_by(spec.gang_size)):
            return f'team {spec.team} has no allotment left'
        return 'no worker has enough free room'

    def _find(self, spec: TaskSpec) -> list[str]:
        """Return a worker for each task, or an empty list."""
        team = self._ledger.team(spec.team)
        if not team.admits(spec.resources.scaled_by(spec.gang_size)):
            return []
        if self._is_still_placed(spec):
            return []
        found: list[str] = []
        for worker in self._ledger.workers.values():
            if worker.is_open and worker.matches(spec.constraints):
                missing = spec.gang_size - len(found)
                found += _repeat_name(worker, spec.resources, missing)
            if len(found) == spec.gang_size:
                return found
        return []

    def _on_enqueued(self, request: WaitingRequest) -> None:
        """Do nothing; requests stay in order of submission."""

    def _on_placed(self, task: PlacedTask) -> None:
        """Do nothing; there is no index to update."""


def _repeat_name(
    worker: WorkerAccount,
    size: Resources,
    count: int,
) -> list[str]:
    """Return the worker's name once per fitting task, up to ``count``."""
    names: list[str] = []
    free = worker.free
    while len(names) < count and size.fits_in(free):
        names.append(worker.registration.name)
        free -= size
    return names
