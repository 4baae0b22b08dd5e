"""LOST: a worker is lost for good and the leader is killed at the same moment.

The next leader waits for leases that the killed one may have renewed, and
starts a task that lasts again only after that, though seven workers are idle.
"""

import asyncio
import os
import time

import cell_2

PREFIX = '/batch/'
SERVICE = 'fffffffffffffff0'
TASK_CPU = 1000
# RULES.md, LOST: from 6 s after the last run of the task, for 3 s, if these and
# the 4 s before them are calm. The last thing that happens is that the platform
# removes the entry of the worker, after 4.5 s, so the 3 s end after 11.5 s.
MAX_AWAY_S = 11.5
# KILL=0 loses the worker alone.
HAS_KILL = os.environ.get('KILL', '1') != '0'


async def play(cell):
    await cell.open(daemons=3, workers=8, config=cell_2.config())
    await cell.submit(PREFIX, SERVICE, [{
        'count': 1, 'cpu': TASK_CPU, 'memMb': 1000, 'longRunning': True,
        'runS': 1000,
    }])
    await cell.wait_for(cell.active_runs, 10, 'the task does not run')
    await asyncio.sleep(6)
    run = cell.active_runs()[0]
    leader = cell.leader()
    if not cell_2.HAS_TROUBLE:
        await asyncio.sleep(15)
        is_running = run in cell.active_runs()
        await cell.state(PREFIX, SERVICE)
        return [] if is_running else ['LOST: the task does not run']
    lost_at_s = time.monotonic()
    losing = asyncio.create_task(cell.lose(run.worker))
    await asyncio.sleep(0)
    if HAS_KILL:
        await leader.kill()
        await asyncio.sleep(cell_2.RESTART_DELAY_S)
        await leader.start()
    await cell.wait_for(
        cell.active_runs, 40, 'the task is not started again'
    )
    away_s = time.monotonic() - lost_at_s
    await losing
    cell.record.add('case', f'the task was away for {away_s:.1f} s')
    await cell.state(PREFIX, SERVICE)
    if away_s <= MAX_AWAY_S:
        return []
    return [
        f'LOST: the task that lasts was away for {away_s:.1f} s, with seven '
        f'idle workers, and for {away_s - MAX_AWAY_S:.1f} s longer than the '
        'rule allows'
    ]


cell_2.main(__file__, play)
