"""Releases of silent workers, persisted across leaders.

A release is a record that the leader sends no orders to a silent worker, which
does not answer calls, and extends no lease there, with the longest time for
which leases may still run. The worker is used again only after a record without
the entry is stored.

The tasks of a silent worker may be started elsewhere once all leases that it
may still have are expired. A change of the leader must not restart that wait,
so the leader writes the remaining time to the store. All daemons count it down
on their own clocks, so that a successor continues the same wait.
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
    ReleaseEntry,
    ReleaseRecord,
)
from currantreach_platform import Write
from currantreach_telemetry import log_event, log_warning
from currantreach_types import decode_msgpack, encode_msgpack
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

__all__ = (
    'ObservedReleases',
    'ReleasedWorker',
    'WorkerReleases',
    'decode_releases',
)

_MS_PER_S = 1000
# Interval in which remaining times are written again. If all daemons end at
# once, a wait starts over by up to this much, which is a tenth of the longest
# lease of a worker (``JobSettings.max_lease_s``).
_REFRESH_INTERVAL_S = 0.7
# Delay of a write, as workers of one failure domain become silent at the same
# time and then share it.
_GROUP_DELAY_S = 0.05
# Pause after a failed write.
_RETRY_S = 0.2


@attrs.frozen(slots=True, kw_only=True)
class ReleasedWorker:
    """A released worker, with times on the clock of this process.

    :ivar release_id: id of its release.
    :ivar silent_since_s: time since which the worker has not answered.
    :ivar leases_expire_at_s: time after which no ordered run is active.
    """

    release_id: str
    silent_since_s: float
    leases_expire_at_s: float


class ObservedReleases:
    """Released workers as this daemon has read them from the store.

    Every daemon keeps them at all times, whether it is the leader or not.
    A record was sent before it is received, so its remaining time, counted
    from its reception, bounds the wait. A release keeps its id until the
    worker is used again, so the earliest bound of an id applies.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._workers: dict[str, ReleasedWorker] = {}

    def update(self, record: ReleaseRecord, received_at_s: float) -> None:
        """Replace the releases by those of a newer record.

        :param received_at_s: a time at which the record had been sent already.
        """
        self._workers = {
            worker_id: self._merge(worker_id, release, received_at_s)
            for worker_id, release in record.workers.items()
        }

    def workers(self) -> dict[str, ReleasedWorker]:
        """Return the released workers of the newest record by their ids."""
        return dict(self._workers)

    def _merge(
        self,
        worker_id: str,
        release: ReleaseEntry,
        received_at_s: float,
    ) -> ReleasedWorker:
        silent_since_s = received_at_s - release.silent_ms / _MS_PER_S
        leases_expire_at_s = received_at_s + release.remaining_ms / _MS_PER_S
        known = self._workers.get(worker_id)
        if known is not None and known.release_id == release.release_id:
            silent_since_s = min(silent_since_s, known.silent_since_s)
            leases_expire_at_s = min(
                leases_expire_at_s, known.leases_expire_at_s
            )
        return ReleasedWorker(
            release_id=release.release_id,
            silent_since_s=silent_since_s,
            leases_expire_at_s=leases_expire_at_s,
        )


