"""Records of a journal and their layout in the head and its segments."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from currantreach_types import encode_packed

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

__all__ = ('JournalRecord', 'RecordKind')

# Every commit rewrites the head, so its size bounds the bytes per commit.
HEAD_LIMIT_BYTES = 65536
# Room for the segment names below the 1 MB that the store accepts.
VALUE_LIMIT_BYTES = 960000


class RecordKind(enum.StrEnum):
    """What a record says about its request."""

    accepted = 'accepted'
    starting = 'starting'
    ended = 'ended'
    retired = 'retired'


@attrs.frozen(slots=True, kw_only=True)
class JournalRecord:
    """Newest durable knowledge about one request; replaces earlier ones.

    :ivar request_id: id of the request.
    :ivar kind: what the record says; ``retired`` removes the request.
    :ivar spec_json: encoded request.
    :ivar answer_json: encoded answer of an ended request.
    :ivar body_hash: hash of the submitted body, to detect a reused id.
    """

    request_id: str
    kind: RecordKind
    spec_json: str = ''
    answer_json: str = ''
    body_hash: str = ''


@attrs.frozen(slots=True, kw_only=True)
class Head:
    """Value of the head key.

    :ivar epoch: epoch of the owner.
    :ivar owner: random id of the journal instance that wrote the head.
    :ivar commit_id: random id of the write.
    :ivar segments: names of the segments, oldest first.
    :ivar records: records that are newer than all segments.
    """

    epoch: int = 0
    owner: str = ''
    commit_id: str = ''
    segments: tuple[str, ...] = ()
    records: tuple[JournalRecord, ...] = ()


@attrs.frozen(slots=True)
class Segment:
    """Name and records of a segment."""

    name: str
    records: tuple[JournalRecord, ...] = ()


@attrs.frozen(slots=True, kw_only=True)
class Plan:
    """Next head, and what changes in the segments with it.

    :ivar head: the next head.
    :ivar rolled: segment that holds the records of the previous head.
    :ivar dropped: names of segments that the next head omits.
    """

    head: Head
    rolled: Segment | None = None
    dropped: frozenset[str] = frozenset()


def size_bytes(stored: object) -> int:
    """Return the encoded size."""
    return len(encode_packed(stored))


class Layout:
    """Index of which place holds the newest record of each request.

    Only the records of the head are kept in memory; a segment that is to be
    rewritten is read again from the store.
    """

    def __init__(self) -> None:
        """Start with an empty journal."""
        self.head = Head()
        self._members: dict[str, frozenset[str]] = {}
        self._live_counts: dict[str, int] = {}
        self._newest: dict[str, str] = {}
        self._copies: dict[str, int] = {}
        self._tombstones: set[str] = set()

    def load(
        self,
        head: Head,
        stored: Mapping[str, Sequence[JournalRecord]],
    ) -> tuple[JournalRecord, ...]:
        """Index a journal and return its live records.

        :param stored: records of each segment that the head names.
        """
        newest: dict[str, JournalRecord] = {}
        for name in head.segments:
            newest.update(_by_request(stored[name]))
            self._enter(Segment(name, tuple(stored[name])))
        newest.update(_by_request(head.records))
        self.head = head
        for request_id in _by_request(head.records):
            self._move(request_id, '')
            self._tombstones.discard(request_id)
        self._bury(tuple(self._tombstones))
        return tuple(
            record
            for record in newest.values()
            if record.kind != RecordKind.retired
        )

    def dead_segments(self) -> frozenset[str]:
        """Return the segments that hold no newest record."""
        return frozenset(
            name for name, count in self._live_counts.items() if not count
        )

    def sparse_segment(self) -> str:
        """Return the oldest segment that is mostly dead, or nothing."""
        for name in self.head.segments:
            live_count = self._live_counts[name]
            if live_count and live_count * 2 < len(self._members[name]):
                return name
        return ''

    def plan(
        self,
        head: Head,
        rolled: Segment | None,
        refilled: Segment | None,
    ) -> Plan:
        """Return the next head.

        :param head: identity of the commit and the records to add.
        :param rolled: segment that now holds the head's earlier records.
        :param refilled: segment whose newest records move to the head.
        """
        dropped = self.dead_segments()
        kept = _by_request(() if rolled else self.head.records)
        if refilled:
            dropped |= {refilled.name}
            kept = {**_by_request(self.needed(refilled)), **kept}
        for record in head.records:
            kept.pop(record.request_id, None)
            kept[record.request_id] = record
        segments = [name for name in self.head.segments if name not in dropped]
        if rolled:
            segments.append(rolled.name)
        return Plan(
            head=attrs.evolve(
                head,
                segments=tuple(segments),
                records=self._without_spent(kept.values(), rolled, dropped),
            ),
            rolled=rolled,
            dropped=dropped,
        )

    def needed(self, segment: Segment) -> tuple[JournalRecord, ...]:
        """Return the records of a segment that nothing newer replaces."""
        return tuple(
            record
            for record in segment.records
            if self._newest.get(record.request_id) == segment.name
        )

    def apply(self, plan: Plan) -> None:
        """Take over a plan that has been written."""
        previous = _by_request(self.head.records)
        held = _by_request(plan.head.records)
        self.head = plan.head
        if plan.rolled:
            self._enter(plan.rolled)
        for request_id in held:
            self._move(request_id, '')
            self._tombstones.discard(request_id)
        for spent_id in previous:
            if spent_id not in held and not self._newest.get(spent_id):
                self._forget(spent_id)
        for name in plan.dropped:
            self._drop(name)
        if plan.rolled:
            self._bury(self._tombstones.intersection(previous))

    def _without_spent(
        self,
        records: Iterable[JournalRecord],
        rolled: Segment | None,
        dropped: frozenset[str],
    ) -> tuple[JournalRecord, ...]:
        copies = _by_request(rolled.records if rolled else ())
        return tuple(
            record
            for record in records
            if record.kind != RecordKind.retired
            or record.request_id in copies
            or self._has_copy(record.request_id, dropped)
        )

    def _has_copy(self, request_id: str, dropped: frozenset[str]) -> bool:
        dropped_count = sum(
            request_id in self._members[name] for name in dropped
        )
        return self._copies.get(request_id, 0) > dropped_count

    def _enter(self, segment: Segment) -> None:
        records = _by_request(segment.records)
        self._live_counts[segment.name] = 0
        self._members[segment.name] = frozenset(records)
        for request_id, record in records.items():
            self._copies[request_id] = self._copies.get(request_id, 0) + 1
            self._move(request_id, segment.name)
            self._tombstones.discard(request_id)
            if record.kind == RecordKind.retired:
                self._tombstones.add(request_id)

    def _drop(self, name: str) -> None:
        members = self._members.pop(name)
        for request_id in members:
            self._copies[request_id] -= 1
            if not self._copies[request_id]:
                self._copies.pop(request_id)
            if self._newest.get(request_id) == name:
                self._forget(request_id)
        self._live_counts.pop(name)
        self._bury(members & self._tombstones)

    def _bury(self, request_ids: Iterable[str]) -> None:
        """Forget tombstones in segments that hide no older record."""
        for request_id in request_ids:
            if self._copies.get(request_id, 0) <= 1:
                self._forget(request_id)

    def _forget(self, request_id: str) -> None:
        place = self._newest.pop(request_id, '')
        if place:
            self._live_counts[place] -= 1
        self._tombstones.discard(request_id)

    def _move(self, request_id: str, place: str) -> None:
        previous = self._newest.get(request_id)
        if previous:
            self._live_counts[previous] -= 1
        self._newest[request_id] = place
        if place:
            self._live_counts[place] += 1


def _by_request(
    records: Iterable[JournalRecord],
) -> dict[str, JournalRecord]:
    return {record.request_id: record for record in records}
