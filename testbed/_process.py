"""Child processes and free ports for them."""

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

# Copied at import: pytest changes its environment while proofs start
# processes in other threads, and a process that inherits the environment
# meanwhile can fail to start with EFAULT.
_ENVIRONMENT = types.MappingProxyType(dict(os.environ))
# Below the ephemeral range: Linux assigns the ports from 32768 on to outgoing
# connections, even a port that a process is about to listen on.
_FIRST_PORT = 20000
_PORT_COUNT = 12000
# A random start keeps test processes that run in parallel apart.
_PORT_OFFSETS = itertools.count(secrets.randbelow(_PORT_COUNT))
_READY_TIMEOUT_S = 20
_END_TIMEOUT_S = 5


def free_ports(count: int) -> list[int]:
    """Return ports that were free when checked."""
    ports: list[int] = []
    while len(ports) < count:
        port = _FIRST_PORT + next(_PORT_OFFSETS) % _PORT_COUNT
        if _is_port_free(port):
            ports.append(port)
    return ports


class Process:
    """Child process whose standard error is appended to a file."""

    def __init__(self, name: str, log_path: pathlib.Path) -> None:
        """Prepare a process, which :meth:`start` runs."""
        self.name = name
        self.log_path = log_path
        self._child: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process ID."""
        return self._started_child().pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self._child is not None and self._child.returncode is None

    async def start(
        self,
        module: str,
        arguments: Sequence[str],
        *,
        has_ready_line: bool,
    ) -> None:
        """Start ``python -m module``.

        :param has_ready_line: whether to wait until the process prints a
            line when it is ready.
        """
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

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self._started_child().send_signal(signal_number)

    async def wait(self, timeout_s: float) -> int:
        """Return the exit code.

        :raises TimeoutError: if the process does not end in time.
        """
        async with asyncio.timeout(timeout_s):
            return await self._started_child().wait()

    async def end(self, timeout_s: float = _END_TIMEOUT_S) -> None:
        """Terminate the process, and kill it if it does not end in time."""
        if not self.is_running:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            await self.wait(timeout_s)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._started_child().wait()

    async def kill(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGKILL)
        await self._started_child().wait()

    def resident_mib(self) -> float:
        """Return the resident set size in MiB."""
        status = f'/proc/{self.pid}/status'
        with open(status) as lines:
            for line in lines:
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        return 0

    def cpu_s(self) -> float:
        """Return the processor time used so far in seconds."""
        with open(f'/proc/{self.pid}/stat') as stat:
            stat_fields = stat.read().rpartition(')')[2].split()
        return (int(stat_fields[11]) + int(stat_fields[12])) / 100

    def _started_child(self) -> asyncio.subprocess.Process:
        if self._child is None:
            raise RuntimeError(f'{self.name} was not started; call start()')
        return self._child


def _is_port_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
