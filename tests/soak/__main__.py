"""Run seeds of the fault soak: ``python -m tests.soak --seeds 1-50``."""

from __future__ import annotations

import argparse
import asyncio
import logging
import pathlib
import signal
import sys

from tests.soak._site import play_seed

_FOLDER = pathlib.Path('build/soak')


async def _play(seeds, chosen):
    playing = asyncio.current_task()
    # A stopped soak ends the processes that it started.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM,
        playing.cancel,
    )
    gate = asyncio.Semaphore(chosen.parallel)

    async def one(seed):
        async with gate:
            found = await play_seed(
                seed,
                _FOLDER / str(seed),
                chosen.seconds,
                is_planned=chosen.planned,
            )
        sys.stdout.write(f'{found.line()}\n')
        sys.stdout.flush()
        return bool(found.broken)

    verdicts = await asyncio.gather(*map(one, seeds))
    failed = sum(verdicts)
    sys.stdout.write(f'{len(verdicts) - failed} passed, {failed} failed\n')
    return failed


def main():
    """Play seeds and exit with 1 if a promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-5', help='first-last')
    parser.add_argument('--parallel', type=int, default=2)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument(
        '--planned',
        action='store_true',
        help='play stops, reloads and new configurations only',
    )
    chosen = parser.parse_args()
    # Relays and kills break calls to the stand-ins on purpose.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    first, _, last = chosen.seeds.partition('-')
    seeds = range(int(first), int(last or first) + 1)
    failed = asyncio.run(_play(seeds, chosen))
    sys.exit(bool(failed))


if __name__ == '__main__':
    main()
