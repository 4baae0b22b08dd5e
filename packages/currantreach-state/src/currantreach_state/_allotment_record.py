"""Stored allotments of a team and the rules for changing them."""

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

__all__ = ('AllotmentEntry', 'AllotmentRecord', 'PartitionLoad')

_ZERO = Resources()


@attrs.frozen(slots=True, kw_only=True)
class AllotmentEntry:
    """Part of a team's upper limit that a partition may use.

    :ivar epoch: epoch of the owner that last wrote the entry, 0 for none.
    :ivar granted: resources that the partition may use.
    :ivar demand: unmet demand; updated only if it changes by more than a
        factor of two, to save writes.
    :ivar share: weight of the partition in the division.
    """

    epoch: int = 0
    granted: Resources = _ZERO
    demand: Resources = _ZERO
    share: float = 1


@attrs.frozen(slots=True, kw_only=True)
class AllotmentRecord:
    """Record ``allotments/<team>`` of the store.

    :ivar upper_limit: limit of the team across all partitions.
    :ivar limit_revision: configuration revision that set the limit.
    :ivar entries: entries by partition key.
    :ivar parts: caps by partition key: the upper bound to which each partition
        has to reduce its entry while the entries exceed a lowered limit, empty
        otherwise.
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
            parts=_lowered_parts(self, upper_limit),
        )

    def with_entry(self, key: str, entry: AllotmentEntry) -> AllotmentRecord:
        """Return the record with one entry replaced."""
        changed = attrs.evolve(self, entries={**self.entries, key: entry})
        return (
            attrs.evolve(changed, parts={}) if changed.is_in_force else changed
        )


@attrs.frozen(slots=True, kw_only=True)
class PartitionLoad:
    """Load of one team on a partition.

    :ivar usage: resources of running, starting and unknown tasks.
    :ivar demand: resources that waiting tasks ask for in addition.
    :ivar share: weight of the partition.
    """

    usage: Resources
    demand: Resources
    share: float

    def next_entry(self, record: AllotmentRecord, key: str) -> AllotmentEntry:
        """Return the entry after one step towards this load."""
        entry = record.entries[key]
        cap = record.parts.get(key, entry.granted)
        if not entry.granted.fits_in(cap):
            # Running tasks stay covered by the entry until they have ended.
            bounded = smaller(entry.granted, cap.elementwise_max(self.usage))
            is_done = bounded.fits_in(cap)
            return attrs.evolve(entry, granted=bounded) if is_done else entry
        rebalancing = _Rebalancing(record, key, self)
        granted = entry.granted + rebalancing.growth - rebalancing.reduction
        shortfall = _clamped(rebalancing.target - granted)
        if _is_similar(entry.demand, shortfall):
            shortfall = entry.demand
        return attrs.evolve(entry, granted=granted, demand=shortfall)


class _Rebalancing:
    """Possible growth and reduction of the entry of one partition."""

    def __init__(
        self,
        record: AllotmentRecord,
        key: str,
        load: PartitionLoad,
    ) -> None:
        """Compute the unmet demand of the other partitions."""
        limit = record.upper_limit
        self._own = record.entries[key].granted
        self._usage = load.usage
        self._unassigned = _clamped(limit - record.granted)
        entries = record.entries
        shares = {name: entry.share for name, entry in entries.items()}
        fair = divide(limit, {**shares, key: load.share})
        shortfalls = {
            name: entry.demand for name, entry in entries.items() if name != key
        }
        self._fair = fair[key]
        self._demanded = total(shortfalls.values())
        # Reserving at most the fair part of each other partition limits how
        # much a partition without an owner can block.
        self._reserved = total(
            smaller(shortfall, _clamped(fair[name] - entries[name].granted))
            for name, shortfall in shortfalls.items()
        )
        floor = half_of(divide(limit, dict.fromkeys(entries, 1))[key])
        self.target = smaller(
            (load.usage + load.demand).elementwise_max(floor),
            limit,
        )

    @property
    def growth(self) -> Resources:
        """Return what to add to the entry from the unassigned resources."""
        to_fair = smaller(_clamped(self._fair - self._own), self._unassigned)
        available = to_fair.elementwise_max(self._unassigned - self._reserved)
        return zip_with(
            _growth,
            _clamped(smaller(self.target - self._own, available)),
            self._usage,
            self._own,
        )

    @property
    def reduction(self) -> Resources:
        """Return what to subtract from the entry for other partitions."""
        unused = _clamped(self._own - self.target.elementwise_max(self._usage))
        above_fair = _clamped(
            self._own - self._fair.elementwise_max(self._usage)
        )
        unmet_demand = _clamped(self._demanded - self._unassigned)
        unmet_reservation = _clamped(self._reserved - self._unassigned)
        return smaller(unused, unmet_demand).elementwise_max(
            smaller(above_fair, unmet_reservation),
        )


def _growth(available: int, usage: int, granted: int) -> int:
    """Return the growth, 0 for an owner that uses more than its entry."""
    return 0 if usage > granted else available


def _lowered_parts(
    record: AllotmentRecord,
    upper_limit: Resources,
) -> dict[str, Resources]:
    """Divide a lowered limit in proportion to the entries.

    :returns: no bounds if the entries respect the limit.
    """
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


def _clamped(vector: Resources) -> Resources:
    return vector.elementwise_max(_ZERO)


def _is_similar(earlier: Resources, later: Resources) -> bool:
    """Tell whether all amounts differ by at most a factor of two."""
    return earlier.fits_in(later.scaled_by(2)) and later.fits_in(
        earlier.scaled_by(2)
    )
