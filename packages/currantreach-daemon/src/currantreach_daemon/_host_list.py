"""Watching of the platform's host list."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING

from currantreach_telemetry import log_warning
from currantreach_types import HostState
from currantreach_types.errors import PlatformError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantreach_config import ConfigRecord, DaemonSettings
    from currantreach_daemon._owner import Owner
    from currantreach_platform import HostList
    from currantreach_types import WorkerInfo

__all__ = ('HostListWatcher', 'partition_of')


def partition_of(worker: WorkerInfo, partition_count: int) -> int:
    """Return the partition of a worker, which is that of its whole rack."""
    return zlib.crc32(worker.rack.encode()) % partition_count


class HostListWatcher:
    """Polls the host list and passes its workers to the owners."""

    def __init__(
        self,
        settings: DaemonSettings,
        hosts: HostList,
        owners: Mapping[int, Owner],
        read_config: Callable[[], ConfigRecord | None],
    ) -> None:
        """Start with an empty host list."""
        self._settings = settings
        self._hosts = hosts
        self._owners = owners
        self._read_config = read_config
        self._workers: tuple[WorkerInfo, ...] = ()

    async def run(self) -> None:
        """Poll the host list until cancelled."""
        while True:
            try:
                self._workers = await self._hosts.workers()
            except PlatformError as exc:
                log_warning('host_list_failed', error=exc)
            self.update_owners()
            await asyncio.sleep(self._settings.host_poll_interval_s)

    def update_owners(self) -> None:
        """Update each owner with its workers and the closed ones of them."""
        record = self._read_config()
        drained = set() if record is None else set(record.drained)
        leaving = {
            worker.name
            for worker in self._workers
            if worker.state == HostState.leaving
        }
        for partition, owner in self._owners.items():
            owner.workers.update(self._members(partition), drained | leaving)

    def _members(self, partition: int) -> tuple[WorkerInfo, ...]:
        count = self._settings.partition_count
        return tuple(
            worker
            for worker in self._workers
            if worker.failure_domain == self._settings.failure_domain
            and partition_of(worker, count) == partition
        )
