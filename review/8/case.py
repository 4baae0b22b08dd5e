"""LOST: a task that lasts fails while a large gang waits for its workers.

The gang is boosted and reserves all workers for up to 30 s, so that the task is
not started again, although each worker has room for it many times over.
"""

import asyncio
import time

import cell_2

PREFIX = '/batch/'
LONG, SERVICE, GANG = (f'ccccccccccccccc{number}' for number in range(3))
# RULES.md, LOST: from 6 s after the last run of the task, and for 3 s. The rule
# holds if these 3 s and the 4 s before them are calm.
AFTER_S = 6
FOR_S = 3
# The task fails once, after this time.
FAILS_AFTER_S = 12
TASK_CPU = 500


async def play(cell):
    broken = []
    ends = []
    waits = []

    def note_start(run):
        if run.task.startswith(SERVICE):
            if ends:
                waits.append(time.monotonic() - ends[-1])
            # It runs on from its second start on.
            run.step['runS'] = 1000

    def note_end(run, how):
        if run.task.startswith(SERVICE):
            ends.append(time.monotonic())

    cell.on_start = note_start
    cell.on_end = note_end
    await cell.open(daemons=3, workers=4, config=cell_2.config())
    # Three eighths of each worker are in use.
    await cell.submit(PREFIX, LONG, [{
        'count': 4, 'cpu': 3000, 'memMb': 1000, 'antiAffinity': 1,
        'estimateMs': 100_000, 'runS': 100,
    }])
    await cell.submit(PREFIX, SERVICE, [{
        'count': 1, 'cpu': TASK_CPU, 'memMb': 500, 'longRunning': True,
        'runS': FAILS_AFTER_S, 'how': 'failed',
    }])
    await cell.wait_for(
        lambda: len(cell.active_runs()) == 5, 10, 'the first jobs do not run'
    )
    if cell_2.HAS_TROUBLE:
        await cell.submit(PREFIX, GANG, [{
            'count': 4, 'cpu': 6000, 'memMb': 1000, 'gang': True,
            'estimateMs': 5000, 'runS': 5,
        }])
    await cell.wait_for(lambda: ends, 30, 'the lasting task does not fail')
    waited_s = 0
    while not waits and waited_s < 60:
        await asyncio.sleep(0.1)
        waited_s = time.monotonic() - ends[-1]
        free = [
            worker.cpu - sum(run.step['cpu'] for run in worker.runs.values())
            for worker in cell.workers
        ]
        if waited_s > AFTER_S + FOR_S and not broken and not waits:
            cell.record.add('workers', f'have {free} free of {worker_cpu(cell)}')
            if max(free) >= 2 * TASK_CPU:
                broken.append(
                    f'LOST: the lasting task has not run for {waited_s:.1f} s; '
                    f'it needs {TASK_CPU}, the workers have {free} free'
                )
    cell.record.add('case', f'the task was away for {waits or waited_s}')
    await cell.state(PREFIX, SERVICE)
    return broken


def worker_cpu(cell):
    return [worker.cpu for worker in cell.workers]


cell_2.main(__file__, play)
