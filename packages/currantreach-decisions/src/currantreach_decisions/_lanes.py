"""Waiting requests, ordered for the decisions."""

from __future__ import annotations

import heapq

import attrs

from currantreach_types import Resources, TaskSpec

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

    def tried_until(self, sequence: int, room_version: int) -> int:
        """Return the version of the fleet that had no room for the head.

        :param room_version: version that had no room for any tried head.
        """
        if self.tried_sequence != sequence or self.tried_version < 0:
            return -1
        return max(self.tried_version, room_version)

    def was_tried(self, sequence: int, version: int) -> None:
        """Note that the head found no room."""
        self.tried_sequence = sequence
        self.tried_version = version


@attrs.define(slots=True, eq=False)
class Lane:
    """Requests of one team and one rank.

    :ivar idle_version: version of the fleet at which no head could start.
    :ivar room_version: version of the fleet that had no room for any head
        that was tried; unknown if the allotment stopped some of them.
    :ivar smallest: at most what any request asks for.
    """

    team: str
    smallest: Resources
    live_count: int = 0
    idle_version: int = -1
    room_version: int = -1
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    first: tuple[float, int, Waiting] | None = None

    def push(self, shape: str, key: float, waiting: Waiting) -> Bucket:
        """Add a request to the bucket of its shape."""
        size = waiting.spec.resources
        if not self.live_count:
            self.smallest = size
        elif not self.smallest.fits_in(size):
            self.smallest = _smaller(self.smallest, size)
        bucket = self.buckets.get(shape)
        if bucket is None:
            bucket = Bucket()
            self.buckets[shape] = bucket
        bucket.push(key, waiting)
        if self.first is not None and key < self.first[0]:
            self.first = (key, waiting.sequence, waiting)
        self.live_count += 1
        self.idle_version = -1
        return bucket

    def heads(self) -> list[tuple[float, int, Waiting, Bucket]]:
        """Return the heads of all buckets, dropping empty ones."""
        heads = []
        for shape, bucket in tuple(self.buckets.items()):
            head = bucket.head()
            if head is None:
                self.buckets.pop(shape)
            else:
                heads.append((*head, bucket))
        return heads

    def oldest(self) -> tuple[float, int, Waiting] | None:
        """Return the request that comes first, with its key."""
        if self.first is None or self.first[2].is_gone:
            self.first = min((head[:3] for head in self.heads()), default=None)
        return self.first


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
            lane = Lane(waiting.spec.team, waiting.spec.resources)
            ranked[waiting.spec.team] = lane
        bucket = lane.push(_shape(waiting), key, waiting)
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


def _smaller(one: Resources, other: Resources) -> Resources:
    """Return the smaller amount of each resource."""
    return Resources(
        min(one.slot_count, other.slot_count),
        min(one.cpu_milli, other.cpu_milli),
        min(one.memory_mib, other.memory_mib),
        min(one.accelerator_count, other.accelerator_count),
        min(one.connection_count, other.connection_count),
    )
