"""Child processes that are always ended."""

from __future__ import annotations

import asyncio
import itertools
import os
import secrets
import signal
import socket
import sys
import types
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Sequence

__all__ = ('Process', 'free_ports')

# pytest changes its environment while proofs start processes in other
# threads, and an environment that is inherited meanwhile fails some starts
# with EFAULT.
_ENVIRONMENT = types.MappingProxyType(dict(os.environ))
# Linux gives the ports from 32768 on to outgoing connections, also those that
# a process is about to listen on.
_FIRST_PORT = 20000
_PORT_COUNT = 12000
# Cells of other test processes begin elsewhere.
_PORT_NUMBERS = itertools.count(secrets.randbelow(_PORT_COUNT))
_READY_TIMEOUT_S = 20
_END_TIMEOUT_S = 5


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    ports: list[int] = []
    while len(ports) < count:
        port = _FIRST_PORT + next(_PORT_NUMBERS) % _PORT_COUNT
        if _is_free(port):
            ports.append(port)
    return ports


class Process:
    """One child process; its standard error goes to a file."""

    def __init__(self, name: str, log_path: pathlib.Path) -> None:
        """Prepare a process."""
        self.name = name
        self.log_path = log_path
        self._child: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._running().pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._child is not None and self._child.returncode is None

    async def start(
        self,
        module: str,
        arguments: Sequence[str],
        *,
        has_ready_line: bool,
    ) -> None:
        """Start ``python -m module`` and wait until it says it is ready."""
        with self.log_path.open('ab') as log:
            self._child = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=_ENVIRONMENT,
            )
        if has_ready_line:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                await self._child.stdout.readline()

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.is_running:
            self._running().send_signal(number)

    async def wait(self, timeout_s: float) -> int:
        """Return the exit code.

        :raises TimeoutError: if the process does not end in time.
        """
        async with asyncio.timeout(timeout_s):
            return await self._running().wait()

    async def end(self, timeout_s: float = _END_TIMEOUT_S) -> None:
        """End the process, by force if it does not obey."""
        if not self.is_running:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            await self.wait(timeout_s)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._running().wait()

    async def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        await self._running().wait()

    def resident_mib(self) -> float:
        """Return the resident size in MiB."""
        status = f'/proc/{self.pid}/status'
        with open(status) as lines:
            for line in lines:
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        return 0

    def cpu_s(self) -> float:
        """Return the processor time used so far in seconds."""
        with open(f'/proc/{self.pid}/stat') as stat:
            fields = stat.read().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / 100

    def _running(self) -> asyncio.subprocess.Process:
        if self._child is None:
            raise RuntimeError(f'{self.name} was not started; call start()')
        return self._child


def _is_free(port: int) -> bool:
    with socket.socket() as opened:
        try:
            opened.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
