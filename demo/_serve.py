"""Small cell that runs until it is stopped."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import tempfile

from demo._mixes import AGENCY, PRUNELLE
from testbed import Cell, CellPlan

__all__ = ('serve_cell',)

_WORKER_COUNT = 3


async def serve_cell(site: str) -> None:
    """Serve one site until SIGINT or SIGTERM arrives."""
    mix = {AGENCY.site: AGENCY, PRUNELLE.site: PRUNELLE}[site]
    plan = CellPlan(
        site=mix.site,
        domains=mix.domains,
        worker_count=_WORKER_COUNT,
        rack_size=mix.rack_size,
        capacity=mix.capacity,
    )
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    with tempfile.TemporaryDirectory() as directory:
        async with Cell(plan, pathlib.Path(directory)) as cell:
            url = next(iter(cell.http_urls.values()))
            team = mix.workloads[0].team
            sys.stdout.write(
                f'export CURRANTREACH_URL={url}'
                f' CURRANTREACH_KEY={cell.keys[team]}\n'
                f'operator key: {cell.keys["operator"]}\n',
            )
            sys.stdout.flush()
            await stop_requested.wait()
