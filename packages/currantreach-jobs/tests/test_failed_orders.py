"""Orders, sessions and parts that end by an exception that nobody expects.

Pattern: a background task ends early, by an error that is none of the
platform or as its tenure was over for a moment, and something waits for it
as long as the daemon leads.
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

LASTING_S = 1000
FAULTS = [RuntimeError('closed'), asyncio.CancelledError()]


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_start_is_settled(run_scenario, job, wait_until, fault):
    """A run whose start failed stayed in its first phase for ever."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        host = cell.start('a')
        worker.faults['start'].append(fault)
        await host.submissions.submit(job('0' * 16))
        await wait_until(lambda: fleet.done, timeout_s=8)

    run_scenario(scenario)


def test_start_with_unknown_effect_runs_once(run_scenario, job, wait_until):
    """A start that failed after it was sent must not run beside another."""

    async def scenario(fleet, cell):
        first = fleet.add('w1')
        fleet.work_s = 4
        host = cell.start('a')
        first.late_starts = 1
        await host.submissions.submit(job('0' * 16))
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
def test_failed_stop_is_repeated(run_scenario, job, wait_until, fault):
    """A run whose stop failed went on, and its room was never free."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = LASTING_S
        host = cell.start('a')
        await host.submissions.submit(job('1' * 16))
        await wait_until(lambda: fleet.starts)
        worker.faults['stop'].append(fault)
        await host.submissions.cancel('1' * 16, 'lookups', 'orchard')
        await wait_until(lambda: not worker.running, timeout_s=4)
        await wait_until(
            lambda: not host.scheduler.cluster.workers['w1'].runs,
            timeout_s=4,
        )

    run_scenario(scenario)


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_stop_of_an_orphan_is_repeated(
    run_scenario, job, wait_until, fault
):
    """A run that nobody wants closed its worker for ever.

    Nothing starts on a worker with such a run, and its stop was sent once.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = LASTING_S
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
def test_failed_session_is_opened_again(run_scenario, job, wait_until, fault):
    """A worker whose session failed was not heard for the whole tenure."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 3
        host = cell.start('a')
        await host.submissions.submit(job('4' * 16))
        await wait_until(lambda: fleet.starts)
        worker.faults['hold'].append(fault)
        await wait_until(lambda: fleet.done, timeout_s=5)
        await wait_until(lambda: shown(host, '4' * 16) == 'complete', 2)
        await host.submissions.submit(job('5' * 16))
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=5)
        assert len(fleet.starts) == 2

    run_scenario(scenario)


def test_session_that_always_fails_gives_its_tasks_up(
    run_scenario, job, wait_until
):
    """Tasks of a worker whose lists cannot be taken run elsewhere.

    The session must not extend their lease for ever meanwhile.
    """

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 3
        host = cell.start('a')
        await host.submissions.submit(job('6' * 16))
        await wait_until(lambda: fleet.starts)
        fleet.add('w2')
        worker.faults['hold'] += itertools.repeat(FAULTS[0], 1000)
        await wait_until(lambda: fleet.done['6' * 16] or fleet.done, 16)
        await wait_until(lambda: shown(host, '6' * 16) == 'complete', 16)

    run_scenario(scenario)


def test_sessions_outlast_a_late_renewal(run_scenario, job, wait_until):
    """A renewal that is answered late must not cost the workers.

    Sessions ended when the lease could not be renewed in time. The tenure
    went on if a renewal was answered before its own next look, and nothing
    held the workers any more.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        workers = host.scheduler.cluster.workers
        await wait_until(lambda: 'w1' in workers and workers['w1'].is_usable)
        leadership = host.scheduler.leadership
        session = host.scheduler._session_tasks['w1']
        while not session.done():
            is_over = host.scheduler._is_over
            host.scheduler._is_over = lambda _: False
            leadership.valid_until_s = fleet.clock.now_s() - 10
            await asyncio.sleep(0.01)
        host.scheduler._is_over = is_over
        leadership.valid_until_s = fleet.clock.now_s() + 1.4
        await host.submissions.submit(job('7' * 16))
        await wait_until(lambda: shown(host, '7' * 16) == 'complete', 6)
        assert host.scheduler.leadership is leadership

    run_scenario(scenario)


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_part_ends_its_tenure_only(run_scenario, job, wait_until, fault):
    """A daemon must take the lead again after a part of a tenure failed.

    The part being cancelled also ended the loop that takes the lead.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        await host.submissions.submit(job('8' * 16))
        await wait_until(lambda: fleet.done)
        host.store.faults['jobs/'].append(fault)
        await wait_until(lambda: not host.store.faults['jobs/'])
        await host.submissions.submit(job('9' * 16))
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=10)

    run_scenario(scenario)


async def test_cancelled_part_ends_the_process():
    """A daemon whose follower was cancelled went on with an old view."""
    daemon = JobDaemon(
        'a', 'tcp://127.0.0.1:1', dependencies(), JobSettings(), None
    )
    ending = asyncio.ensure_future(asyncio.sleep(0))
    waiting = asyncio.ensure_future(asyncio.sleep(LASTING_S))
    cancelled = asyncio.ensure_future(asyncio.sleep(LASTING_S))
    cancelled.cancel()
    with pytest.raises(RuntimeError):
        await asyncio.wait_for(
            daemon._supervise([ending, waiting, cancelled]),
            1,
        )


def dependencies():
    """Return surroundings of which nothing is used."""
    return DaemonDependencies(
        store=None,
        directory=None,
        source=None,
        advice=None,
        make_run_client=None,
    )


@pytest.mark.parametrize('fault', FAULTS)
def test_failed_advice_is_asked_again(
    run_scenario,
    job,
    wait_until,
    advised_queue,
    fault,
):
    """A call for advice that failed stayed counted as under way."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        host = cell.start('a')
        fleet.advice_faults.append(fault)
        await host.submissions.submit(job('a' * 16, queue=advised_queue))
        await wait_until(lambda: fleet.done, timeout_s=6)
        advice_dispatcher = host.scheduler._advice_dispatcher
        assert not any(advice_dispatcher._in_flight.values())

    run_scenario(scenario)


class FaultyStore:
    """Store whose transactions fail while they hold the record of a job."""

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
def test_rejected_record_holds_up_no_other(run_scenario, job, fault):
    """One record that is never written stopped the starts of all jobs.

    It also kept the records that shared its transaction unwritten. Whoever
    waits for the record itself must not be told that it is written.
    """

    async def scenario(fleet, _):
        store = FaultyStore(fault, 'j3')
        names = [f'j{number}' for number in range(40)]
        leadership = Leadership(
            epoch=1, revision=0, valid_until_s=1e9, acquired_at_s=0
        )
        committer = Committer(store, leadership, fleet.clock)
        committer.jobs = {
            name: JobProgress(job=job(name), first_attempt=0, accepted_at_s=0)
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


def shown(host, job_id):
    """Return the state that the leader shows for a job."""
    return host.scheduler.cluster.jobs[job_id].visible_state
