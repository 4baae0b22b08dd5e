"""Tests of the test bed and its processes."""

from __future__ import annotations

import asyncio
import pathlib

from testbed import Cell, CellPlan
from testbed._process import Process, free_ports


async def test_environment_is_not_inherited(tmp_path):
    """A start fails with EFAULT while pytest changes its environment."""
    process = Process('store', tmp_path / 'store.log')
    await process.start(
        'currantreach_standins.store',
        ['--port', str(free_ports(1)[0])],
        has_ready_line=True,
    )
    try:
        environment = pathlib.Path(f'/proc/{process.pid}/environ').read_bytes()
    finally:
        await process.end()
    assert b'PATH=' in environment
    assert b'PYTEST_CURRENT_TEST=' not in environment


def test_ports_are_outside_the_ephemeral_range():
    """A process cannot listen if a connection was assigned its port."""
    limits = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
    first_ephemeral = int(limits.read_text().split()[0])
    ports = free_ports(50)
    assert len(set(ports)) == 50
    assert max(ports) < first_ephemeral
    assert not set(ports) & set(free_ports(50))


class SlowStartCell(Cell):
    """Cell with one daemon that starts slowly."""

    slow_daemon = 'south-1'

    async def start_daemon(self, daemon_id):
        await super().start_daemon(daemon_id)
        if daemon_id == self.slow_daemon:
            self.pause(daemon_id)
            loop = asyncio.get_running_loop()
            loop.call_later(4, self.resume, daemon_id)


async def test_ready_with_all_daemons(tmp_path):
    """Guard against proofs that call a daemon before it listens."""
    plan = CellPlan(site='agency', domains=('north', 'south'), worker_count=1)
    async with SlowStartCell(plan, tmp_path) as cell:
        assert await cell.status(cell.slow_daemon)
