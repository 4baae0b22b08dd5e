"""Upper limits of teams, divided among the partitions by escrow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_state._allotment_record import (
    AllotmentEntry,
    AllotmentRecord,
    Need,
)
from currantreach_state._division import divide, smaller
from currantreach_types import Resources, decode_json, encode_json
from currantreach_types.errors import (
    ConflictError,
    LostAnswerError,
    StaleEpochError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_platform import KeyValue, Store
    from currantreach_types import Clock

__all__ = ('AllotmentEntry', 'AllotmentRecord', 'Allotments')

_PREFIX = 'allotments/'
_NOTHING = Resources()


@attrs.frozen(eq=False, slots=True)
class _Doubt:
    """A write whose effect is not known.

    :ivar base_revision: revision that the write replaces.
    :ivar granted: own room if it took effect.
    """

    base_revision: int
    granted: Resources


@attrs.define(eq=False, slots=True)
class _TeamState:
    """What is known about one team.

    :ivar settled: own room in the store, absent before the entry is taken.
    :ivar confirmed_revision: newest configuration with the record's limit.
    :ivar must_read: whether the record has changed in an unknown way.
    """

    record: AllotmentRecord | None = None
    revision: int = 0
    settled: Resources | None = None
    doubts: list[_Doubt] = attrs.field(factory=list)
    confirmed_revision: int = 0
    must_read: bool = False


class Allotments:
    """Allotments of all teams to one partition.

    The room in memory is never above the own entry of any record that the
    store may hold, so the room of all partitions together respects the
    limit.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        partition_key: str,
        partition_keys: Sequence[str],
        epoch: int,
    ) -> None:
        """Prepare for an owner.

        :param epoch: epoch of the claim, at least 1; taking over each entry
            with it makes delayed writes of an earlier owner fail.
        """
        self._store = store
        self._clock = clock
        self._key = partition_key
        self._keys = frozenset((*partition_keys, partition_key))
        self._epoch = epoch
        self._teams: dict[str, _TeamState] = {}
        self._watched_revision: int | None = None

    def granted(self, team: str) -> Resources:
        """Return what this partition may use for a team."""
        state = self._teams.get(team)
        if state is None or state.settled is None or state.record is None:
            return _NOTHING
        part = state.record.parts.get(self._key, state.settled)
        doubts = (doubt.granted for doubt in state.doubts)
        return smaller(state.settled, part, *doubts)

    def version(self, team: str) -> tuple[int, bool]:
        """Return what changes whenever the next step may be another one.

        :returns: store revision of the record, and whether it is certain.
        """
        state = self._teams.get(team)
        if state is None:
            return 0, False
        return state.revision, not (state.doubts or state.must_read)

    def excess(self, team: str, usage: Resources) -> Resources:
        """Return what must be checkpointed or stopped."""
        state = self._teams.get(team)
        if state is None or state.settled is None:
            return _NOTHING
        return (usage - self.granted(team)).at_least(_NOTHING)

    def is_in_force(self, team: str, limit_revision: int) -> bool:
        """Tell whether all entries respect the limit of a revision."""
        state = self._teams.get(team)
        if state is None or state.record is None:
            return False
        known_revision = max(
            state.record.limit_revision,
            state.confirmed_revision,
        )
        return known_revision >= limit_revision and state.record.is_in_force

    async def poll(self, timeout_s: float) -> None:
        """Read the changes of all teams with one call.

        :raises PlatformError: if the store did not answer.
        """
        if self._watched_revision is None:
            changes = await self._store.list_prefix(_PREFIX)
        else:
            changes = await self._store.watch(
                _PREFIX,
                self._watched_revision,
                timeout_s,
            )
        for found in changes.changed:
            self._observe(found)
        self._watched_revision = max(
            changes.revision,
            self._watched_revision or 0,
        )

    async def refresh(
        self,
        team: str,
        upper_limit: Resources,
        limit_revision: int,
        usage: Resources,
        demand: Resources,
        share: float,
    ) -> None:
        """Make one step: read what is missing, or write what has changed.

        A call that reads does not write, because the usage that it was
        given may have grown while it waited for the store.

        :param usage: room of running, starting and unknown tasks.
        :param demand: room that waiting tasks ask for on top.
        :param share: weight of this partition in the division.
        :raises StaleEpochError: if a later owner has taken the entry.
        :raises PlatformError: if the store did not answer.
        """
        state = self._teams.setdefault(team, _TeamState())
        if self._watched_revision is None:
            await self.poll(0)
            return
        if state.must_read:
            await self._read(team, state)
            return
        need = Need(usage=usage, demand=demand, share=share)
        planned = self._plan(state, upper_limit, limit_revision, need)
        # With a doubt, writing the same record settles what was lost.
        if planned != state.record or state.doubts:
            await self._write(team, state, planned)
        elif planned.upper_limit == upper_limit:
            state.confirmed_revision = limit_revision

    def _plan(
        self,
        state: _TeamState,
        upper_limit: Resources,
        limit_revision: int,
        need: Need,
    ) -> AllotmentRecord:
        if state.record is None:
            return self._new_record(upper_limit, limit_revision)
        record = state.record.with_limit(upper_limit, limit_revision)
        entry = record.entries.get(self._key, AllotmentEntry())
        if entry.epoch > self._epoch:
            raise StaleEpochError(
                f'epoch {entry.epoch} has the allotments; stop this owner',
            )
        if entry.epoch < self._epoch:
            taken = attrs.evolve(entry, epoch=self._epoch, share=need.share)
            return record.with_entry(self._key, taken)
        moved = need.next_entry(record, self._key)
        if moved == entry:
            return record
        return record.with_entry(
            self._key,
            attrs.evolve(moved, share=need.share),
        )

    def _new_record(
        self,
        upper_limit: Resources,
        limit_revision: int,
    ) -> AllotmentRecord:
        equal = divide(upper_limit, dict.fromkeys(self._keys, 1))
        entries = {
            key: AllotmentEntry(
                granted=granted,
                epoch=self._epoch if key == self._key else 0,
            )
            for key, granted in equal.items()
        }
        return AllotmentRecord(
            upper_limit=upper_limit,
            limit_revision=limit_revision,
            entries=entries,
        )

    async def _read(self, team: str, state: _TeamState) -> None:
        found = await self._store.get(_PREFIX + team)
        state.must_read = False
        if found is not None:
            self._observe(found)

    async def _write(
        self,
        team: str,
        state: _TeamState,
        planned: AllotmentRecord,
    ) -> None:
        granted = planned.entries[self._key].granted
        part = planned.parts.get(self._key, granted)
        doubt = _Doubt(state.revision, smaller(granted, part))
        state.doubts.append(doubt)
        try:
            revision = await self._store.put(
                _PREFIX + team,
                encode_json(planned),
                doubt.base_revision,
            )
        except LostAnswerError:
            state.must_read = True
            raise
        except StoreUnavailableError:
            _discard(state, doubt)
            raise
        except ConflictError:
            state.must_read = True
            _discard(state, doubt)
            return
        self._take(state, planned, revision)

    def _observe(self, found: KeyValue) -> None:
        team = found.key.removeprefix(_PREFIX)
        state = self._teams.setdefault(team, _TeamState())
        record = decode_json(found.stored, AllotmentRecord)
        self._take(state, record, found.revision)

    def _take(
        self,
        state: _TeamState,
        record: AllotmentRecord,
        revision: int,
    ) -> None:
        """Take over a record unless a newer one is known."""
        if revision <= state.revision:
            return
        if state.record and state.record.upper_limit != record.upper_limit:
            state.confirmed_revision = 0
        state.record = record
        state.revision = revision
        # Writes that replace an earlier revision have either led to this
        # record or can no longer take effect.
        state.doubts = []
        entry = record.entries.get(self._key, AllotmentEntry())
        if entry.epoch == self._epoch:
            state.settled = entry.granted
        elif state.settled is not None:
            state.settled = _NOTHING


def _discard(state: _TeamState, doubt: _Doubt) -> None:
    state.doubts = [other for other in state.doubts if other is not doubt]