class WorkerReleases:
    """Releases of the current leader, including those it has inherited."""

    def __init__(
        self,
        store: TransactionalStore,
        leadership: Leadership,
        clock: Clock,
        observed: ObservedReleases,
    ) -> None:
        """Permit no orders until the record in the store is read."""
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self._observed = observed
        self._revision = 0
        self._release_count = 0
        self._workers: dict[str, ReleasedWorker] = {}
        # Workers in the stored record, or in a later one whose write may have
        # taken effect.
        self._recorded_ids: set[str] = set()
        self._is_record_known = False
        self._is_changed = False
        self._written_at_s: float = 0
        self._wake = asyncio.Event()
        self._has_written = asyncio.Event()

    async def read(self) -> None:
        """Read the releases of earlier leaders.

        :raises PlatformError: if the store does not answer.
        """
        sent_at_s = self._clock.now_s()
        found = await self._store.get(RELEASES_KEY)
        if found is None:
            self._is_record_known = True
            return
        self._revision = found.revision
        record = decode_releases(found)
        if record is None:
            # A successor may be able to decode it, so it is replaced before
            # anything is ordered.
            self._mark_changed()
            return
        # The record was sent before this leader was elected.
        self._observed.update(record, sent_at_s)
        self._workers = self._observed.workers()
        self._recorded_ids = set(self._workers)
        self._is_record_known = True
        if self._workers:
            self._mark_changed()

    def retain(self, worker_ids: Collection[str]) -> None:
        """End the releases of all other workers; nothing runs on those."""
        for worker_id in set(self._workers) - set(worker_ids):
            self.end_release(worker_id)

    def get(self, worker_id: str) -> ReleasedWorker | None:
        """Return a released worker, or ``None`` if it is not released."""
        return self._workers.get(worker_id)

    def can_send_orders(self, worker_id: str) -> bool:
        """Tell whether a worker may be sent starts and lease renewals."""
        if not self._is_record_known or worker_id in self._recorded_ids:
            return False
        return worker_id not in self._workers

    def release(
        self,
        worker_id: str,
        silent_since_s: float,
        leases_expire_at_s: float,
    ) -> None:
        """Send a worker no more orders and persist that.

        :param silent_since_s: time since which it has not answered.
        :param leases_expire_at_s: time after which no ordered run is active.
        """
        if worker_id in self._workers:
            return
        self._release_count += 1
        release_id = f'{self._leadership.epoch}-{self._release_count}'
        self._workers[worker_id] = ReleasedWorker(
            release_id=release_id,
            silent_since_s=silent_since_s,
            leases_expire_at_s=leases_expire_at_s,
        )
        log_event(
            'worker_released',
            worker=worker_id,
            release=release_id,
            remaining_s=round(leases_expire_at_s - self._clock.now_s(), 3),
        )
        self._mark_changed()

    def end_release(self, worker_id: str) -> None:
        """End a release; orders are permitted once that is stored."""
        if self._workers.pop(worker_id, None) is not None:
            self._mark_changed()

    async def wait_until_permitted(
        self, worker_id: str, timeout_s: float
    ) -> None:
        """Wait until orders to a worker are permitted, or for the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self.can_send_orders(worker_id):
                    await self._has_written.wait()

    async def run(self) -> None:
        """Write changed releases until the leadership ends."""
        while not self._leadership.is_over:
            await self._wait_for_change()
            await asyncio.sleep(_GROUP_DELAY_S)
            self._is_changed = False
            if not await self._write():
                self._is_changed = True
                await asyncio.sleep(_RETRY_S)

    async def _wait_for_change(self) -> None:
        timeout_s = _REFRESH_INTERVAL_S if self._had_unexpired_lease() else None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self._is_changed:
                    self._wake.clear()
                    await self._wake.wait()

    def _had_unexpired_lease(self) -> bool:
        """Tell whether a lease was still running at the last write."""
        return any(
            worker.leases_expire_at_s > self._written_at_s
            for worker in self._workers.values()
        )

    def _mark_changed(self) -> None:
        self._is_changed = True
        self._wake.set()

    async def _write(self) -> bool:
        """Write all releases and return whether the write succeeded."""
        now_s = self._clock.now_s()
        written = frozenset(self._workers)
        record = ReleaseRecord(
            workers={
                worker_id: _entry_of(worker, now_s)
                for worker_id, worker in self._workers.items()
            },
        )
        # The write may take effect even if its answer is lost.
        self._recorded_ids |= written
        try:
            self._revision = await self._store.commit(
                {
                    LEADER_KEY: self._leadership.revision,
                    RELEASES_KEY: self._revision,
                },
                [Write(key=RELEASES_KEY, stored=encode_msgpack(record))],
            )
        except TransactionConflictError as conflict:
            self._handle_conflict(conflict)
            return False
        except PlatformError as error:
            log_event('releases_write_failed', error=error)
            return False
        # Earlier writes expect an older revision, so they can no longer take
        # effect.
        self._recorded_ids = set(written)
        self._is_record_known = True
        self._written_at_s = now_s
        self._has_written.set()
        self._has_written = asyncio.Event()
        return True

    def _handle_conflict(self, conflict: TransactionConflictError) -> None:
        if conflict.revisions.get(LEADER_KEY) != self._leadership.revision:
            log_warning('leadership_lost', found_by='releases')
            self._leadership.is_over = True
            return
        # The newer revision is a write of this daemon whose answer was lost.
        self._revision = conflict.revisions.get(RELEASES_KEY, 0)


def decode_releases(found: KeyValue) -> ReleaseRecord | None:
    """Decode the stored releases, or return ``None`` if they are malformed."""
    try:
        return decode_msgpack(found.stored, ReleaseRecord)
    except MalformedMessageError as error:
        log_warning('releases_unreadable', error=error)
        return None


def _entry_of(worker: ReleasedWorker, now_s: float) -> ReleaseEntry:
    return ReleaseEntry(
        release_id=worker.release_id,
        remaining_ms=max(
            0, math.ceil((worker.leases_expire_at_s - now_s) * _MS_PER_S)
        ),
        silent_ms=max(0, round((now_s - worker.silent_since_s) * _MS_PER_S)),
    )
