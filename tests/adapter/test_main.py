"""Tests of the startup of a process."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import pytest

# Startup takes a second on an idle machine.
TIMEOUT_S = 60


@pytest.fixture
async def starting_process(tmp_path):
    """Return a process that waits for its settings, and the pipe to it."""
    path = tmp_path / 'settings.toml'
    os.mkfifo(path)
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'currantreach_adapter',
        env={**os.environ, 'CURRANTREACH_CONFIG': str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    # Blocks until the process opens the pipe for reading.
    pipe = await asyncio.to_thread(path.open, 'w')
    yield child, pipe
    pipe.close()
    if child.returncode is None:
        child.kill()
    await child.wait()


@pytest.mark.timeout(TIMEOUT_S)
async def test_sighup_during_startup_is_ignored(starting_process):
    """SIGHUP before the settings were read terminated the process."""
    child, pipe = starting_process
    child.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    pipe.write('unusable')
    pipe.close()
    assert b'not_started' in await child.stdout.read()
