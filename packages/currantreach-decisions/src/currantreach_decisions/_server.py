"""One pass over the waiting requests of a rank, and its result."""

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

    from currantreach_decisions._estimates import Sizing
    from currantreach_decisions._fleet import Fleet
    from currantreach_decisions._lanes import Bucket, Lane, Lanes, Waiting
    from currantreach_decisions._ledger import Ledger, WorkerRoom
    from currantreach_decisions._placer import Placer
    from currantreach_decisions._shares import Shares
    from currantreach_types import Resources

    _Hopeful = tuple[
        float,
        int,
        Waiting,
        Bucket,
        tuple[WorkerRoom, ...] | None,
    ]
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
        sizing: Sizing,
    ) -> None:
        """Serve the lanes of one partition."""
        self._ledger = ledger
        self._fleet = fleet
        self._lanes = lanes
        self._placer = placer
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
            oldest = lane.oldest()
            if oldest is not None and self._may_probe(oldest[2], room):
                return oldest[2]
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
        if self._is_hopeless(lane):
            lane.room_version = version
            return False
        is_capped = False
        for _, sequence, waiting, bucket, grown in self._hopeful(lane):
            size = self._sizing.size(waiting)
            if not self._admits(waiting, size):
                is_capped = True
                continue
            workers = self._placer.find(waiting, size, grown, outcome.now_s)
            if workers and start(waiting, workers, size, outcome):
                return True
            bucket.was_tried(sequence, version)
        lane.room_version = -1 if is_capped else version
        return False

    def _is_hopeless(self, lane: Lane) -> bool:
        """Tell whether no freed room fits any request of an idle lane."""
        if lane.idle_version < 0 or lane.room_version < 0:
            return False
        grown = self._fleet.grown_since(lane.room_version)
        if grown is None:
            return False
        return not _fits_any(lane.smallest, grown)

    def _hopeful(self, lane: Lane) -> list[_Hopeful]:
        """Return the heads that may fit, in order, and the room to look at."""
        version = self._fleet.version
        hopeful: list[_Hopeful] = []
        for key, sequence, waiting, bucket in lane.heads():
            since = bucket.tried_until(sequence, lane.room_version)
            if since == version:
                continue
            grown = self._fleet.grown_since(since)
            spec = waiting.spec
            if grown is None or spec.gang_size > 1:
                hopeful.append((key, sequence, waiting, bucket, None))
            elif _fits_any(spec.resources, grown):
                hopeful.append((key, sequence, waiting, bucket, grown))
            else:
                bucket.was_tried(sequence, version)
        hopeful.sort(key=_order)
        return hopeful

    def _admits(self, waiting: Waiting, size: Resources) -> bool:
        """Tell whether the allotment of the team has room."""
        spec = waiting.spec
        account = self._ledger.team(spec.team)
        return account.admits(size.times(spec.gang_size))


def _key(lane: Lane, shares: Shares | None) -> float:
    """Return the place of a lane among those of its rank."""
    if shares is not None:
        return shares.key(lane.team)
    oldest = lane.oldest()
    return oldest[0] if oldest else 0


def _order(hopeful: _Hopeful) -> tuple[float, int]:
    """Return the place of a head among those of its lane."""
    return hopeful[0], hopeful[1]


def _fits_any(size: Resources, rooms: tuple[WorkerRoom, ...]) -> bool:
    """Tell whether a size fits on one of some workers."""
    for room in rooms:
        if size.fits_in(room.free):
            return True
    return False
