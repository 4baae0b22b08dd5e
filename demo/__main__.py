"""Run the demo by ``python -m demo``, or keep a cell by ``... serve``."""

from __future__ import annotations

import asyncio
import sys

import cyclopts

from demo._run import run_demo
from demo._serve import serve_cell

app = cyclopts.App(name='demo', help='Run currantreach on this machine.')


@app.default
def run() -> None:
    """Serve both example sites, break a daemon and print a table."""
    sys.exit(asyncio.run(run_demo()))


@app.command
def serve(site: str = 'agency') -> None:
    """Keep a small cell running until Ctrl-C.

    :param site: name of the example configuration.
    """
    asyncio.run(serve_cell(site))


if __name__ == '__main__':
    app()
