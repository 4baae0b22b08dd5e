"""Host list stand-in: ``python -m currantreach_standins.hosts``."""

from __future__ import annotations

import asyncio
import pathlib

from currantreach_standins._hosts_app import hosts_app
from currantreach_standins._serving import argument_parser, run_app
from currantreach_types import MonotonicClock, WorkerInfo, decode_json

__all__ = ('main',)


def main() -> None:
    """Run the host list until SIGTERM."""
    parser = argument_parser(__doc__)
    parser.add_argument(
        '--file',
        type=pathlib.Path,
        required=True,
        help='JSON list of worker entries',
    )
    parser.add_argument(
        '--lag-ms',
        type=int,
        default=0,
        help='time after which a change is visible',
    )
    arguments = parser.parse_args()
    workers = decode_json(arguments.file.read_bytes(), list[WorkerInfo])
    app = hosts_app(workers, arguments.lag_ms, MonotonicClock())
    asyncio.run(run_app(app, arguments.port))


if __name__ == '__main__':
    main()
