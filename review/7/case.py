"""LOST: the worker of a service is lost while tasks that fill are elsewhere.

No other worker is ever free of tasks that fill, so the service is never started
again, although each worker has room for it many times over.
"""

import asyncio
import time

import cell_2

PREFIX = '/batch/'
SERVICE, FILL = 'ddddddddddddddd0', 'ddddddddddddddd1'
# RULES.md, LOST: from 6 s after the last run of the task, for 3 s, if these and
# the 4 s before them are calm. The pages of the project say that a new start
# takes 17 s at most after the loss of a worker. The case waits for longer.
WAIT_S = 60
TASK_CPU = 1000


async def play(cell):
    await cell.open(daemons=3, workers=8, config=cell_2.config())
    await cell.submit(PREFIX, SERVICE, [{
        'count': 1, 'cpu': TASK_CPU, 'memMb': 1000, 'longRunning': True,
        'image': 'desk', 'targetMs': 200, 'runS': 1000,
    }])
    await cell.wait_for(cell.active_runs, 10, 'the service does not run')
    worker = cell.active_runs()[0].worker
    await cell.submit(PREFIX, FILL, [{
        'count': 7, 'cpu': 1000, 'memMb': 1000, 'antiAffinity': 1,
        'fillCount': True, 'longRunning': True, 'image': 'sweep',
        'runS': 1000,
    }])
    await cell.wait_for(
        lambda: len(cell.active_runs()) == 8, 10,
        'the tasks that fill do not run',
    )
    await asyncio.sleep(3)
    if cell_2.HAS_TROUBLE:
        await cell.lose(worker)
    end_s = time.monotonic() + WAIT_S
    while time.monotonic() < end_s:
        await asyncio.sleep(0.5)
        runs = [run for run in cell.active_runs()
                if run.task.startswith(SERVICE)]
        if runs and runs[0].worker is not worker:
            break
    await cell.state(PREFIX, SERVICE)
    if runs:
        return []
    free = {
        other.name: other.cpu - sum(
            run.step['cpu'] for run in other.runs.values()
            if not run.step.get('fillCount')
        )
        for other in cell.workers if other is not worker
    }
    return [
        f'LOST: the service has not run for {WAIT_S} s; it needs {TASK_CPU}, '
        f'the workers have {free} free'
    ]


cell_2.main(__file__, play)
