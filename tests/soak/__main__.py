"""Run seeds of the fault soak: ``python -m tests.soak --seeds 1-50``."""

from __future__ import annotations

import argparse
import asyncio
import logging
import pathlib
import signal
import sys

from tests.soak._cell import CellSize, run_seed
from tests.soak._faults import FaultKind

_DIRECTORY = pathlib.Path('build/soak')


async def _run_seeds(seeds, options):
    main_task = asyncio.current_task()
    # On SIGTERM the soak ends the processes that it started.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM,
        main_task.cancel,
    )
    semaphore = asyncio.Semaphore(options.parallel)

    async def run_one(seed):
        async with semaphore:
            report = await run_seed(
                seed,
                _DIRECTORY / str(seed),
                options.seconds,
                options.kind,
                CellSize(options.daemons, options.workers),
            )
        sys.stdout.write(f'{report.summary()}\n')
        sys.stdout.flush()
        return bool(report.violations)

    # Unlike gather, a group that is cancelled waits until all seeds have ended
    # their processes.
    async with asyncio.TaskGroup() as group:
        runs = [group.create_task(run_one(seed)) for seed in seeds]
    failed = sum(run.result() for run in runs)
    sys.stdout.write(f'{len(runs) - failed} passed, {failed} failed\n')
    return failed


def main():
    """Run the seeds and exit with 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-5', help='first-last')
    parser.add_argument('--parallel', type=int, default=2)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--daemons', type=int, default=3)
    parser.add_argument('--workers', type=int, default=6)
    for kind in FaultKind:
        parser.add_argument(
            f'--{kind.value}',
            action='store_const',
            dest='kind',
            const=kind,
            default=FaultKind.ANY,
            help=f'faults of the kind {kind.name}',
        )
    options = parser.parse_args()
    # The injected faults break calls to the stand-ins on purpose.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    first, _, last = options.seeds.partition('-')
    seeds = range(int(first), int(last or first) + 1)
    failed = asyncio.run(_run_seeds(seeds, options))
    sys.exit(bool(failed))


if __name__ == '__main__':
    main()
