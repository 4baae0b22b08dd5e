"""Worker stand-in: ``python -m currantreach_standins.workers``."""

from __future__ import annotations

import asyncio
import pathlib
from typing import TYPE_CHECKING

from currantreach_standins._fleet import Fleet, FleetSettings, WorkerEntry
from currantreach_standins._serving import argument_parser, run_app
from currantreach_standins._task_log import TaskLog
from currantreach_standins._workers_app import workers_app
from currantreach_types import MonotonicClock, decode_json

if TYPE_CHECKING:
    import argparse

__all__ = ('main',)

_MS_PER_S = 1000


def main() -> None:
    """Run the workers until SIGTERM."""
    arguments = _parser().parse_args()
    fleet = Fleet(
        decode_json(arguments.file.read_bytes(), list[WorkerEntry]),
        FleetSettings(
            usage_lag_s=arguments.usage_lag_ms / _MS_PER_S,
            refuses_stale_starts=not arguments.no_refusal,
        ),
        MonotonicClock(),
        TaskLog(arguments.log_file),
    )
    asyncio.run(run_app(workers_app(fleet), arguments.port))


def _parser() -> argparse.ArgumentParser:
    parser = argument_parser(__doc__)
    parser.add_argument(
        '--file',
        type=pathlib.Path,
        required=True,
        help='JSON list of worker entries with name and capacity',
    )
    parser.add_argument(
        '--log-file',
        type=pathlib.Path,
        help='file to which the log is appended',
    )
    parser.add_argument(
        '--usage-lag-ms',
        type=int,
        default=_MS_PER_S,
        help='time from a change of use to its report',
    )
    parser.add_argument(
        '--no-refusal',
        action='store_true',
        help='carry out stale and late starts',
    )
    return parser


if __name__ == '__main__':
    main()
