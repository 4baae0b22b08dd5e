"""Entry point of the binary ``currantreach``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from cyclopts import App, CycloptsError

from currantreach_cli import _administration, _configuration, _requests
from currantreach_cli._output import ExitCode

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ('main', 'run')


def main() -> None:
    """Run the command line and exit."""
    sys.exit(run(sys.argv[1:]))


def run(tokens: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    app = App(
        name='currantreach',
        help='Submit work to a currantreach cell and operate it.',
        result_action='return_value',
    )
    _requests.register(app)
    _configuration.register(app)
    _administration.register(app)
    try:
        code = app(tokens, exit_on_error=False)
    except CycloptsError:
        return ExitCode.usage
    return int(code or ExitCode.done)
