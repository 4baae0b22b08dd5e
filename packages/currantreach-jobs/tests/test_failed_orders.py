"""Background tasks that end by an unexpected exception.

A task ends early, by an error that is no platform error or because the
leadership was lost for a moment, and something waits for it as long as the
daemon is the leader.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from currantreach_jobs import DaemonDependencies, JobDaemon, JobSettings
from currantreach_jobs._committer import Committer
from currantreach_jobs._progress import JobProgress
from currantreach_jobs._settings import Leadership
from currantreach_types.errors import CallRejectedError

LONG_S = 1000
FAULTS = [RuntimeError('closed'), asyncio.CancelledError()]


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_start_is_retried(run_scenario, job, wait_until, fault):
    """A run whose start failed must not stay in its first phase forever."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        daemon = cell.start('a')
        worker.faults['start'].append(fault)
        await daemon.submissions.submit(job('0' * 16))
        await wait_until(lambda: fleet.done, timeout_s=8)

    run_scenario(scenario)


def test_start_with_unknown_effect_runs_once(run_scenario, job, wait_until):
    """A start that failed after it was sent must not run beside another."""

    async def scenario(fleet, cell):
        first = fleet.add('w1')
        fleet.work_s = 4
        daemon = cell.start('a')
        first.late_starts = 1
        await daemon.submissions.submit(job('0' * 16))
        await wait_until(lambda: first.delayed)
        first.faults['start'].append(RuntimeError('closed'))
        fleet.add('w2')
        await asyncio.sleep(1)
        first.carry_out()
        await wait_until(lambda: fleet.done, timeout_s=12)
        await asyncio.sleep(5)
        assert sum(fleet.done.values()) == 1

    run_scenario(scenario)


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_stop_is_retried(run_scenario, job, wait_until, fault):
    """A failed stop must be repeated, so that its resources become free."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = LONG_S
        daemon = cell.start('a')
        await daemon.submissions.submit(job('1' * 16))
        await wait_until(lambda: fleet.starts)
        worker.faults['stop'].append(fault)
        await daemon.submissions.cancel('1' * 16, 'lookups', 'orchard')
        await wait_until(lambda: not worker.running, timeout_s=4)
        await wait_until(
            lambda: not daemon.scheduler.cluster.workers['w1'].runs,
            timeout_s=4,
        )

    run_scenario(scenario)


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_stop_of_orphan_is_retried(run_scenario, job, wait_until, fault):
    """A run that no job needs must not block its worker after a failed stop.

    Nothing starts on a worker with such a run, and its stop was sent once only.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = LONG_S
        first = cell.start('a')
        await first.submissions.submit(job('2' * 16))
        await wait_until(lambda: fleet.starts)
        first.kill()
        second = cell.start('b')
        await second.submissions.cancel('2' * 16, 'lookups', 'orchard')
        worker.faults['stop'] += [fault, fault]
        await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
        await wait_until(lambda: not worker.running, timeout_s=10)
        fleet.work_s = 1
        await second.submissions.submit(job('3' * 16))
        await wait_until(lambda: fleet.done, timeout_s=4)

    run_scenario(scenario)


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_session_is_restarted(run_scenario, job, wait_until, fault):
    """A worker whose session failed must be called again by the same leader."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 3
        daemon = cell.start('a')
        await daemon.submissions.submit(job('4' * 16))
        await wait_until(lambda: fleet.starts)
        # A hold is the call that renews the leases of a worker and lists its
        # runs.
        worker.faults['hold'].append(fault)
        await wait_until(lambda: fleet.done, timeout_s=5)
        await wait_until(
            lambda: visible_state(daemon, '4' * 16) == 'complete', 2
        )
        await daemon.submissions.submit(job('5' * 16))
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=5)
        assert len(fleet.starts) == 2

    run_scenario(scenario)


def test_tasks_of_always_failing_session_run_elsewhere(
    run_scenario, job, wait_until
):
    """Tasks of a worker whose replies cannot be processed run elsewhere.

    Its failing session must not renew their lease forever.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 3
        daemon = cell.start('a')
        await daemon.submissions.submit(job('6' * 16))
        await wait_until(lambda: fleet.starts)
        fleet.add('w2')
        worker.faults['hold'] += itertools.repeat(FAULTS[0], 1000)
        await wait_until(lambda: fleet.done['6' * 16] or fleet.done, 16)
        await wait_until(
            lambda: visible_state(daemon, '6' * 16) == 'complete', 16
        )

    run_scenario(scenario)


