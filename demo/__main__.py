"""Command line: ``python -m demo`` and ``python -m demo serve``."""

from __future__ import annotations

import asyncio
import sys

import cyclopts

from demo._run import run_demo
from demo._serve import serve_cell

app = cyclopts.App(name='demo', help='Run currantreach on this machine.')


@app.default
def run() -> None:
    """Run both example sites, kill a daemon in each and print a table."""
    sys.exit(asyncio.run(run_demo()))


@app.command
def serve(site: str = 'agency') -> None:
    """Serve a small cell until Ctrl-C.

    :param site: name of the example configuration.
    """
    asyncio.run(serve_cell(site))


if __name__ == '__main__':
    app()
