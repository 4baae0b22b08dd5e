"""Upper limits of teams, divided among the partitions.

Each partition holds a part of a limit in escrow and uses it without asking the
others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_state._allotment_record import (
    AllotmentEntry,
    AllotmentRecord,
    PartitionLoad,
)
from currantreach_state._division import divide, smaller
from currantreach_types import Resources, decode_json, encode_json
from currantreach_types.errors import (
    ConflictError,
    OutcomeUnknownError,
    StaleEpochError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_platform import KeyValue, Store
    from currantreach_types import Clock

__all__ = ('AllotmentEntry', 'AllotmentRecord', 'Allotments')

_PREFIX = 'allotments/'
_ZERO = Resources()


@attrs.frozen(eq=False, slots=True)
class _UncertainWrite:
    """A write of which it is unknown whether it took effect.

    :ivar base_revision: revision that the write replaces.
    :ivar granted: allotment of this partition if it took effect.
    """

    base_revision: int
    granted: Resources


@attrs.define(eq=False, slots=True)
class _TeamState:
    """Known state of the allotments of one team.

    :ivar stored_grant: allotment of this partition in the store, None until
        this owner has acquired the entry.
    :ivar uncertain_writes: writes that may or may not have taken effect.
    :ivar confirmed_revision: newest configuration revision that has the
        limit of the record.
    :ivar is_stale: whether the stored record may differ from ``record``.
    """

    record: AllotmentRecord | None = None
    revision: int = 0
    stored_grant: Resources | None = None
    uncertain_writes: list[_UncertainWrite] = attrs.field(factory=list)
    confirmed_revision: int = 0
    is_stale: bool = False


class Allotments:
    """Allotments of all teams to one partition.

    The allotment in memory never exceeds the entry of this partition in any
    record that the store may hold. The allotments of all partitions together
    therefore respect the limit.
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

        :param epoch: epoch of the claim, at least 1; acquiring each entry
            with it fences delayed writes of an earlier owner.
        """
        self._store = store
        self._clock = clock
        self._key = partition_key
        self._keys = frozenset((*partition_keys, partition_key))
        self._epoch = epoch
        self._teams: dict[str, _TeamState] = {}
        self._watched_revision: int | None = None

    def granted(self, team: str) -> Resources:
        """Return the resources that a team may use in this partition."""
        state = self._teams.get(team)
        if state is None or state.stored_grant is None or state.record is None:
            return _ZERO
        cap = state.record.parts.get(self._key, state.stored_grant)
        uncertain_writes = (write.granted for write in state.uncertain_writes)
        return smaller(state.stored_grant, cap, *uncertain_writes)

    def version(self, team: str) -> tuple[int, bool]:
        """Return a version that changes whenever the next step may differ.

        :returns: store revision of the record, and whether the stored record is
            known for certain.
        """
        state = self._teams.get(team)
        if state is None:
            return 0, False
        return state.revision, not (state.uncertain_writes or state.is_stale)

    def excess(self, team: str, usage: Resources) -> Resources:
        """Return the usage above the allotment, to checkpoint or stop."""
        state = self._teams.get(team)
        if state is None or state.stored_grant is None:
            return _ZERO
        return (usage - self.granted(team)).elementwise_max(_ZERO)

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
            self._apply_change(found)
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
        """Make one step: read missing state or write a changed record.

        A call that reads does not write as well, because the usage passed to
        it may have grown while it waited for the store.

        :param usage: resources of running, starting and unknown tasks.
        :param demand: resources that waiting tasks ask for in addition.
        :param share: weight of this partition in the division.
        :raises StaleEpochError: if a later owner has acquired the entry.
        :raises PlatformError: if the store did not answer.
        """
        state = self._teams.setdefault(team, _TeamState())
        if self._watched_revision is None:
            await self.poll(0)
            return
        if state.is_stale:
            await self._read(team, state)
            return
        load = PartitionLoad(usage=usage, demand=demand, share=share)
        planned = self._plan(state, upper_limit, limit_revision, load)
        # After an uncertain write, writing the same record again shows
        # whether the earlier write took effect.
        if planned != state.record or state.uncertain_writes:
            await self._write(team, state, planned)
        elif planned.upper_limit == upper_limit:
            state.confirmed_revision = limit_revision

    def _plan(
        self,
        state: _TeamState,
        upper_limit: Resources,
        limit_revision: int,
        load: PartitionLoad,
    ) -> AllotmentRecord:
        if state.record is None:
            return self._new_record(upper_limit, limit_revision)
        record = state.record.with_limit(upper_limit, limit_revision)
        entry = record.entries.get(self._key, AllotmentEntry())
        if entry.epoch > self._epoch:
            raise StaleEpochError(
                f'a later owner with epoch {entry.epoch} has acquired the '
                'allotments; stop this owner',
            )
        if entry.epoch < self._epoch:
            acquired = attrs.evolve(entry, epoch=self._epoch, share=load.share)
            return record.with_entry(self._key, acquired)
        adjusted = load.next_entry(record, self._key)
        if adjusted == entry:
            return record
        return record.with_entry(
            self._key,
            attrs.evolve(adjusted, share=load.share),
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
        state.is_stale = False
        if found is not None:
            self._apply_change(found)

    async def _write(
        self,
        team: str,
        state: _TeamState,
        planned: AllotmentRecord,
    ) -> None:
        granted = planned.entries[self._key].granted
        cap = planned.parts.get(self._key, granted)
        write = _UncertainWrite(state.revision, smaller(granted, cap))
        state.uncertain_writes.append(write)
        try:
            revision = await self._store.put(
                _PREFIX + team,
                encode_json(planned),
                write.base_revision,
            )
        except OutcomeUnknownError:
            state.is_stale = True
            raise
        except StoreUnavailableError:
            _discard(state, write)
            raise
        except ConflictError:
            state.is_stale = True
            _discard(state, write)
            return
        self._accept_record(state, planned, revision)

    def _apply_change(self, found: KeyValue) -> None:
        team = found.key.removeprefix(_PREFIX)
        state = self._teams.setdefault(team, _TeamState())
        record = decode_json(found.stored, AllotmentRecord)
        self._accept_record(state, record, found.revision)

    def _accept_record(
        self,
        state: _TeamState,
        record: AllotmentRecord,
        revision: int,
    ) -> None:
        """Keep a record in memory unless a newer one is known."""
        if revision <= state.revision:
            return
        if state.record and state.record.upper_limit != record.upper_limit:
            state.confirmed_revision = 0
        state.record = record
        state.revision = revision
        # Writes based on an earlier revision either produced this record or
        # can no longer take effect.
        state.uncertain_writes = []
        entry = record.entries.get(self._key, AllotmentEntry())
        if entry.epoch == self._epoch:
            state.stored_grant = entry.granted
        elif state.stored_grant is not None:
            state.stored_grant = _ZERO


def _discard(state: _TeamState, write: _UncertainWrite) -> None:
    state.uncertain_writes = [
        other for other in state.uncertain_writes if other is not write
    ]
