"""Division of each team's upper limit between partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_types import Resources, decode_json, encode_json
from currantreach_types.errors import ConflictError, LostAnswerError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_platform import Store
    from currantreach_types import Clock

__all__ = ('Allotments',)


@attrs.frozen(slots=True, kw_only=True)
class _Entry:
    granted: Resources
    demand: Resources = Resources()


@attrs.frozen(slots=True, kw_only=True)
class _TeamRecord:
    upper_limit: Resources
    entries: dict[str, _Entry]

    def unassigned(self) -> Resources:
        """Return what no partition holds."""
        held = (entry.granted for entry in self.entries.values())
        return self.upper_limit - sum(held, Resources())


class Allotments:
    """Allotments of one partition; each owner changes only its own entries.

    An entry is lowered in memory first and raised in the store first, so the
    sum of what all owners use never exceeds the limit in the store.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        partition_key: str,
        partition_keys: Sequence[str],
    ) -> None:
        """Start without any allotment."""
        self._store = store
        self._clock = clock
        self._key = partition_key
        self._keys = tuple(partition_keys)
        self._granted: dict[str, Resources] = {}
        self._records: dict[str, _TeamRecord] = {}

    def granted(self, team: str) -> Resources:
        """Return what the partition may use for a team."""
        return self._granted.get(team, Resources())

    def excess(self, team: str, usage: Resources) -> Resources:
        """Return what has to be freed."""
        over = usage - self.granted(team)
        return over.at_least(Resources())

    def is_in_force(self, team: str, upper_limit: Resources) -> bool:
        """Tell whether the entries fit in an upper limit."""
        record = self._records.get(team)
        if record is None or record.upper_limit != upper_limit:
            return False
        return Resources().fits_in(record.unassigned())

    async def refresh(
        self,
        team: str,
        upper_limit: Resources,
        usage: Resources,
        demand: Resources,
    ) -> None:
        """Take one step towards the division that demand asks for.

        :raises PlatformError: if the store does not answer.
        """
        key = f'allotments/{team}'
        current = await self._store.get(key)
        revision = 0 if current is None else current.revision
        record = (
            self._first(upper_limit)
            if current is None
            else decode_json(current.stored, _TeamRecord)
        )
        wanted = self._step(record, upper_limit, usage, demand)
        own = wanted.entries[self._key].granted
        known = self._granted.get(team)
        if known is not None:
            self._granted[team] = _smaller(known, own)
        if current is None or wanted != record:
            try:
                await self._store.put(key, encode_json(wanted), revision)
            except (ConflictError, LostAnswerError):
                # The next step reads what the store holds.
                return
        self._records[team] = wanted
        self._granted[team] = own

    def _first(self, upper_limit: Resources) -> _TeamRecord:
        return _TeamRecord(
            upper_limit=upper_limit,
            entries={
                key: _Entry(granted=_part(upper_limit, index, len(self._keys)))
                for index, key in enumerate(self._keys)
            },
        )

    def _step(
        self,
        record: _TeamRecord,
        upper_limit: Resources,
        usage: Resources,
        demand: Resources,
    ) -> _TeamRecord:
        record = attrs.evolve(record, upper_limit=upper_limit)
        entries = dict(record.entries)
        own = entries.get(self._key, _Entry(granted=Resources()))
        granted = own.granted
        unassigned = record.unassigned()
        index = self._keys.index(self._key)
        part = _part(upper_limit, index, len(self._keys))
        needed = usage + demand
        if not Resources().fits_in(unassigned):
            granted = _smaller(granted, part)
        elif not needed.fits_in(granted):
            free = unassigned.at_least(Resources())
            granted += _smaller(free, (needed - granted).at_least(Resources()))
        elif self._is_asked_for(entries):
            kept = needed.at_least(_part(part, 0, 2))
            granted = _smaller(granted, kept)
        entries[self._key] = _Entry(granted=granted, demand=demand)
        return attrs.evolve(record, entries=entries)

    def _is_asked_for(self, entries: dict[str, _Entry]) -> bool:
        return any(
            entry.demand != Resources()
            for key, entry in entries.items()
            if key != self._key
        )


def _part(whole: Resources, index: int, count: int) -> Resources:
    """Return an equal part; the first ones get the remainder."""
    return Resources(
        *(
            amount // count + (index < amount % count)
            for amount in attrs.astuple(whole)
        ),
    )


def _smaller(first: Resources, second: Resources) -> Resources:
    amounts = zip(attrs.astuple(first), attrs.astuple(second), strict=True)
    return Resources(*(min(pair) for pair in amounts))
