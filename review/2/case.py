"""A tenant hands in many scheduled jobs, seven and a half times its usual."""

import asyncio
import os
import pathlib
import sys
import time

from standin_cell import FINISH_S, MEMORY_MB, CannotRunError, play

HERE = pathlib.Path(__file__).parent
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
PLANNER_KEY = 'key-planner'
KEY = 'key-steady'
USUAL_COUNT = 3
# One tenant sends at most 7.5 times its usual.
HOT_FACTOR = 7.5
SCHEDULE_TRIES = 2
JOB_TRIES = 4
MAX_WAIT_S = 40
IDLE_S = 3
WATCHED_S = 8
DUE_IN_MS = 3_600_000
FINAL = {'complete', 'failed', 'cancelled'}
JOB_ID = 'e0000000000000ff'
# Each step works for 6 s; the second one comes after the first.
JOB = {
    'spec': '6 check',
    'steps': [
        {'count': 1, 'cpu': 1000, 'memMb': 100, 'estimateMs': 6000},
        {
            'count': 1, 'cpu': 1000, 'memMb': 100, 'estimateMs': 6000,
            'after': [0],
        },
    ],
}
SECOND_TASK = f'{JOB_ID}.0.1.0'


def build_schedule():
    """Return a job of twenty small steps, each night for three years."""
    steps = [{'count': 1, 'cpu': 100, 'memMb': 10} for _ in range(20)]
    for number, step in enumerate(steps[1:]):
        step['after'] = [number]
    return {
        'spec': '0.5 plan',
        'steps': steps,
        'repeatCount': 1000,
        'firstRunMs': time.time_ns() // 1_000_000 + DUE_IN_MS,
        'intervalMs': 86_400_000,
    }


async def submit(cell, path, key, body, max_tries):
    """Hand a job in until a daemon accepts it; return whether one did.

    While the daemons end one after the other, calls get no answer or a 503.
    """
    for number in range(max_tries):
        daemon = cell.daemons[number % len(cell.daemons)]
        status, _ = await cell.call(
            'POST', path, key=key, daemon=daemon, body=body
        )
        if status == 200:
            return True
        await asyncio.sleep(0.5)
    return False


async def ask_state(cell, timeout_s):
    """Return the state of the other tenant's job, as far as it is told."""
    end_s = time.monotonic() + timeout_s
    state = ''
    number = 0
    while state not in FINAL and time.monotonic() < end_s:
        daemon = cell.daemons[number % len(cell.daemons)]
        _, answer = await cell.call(
            'GET', f'/check/{JOB_ID}', key=KEY, daemon=daemon
        )
        state = answer.get('state', state)
        number += 1
        await asyncio.sleep(0.5)
    return state


async def case(cell):
    """Return what broke the rule."""
    for number in range(1, 9):
        await cell.fleet.add(f'i-{number}', rack=f'r1-{number % 2}')
    await cell.start(
        [{'name': 'plan'}, {'name': 'check'}],
        [
            {'name': 'planner', 'apiKeys': [PLANNER_KEY], 'weight': 50},
            {'name': 'steady', 'apiKeys': [KEY], 'weight': 50},
        ],
    )
    if not await submit(cell, f'/check/{JOB_ID}', KEY, JOB, JOB_TRIES):
        raise CannotRunError('the job of the other tenant was not accepted')
    await asyncio.sleep(1)
    count = USUAL_COUNT
    if IS_TROUBLED:
        count = int(USUAL_COUNT * HOT_FACTOR)
    accepted_count = 0
    for number in range(count):
        accepted_count += await submit(
            cell, f'/plan/e{number:015x}', PLANNER_KEY, build_schedule(),
            SCHEDULE_TRIES,
        )
        await asyncio.sleep(0.1)
    cell.record.write('schedules', sent=count, accepted=accepted_count)
    await asyncio.sleep(FINISH_S)
    began_s = idle_since_s = time.monotonic()
    # From here on the rule asks for a run within 3 s: the first step ended or
    # lapsed long ago, and all workers are idle.
    while time.monotonic() < idle_since_s + IDLE_S + WATCHED_S:
        if any(run.task == SECOND_TASK for run in cell.fleet.starts()):
            break
        if cell.fleet.runs():
            idle_since_s = max(idle_since_s, time.monotonic())
            if time.monotonic() > began_s + MAX_WAIT_S:
                raise CannotRunError('something ran all the while')
        await asyncio.sleep(0.05)
    waited_s = time.monotonic() - idle_since_s
    state = await ask_state(cell, 2)
    kills = {daemon.name: daemon.memory_kills for daemon in cell.daemons}
    cell.record.write(
        'seen', job=state, waited_s=round(waited_s, 1),
        in_use=len(cell.fleet.runs()), kills=kills,
    )
    if waited_s < IDLE_S:
        return ''
    return (
        f'LOST: {FINISH_S} s after the last call an accepted job is '
        f'{state or "not told"} and has had nothing running for '
        f'{waited_s:.1f} s, while all workers are idle; ends over '
        f'{MEMORY_MB} MB by daemon: {kills}'
    )


if __name__ == '__main__':
    sys.exit(play(case, HERE / 'record.txt'))
