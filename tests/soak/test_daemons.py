"""Tests of the processes that the soak starts."""

from __future__ import annotations

import asyncio
import sys
import time

import pytest

from tests.soak import _daemons

TIMEOUT_S = 0.2


@pytest.fixture
def daemon(tmp_path, monkeypatch):
    """Return a daemon process that is not started."""
    monkeypatch.setattr(_daemons, '_KILL_TIMEOUT_S', TIMEOUT_S)
    addresses = dict.fromkeys(
        ('frontend', 'ready', 'store', 'advice', 'link', 'lease_limit_ms'), 1
    )
    return _daemons.DaemonProcess('d0', tmp_path, **addresses)


async def test_stall_of_the_soak_ends_no_run(daemon):
    """A killed process was reported as alive, and all seeds were given up.

    The soak itself had stood still for longer than the timeout of the kill.
    """
    daemon._child = await asyncio.create_subprocess_exec(
        sys.executable, '-c', 'import time; time.sleep(60)'
    )
    killing = asyncio.create_task(daemon.kill())
    await asyncio.sleep(0)
    # Block the event loop past the timeout.
    time.sleep(5 * TIMEOUT_S)
    await killing
    assert daemon._child.returncode is not None
