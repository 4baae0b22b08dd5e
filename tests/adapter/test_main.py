"""Start of the process that the platform runs."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import pytest

# Starting takes a second on an idle machine.
TIMEOUT_S = 60


@pytest.fixture
async def starting(tmp_path):
    """Return a process that waits for its settings, and their pipe."""
    path = tmp_path / 'settings.toml'
    os.mkfifo(path)
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'currantreach_adapter',
        env={**os.environ, 'CURRANTREACH_CONFIG': str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    # Opening succeeds once the process reads.
    pipe = await asyncio.to_thread(path.open, 'w')
    yield child, pipe
    pipe.close()
    if child.returncode is None:
        child.kill()
    await child.wait()


@pytest.mark.timeout(TIMEOUT_S)
async def test_reload_during_the_start_ends_nothing(starting):
    """A process that got SIGHUP before it had read its settings ended."""
    child, pipe = starting
    child.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    pipe.write('unusable')
    pipe.close()
    assert b'not_started' in await child.stdout.read()
