"""Tests of the child processes of the test bed."""

from __future__ import annotations

import pathlib

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
        given = pathlib.Path(f'/proc/{process.pid}/environ').read_bytes()
    finally:
        await process.end()
    assert b'PATH=' in given
    assert b'PYTEST_CURRENT_TEST=' not in given
