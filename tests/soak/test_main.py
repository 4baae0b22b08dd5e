"""Tests of the command that runs seeds of the soak."""

from __future__ import annotations

import argparse
import asyncio

import pytest

from tests.soak import __main__ as command
from tests.soak._faults import FaultKind

CLOSE_S = 0.05


async def test_cancelled_seeds_end_their_processes(monkeypatch):
    """The processes of a running seed went on when the soak was terminated.

    Another seed was still waiting, so that the soak did not wait for the first.
    """
    running = asyncio.Event()
    closed = []

    async def run_seed(seed, *_arguments):
        running.set()
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(CLOSE_S)
            closed.append(seed)

    monkeypatch.setattr(command, 'run_seed', run_seed)
    options = argparse.Namespace(
        parallel=1, seconds=1, kind=FaultKind.ANY, daemons=1, workers=1
    )
    soak = asyncio.create_task(command._run_seeds((1, 2), options))
    await running.wait()
    soak.cancel()
    with pytest.raises(asyncio.CancelledError):
        await soak
    assert closed == [1]
