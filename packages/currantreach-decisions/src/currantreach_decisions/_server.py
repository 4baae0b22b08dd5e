"""One pass over the waiting requests of a rank, and its result."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs
from currantreach_types import Refusal

from currantreach_decisions._scheduler import (
    Decisions,
    Placement,
    Preemption,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantreach_types import Resources

    from currantreach_decisions._estimates import Sizing
    from currantreach_decisions._fleet import Fleet
    from currantreach_decisions._lanes import Bucket, Lane, Lanes, Waiting
    from currantreach_decisions._ledger import Ledger, WorkerRoom
    from currantreach_decisions._placer import Placer
    from currantreach_decisions._review import Review
    from currantreach_decisions._shares import Shares

    Start = Callable[[Waiting, list[str], Resources, 'Round'], bool]

__all__ = ('Round', 'Server')


@attrs.define(slots=True, eq=False)
class Round:
    """Decisions of one round so far.

    :ivar left_count: requests that this round may still start.
    """

    now_s: float
    left_count: int
    placements: list[Placement] = attrs.field(factory=list)
    refused: list[tuple[str, Refusal]] = attrs.field(factory=list)
    preemptions: list[Preemption] = attrs.field(factory=list)

    def add(self, placements: list[Placement]) -> None:
        """Add the tasks of a request."""
        self.placements += placements
        self.left_count -= 1

    def decisions(self) -> Decisions:
        """Return the result."""
        return Decisions(
            placements=tuple(self.placements),
            refused=tuple(self.refused),
            preemptions=tuple(self.preemptions),
        )


class Server:
    """Serve the lanes in the order of their shares or deadlines."""

    def __init__(
        self,
        ledger: Ledger,
        fleet: Fleet,
        lanes: Lanes,
        placer: Placer,
        review: Review,
        sizing: Sizing,
    ) -> None:
        """Serve the lanes of one partition."""
        self._ledger = ledger
        self._fleet = fleet
        self._lanes = lanes
        self._placer = placer
        self._review = review
        self._sizing = sizing

    def serve(
        self,
        rank: int,
        shares: Shares | None,
        start: Start,
        outcome: Round,
    ) -> None:
        """Start what fits.

        :param shares: the order of the teams, or None for that of deadlines.
        :param start: starts a request or removes it if it may not start.
        """
        version = self._fleet.version
        order = [
            (_key(changed, shares), changed.team, changed)
            for changed in self._lanes.of_rank(rank)
            if changed.idle_version != version
        ]
        heapq.heapify(order)
        while order and outcome.left_count > 0:
            _, team, lane = heapq.heappop(order)
            if not self._serve_lane(lane, start, outcome):
                lane.idle_version = self._fleet.version
            elif lane.live_count:
                key = _key(lane, shares)
                heapq.heappush(order, (key, team, lane))

    def serve_first(
        self,
        waiting: Waiting,
        start: Start,
        outcome: Round,
    ) -> None:
        """Start one request before others if it fits."""
        size = self._sizing.size(waiting)
        if not self._admits(waiting, size):
            return
        workers = self._placer.find(waiting, size, None, outcome.now_s)
        if workers:
            start(waiting, workers, size, outcome)

    def probe_for(self, rank: int, room: WorkerRoom) -> Waiting | None:
        """Return a repeatable request that can probe a worker."""
        for lane in self._lanes.of_rank(rank):
            waiting = lane.oldest()
            if waiting is not None and self._may_probe(waiting, room):
                return waiting
        return None

    def _may_probe(self, waiting: Waiting, room: WorkerRoom) -> bool:
        """Tell whether a request may run on a quarantined worker."""
        spec = waiting.spec
        if spec.is_unrepeatable or spec.gang_size > 1:
            return False
        size = self._sizing.size(waiting)
        is_match = size.fits_in(room.free) and room.matches(spec.constraints)
        return is_match and self._admits(waiting, size)

    def _serve_lane(self, lane: Lane, start: Start, outcome: Round) -> bool:
        """Start the first request of a lane that fits, if any."""
        version = self._fleet.version
        for _, sequence, waiting, bucket in lane.heads():
            if not bucket.is_untried(sequence, version):
                continue
            size = self._sizing.size(waiting)
            if not self._admits(waiting, size):
                continue
            workers = self._find(waiting, bucket, size, outcome)
            if workers and start(waiting, workers, size, outcome):
                return True
            bucket.was_tried(sequence, version)
        return False

    def _find(
        self,
        waiting: Waiting,
        bucket: Bucket,
        size: Resources,
        outcome: Round,
    ) -> list[str]:
        """Return workers for a request; look only where room was freed."""
        grown = self._fleet.grown_since(bucket.tried_version)
        return self._placer.find(waiting, size, grown, outcome.now_s)

    def _admits(self, waiting: Waiting, size: Resources) -> bool:
        """Tell whether the allotment of the team has room."""
        spec = waiting.spec
        account = self._ledger.team(spec.team)
        total = size.times(spec.gang_size)
        if not account.admits(total):
            return False
        saved = self._review.saving.get(spec.team)
        if saved is None or spec.gang_size > 1 or spec.is_urgent:
            return True
        return spec.policy == 'prompt' or account.admits(total + saved)


def _key(lane: Lane, shares: Shares | None) -> float:
    """Return the place of a lane among those of its rank."""
    if shares is not None:
        return shares.key(lane.team)
    heads = lane.heads()
    return heads[0][0] if heads else 0
