"""The real daemons as child processes."""

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
maxFds = 4000
[bounds]
holdMaxMs = 6000
gangWaitMs = 3000
graceS = 6
status_s = 120
[platform]
address = "{store}"
"""
_END_S = 8
# The platform kills a process that has not ended by then.
_GRACE_S = 6


class Daemon:
    """One daemon, which is started again after each end."""

    def __init__(self, name, folder, **addresses):
        """Write the settings file."""
        self.name = name
        self.is_wanted = True
        self.log_path = folder / f'{name}.log'
        self.path = folder / f'{name}.toml'
        self.path.write_text(_SETTINGS.format(name=name, **addresses))
        self._child = None

    async def run(self):
        """Keep the daemon running until cancelled."""
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': os.environ.get('PYTHONPATH', ''),
            'CURRANTREACH_CONFIG': str(self.path),
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
            while not self.is_wanted:
                await asyncio.sleep(0.05)

    def send(self, number):
        """Send a signal, if the daemon runs."""
        if self._child is not None and self._child.returncode is None:
            # The process may have ended a moment ago.
            with contextlib.suppress(ProcessLookupError):
                self._child.send_signal(number)

    async def stop(self):
        """Stop the daemon like the platform does."""
        child = self._child
        self.send(signal.SIGTERM)
        if child is None:
            return
        try:
            async with asyncio.timeout(_GRACE_S):
                await child.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                child.kill()

    async def end(self):
        """End the daemon for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._child is not None:
            async with asyncio.timeout(_END_S):
                await self._child.wait()
