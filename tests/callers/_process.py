"""Memory and descriptors of a running process."""

from __future__ import annotations

import asyncio
import pathlib

_KIB = 1024
_MB = 1_000_000
# The number of descriptors is read again after this time.
_POLL_INTERVAL_S = 0.01


class ProcessUsage:
    """Memory and descriptors that a process uses.

    :ivar pid: id of the process.
    :ivar idle_bytes: resident memory at the creation.
    :ivar most_descriptors: largest number of open descriptors seen.
    """

    def __init__(self, pid):
        """Read the memory in use."""
        self.pid = pid
        self.most_descriptors = 0
        self._directory = pathlib.Path('/proc') / str(pid)
        self.idle_bytes = self._memory_bytes('VmRSS')

    def growth_bytes(self):
        """Return how far the peak is above the memory at the creation."""
        return self._memory_bytes('VmHWM') - self.idle_bytes

    def describe(self):
        """Return the measured figures in one line."""
        peak_mb = (self.idle_bytes + self.growth_bytes()) / _MB
        return (
            f'idle_mb={self.idle_bytes / _MB:.1f} peak_mb={peak_mb:.1f} '
            f'descriptors={self.most_descriptors}'
        )

    async def watch_descriptors(self):
        """Count the open descriptors until cancelled."""
        while True:
            count = sum(1 for _ in (self._directory / 'fd').iterdir())
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _memory_bytes(self, name):
        status = (self._directory / 'status').read_text()
        row = next(
            line for line in status.splitlines() if line.startswith(name)
        )
        return int(row.split()[1]) * _KIB
