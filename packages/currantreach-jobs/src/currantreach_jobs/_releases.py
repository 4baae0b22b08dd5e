"""Workers that are left alone until their leases have run out.

The wait for a worker that does not answer must not begin anew with each
leader. A leader therefore notes in the store for how much longer its orders
may be in force at a silent worker, and orders nothing more there before a
record without that entry is in the store. All daemons count the noted time on
their own clocks, so that a successor goes on with the same wait.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._records import (
    LEADER_KEY,
    RELEASES_KEY,
    Release,
    ReleaseRecord,
)
from currantreach_platform import Write
from currantreach_telemetry import log_event, log_warning
from currantreach_types import decode_packed, encode_packed
from currantreach_types.errors import (
    MalformedMessageError,
    PlatformError,
    TransactionConflictError,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from currantreach_jobs._settings import Leadership
    from currantreach_platform import KeyValue, TransactionalStore
    from currantreach_types import Clock

__all__ = ('HeardReleases', 'Releases', 'Wait', 'decode_releases')

_MS_PER_S = 1000
# What is forgotten of a wait if all daemons end at once, a tenth of it.
_REFRESH_S = 0.7
# Workers of a failure domain fall silent together and share a write.
_GROUP_S = 0.05
# Pause after a failed write.
_RETRY_S = 0.2


@attrs.frozen(slots=True, kw_only=True)
class Wait:
    """Wait for the leases of a worker, on the clock of this process.

    :ivar release_id: identity of the release that is waited for.
    :ivar since_s: time since which the worker has been silent.
    :ivar over_s: time after which nothing that was ordered runs.
    """

    release_id: str
    since_s: float
    over_s: float


class HeardReleases:
    """What a daemon has heard of released workers, through all tenures.

    Each record that carries a release bounds its wait from the moment at
    which it is heard, as it was sent before. A release keeps its identity
    until the worker is used again, so the earliest bound holds.
    """

    def __init__(self) -> None:
        """Start without releases."""
        self._waits: dict[str, Wait] = {}

    def note(self, record: ReleaseRecord, last_answer_at_s: float) -> None:
        """Take over a record that was sent before a point in time."""
        self._waits = {
            worker_id: self._wait_of(worker_id, release, last_answer_at_s)
            for worker_id, release in record.workers.items()
        }

    def waits(self) -> dict[str, Wait]:
        """Return the waits of the newest record by worker."""
        return dict(self._waits)

    def _wait_of(
        self,
        worker_id: str,
        release: Release,
        last_answer_at_s: float,
    ) -> Wait:
        since_s = last_answer_at_s - release.silent_ms / _MS_PER_S
        over_s = last_answer_at_s + release.remaining_ms / _MS_PER_S
        known = self._waits.get(worker_id)
        if known is not None and known.release_id == release.release_id:
            since_s = min(since_s, known.since_s)
            over_s = min(over_s, known.over_s)
        return Wait(
            release_id=release.release_id,
            since_s=since_s,
            over_s=over_s,
        )


class Releases:
    """Releases that a leader has taken over, made and ended."""

    def __init__(
        self,
        store: TransactionalStore,
        leadership: Leadership,
        clock: Clock,
        heard: HeardReleases,
    ) -> None:
        """Allow no orders until the record of the store was read."""
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self._heard = heard
        self._revision = 0
        self._release_count = 0
        self._waits: dict[str, Wait] = {}
        # Workers in the record of the store, or in one that was sent since.
        self._noted: set[str] = set()
        self._is_known = False
        self._is_changed = False
        self._written_at_s: float = 0
        self._wake = asyncio.Event()
        self._has_written = asyncio.Event()

    async def read(self) -> None:
        """Take over the releases of earlier leaders.

        :raises PlatformError: if the store does not answer.
        """
        sent_at_s = self._clock.now_s()
        found = await self._store.get(RELEASES_KEY)
        if found is None:
            self._is_known = True
            return
        self._revision = found.revision
        record = decode_releases(found)
        if record is None:
            # A successor may be able to read it, so that it is replaced
            # before anything is ordered.
            self._note_change()
            return
        # The record was sent before this leader was elected.
        self._heard.note(record, sent_at_s)
        self._waits = self._heard.waits()
        self._noted = set(self._waits)
        self._is_known = True
        if self._waits:
            self._note_change()

    def keep_only(self, worker_ids: Collection[str]) -> None:
        """End the releases of workers on which nothing may run."""
        for worker_id in set(self._waits) - set(worker_ids):
            self.end(worker_id)

    def wait_for(self, worker_id: str) -> Wait | None:
        """Return the wait for a worker that is released."""
        return self._waits.get(worker_id)

    def may_order(self, worker_id: str) -> bool:
        """Tell whether runs of a worker may be started and extended."""
        if not self._is_known or worker_id in self._noted:
            return False
        return worker_id not in self._waits

    def release(self, worker_id: str, since_s: float, over_s: float) -> None:
        """Order nothing more on a worker.

        :param since_s: time since which it has been silent.
        :param over_s: time after which nothing that was ordered runs.
        """
        if worker_id in self._waits:
            return
        self._release_count += 1
        release_id = f'{self._leadership.epoch}-{self._release_count}'
        self._waits[worker_id] = Wait(
            release_id=release_id,
            since_s=since_s,
            over_s=over_s,
        )
        log_event(
            'worker_released',
            worker=worker_id,
            release=release_id,
            remaining_s=round(over_s - self._clock.now_s(), 3),
        )
        self._note_change()

    def end(self, worker_id: str) -> None:
        """Use a worker again once that is in the store."""
        if self._waits.pop(worker_id, None) is not None:
            self._note_change()

    async def ended(self, worker_id: str, timeout_s: float) -> None:
        """Wait for a while until a worker may be used again."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self.may_order(worker_id):
                    await self._has_written.wait()

    async def keep(self) -> None:
        """Write the releases until the tenure is over."""
        while not self._leadership.is_over:
            await self._next_change()
            await asyncio.sleep(_GROUP_S)
            self._is_changed = False
            if not await self._write():
                self._is_changed = True
                await asyncio.sleep(_RETRY_S)

    async def _next_change(self) -> None:
        timeout_s = _REFRESH_S if self._has_remaining() else None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self._is_changed:
                    self._wake.clear()
                    await self._wake.wait()

    def _has_remaining(self) -> bool:
        """Tell whether the newest record says that a lease has time left."""
        return any(
            wait.over_s > self._written_at_s for wait in self._waits.values()
        )

    def _note_change(self) -> None:
        self._is_changed = True
        self._wake.set()

    async def _write(self) -> bool:
        """Write all releases; tell whether they are in the store."""
        now_s = self._clock.now_s()
        written = frozenset(self._waits)
        record = ReleaseRecord(
            workers={
                worker_id: _release_of(wait, now_s)
                for worker_id, wait in self._waits.items()
            },
        )
        # It may take effect even if its answer is lost.
        self._noted |= written
        try:
            self._revision = await self._store.commit(
                {
                    LEADER_KEY: self._leadership.revision,
                    RELEASES_KEY: self._revision,
                },
                [Write(key=RELEASES_KEY, stored=encode_packed(record))],
            )
        except TransactionConflictError as conflict:
            self._note_conflict(conflict)
            return False
        except PlatformError as error:
            log_event('releases_unwritten', error=error)
            return False
        # All writes before expected an older revision and have no effect now.
        self._noted = set(written)
        self._is_known = True
        self._written_at_s = now_s
        self._has_written.set()
        self._has_written = asyncio.Event()
        return True

    def _note_conflict(self, conflict: TransactionConflictError) -> None:
        if conflict.revisions.get(LEADER_KEY) != self._leadership.revision:
            log_warning('leadership_lost', found_by='releases')
            self._leadership.is_over = True
            return
        # An own write whose answer was lost.
        self._revision = conflict.revisions.get(RELEASES_KEY, 0)


def decode_releases(found: KeyValue) -> ReleaseRecord | None:
    """Decode the releases, nothing if they cannot be read."""
    try:
        return decode_packed(found.stored, ReleaseRecord)
    except MalformedMessageError as error:
        log_warning('releases_unreadable', error=error)
        return None


def _release_of(wait: Wait, now_s: float) -> Release:
    return Release(
        release_id=wait.release_id,
        remaining_ms=max(0, math.ceil((wait.over_s - now_s) * _MS_PER_S)),
        silent_ms=max(0, round((now_s - wait.since_s) * _MS_PER_S)),
    )
