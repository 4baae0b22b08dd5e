"""Waiting requests in the order in which they are considered."""

from __future__ import annotations

import heapq

import attrs

from currantreach_types import Resources, TaskSpec

__all__ = ('Backlogs', 'Bucket', 'TeamBacklog', 'WaitingRequest')

_COMPACT_FROM = 64


@attrs.define(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for resources.

    :ivar submitted_at_s: time of the submission.
    :ivar sequence: number of the submission; breaks ties in the order.
    :ivar start_by_s: latest start, if any.
    :ivar is_removed: whether it left the queue; its heap entries are deleted
        lazily.
    :ivar location: backlog and bucket that count it.
    :ivar preempted_at_s: when tasks were last preempted for it.
    """

    spec: TaskSpec
    submitted_at_s: float
    sequence: int
    start_by_s: float | None
    is_removed: bool = False
    location: tuple[TeamBacklog, Bucket] | None = None
    preempted_at_s: float = -1


@attrs.define(slots=True, eq=False)
class Bucket:
    """Requests of one backlog with similar sizes and equal constraints.

    :ivar live_count: number of requests that were not removed.
    :ivar tried_version: version of the fleet in which the head did not fit.
    :ivar tried_sequence: sequence number of that head.
    :ivar entries: heap of keys, sequence numbers and requests.
    """

    live_count: int = 0
    tried_version: int = -1
    tried_sequence: int = -1
    entries: list[tuple[float, int, WaitingRequest]] = attrs.field(factory=list)

    def push(self, key: float, request: WaitingRequest) -> None:
        """Add a request."""
        heapq.heappush(self.entries, (key, request.sequence, request))
        self.live_count += 1

    def head(self) -> tuple[float, int, WaitingRequest] | None:
        """Return the first request with its key."""
        entries = self.entries
        while entries and entries[0][2].is_removed:
            heapq.heappop(entries)
        return entries[0] if entries else None

    def discard(self) -> None:
        """Count a removed request; its heap entry is deleted lazily.

        The heap is rebuilt once more than half of its entries are removed, so
        the work for many cancellations at once stays linear.
        """
        self.live_count -= 1
        size = len(self.entries)
        if size > _COMPACT_FROM and self.live_count < size // 2:
            live = [entry for entry in self.entries if not entry[2].is_removed]
            heapq.heapify(live)
            self.entries = live

    def last_tried_version(self, sequence: int, full_version: int) -> int:
        """Return the latest fleet version in which the head did not fit.

        :param sequence: sequence number of the head.
        :param full_version: see :attr:`TeamBacklog.full_version`.
        :returns: the version, or -1 if this head was not tried yet.
        """
        if self.tried_sequence != sequence or self.tried_version < 0:
            return -1
        return max(self.tried_version, full_version)

    def mark_tried(self, sequence: int, version: int) -> None:
        """Record the fleet version in which the head did not fit."""
        self.tried_sequence = sequence
        self.tried_version = version


@attrs.define(slots=True, eq=False)
class TeamBacklog:
    """Waiting requests of one team and one policy rank.

    :ivar smallest: lower bound of what each request asks for.
    :ivar live_count: number of requests that were not removed.
    :ivar blocked_version: version of the fleet in which no head could start.
    :ivar full_version: version of the fleet in which no head fitted; -1 if
        the allotment rejected some heads before they were tried.
    :ivar first: cached first request; may have been removed.
    """

    team: str
    smallest: Resources
    live_count: int = 0
    blocked_version: int = -1
    full_version: int = -1
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    first: tuple[float, int, WaitingRequest] | None = None

    def push(
        self,
        bucket_key: str,
        key: float,
        request: WaitingRequest,
    ) -> Bucket:
        """Add a request to the bucket with the given key."""
        size = request.spec.resources
        if not self.live_count:
            self.smallest = size
        elif not self.smallest.fits_in(size):
            self.smallest = _minimum(self.smallest, size)
        bucket = self.buckets.get(bucket_key)
        if bucket is None:
            bucket = Bucket()
            self.buckets[bucket_key] = bucket
        bucket.push(key, request)
        if self.first is not None and key < self.first[0]:
            self.first = (key, request.sequence, request)
        self.live_count += 1
        self.blocked_version = -1
        return bucket

    def heads(self) -> list[tuple[float, int, WaitingRequest, Bucket]]:
        """Return the heads of all buckets and delete empty buckets."""
        heads = []
        for bucket_key, bucket in tuple(self.buckets.items()):
            head = bucket.head()
            if head is None:
                self.buckets.pop(bucket_key)
            else:
                heads.append((*head, bucket))
        return heads

    def head(self) -> tuple[float, int, WaitingRequest] | None:
        """Return the first request with its key."""
        if self.first is None or self.first[2].is_removed:
            self.first = min((head[:3] for head in self.heads()), default=None)
        return self.first


class Backlogs:
    """Backlogs of all ranks and teams."""

    def __init__(self) -> None:
        """Start without requests."""
        self._backlogs: dict[int, dict[str, TeamBacklog]] = {}

    def add(self, rank: int, key: float, request: WaitingRequest) -> None:
        """Add a request."""
        by_team = self._backlogs.setdefault(rank, {})
        backlog = by_team.get(request.spec.team)
        if backlog is None:
            backlog = TeamBacklog(request.spec.team, request.spec.resources)
            by_team[request.spec.team] = backlog
        bucket = backlog.push(_bucket_key(request), key, request)
        request.location = (backlog, bucket)

    def discard(self, request: WaitingRequest) -> None:
        """Stop counting a removed request."""
        if request.location is None:
            return
        backlog, bucket = request.location
        backlog.live_count -= 1
        bucket.discard()
        request.location = None

    def of_rank(self, rank: int) -> list[TeamBacklog]:
        """Return the backlogs of a rank that are not empty."""
        backlogs = self._backlogs.get(rank)
        if backlogs is None:
            return []
        return [backlog for backlog in backlogs.values() if backlog.live_count]

    def count(self, rank: int) -> int:
        """Return the number of requests of a rank."""
        return sum(backlog.live_count for backlog in self.of_rank(rank))


def _bucket_key(request: WaitingRequest) -> str:
    """Return the key of the bucket for a request.

    Processor and memory sizes with the same bit length, which differ by less
    than a factor of two, share a bucket. This bounds the number of heads to
    try.
    """
    spec = request.spec
    size = spec.resources
    cpu = size.cpu_milli.bit_length()
    memory = size.memory_mib.bit_length()
    bucket_key = f'{cpu} {memory} {size.accelerator_count} {spec.gang_size}'
    if spec.constraints:
        bucket_key += repr(sorted(spec.constraints.items()))
    return bucket_key


def _minimum(one: Resources, other: Resources) -> Resources:
    """Return the element-wise minimum."""
    return Resources(
        min(one.slot_count, other.slot_count),
        min(one.cpu_milli, other.cpu_milli),
        min(one.memory_mib, other.memory_mib),
        min(one.accelerator_count, other.accelerator_count),
        min(one.connection_count, other.connection_count),
    )
