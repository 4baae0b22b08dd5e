"""Store stand-in: ``python -m currantreach_standins.store --port N``."""

from __future__ import annotations

import asyncio

from currantreach_standins._serving import argument_parser, run_app
from currantreach_standins._store_app import store_app
from currantreach_types import MonotonicClock

__all__ = ('main',)


def main() -> None:
    """Run the store until SIGTERM."""
    arguments = argument_parser(__doc__).parse_args()
    asyncio.run(run_app(store_app(MonotonicClock()), arguments.port))


if __name__ == '__main__':
    main()
