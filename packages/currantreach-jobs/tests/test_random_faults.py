"""Random faults of all kinds, by seed; each job ends, one run at a time.

Calls to workers, sessions, watches and advice calls fail with unexpected
exceptions, workers become silent or restart, and the leader is killed.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random

import pytest

SEEDS = range(int(os.environ.get('CURRANTREACH_FAULT_SEEDS', '12')))
# Duration of the faults, and the time in which all jobs end afterwards: a
# lease, the wait for an earlier leader and a few retries.
FAULTS_S = 20
BOUND_S = 25


def make_fault(chance):
    """Return an exception that no interface declares."""
    return chance.choice(
        [RuntimeError('closed'), KeyError('row'), asyncio.CancelledError()],
    )


def fail_a_call(chance, fleet, cell):
    """Let the next call of a random kind fail with an exception."""
    faults = [worker.faults[kind] for worker, kind in _calls(fleet)]
    faults.extend(
        daemon.store.faults['jobs/'] for daemon in cell.daemons.values()
    )
    faults.append(fleet.advice_faults)
    chance.choice(faults).append(make_fault(chance))


def _calls(fleet):
    return itertools.product(fleet.workers.values(), ('start', 'stop', 'hold'))


def toggle_silence(chance, fleet, cell):
    """Let a worker stop answering, or answer again."""
    worker = chance.choice(list(fleet.workers.values()))
    worker.silent = not worker.silent


def restart_worker(chance, fleet, cell):
    """Restart a worker; calls in flight are lost."""
    worker = chance.choice(list(fleet.workers.values()))
    worker.advance()
    worker.running.clear()
    worker.delayed.clear()
    worker.restart()
    worker.silent = True
    asyncio.get_running_loop().call_later(1, answer_again, worker)


def delay_a_start(chance, fleet, cell):
    """Let a worker carry out its next start late and without an answer."""
    chance.choice(list(fleet.workers.values())).late_starts += 1


def restart_daemon(chance, fleet, cell):
    """Kill a daemon and start a new one on its host."""
    name = chance.choice(list(cell.daemons))
    cell.daemons[name].kill()
    cell.start(name)


FAULTS = (
    fail_a_call,
    fail_a_call,
    fail_a_call,
    fail_a_call,
    toggle_silence,
    restart_worker,
    delay_a_start,
    restart_daemon,
)


def answer_again(worker):
    """Let a restarted worker answer."""
    worker.silent = False


def end_faults(fleet, cell):
    """Undo all faults and drop the pending ones."""
    fleet.advice_faults.clear()
    for worker in fleet.workers.values():
        worker.faults.clear()
        worker.silent = False
        worker.late_starts = 0
        worker.carry_out()
    for daemon in cell.daemons.values():
        daemon.store.faults.clear()


@pytest.mark.parametrize('seed', SEEDS)
def test_each_job_ends(run_scenario, job, wait_until, advised_queue, seed):
    """Combined faults must not leave jobs waiting until the leader changes."""
    chance = random.Random(seed)

    async def scenario(fleet, cell):
        cell.seed = seed
        for number in range(4):
            fleet.add(f'w{number}')
        for name in ('a', 'b', 'c'):
            cell.start(name)
        end_s = fleet.clock.now_s() + FAULTS_S
        accepted = []
        while fleet.clock.now_s() < end_s:
            fleet.work_s = chance.uniform(0.1, 3)
            job_id = f'{len(accepted):016x}'
            made = job(job_id, count=chance.randint(1, 3))
            if chance.random() < 0.3:
                made = job(job_id, queue=advised_queue)
            if chance.random() < 0.2:
                made = job(job_id, count=3, is_gang=True)
            daemon = chance.choice(list(cell.daemons.values()))
            await daemon.submissions.submit_locally(made)
            accepted.append(job_id)
            chance.choice(FAULTS)(chance, fleet, cell)
            await asyncio.sleep(chance.uniform(0.1, 1))
        end_faults(fleet, cell)

        def is_over():
            return not open_jobs(cell, accepted)

        try:
            await wait_until(is_over, timeout_s=BOUND_S)
        except AssertionError:
            pytest.fail(f'not ended: {open_jobs(cell, accepted)}')

    run_scenario(scenario)


def open_jobs(cell, accepted):
    """Return the jobs that have not ended according to the leader."""
    for daemon in cell.daemons.values():
        if daemon.scheduler is not None and daemon.scheduler.is_ready:
            jobs = daemon.scheduler.cluster.jobs
            return [
                job_id
                for job_id in accepted
                if job_id not in jobs or not jobs[job_id].visible_state.is_final
            ]
    return accepted