def test_sessions_survive_late_renewal(run_scenario, job, wait_until):
    """A leader lease that is renewed late must not end worker sessions.

    Sessions ended when the lease was not renewed in time. The leadership
    continued if a renewal was answered before its next check, and the leases of
    the workers were no longer renewed.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        workers = daemon.scheduler.cluster.workers
        await wait_until(lambda: 'w1' in workers and workers['w1'].is_usable)
        leadership = daemon.scheduler.leadership
        session = daemon.scheduler._session_tasks['w1']
        while not session.done():
            is_over = daemon.scheduler._is_over
            daemon.scheduler._is_over = bool
            leadership.valid_until_s = fleet.clock.now_s() - 10
            await asyncio.sleep(0.01)
        daemon.scheduler._is_over = is_over
        leadership.valid_until_s = fleet.clock.now_s() + 1.4
        await daemon.submissions.submit(job('7' * 16))
        await wait_until(
            lambda: visible_state(daemon, '7' * 16) == 'complete', 6
        )
        assert daemon.scheduler.leadership is leadership

    run_scenario(scenario)


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_background_task_ends_no_leadership(
    run_scenario, job, wait_until, fault
):
    """A leader must continue after one of its tasks has failed.

    The next leader would read the same input. A cancelled task also ended the
    loop that campaigns for the leadership.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await daemon.submissions.submit(job('8' * 16))
        await wait_until(lambda: fleet.done)
        daemon.store.faults['jobs/'].append(fault)
        await wait_until(lambda: not daemon.store.faults['jobs/'])
        await daemon.submissions.submit(job('9' * 16))
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=10)
        assert daemon.scheduler.leadership.epoch == 1

    run_scenario(scenario)


async def test_cancelled_background_task_runs_again():
    """A daemon must not continue with an old view without its watch task.

    A library may cancel the task that waits for one of its connections.
    """
    daemon = JobDaemon(
        'a', 'tcp://127.0.0.1:1', unused_services(), JobSettings(), None
    )
    starts = []

    async def follow():
        starts.append(asyncio.current_task())
        await asyncio.sleep(LONG_S)

    part = daemon._start_part('cell', follow)
    for count in (1, 2, 3):
        async with asyncio.timeout(1):
            while len(starts) < count:
                await asyncio.sleep(0.01)
        starts[-1].cancel()
    assert not part.done()
    part.cancel()
    await asyncio.gather(part, return_exceptions=True)
    assert starts[-1].done()


def unused_services():
    """Return services of which none is used."""
    return DaemonDependencies(
        store=None,
        directory=None,
        source=None,
        advice=None,
        make_run_client=None,
    )


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_advice_call_is_retried(
    run_scenario,
    job,
    wait_until,
    advised_queue,
    fault,
):
    """A failed call to the placement service must not stay in flight."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        fleet.advice_faults.append(fault)
        await daemon.submissions.submit(job('a' * 16, queue=advised_queue))
        await wait_until(lambda: fleet.done, timeout_s=6)
        advice_dispatcher = daemon.scheduler._advice_dispatcher
        assert not any(advice_dispatcher._in_flight.values())

    run_scenario(scenario)


class FaultyStore:
    """Store that fails all transactions with the record of one job."""

    max_entries = 32

    def __init__(self, fault, job_id):
        self.fault = fault
        self.job_id = job_id
        self.written = set()

    async def commit(self, expected, writes, removed=()):
        await asyncio.sleep(0.01)
        keys = {write.key for write in writes}
        if f'progress/{self.job_id}' in keys:
            raise self.fault
        self.written |= keys
        return 1


@pytest.mark.parametrize('fault', [*FAULTS, CallRejectedError('too large')])
def test_rejected_record_delays_no_other(run_scenario, job, fault):
    """One record that is always rejected must not block all jobs.

    The other records of its transaction must be written, and their jobs start.
    A caller that waits for the rejected record must not be told that it is
    written.
    """

    async def scenario(fleet, _):
        store = FaultyStore(fault, 'j3')
        names = [f'j{number}' for number in range(40)]
        leadership = Leadership(
            epoch=1, revision=0, valid_until_s=1e9, acquired_at_s=0
        )
        committer = Committer(store, leadership, fleet.clock)
        committer.jobs = {
            name: JobProgress(job=job(name), attempt_base=0, accepted_at_s=0)
            for name in names
        }
        writing = asyncio.ensure_future(committer.run())
        for name in names:
            committer.mark_dirty(name)
        await asyncio.sleep(2)
        assert len(store.written) == 39
        assert not committer.lag_s()
        assert not leadership.is_over
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(committer.wait_written(['j3']), 1)
        store.job_id = ''
        await asyncio.wait_for(committer.wait_written(['j3']), 6)
        writing.cancel()

    run_scenario(scenario)


def visible_state(daemon, job_id):
    """Return the state of a job that the leader reports."""
    return daemon.scheduler.cluster.jobs[job_id].visible_state
