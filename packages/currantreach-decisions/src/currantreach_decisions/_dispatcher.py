"""Pass over the waiting requests of one rank, and its result."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from currantreach_decisions._scheduler import (
    Decisions,
    Placement,
    Preemption,
)
from currantreach_types import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantreach_decisions._backlogs import (
        Backlogs,
        Bucket,
        TeamBacklog,
        WaitingRequest,
    )
    from currantreach_decisions._estimates import TaskSizer
    from currantreach_decisions._fleet import Fleet
    from currantreach_decisions._ledger import Ledger, WorkerAccount
    from currantreach_decisions._placer import Placer
    from currantreach_decisions._shares import Shares
    from currantreach_types import Resources

    _Candidate = tuple[
        float,
        int,
        WaitingRequest,
        Bucket,
        tuple[WorkerAccount, ...] | None,
    ]
    Start = Callable[[WaitingRequest, list[str], Resources, 'Round'], bool]

__all__ = ('Dispatcher', 'Round')


@attrs.define(slots=True, eq=False)
class Round:
    """Decisions of one round so far.

    :ivar remaining_count: number of requests that it may still start.
    """

    now_s: float
    remaining_count: int
    placements: list[Placement] = attrs.field(factory=list)
    refused: list[tuple[str, Refusal]] = attrs.field(factory=list)
    preemptions: list[Preemption] = attrs.field(factory=list)

    def add(self, placements: list[Placement]) -> None:
        """Add the tasks of a request."""
        self.placements += placements
        self.remaining_count -= 1

    def decisions(self) -> Decisions:
        """Return the result."""
        return Decisions(
            placements=tuple(self.placements),
            refused=tuple(self.refused),
            preemptions=tuple(self.preemptions),
        )


class Dispatcher:
    """Start requests in the order of team shares or deadlines."""

    def __init__(
        self,
        ledger: Ledger,
        fleet: Fleet,
        backlogs: Backlogs,
        placer: Placer,
        task_sizer: TaskSizer,
    ) -> None:
        """Dispatch the requests of one partition."""
        self._ledger = ledger
        self._fleet = fleet
        self._backlogs = backlogs
        self._placer = placer
        self._task_sizer = task_sizer

    def dispatch(
        self,
        rank: int,
        shares: Shares | None,
        start: Start,
        current_round: Round,
    ) -> None:
        """Start the requests of a rank that fit.

        :param shares: orders the teams by share; None orders the requests by
            deadline.
        :param start: starts a request, or refuses it if its job is known to
            fail; returns whether the request left the queue.
        """
        version = self._fleet.version
        order = [
            (_key(changed, shares), changed.team, changed)
            for changed in self._backlogs.of_rank(rank)
            if changed.blocked_version != version
        ]
        heapq.heapify(order)
        while order and current_round.remaining_count > 0:
            _, team, backlog = heapq.heappop(order)
            if not self._dispatch_team(backlog, start, current_round):
                backlog.blocked_version = self._fleet.version
            elif backlog.live_count:
                key = _key(backlog, shares)
                heapq.heappush(order, (key, team, backlog))

    def dispatch_first(
        self,
        request: WaitingRequest,
        start: Start,
        current_round: Round,
    ) -> None:
        """Start one request before others if it fits."""
        size = self._task_sizer.size(request)
        if not self._admits(request, size):
            return
        workers = self._placer.find(request, size, None, current_round.now_s)
        if workers:
            start(request, workers, size, current_round)

    def find_probe(
        self,
        rank: int,
        worker: WorkerAccount,
    ) -> WaitingRequest | None:
        """Return a repeatable request to probe a quarantined worker with."""
        for backlog in self._backlogs.of_rank(rank):
            head = backlog.head()
            if head is not None and self._may_probe(head[2], worker):
                return head[2]
        return None

    def _may_probe(
        self,
        request: WaitingRequest,
        worker: WorkerAccount,
    ) -> bool:
        """Tell whether a request may probe a quarantined worker."""
        spec = request.spec
        if spec.is_unrepeatable or spec.gang_size > 1:
            return False
        size = self._task_sizer.size(request)
        is_match = size.fits_in(worker.free) and worker.matches(
            spec.constraints
        )
        return is_match and self._admits(request, size)

    def _dispatch_team(
        self,
        backlog: TeamBacklog,
        start: Start,
        current_round: Round,
    ) -> bool:
        """Start the first request of a team that fits, if any."""
        version = self._fleet.version
        if self._is_still_blocked(backlog):
            backlog.full_version = version
            return False
        is_limited = False
        for _, sequence, request, bucket, freed in self._candidates(backlog):
            size = self._task_sizer.size(request)
            if not self._admits(request, size):
                is_limited = True
                continue
            workers = self._placer.find(
                request, size, freed, current_round.now_s
            )
            if workers and start(request, workers, size, current_round):
                return True
            bucket.mark_tried(sequence, version)
        backlog.full_version = -1 if is_limited else version
        return False

    def _is_still_blocked(self, backlog: TeamBacklog) -> bool:
        """Tell whether no freed worker fits any request of a backlog."""
        if backlog.blocked_version < 0 or backlog.full_version < 0:
            return False
        freed = self._fleet.freed_since(backlog.full_version)
        if freed is None:
            return False
        return not _fits_any(backlog.smallest, freed)

    def _candidates(self, backlog: TeamBacklog) -> list[_Candidate]:
        """Return the heads that may fit, in order.

        Each comes with the workers to try, or None for the whole fleet.
        """
        version = self._fleet.version
        candidates: list[_Candidate] = []
        for key, sequence, request, bucket in backlog.heads():
            since = bucket.last_tried_version(sequence, backlog.full_version)
            if since == version:
                continue
            freed = self._fleet.freed_since(since)
            spec = request.spec
            if freed is None or spec.gang_size > 1:
                candidates.append((key, sequence, request, bucket, None))
            elif _fits_any(spec.resources, freed):
                candidates.append((key, sequence, request, bucket, freed))
            else:
                bucket.mark_tried(sequence, version)
        candidates.sort(key=_order)
        return candidates

    def _admits(self, request: WaitingRequest, size: Resources) -> bool:
        """Tell whether a request stays within the allotment of its team."""
        spec = request.spec
        account = self._ledger.team(spec.team)
        return account.admits(size.scaled_by(spec.gang_size))


def _key(backlog: TeamBacklog, shares: Shares | None) -> float:
    """Return the sort key of a backlog among those of its rank."""
    if shares is not None:
        return shares.weighted_share(backlog.team)
    head = backlog.head()
    return head[0] if head else 0


def _order(candidate: _Candidate) -> tuple[float, int]:
    """Return the sort key of a head among those of its backlog."""
    return candidate[0], candidate[1]


def _fits_any(size: Resources, workers: tuple[WorkerAccount, ...]) -> bool:
    """Tell whether a size fits on one of some workers."""
    for worker in workers:
        if size.fits_in(worker.free):
            return True
    return False
