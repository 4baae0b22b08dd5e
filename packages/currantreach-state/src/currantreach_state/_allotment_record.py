"""Record of a team's allotments and the rules for changing it."""

from __future__ import annotations

import attrs

from currantreach_state._division import (
    divide,
    divide_amount,
    half_of,
    smaller,
    total,
    zip_with,
)
from currantreach_types import Resources

__all__ = ('AllotmentEntry', 'AllotmentRecord', 'Need')

_NOTHING = Resources()


@attrs.frozen(slots=True, kw_only=True)
class AllotmentEntry:
    """What a partition may use of a team's upper limit.

    :ivar epoch: epoch of the owner that last wrote the entry, 0 for none.
    :ivar granted: room that the partition may use.
    :ivar demand: room that it lacks, kept within a factor of two.
    :ivar share: weight of the partition in the division.
    """

    epoch: int = 0
    granted: Resources = _NOTHING
    demand: Resources = _NOTHING
    share: float = 1


@attrs.frozen(slots=True, kw_only=True)
class AllotmentRecord:
    """Record ``allotments/<team>`` of the store.

    :ivar upper_limit: limit of the team across all partitions.
    :ivar limit_revision: configuration revision that set the limit.
    :ivar entries: entries by partition key.
    :ivar parts: while the entries exceed a lowered limit, the bound of each.
    """

    upper_limit: Resources
    limit_revision: int
    entries: dict[str, AllotmentEntry]
    parts: dict[str, Resources] = attrs.field(factory=dict)

    @property
    def granted(self) -> Resources:
        """Return the sum of all entries."""
        return total(entry.granted for entry in self.entries.values())

    @property
    def is_in_force(self) -> bool:
        """Tell whether the entries respect the upper limit."""
        return self.granted.fits_in(self.upper_limit)

    def with_limit(
        self,
        upper_limit: Resources,
        limit_revision: int,
    ) -> AllotmentRecord:
        """Return the record with a newer limit."""
        if limit_revision <= self.limit_revision:
            return self
        if upper_limit == self.upper_limit:
            return self
        return attrs.evolve(
            self,
            upper_limit=upper_limit,
            limit_revision=limit_revision,
            parts=_parts(self, upper_limit),
        )

    def with_entry(self, key: str, entry: AllotmentEntry) -> AllotmentRecord:
        """Return the record with one entry replaced."""
        changed = attrs.evolve(self, entries={**self.entries, key: entry})
        return (
            attrs.evolve(changed, parts={}) if changed.is_in_force else changed
        )


@attrs.frozen(slots=True, kw_only=True)
class Need:
    """What an owner needs for one team.

    :ivar usage: room of running, starting and unknown tasks.
    :ivar demand: room that waiting tasks ask for on top.
    :ivar share: weight of the partition.
    """

    usage: Resources
    demand: Resources
    share: float

    def next_entry(self, record: AllotmentRecord, key: str) -> AllotmentEntry:
        """Return the entry after one step towards the need."""
        entry = record.entries[key]
        part = record.parts.get(key, entry.granted)
        if not entry.granted.fits_in(part):
            # The entry covers running tasks until they have ended.
            bounded = smaller(entry.granted, part.at_least(self.usage))
            is_done = bounded.fits_in(part)
            return attrs.evolve(entry, granted=bounded) if is_done else entry
        market = _Market(record, key, self)
        granted = entry.granted + market.growth - market.give_back
        lack = _positive(market.wanted - granted)
        if _is_similar(entry.demand, lack):
            lack = entry.demand
        return attrs.evolve(entry, granted=granted, demand=lack)


class _Market:
    """Room that one partition can take or give back."""

    def __init__(self, record: AllotmentRecord, key: str, need: Need) -> None:
        """Compute what the other partitions lack."""
        limit = record.upper_limit
        self._own = record.entries[key].granted
        self._usage = need.usage
        self._remainder = _positive(limit - record.granted)
        entries = record.entries
        shares = {name: entry.share for name, entry in entries.items()}
        fair = divide(limit, {**shares, key: need.share})
        lacks = {
            name: entry.demand for name, entry in entries.items() if name != key
        }
        self._fair = fair[key]
        self._demanded = total(lacks.values())
        # Reserving no more than the fair part of another partition bounds
        # what a partition without an owner can hold back.
        self._reserved = total(
            smaller(lack, _positive(fair[name] - entries[name].granted))
            for name, lack in lacks.items()
        )
        floor = half_of(divide(limit, dict.fromkeys(entries, 1))[key])
        self.wanted = smaller(
            (need.usage + need.demand).at_least(floor),
            limit,
        )

    @property
    def growth(self) -> Resources:
        """Return what to add to the entry from the unassigned remainder."""
        to_fair = smaller(_positive(self._fair - self._own), self._remainder)
        room = to_fair.at_least(self._remainder - self._reserved)
        return zip_with(
            _growth,
            _positive(smaller(self.wanted - self._own, room)),
            self._usage,
            self._own,
        )

    @property
    def give_back(self) -> Resources:
        """Return what to take from the entry for other partitions."""
        unused = _positive(self._own - self.wanted.at_least(self._usage))
        above_fair = _positive(self._own - self._fair.at_least(self._usage))
        missing = _positive(self._demanded - self._remainder)
        owed = _positive(self._reserved - self._remainder)
        return smaller(unused, missing).at_least(smaller(above_fair, owed))


def _growth(room: int, usage: int, granted: int) -> int:
    """Return no room to an owner that uses more than its entry."""
    return 0 if usage > granted else room


def _parts(
    record: AllotmentRecord,
    upper_limit: Resources,
) -> dict[str, Resources]:
    """Divide a lowered limit in proportion to the entries."""
    if record.granted.fits_in(upper_limit):
        return {}
    names = sorted(record.entries)
    granted = [record.entries[name].granted for name in names]
    columns = [
        _bounds(*amounts)
        for amounts in zip(
            *(attrs.astuple(vector) for vector in (upper_limit, *granted)),
            strict=True,
        )
    ]
    return {
        name: Resources(*amounts)
        for name, amounts in zip(names, zip(*columns, strict=True), strict=True)
    }


def _bounds(limit: int, *amounts: int) -> list[int]:
    if sum(amounts) <= limit:
        return [limit for _ in amounts]
    return divide_amount(limit, list(amounts))


def _positive(vector: Resources) -> Resources:
    return vector.at_least(_NOTHING)


def _is_similar(earlier: Resources, later: Resources) -> bool:
    """Tell whether all amounts differ by at most a factor of two."""
    return earlier.fits_in(later.times(2)) and later.fits_in(earlier.times(2))
