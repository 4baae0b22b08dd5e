"""Records of a journal and their layout in the head and the segments."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from currantreach_types import encode_msgpack

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

__all__ = ('JournalRecord', 'RecordKind')

# Every commit rewrites the head, so its size bounds the bytes per commit.
HEAD_LIMIT_BYTES = 65536
# Leaves space for the segment names below the limit of the store of 1 MB.
VALUE_LIMIT_BYTES = 960000


class RecordKind(enum.StrEnum):
    """State of a request in a record."""

    accepted = 'accepted'
    starting = 'starting'
    ended = 'ended'
    retired = 'retired'


@attrs.frozen(slots=True, kw_only=True)
class JournalRecord:
    """Durable state of one request; replaces earlier records of it.

    :ivar request_id: id of the request.
    :ivar kind: state of the request; ``retired`` marks a tombstone.
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
    """Next head and the changes of the segments that come with it.

    :ivar head: the next head.
    :ivar rolled: new segment with the records of the previous head.
    :ivar dropped: names of segments that the next head omits.
    """

    head: Head
    rolled: Segment | None = None
    dropped: frozenset[str] = frozenset()


def size_bytes(stored: object) -> int:
    """Return the encoded size."""
    return len(encode_msgpack(stored))


class Layout:
    """Index of the location of the newest record of each request.

    A location is the name of a segment, or empty for the head. Only the
    records of the head are kept in memory; a segment that is compacted is read
    again from the store.
    """

    def __init__(self) -> None:
        """Start with an empty journal."""
        self.head = Head()
        self._request_ids: dict[str, frozenset[str]] = {}
        self._live_counts: dict[str, int] = {}
        self._locations: dict[str, str] = {}
        self._copy_counts: dict[str, int] = {}
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
            self._add_segment(Segment(name, tuple(stored[name])))
        newest.update(_by_request(head.records))
        self.head = head
        for request_id in _by_request(head.records):
            self._set_location(request_id, '')
            self._tombstones.discard(request_id)
        self._purge_tombstones(tuple(self._tombstones))
        return tuple(
            record
            for record in newest.values()
            if record.kind != RecordKind.retired
        )

    def dead_segments(self) -> frozenset[str]:
        """Return the segments without any newest record of a request."""
        return frozenset(
            name for name, count in self._live_counts.items() if not count
        )

    def sparse_segment(self) -> str:
        """Return the oldest segment with less than half live records.

        :returns: its name, or an empty string if there is none.
        """
        for name in self.head.segments:
            live_count = self._live_counts[name]
            if live_count and live_count * 2 < len(self._request_ids[name]):
                return name
        return ''

    def plan(
        self,
        head: Head,
        rolled: Segment | None,
        compacted: Segment | None,
    ) -> Plan:
        """Return the next head.

        :param head: identity of the commit and the records to add.
        :param rolled: segment to which the previous records of the head were
            written.
        :param compacted: segment whose live records move to the head.
        """
        dropped = self.dead_segments()
        records = _by_request(() if rolled else self.head.records)
        if compacted:
            dropped |= {compacted.name}
            records = {**_by_request(self.live_records(compacted)), **records}
        for record in head.records:
            records.pop(record.request_id, None)
            records[record.request_id] = record
        segments = [name for name in self.head.segments if name not in dropped]
        if rolled:
            segments.append(rolled.name)
        return Plan(
            head=attrs.evolve(
                head,
                segments=tuple(segments),
                records=self._without_obsolete_tombstones(
                    records.values(),
                    rolled,
                    dropped,
                ),
            ),
            rolled=rolled,
            dropped=dropped,
        )

    def live_records(self, segment: Segment) -> tuple[JournalRecord, ...]:
        """Return the records of a segment that no newer record replaces."""
        return tuple(
            record
            for record in segment.records
            if self._locations.get(record.request_id) == segment.name
        )

    def apply(self, plan: Plan) -> None:
        """Update the index after a plan was written."""
        previous = _by_request(self.head.records)
        current = _by_request(plan.head.records)
        self.head = plan.head
        if plan.rolled:
            self._add_segment(plan.rolled)
        for request_id in current:
            self._set_location(request_id, '')
            self._tombstones.discard(request_id)
        for old_id in previous:
            if old_id not in current and not self._locations.get(old_id):
                self._forget(old_id)
        for name in plan.dropped:
            self._remove_segment(name)
        if plan.rolled:
            self._purge_tombstones(self._tombstones.intersection(previous))

    def _without_obsolete_tombstones(
        self,
        records: Iterable[JournalRecord],
        rolled: Segment | None,
        dropped: frozenset[str],
    ) -> tuple[JournalRecord, ...]:
        rolled_records = _by_request(rolled.records if rolled else ())
        return tuple(
            record
            for record in records
            if record.kind != RecordKind.retired
            or record.request_id in rolled_records
            or self._has_copy(record.request_id, dropped)
        )

    def _has_copy(self, request_id: str, dropped: frozenset[str]) -> bool:
        dropped_count = sum(
            request_id in self._request_ids[name] for name in dropped
        )
        return self._copy_counts.get(request_id, 0) > dropped_count

    def _add_segment(self, segment: Segment) -> None:
        records = _by_request(segment.records)
        self._live_counts[segment.name] = 0
        self._request_ids[segment.name] = frozenset(records)
        for request_id, record in records.items():
            self._copy_counts[request_id] = (
                self._copy_counts.get(request_id, 0) + 1
            )
            self._set_location(request_id, segment.name)
            self._tombstones.discard(request_id)
            if record.kind == RecordKind.retired:
                self._tombstones.add(request_id)

    def _remove_segment(self, name: str) -> None:
        members = self._request_ids.pop(name)
        for request_id in members:
            self._copy_counts[request_id] -= 1
            if not self._copy_counts[request_id]:
                self._copy_counts.pop(request_id)
            if self._locations.get(request_id) == name:
                self._forget(request_id)
        self._live_counts.pop(name)
        self._purge_tombstones(members & self._tombstones)

    def _purge_tombstones(self, request_ids: Iterable[str]) -> None:
        """Remove tombstones in segments that hide no older record."""
        for request_id in request_ids:
            if self._copy_counts.get(request_id, 0) <= 1:
                self._forget(request_id)

    def _forget(self, request_id: str) -> None:
        location = self._locations.pop(request_id, '')
        if location:
            self._live_counts[location] -= 1
        self._tombstones.discard(request_id)

    def _set_location(self, request_id: str, location: str) -> None:
        previous = self._locations.get(request_id)
        if previous:
            self._live_counts[previous] -= 1
        self._locations[request_id] = location
        if location:
            self._live_counts[location] += 1


def _by_request(
    records: Iterable[JournalRecord],
) -> dict[str, JournalRecord]:
    return {record.request_id: record for record in records}
