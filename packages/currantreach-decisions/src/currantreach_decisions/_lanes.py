"""Waiting requests, ordered for the decisions."""

from __future__ import annotations

import heapq

import attrs
from currantreach_types import TaskSpec

__all__ = ('Bucket', 'Lane', 'Lanes', 'Waiting')

_COMPACT_FROM = 64


@attrs.define(slots=True, eq=False)
class Waiting:
    """A waiting request.

    :ivar submitted_s: time of the submission.
    :ivar sequence: number of the submission.
    :ivar start_by_s: latest start, if any.
    :ivar is_gone: whether it left the queue; the queues drop it later.
    :ivar home: lane and bucket that count it.
    :ivar preempted_s: when tasks were last checkpointed for it.
    """

    spec: TaskSpec
    submitted_s: float
    sequence: int
    start_by_s: float | None
    is_gone: bool = False
    home: tuple[Lane, Bucket] | None = None
    preempted_s: float = -1


@attrs.define(slots=True, eq=False)
class Bucket:
    """Requests of one lane with similar sizes and the same constraints.

    :ivar tried_version: version of the fleet that had no room for the head.
    :ivar tried_sequence: the head that was tried.
    """

    live_count: int = 0
    tried_version: int = -1
    tried_sequence: int = -1
    entries: list[tuple[float, int, Waiting]] = attrs.field(factory=list)

    def push(self, key: float, waiting: Waiting) -> None:
        """Add a request."""
        heapq.heappush(self.entries, (key, waiting.sequence, waiting))
        self.live_count += 1

    def head(self) -> tuple[float, int, Waiting] | None:
        """Return the first request with its key."""
        entries = self.entries
        while entries and entries[0][2].is_gone:
            heapq.heappop(entries)
        return entries[0] if entries else None

    def discard(self) -> None:
        """Count a request that is gone; its entry goes later.

        Rebuilding at half keeps the work for a wave of cancellations linear.
        """
        self.live_count -= 1
        size = len(self.entries)
        if size > _COMPACT_FROM and self.live_count < size // 2:
            live = [entry for entry in self.entries if not entry[2].is_gone]
            heapq.heapify(live)
            self.entries = live

    def is_untried(self, sequence: int, version: int) -> bool:
        """Tell whether the head may find room that it has not looked at."""
        if self.tried_sequence != sequence:
            self.tried_version = -1
        return self.tried_version != version

    def was_tried(self, sequence: int, version: int) -> None:
        """Note that the head found no room."""
        self.tried_sequence = sequence
        self.tried_version = version


@attrs.define(slots=True, eq=False)
class Lane:
    """Requests of one team and one rank.

    :ivar idle_version: version of the fleet that had no room for any head.
    """

    team: str
    live_count: int = 0
    idle_version: int = -1
    buckets: dict[str, Bucket] = attrs.field(factory=dict)

    def heads(self) -> list[tuple[float, int, Waiting, Bucket]]:
        """Return the heads of all buckets in order, dropping empty ones."""
        heads = []
        for key, bucket in tuple(self.buckets.items()):
            head = bucket.head()
            if head is None:
                self.buckets.pop(key)
            else:
                heads.append((*head, bucket))
        heads.sort()
        return heads

    def oldest(self) -> Waiting | None:
        """Return the request that comes first."""
        heads = self.heads()
        return heads[0][2] if heads else None


class Lanes:
    """All lanes by rank and team."""

    def __init__(self) -> None:
        """Start without requests."""
        self._lanes: dict[int, dict[str, Lane]] = {}

    def add(self, rank: int, key: float, waiting: Waiting) -> None:
        """Add a request."""
        ranked = self._lanes.setdefault(rank, {})
        lane = ranked.get(waiting.spec.team)
        if lane is None:
            lane = Lane(waiting.spec.team)
            ranked[waiting.spec.team] = lane
        shape = _shape(waiting)
        bucket = lane.buckets.get(shape)
        if bucket is None:
            bucket = Bucket()
            lane.buckets[shape] = bucket
        bucket.push(key, waiting)
        lane.live_count += 1
        lane.idle_version = -1
        waiting.home = (lane, bucket)

    def discard(self, waiting: Waiting) -> None:
        """Remove a request that is gone."""
        if waiting.home is None:
            return
        lane, bucket = waiting.home
        lane.live_count -= 1
        bucket.discard()
        waiting.home = None

    def of_rank(self, rank: int) -> list[Lane]:
        """Return the lanes of a rank that are not empty."""
        lanes = self._lanes.get(rank)
        if lanes is None:
            return []
        return [lane for lane in lanes.values() if lane.live_count]

    def count(self, rank: int) -> int:
        """Return the number of requests of a rank."""
        return sum(lane.live_count for lane in self.of_rank(rank))


def _shape(waiting: Waiting) -> str:
    """Name the bucket of a request.

    Sizes within a factor of two share a bucket, which bounds the number of
    heads that are tried.
    """
    spec = waiting.spec
    size = spec.resources
    cpu = size.cpu_milli.bit_length()
    memory = size.memory_mib.bit_length()
    shape = f'{cpu} {memory} {size.accelerator_count} {spec.gang_size}'
    if spec.constraints:
        shape += repr(sorted(spec.constraints.items()))
    return shape
