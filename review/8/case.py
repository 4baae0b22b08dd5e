"""QUOTA: a job of a tenant at its limit is cancelled while its leader is killed.

The worker that runs the tenant's tasks is cut off, so the new leader can't stop
them. It starts the tenant's waiting job on another worker all the same.
"""

import cell_2

LIMIT = 8000
TASK_CPU = 2000
OLD, NEXT = 'aaaaaaaaaaaaaaa1', 'aaaaaaaaaaaaaaa2'
PREFIX = '/batch/'
# The longest cut of workers in the site file.
CUT_S = 5.5


def step(run_s):
    return {
        'count': 4, 'cpu': TASK_CPU, 'memMb': 1000,
        'estimateMs': run_s * 1000, 'runS': run_s,
    }


async def play(cell):
    broken = []

    def check(run):
        in_use = sum(other.step['cpu'] for other in cell.active_runs())
        allowed = LIMIT * (1 + cell_2.BOUNDS['quotaOverage']) + run.step['cpu']
        cell.record.add('tenant', f'has {in_use} of {LIMIT} running')
        if in_use > allowed:
            broken.append(
                f'QUOTA: with {run.task} the tenant runs {in_use}, its limit '
                f'is {LIMIT}, allowed are {allowed:.0f}'
            )

    cell.on_start = check
    await cell.open(daemons=3, workers=8, config=cell_2.config(LIMIT))
    await cell.submit(PREFIX, OLD, [step(60)])
    await cell.wait_for(
        lambda: len(cell.active_runs()) == 4, 10, 'the first job does not run'
    )
    await cell.submit(PREFIX, NEXT, [step(4)])
    await cell_2.asyncio.sleep(1)
    leader = cell.leader()
    others = [daemon for daemon in cell.daemons if daemon is not leader]
    worker = cell.active_runs()[0].worker
    if cell_2.HAS_TROUBLE:
        worker.cut(CUT_S)
        await leader.kill()
    await cell.cancel(PREFIX, OLD, others)
    if cell_2.HAS_TROUBLE:
        await cell_2.asyncio.sleep(cell_2.RESTART_DELAY_S)
        await leader.start()
    await cell.wait_for(
        lambda: any(run.task.startswith(NEXT) for run in cell.starts),
        30, 'the second job does not start',
    )
    await cell_2.asyncio.sleep(3)
    await cell.state(PREFIX, NEXT)
    return broken


cell_2.main(__file__, play)
