"""Orders to one worker beside changes of what is believed of it."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import (
    EndedRun,
    EndKind,
    HoldReply,
    JobSettings,
    RunningRun,
    StartAnswer,
)
from currantreach_jobs._cluster_state import ClusterState
from currantreach_jobs._releases import HeardReleases, Releases
from currantreach_jobs._settings import Leadership
from currantreach_jobs._worker_session import WorkerSession
from currantreach_telemetry import Metrics
from currantreach_types import ManualClock
from currantreach_types.errors import LostAnswerError


class ScriptedPort:
    """Port that answers holds from a list and keeps all orders."""

    def __init__(self):
        self.starts = []
        self.stops = []
        self.holds = []
        self.replies = []

    async def start(self, order):
        self.starts.append(order)
        return StartAnswer.STARTED

    async def stop(self, task, attempt, token):
        self.stops.append((task, attempt))
        return True

    async def hold(self, token, acked_through, worker_deadline_ms, wait_s):
        self.holds.append((acked_through, worker_deadline_ms, wait_s))
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def close(self):
        """Nothing is open."""


class EmptyStore:
    """Store without a record of released workers."""

    async def get(self, key):
        """Return nothing."""


@attrs.define
class Bench:
    """A session, its board and its port."""

    clock: ManualClock
    cluster: ClusterState
    port: ScriptedPort
    session: WorkerSession
    written: asyncio.Event

    async def hold(self, reply):
        """Play one hold."""
        self.port.replies.append(reply)
        sent_at_s = self.clock.now_s()
        try:
            found = await self.session._hold(sent_at_s)
        except LostAnswerError as error:
            self.session._note_silence(error)
            return
        self.session._absorb(found, sent_at_s)


@pytest.fixture
async def bench(reports):
    """Return a session with an adopted worker."""
    clock = ManualClock(100)
    cluster = ClusterState(clock, lambda _: None, lambda: None, Metrics())
    cluster.add_worker(reports[0])
    cluster.jobs_loaded.set()
    written = asyncio.Event()
    written.set()
    port = ScriptedPort()
    leadership = Leadership(
        epoch=1, revision=1, valid_until_s=1000, acquired_at_s=100
    )
    releases = Releases(EmptyStore(), leadership, clock, HeardReleases())
    await releases.read()
    session = WorkerSession(
        'w1',
        port,
        cluster,
        leadership,
        JobSettings(),
        clock,
        lambda _: written.wait(),
        releases,
    )
    made = Bench(clock, cluster, port, session, written)
    await made.hold(HoldReply(clock_ms=1000, born_unix_ms=1))
    yield made
    await session.close()


async def test_lost_run_is_not_ordered(bench, job):
    """A run that is over must not be ordered once its record is written.

    Its task had been started elsewhere, and ran twice.
    """
    bench.cluster.add_job(job('0' * 16))
    stage = bench.cluster.jobs['0' * 16].stages[0, 0]
    run = bench.cluster.create_run(stage, 0, 'w1', 1)
    bench.written.clear()
    bench.session.start(run, '')
    await asyncio.sleep(0)
    bench.cluster.mark_run_lost(run)
    bench.written.set()
    await asyncio.sleep(0.01)
    assert not bench.port.starts
    assert stage.waiting == {0}


async def test_running_task_proves_the_lease(bench, job):
    """A worker that answers with a run has lost no lease.

    The next answer came after the run had ended, and was taken for one
    after a lapsed lease: an end that counted was not credited.
    """
    bench.cluster.add_job(job('1' * 16))
    stage = bench.cluster.jobs['1' * 16].stages[0, 0]
    run = bench.cluster.create_run(stage, 0, 'w1', 1)
    bench.cluster.confirm_start(run)
    listed = RunningRun(task=run.task, attempt=1)
    await bench.hold(
        HoldReply(clock_ms=1100, born_unix_ms=1, running=(listed,))
    )
    await bench.hold(LostAnswerError('silent'))
    bench.clock.advance(6)
    late = HoldReply(clock_ms=7100, born_unix_ms=1, running=(listed,))
    await bench.hold(late)
    assert bench.cluster.workers['w1'].is_usable
    bench.clock.advance(0.01)
    await bench.hold(attrs.evolve(late, clock_ms=7110))
    assert bench.port.holds[-1][1] > 7110


async def test_run_that_is_gone_after_a_silence_waits_again(bench, job):
    """A run without an end must be started again, not taken for done."""
    bench.cluster.add_job(job('2' * 16))
    stage = bench.cluster.jobs['2' * 16].stages[0, 0]
    run = bench.cluster.create_run(stage, 0, 'w1', 1)
    bench.cluster.confirm_start(run)
    await bench.hold(LostAnswerError('silent'))
    bench.clock.advance(20)
    await bench.hold(HoldReply(clock_ms=21000, born_unix_ms=1))
    assert stage.waiting == {0}
    assert not stage.done_count


async def test_end_listed_after_a_silence_counts(bench, job):
    """A worker that was silent for longer than its lease lists a done run.

    The end was dropped, as the lease may have run out after it, and the
    work was done again.
    """
    bench.cluster.add_job(job('3' * 16))
    stage = bench.cluster.jobs['3' * 16].stages[0, 0]
    run = bench.cluster.create_run(stage, 0, 'w1', 1)
    bench.cluster.confirm_start(run)
    await bench.hold(HoldReply(clock_ms=1010, born_unix_ms=1))
    await bench.hold(LostAnswerError('silent'))
    bench.clock.advance(20)
    done = EndedRun(number=1, task=run.task, attempt=1, kind=EndKind.DONE)
    await bench.hold(
        HoldReply(clock_ms=21000, born_unix_ms=1, ended=(done,)),
    )
    assert stage.is_done


async def test_failure_of_a_run_that_was_given_up_is_not_counted(bench, job):
    """A failure that a leader has counted already was counted again."""
    bench.cluster.add_job(job('4' * 16))
    stage = bench.cluster.jobs['4' * 16].stages[0, 0]
    run = bench.cluster.create_run(stage, 0, 'w1', 1)
    bench.cluster.confirm_start(run)
    bench.cluster.mark_run_lost(run)
    failed = EndedRun(number=1, task=run.task, attempt=1, kind=EndKind.FAILED)
    await bench.hold(
        HoldReply(clock_ms=1010, born_unix_ms=1, ended=(failed,)),
    )
    assert stage.waiting == {0}
    assert not stage.tasks[0].failure_count


async def test_partial_list_gives_no_run_up(bench, job):
    """A row that could not be read may be that of a run that seems gone."""
    bench.cluster.add_job(job('9' * 16))
    stage = bench.cluster.jobs['9' * 16].stages[0, 0]
    run = bench.cluster.create_run(stage, 0, 'w1', 1)
    bench.cluster.confirm_start(run)
    bench.clock.advance(1)
    whole = HoldReply(clock_ms=2000, born_unix_ms=1)
    await bench.hold(attrs.evolve(whole, is_partial=True))
    assert stage.tasks[0].run is run
    await bench.hold(whole)
    assert stage.waiting == {0}


async def test_end_of_a_life_begun_between_two_answers_is_kept(bench, job):
    """Each hold repeated an acknowledgement that was obeyed already.

    A worker that was born again between two answers forgot ends by it.
    """
    bench.cluster.add_job(job('6' * 16, count=2))
    stage = bench.cluster.jobs['6' * 16].stages[0, 0]
    runs = [
        bench.cluster.create_run(stage, index, 'w1', 1) for index in range(2)
    ]
    bench.cluster.confirm_start(runs[0])
    bench.cluster.confirm_start(runs[1])
    first, second = (
        EndedRun(number=1, task=run.task, attempt=1, kind=EndKind.DONE)
        for run in runs
    )
    whole = HoldReply(clock_ms=1010, born_unix_ms=1)
    await bench.hold(attrs.evolve(whole, ended=(first,)))
    await bench.session._acknowledge()
    await bench.hold(whole)
    await bench.hold(HoldReply(clock_ms=5, born_unix_ms=2, ended=(second,)))
    assert [hold[0] for hold in bench.port.holds[-2:]] == [1, 0]
    assert stage.is_done


async def test_nothing_of_a_known_life_is_sent_to_a_silent_worker(bench, job):
    """A silent worker may have been born again, with another clock.

    A start was sent with a deadline by the clock of the life before.
    """
    bench.cluster.add_job(job('7' * 16))
    stage = bench.cluster.jobs['7' * 16].stages[0, 0]
    run = bench.cluster.create_run(stage, 0, 'w1', 1)
    bench.written.clear()
    bench.session.start(run, '')
    await asyncio.sleep(0)
    await bench.hold(LostAnswerError('silent'))
    over_s = bench.session.leases_expire_at_s
    bench.clock.advance(0.3)
    bench.written.set()
    await asyncio.sleep(0.01)
    await bench.hold(LostAnswerError('silent'))
    assert not bench.port.starts
    assert bench.port.holds[-1][:2] == (0, 0)
    assert bench.session.leases_expire_at_s == over_s
    assert stage.waiting == {0}


async def test_nothing_is_ordered_on_a_released_worker(bench, job):
    """A start that waited for its record outlasts what a successor waits."""
    bench.cluster.add_job(job('4' * 16))
    stage = bench.cluster.jobs['4' * 16].stages[0, 0]
    run = bench.cluster.create_run(stage, 0, 'w1', 1)
    bench.written.clear()
    bench.session.start(run, '')
    await asyncio.sleep(0)
    await bench.hold(LostAnswerError('silent'))
    await bench.hold(LostAnswerError('silent'))
    over_s = bench.session.leases_expire_at_s
    bench.clock.advance(1)
    bench.written.set()
    await asyncio.sleep(0.01)
    assert not bench.port.starts
    assert stage.waiting == {0}
    assert bench.session.leases_expire_at_s == over_s


async def test_session_that_fails_keeps_its_worker_released(bench):
    """An answer that cannot be handled ends no wait of successors."""
    await bench.hold(LostAnswerError('silent'))
    await bench.hold(LostAnswerError('silent'))
    releases = bench.session._releases
    wait = releases.wait_for('w1')
    bench.cluster.release_inherited = None
    bench.session.is_adopted = False
    with pytest.raises(TypeError):
        await bench.hold(HoldReply(clock_ms=2000, born_unix_ms=1))
    assert releases.wait_for('w1') is wait
    assert not releases.may_order('w1')
