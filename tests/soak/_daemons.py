"""Daemons as child processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys

_SETTINGS = """
nodeName = "{name}"
role = "daemon"
ip = "127.0.0.1"
zone = "east"
internalPorts = [{link}, {link}]
recommendation = "{advice}"
[listenAddrs]
frontend = "127.0.0.1:{frontend}"
ready = "127.0.0.1:{ready}"
[limits]
cpuQuota = 1.0
cpuCores = 1
maxFds = {max_fds}
memoryMb = {memory_mb}
[bounds]
holdMaxMs = {lease_limit_ms}
gangWaitMs = 3000
graceS = 6
status_s = 120
[platform]
address = "{store}"
"""
_KILL_TIMEOUT_S = 8
# The platform kills a process that runs on for longer after SIGTERM.
_STOP_GRACE_S = 6


class DaemonProcess:
    """Daemon that is restarted whenever it ends.

    :ivar can_restart: whether an ended daemon is started again.
    """

    def __init__(
        self, name, directory, *, max_fds=4000, memory_mb=200, **addresses
    ):
        """Write the settings file."""
        self.name = name
        self.can_restart = True
        self.log_path = directory / f'{name}.log'
        self.settings_path = directory / f'{name}.toml'
        self.settings_path.write_text(
            _SETTINGS.format(
                name=name, max_fds=max_fds, memory_mb=memory_mb, **addresses
            )
        )
        self._child = None

    @property
    def pid(self):
        """Return the id of the running process, 0 if none runs."""
        if self._child is None or self._child.returncode is not None:
            return 0
        return self._child.pid

    async def run(self):
        """Supervise the daemon until cancelled."""
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': os.environ.get('PYTHONPATH', ''),
            'CURRANTREACH_CONFIG': str(self.settings_path),
        }
        while True:
            with self.log_path.open('ab') as log:
                self._child = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'currantreach_adapter',
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
            await self._child.wait()
            await asyncio.sleep(0.2)
            while not self.can_restart:
                await asyncio.sleep(0.05)

    def send_signal(self, signal_number):
        """Send a signal if the daemon runs."""
        if self._child is not None and self._child.returncode is None:
            # The process may have ended since the check.
            with contextlib.suppress(ProcessLookupError):
                self._child.send_signal(signal_number)

    async def stop(self):
        """Stop the daemon as the platform does: SIGTERM, then SIGKILL."""
        child = self._child
        self.send_signal(signal.SIGTERM)
        if child is None:
            return
        try:
            async with asyncio.timeout(_STOP_GRACE_S):
                await child.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                child.kill()

    async def kill(self):
        """Kill the daemon and wait until it has ended."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._child is None:
            return
        try:
            await self._wait_for_end(self._child)
        except TimeoutError:
            # The soak itself may have stood still for the whole timeout; the
            # end of the process is then seen in the next one.
            await self._wait_for_end(self._child)

    async def _wait_for_end(self, child):
        async with asyncio.timeout(_KILL_TIMEOUT_S):
            await child.wait()
