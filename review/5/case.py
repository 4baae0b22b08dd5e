"""A worker refuses starts while the leading daemon is stopped and started."""

import asyncio
import os
import pathlib
import signal
import sys
import time

from standin_cell import VISIBLE_S, CannotRunError, play

HERE = pathlib.Path(__file__).parent
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
# A control: the worker refuses starts, and no daemon is stopped.
IS_STOPPED = os.environ.get('NO_STOP', '0') != '1'
KEY = 'key-steady'
REFUSING_S = 6.5
STOP_AFTER_S = 0.8
JOB_COUNT = 4
# The rule counts jobs accepted longer ago than this.
AGE_S = VISIBLE_S + 2
JOB = {
    'spec': '0.5 scan',
    'steps': [
        {
            'count': 1, 'cpu': 500, 'memMb': 100, 'estimateMs': 500,
            'constraints': 'b',
        }
    ],
}


async def ask_pending(cell, daemon):
    """Return how many jobs a daemon gives as pending, None if unknown."""
    status, answer = await cell.call(
        'GET', '/scan/', key=KEY, daemon=daemon
    )
    return answer['pending'] if status == 200 else None


async def case(cell):
    """Return what broke the rule."""
    for number in range(1, 12):
        await cell.fleet.add(f'i-{number}', rack=f'r1-{number % 2}')
    await cell.fleet.add('i-12', kind='b', rack='r1-0')
    worker = cell.fleet.workers['i-12']
    await cell.start(
        [{'name': 'scan'}],
        [{'name': 'steady', 'apiKeys': [KEY], 'weight': 50, 'maxCount': {}}],
    )
    await asyncio.sleep(2)
    leader = cell.leader()
    others = [each for each in cell.daemons if each is not leader]
    worker.is_busy = IS_TROUBLED
    cell.record.write('worker_refuses', on=IS_TROUBLED)
    began_s = time.monotonic()
    accepted_at_s = {}
    for number in range(JOB_COUNT):
        job_id = f'c00000000000000{number}'
        status, _ = await cell.call(
            'POST', f'/scan/{job_id}', key=KEY, daemon=others[0], body=JOB
        )
        if status == 200:
            accepted_at_s[job_id] = time.monotonic()
    if len(accepted_at_s) < JOB_COUNT:
        raise CannotRunError('not all jobs were accepted')
    await asyncio.sleep(began_s + STOP_AFTER_S - time.monotonic())
    if IS_TROUBLED and IS_STOPPED:
        leader.send(signal.SIGTERM)
    broken = ''
    asked = 0
    # Asked at the daemons that nothing has happened to, until just before the
    # worker accepts starts again.
    while time.monotonic() < began_s + REFUSING_S - 0.3:
        await asyncio.sleep(0.2)
        now_s = time.monotonic()
        begun = {run.task.partition('.')[0] for run in cell.fleet.starts()}
        waiting = [
            job_id
            for job_id, at_s in accepted_at_s.items()
            if now_s > at_s + AGE_S and job_id not in begun
        ]
        if now_s < max(accepted_at_s.values()) + AGE_S:
            continue
        for daemon in others:
            pending = await ask_pending(cell, daemon)
            cell.record.write(
                'compared', daemon=daemon.name, pending=pending,
                waiting=len(waiting),
            )
            if pending is None:
                continue
            asked += 1
            if pending < len(waiting) / 2:
                broken = (
                    f'MIXED: {daemon.name} gives {pending} jobs as pending, '
                    f'but {len(waiting)} that were accepted over {AGE_S} s '
                    'before have not begun'
                )
    worker.is_busy = False
    cell.record.write('worker_refuses', on=False)
    if not asked:
        raise CannotRunError('no daemon told how many jobs are pending')
    await asyncio.sleep(3)
    return broken


if __name__ == '__main__':
    sys.exit(play(case, HERE / 'record.txt'))
