"""The record of the durations that the leader has learned."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_durations import DurationRecord
from currantreach_jobs._records import DURATIONS_KEY, LEADER_KEY
from currantreach_platform import Write
from currantreach_telemetry import log_event, log_warning
from currantreach_types import decode_msgpack, encode_msgpack
from currantreach_types.errors import PlatformError

if TYPE_CHECKING:
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._settings import Leadership
    from currantreach_platform import TransactionalStore
    from currantreach_types import Clock

__all__ = ('DurationRecorder',)

# A successor that misses the newest runs learns as much within seconds, and
# the store has more important writes.
_INTERVAL_S = 10
# Pause after a failed read; until then the declared estimates hold.
_RETRY_S = 1


class DurationRecorder:
    """Restores what earlier leaders have learned, and stores it again."""

    def __init__(
        self,
        store: TransactionalStore,
        leadership: Leadership,
        clock: Clock,
        cluster: ClusterState,
    ) -> None:
        """Prepare to read the record; :meth:`run` does it."""
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self._durations = cluster.durations
        self._count_retry = cluster.count_retry
        self._is_read = False
        self._stored_count = 0

    async def run(self) -> None:
        """Read the record once, and write it now and then until cancelled."""
        while not self._is_read:
            try:
                await self._read()
            except PlatformError as error:
                log_event('durations_read_failed', error=error)
                await asyncio.sleep(_RETRY_S)
        while True:
            await asyncio.sleep(_INTERVAL_S)
            if self._durations.learned_count != self._stored_count:
                await self._write()

    async def _read(self) -> None:
        found = await self._store.get(DURATIONS_KEY)
        # A record that makes this part fail is not read a second time.
        self._is_read = True
        if found is None:
            return
        try:
            restored_count = self._durations.restore(
                decode_msgpack(found.stored, DurationRecord),
                self._clock.now_s(),
            )
        except Exception as error:
            # Whatever the error, the next leader would meet it again.
            log_warning('durations_unreadable', error=repr(error))
            self._count_retry('durations_unreadable')
            # It is replaced even if nothing is learned.
            self._stored_count = -1
            return
        log_event('durations_restored', keys=restored_count)

    async def _write(self) -> None:
        learned_count = self._durations.learned_count
        stored = encode_msgpack(self._durations.record())
        try:
            await self._store.commit(
                {LEADER_KEY: self._leadership.revision},
                [Write(key=DURATIONS_KEY, stored=stored)],
            )
        except PlatformError as error:
            log_event('durations_write_failed', error=error)
            return
        self._stored_count = learned_count
