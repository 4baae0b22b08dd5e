"""Entry point of ``currantreachd``."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import cyclopts

from currantreach_config import load_settings
from currantreach_daemon._app import Daemon
from currantreach_telemetry import configure_logging
from currantreach_types.errors import ConfigurationError

if TYPE_CHECKING:
    from currantreach_config import DaemonSettings

__all__ = ('main',)

_EXIT_BAD_SETTINGS = 2


def serve(settings_path: str, /) -> None:
    """Run the daemon with a settings file.

    :param settings_path: JSON file with the settings of this daemon.
    """
    try:
        settings = load_settings(settings_path)
    except ConfigurationError as exc:
        sys.stderr.write(f'currantreachd: {exc}\n')
        sys.exit(_EXIT_BAD_SETTINGS)
    configure_logging(settings.log_level)
    asyncio.run(_run(settings))


async def _run(settings: DaemonSettings) -> None:
    await Daemon(settings).run()


def main() -> None:
    """Parse the command line."""
    app = cyclopts.App(name='currantreachd', help='Schedule work on a cell.')
    app.default(serve)
    app()
