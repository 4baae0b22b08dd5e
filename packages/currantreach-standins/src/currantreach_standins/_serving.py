"""Command line and server of the stand-ins."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

from aiohttp import web

__all__ = ('argument_parser', 'run_app', 'start_app')

_SHUTDOWN_TIMEOUT_S = 0.1
_LISTEN_BACKLOG = 4096


def argument_parser(description: str | None) -> argparse.ArgumentParser:
    """Create a parser with the option ``--port``."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        '--port',
        type=int,
        required=True,
        help='port on 127.0.0.1; 0 picks a free one',
    )
    return parser


async def start_app(app: web.Application, port: int) -> web.AppRunner:
    """Listen on 127.0.0.1; ``runner.addresses`` contains the port."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handle_signals=False,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', port, backlog=_LISTEN_BACKLOG)
    await site.start()
    return runner


async def run_app(app: web.Application, port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    runner = await start_app(app, port)
    bound_port = runner.addresses[0][1]
    sys.stdout.write(f'ready port={bound_port}\n')
    sys.stdout.flush()
    await stop_requested.wait()
    await runner.cleanup()
