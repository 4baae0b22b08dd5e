"""Worker sessions whose state changes while orders are in flight."""

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
    TaskKey,
)
from currantreach_jobs._cluster_state import ClusterState
from currantreach_jobs._releases import ObservedReleases, WorkerReleases
from currantreach_jobs._settings import Leadership
from currantreach_jobs._worker_session import WorkerSession
from currantreach_telemetry import Metrics
from currantreach_types import ManualClock
from currantreach_types.errors import (
    OutcomeUnknownError,
    WorkerUnavailableError,
)


class ScriptedClient:
    """Client that replies to holds from a list and records all orders."""

    def __init__(self):
        self.starts = []
        self.stops = []
        self.holds = []
        self.replies = []
        self.start_fault = None
        self.on_start = None

    async def start(self, order):
        self.starts.append(order)
        if self.on_start is not None:
            self.on_start()
        if self.start_fault is not None:
            raise self.start_fault
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
class SessionHarness:
    """A session, the cluster state that it changes and its client."""

    clock: ManualClock
    cluster: ClusterState
    client: ScriptedClient
    session: WorkerSession
    written: asyncio.Event

    async def hold(self, reply):
        """Process one hold with a given reply."""
        self.client.replies.append(reply)
        sent_at_s = self.clock.now_s()
        try:
            found = await self.session._hold(sent_at_s)
        except OutcomeUnknownError as error:
            self.session._handle_silence(error)
            return
        self.session._process_reply(found, sent_at_s)


@pytest.fixture
async def harness(reports):
    """Return a session with an adopted worker."""
    clock = ManualClock(100)
    cluster = ClusterState(clock, lambda _: None, lambda: None, Metrics())
    cluster.add_worker(reports[0])
    cluster.jobs_loaded.set()
    written = asyncio.Event()
    written.set()
    client = ScriptedClient()
    leadership = Leadership(
        epoch=1, revision=1, valid_until_s=1000, acquired_at_s=100
    )
    releases = WorkerReleases(
        EmptyStore(), leadership, clock, ObservedReleases()
    )
    await releases.read()
    session = WorkerSession(
        'w1',
        client,
        cluster,
        leadership,
        JobSettings(),
        clock,
        lambda _: written.wait(),
        releases,
    )
    new_harness = SessionHarness(clock, cluster, client, session, written)
    await new_harness.hold(HoldReply(clock_ms=1000, born_unix_ms=1))
    yield new_harness
    await session.close()


async def test_lost_run_is_not_ordered(harness, job):
    """A lost run must not be ordered when its record is written.

    Its task has been started elsewhere by then and would run twice.
    """
    harness.cluster.add_job(job('0' * 16))
    stage = harness.cluster.jobs['0' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.written.clear()
    harness.session.start(run, '')
    await asyncio.sleep(0)
    harness.cluster.mark_run_lost(run)
    harness.written.set()
    await asyncio.sleep(0.01)
    assert not harness.client.starts
    assert stage.waiting == {0}


async def test_listed_run_proves_unexpired_lease(harness, job):
    """A worker that lists a run after a silence proves its valid lease.

    The next reply, after the end of that run, was treated as one after an
    expired lease, and a valid end was not counted.
    """
    harness.cluster.add_job(job('1' * 16))
    stage = harness.cluster.jobs['1' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.cluster.confirm_start(run)
    listed = RunningRun(task=run.task, attempt=1)
    await harness.hold(
        HoldReply(clock_ms=1100, born_unix_ms=1, running=(listed,))
    )
    await harness.hold(OutcomeUnknownError('silent'))
    harness.clock.advance(6)
    late_reply = HoldReply(clock_ms=7100, born_unix_ms=1, running=(listed,))
    await harness.hold(late_reply)
    assert harness.cluster.workers['w1'].is_usable
    harness.clock.advance(0.01)
    await harness.hold(attrs.evolve(late_reply, clock_ms=7110))
    assert harness.client.holds[-1][1] > 7110


async def test_run_missing_after_silence_is_restarted(harness, job):
    """A run that vanished without an end must be restarted, not be done."""
    harness.cluster.add_job(job('2' * 16))
    stage = harness.cluster.jobs['2' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.cluster.confirm_start(run)
    await harness.hold(OutcomeUnknownError('silent'))
    harness.clock.advance(20)
    await harness.hold(HoldReply(clock_ms=21000, born_unix_ms=1))
    assert stage.waiting == {0}
    assert not stage.done_count


async def test_end_listed_after_silence_counts(harness, job):
    """A done run must count if listed after a silence beyond its lease.

    The end was dropped, as the lease might have expired after it, and the work
    was done again.
    """
    harness.cluster.add_job(job('3' * 16))
    stage = harness.cluster.jobs['3' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.cluster.confirm_start(run)
    await harness.hold(HoldReply(clock_ms=1010, born_unix_ms=1))
    await harness.hold(OutcomeUnknownError('silent'))
    harness.clock.advance(20)
    done = EndedRun(number=1, task=run.task, attempt=1, kind=EndKind.DONE)
    await harness.hold(
        HoldReply(clock_ms=21000, born_unix_ms=1, ended=(done,)),
    )
    assert stage.is_done


async def test_failure_of_lost_run_is_not_counted_again(harness, job):
    """A failure listed for a lost run must not count against its task."""
    harness.cluster.add_job(job('4' * 16))
    stage = harness.cluster.jobs['4' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.cluster.confirm_start(run)
    harness.cluster.mark_run_lost(run)
    failed = EndedRun(number=1, task=run.task, attempt=1, kind=EndKind.FAILED)
    await harness.hold(
        HoldReply(clock_ms=1010, born_unix_ms=1, ended=(failed,)),
    )
    assert stage.waiting == {0}
    assert not stage.tasks[0].failure_count


async def test_partial_list_loses_no_run(harness, job):
    """A run missing from a partial list must not be given up.

    The row that could not be read may be that of the run.
    """
    harness.cluster.add_job(job('9' * 16))
    stage = harness.cluster.jobs['9' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.cluster.confirm_start(run)
    harness.clock.advance(1)
    complete = HoldReply(clock_ms=2000, born_unix_ms=1)
    await harness.hold(attrs.evolve(complete, is_partial=True))
    assert stage.tasks[0].run is run
    await harness.hold(complete)
    assert stage.waiting == {0}


async def test_worker_restart_between_replies_loses_no_end(harness, job):
    """A processed acknowledgement must not be repeated by each hold.

    A worker that restarted between two replies thereby dropped new ends.
    """
    harness.cluster.add_job(job('6' * 16, count=2))
    stage = harness.cluster.jobs['6' * 16].stages[0, 0]
    runs = [
        harness.cluster.create_run(stage, index, 'w1', 1) for index in range(2)
    ]
    harness.cluster.confirm_start(runs[0])
    harness.cluster.confirm_start(runs[1])
    first, second = (
        EndedRun(number=1, task=run.task, attempt=1, kind=EndKind.DONE)
        for run in runs
    )
    complete = HoldReply(clock_ms=1010, born_unix_ms=1)
    await harness.hold(attrs.evolve(complete, ended=(first,)))
    await harness.session._acknowledge_ends()
    await harness.hold(complete)
    await harness.hold(HoldReply(clock_ms=5, born_unix_ms=2, ended=(second,)))
    assert [hold[0] for hold in harness.client.holds[-2:]] == [1, 0]
    assert stage.is_done


async def test_silent_worker_gets_no_deadline_or_acknowledgement(harness, job):
    """A silent worker must get no deadline of its earlier process.

    It may have restarted with another clock, and a start was sent with a
    deadline on the clock of the earlier process.
    """
    harness.cluster.add_job(job('7' * 16))
    stage = harness.cluster.jobs['7' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.written.clear()
    harness.session.start(run, '')
    await asyncio.sleep(0)
    await harness.hold(OutcomeUnknownError('silent'))
    expires_at_s = harness.session.leases_expire_at_s
    harness.clock.advance(0.3)
    harness.written.set()
    await asyncio.sleep(0.01)
    await harness.hold(OutcomeUnknownError('silent'))
    assert not harness.client.starts
    assert harness.client.holds[-1][:2] == (0, 0)
    assert harness.session.leases_expire_at_s == expires_at_s
    assert stage.waiting == {0}


async def test_released_worker_gets_no_orders(harness, job):
    """A start that waited for its record must not go to a released worker.

    Its lease would outlast the time for which a successor waits.
    """
    harness.cluster.add_job(job('4' * 16))
    stage = harness.cluster.jobs['4' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.written.clear()
    harness.session.start(run, '')
    await asyncio.sleep(0)
    await harness.hold(OutcomeUnknownError('silent'))
    await harness.hold(OutcomeUnknownError('silent'))
    expires_at_s = harness.session.leases_expire_at_s
    harness.clock.advance(1)
    harness.written.set()
    await asyncio.sleep(0.01)
    assert not harness.client.starts
    assert stage.waiting == {0}
    assert harness.session.leases_expire_at_s == expires_at_s


async def test_failing_session_keeps_worker_released(harness):
    """A reply that cannot be processed must not end the release."""
    await harness.hold(OutcomeUnknownError('silent'))
    await harness.hold(OutcomeUnknownError('silent'))
    releases = harness.session._releases
    released = releases.get('w1')
    harness.cluster.drop_inherited = None
    harness.session.is_adopted = False
    with pytest.raises(TypeError):
        await harness.hold(HoldReply(clock_ms=2000, born_unix_ms=1))
    assert releases.get('w1') is released
    assert not releases.can_send_orders('w1')


@pytest.mark.parametrize('order', ['start', 'stop'])
async def test_refusal_of_own_former_token_ends_no_leadership(
    harness, job, order
):
    """A refusal of an order for a former process must not end the leadership.

    The new process has seen the higher token that this leader uses for it.
    """
    harness.cluster.add_job(job('7' * 16))
    stage = harness.cluster.jobs['7' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    has_restarted = asyncio.Event()
    tokens = []

    async def start(sent):
        tokens.append(sent.fencing_token)
        await has_restarted.wait()
        return StartAnswer.FENCED

    async def stop(task, attempt, token):
        tokens.append(token)
        await has_restarted.wait()
        return token != tokens[0]

    harness.client.start = start
    harness.client.stop = stop
    if order == 'start':
        harness.session.start(run, '')
    else:
        harness.session.stop(run)
    await asyncio.sleep(0.01)
    await harness.hold(HoldReply(clock_ms=10, born_unix_ms=2))
    has_restarted.set()
    await asyncio.sleep(0.01)
    assert tokens
    assert not harness.session._leadership.is_over
    if order == 'stop':
        assert tokens[1] > tokens[0]
        assert run.confirmed_at_s


async def test_refusal_of_the_present_token_ends_the_leadership(harness, job):
    """A worker that obeys a successor must end this leadership."""
    harness.cluster.add_job(job('8' * 16))
    stage = harness.cluster.jobs['8' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)

    async def start(sent):
        return StartAnswer.FENCED

    harness.client.start = start
    harness.session.start(run, '')
    await asyncio.sleep(0.01)
    assert harness.session._leadership.is_over


async def test_member_of_a_done_gang_is_not_ordered_again(harness, job):
    """A start must not be repeated once its gang has ended.

    The payload of an ended job is dropped, so the repetition told the worker to
    run something else than its caller had submitted.
    """
    harness.cluster.add_job(job('9' * 16, count=2, is_gang=True))
    stage = harness.cluster.jobs['9' * 16].stages[0, 0]
    runs = [
        harness.cluster.create_run(stage, index, 'w1', 1) for index in (0, 1)
    ]
    has_ended = asyncio.Event()
    payloads = []

    async def start(order):
        payloads.append(order.payload)
        await has_ended.wait()
        raise OutcomeUnknownError('the answer was lost')

    harness.client.start = start
    harness.session.start(runs[1], '')
    await asyncio.sleep(0.01)
    harness.cluster.end_run(
        'w1',
        EndedRun(number=1, task=runs[0].task, attempt=1, kind=EndKind.DONE),
    )
    harness.cluster.jobs['9' * 16].drop_work()
    has_ended.set()
    await asyncio.sleep(0.01)
    assert payloads == ['payload']


async def test_orphan_of_restarted_worker_is_stopped_at_once(harness, job):
    """A stop that a former process has answered ends nothing in a later one.

    The same run was not stopped there until the time to repeat a stop was over.
    """
    orphan = RunningRun(task=TaskKey('8' * 16, 0, 0, 0), attempt=1)
    first = HoldReply(clock_ms=1100, born_unix_ms=1, running=(orphan,))
    await harness.hold(first)
    await asyncio.sleep(0.01)
    await harness.hold(first)
    await asyncio.sleep(0.01)
    assert len(harness.client.stops) == 1
    await harness.hold(attrs.evolve(first, clock_ms=5, born_unix_ms=2))
    await asyncio.sleep(0.01)
    assert len(harness.client.stops) == 2


async def test_tickets_end_with_the_process_of_a_worker(harness, job):
    """A ticket is valid for one process; the next one refuses the start."""
    harness.cluster.add_job(job('8' * 16))
    stage = harness.cluster.jobs['8' * 16].stages[0, 0]
    stage.tickets = {'w1': ('code', 1000), 'w2': ('code', 1000)}
    await harness.hold(HoldReply(clock_ms=1100, born_unix_ms=1))
    assert stage.has_ticket('w1', 101)
    await harness.hold(HoldReply(clock_ms=5, born_unix_ms=2))
    assert not stage.has_ticket('w1', 101)
    assert stage.has_ticket('w2', 101)
    harness.cluster.remove_worker('w2')
    assert not stage.has_ticket('w2', 101)


async def test_report_of_former_process_describes_no_later_one(
    harness, job, reports
):
    """Nothing may be started by the resources or labels of a former process.

    A restarted worker may have others, and its new report may arrive after its
    first answers.
    """
    former = attrs.evolve(reports[0], born_unix_ms=1)
    harness.cluster.add_worker(former)
    worker = harness.cluster.workers['w1']
    assert worker.is_open(101)
    harness.cluster.add_job(job('8' * 16))
    stage = harness.cluster.jobs['8' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.written.clear()
    harness.session.start(run, '')
    await asyncio.sleep(0)
    for clock_ms in (5, 10):
        await harness.hold(HoldReply(clock_ms=clock_ms, born_unix_ms=2))
    assert not worker.is_open(101)
    harness.written.set()
    await asyncio.sleep(0.01)
    assert not harness.client.starts
    assert stage.waiting == {0}
    harness.cluster.add_worker(attrs.evolve(former, born_unix_ms=2))
    assert worker.is_open(101)


@pytest.mark.parametrize(
    ('is_repeated', 'addressees'), [(False, []), (True, [1])]
)
async def test_start_decided_for_former_process_is_not_sent_to_later_one(
    harness, job, reports, is_repeated, addressees
):
    """A task must not start on a process that it was not placed on.

    The restarted worker had answered and its new report had arrived while the
    placement was written, or while the first try had no answer. The start was
    sent, though the labels and resources had been those of the former process.
    """
    harness.cluster.add_worker(attrs.evolve(reports[0], born_unix_ms=1))
    harness.cluster.add_job(job('8' * 16))
    stage = harness.cluster.jobs['8' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    has_restarted = asyncio.Event()
    sent_to = []

    async def start(order):
        sent_to.append(order.born_unix_ms)
        await has_restarted.wait()
        raise OutcomeUnknownError('no response')

    harness.client.start = start
    if not is_repeated:
        harness.written.clear()
    harness.session.start(run, '')
    await asyncio.sleep(0.01)
    for clock_ms in (5, 10):
        await harness.hold(HoldReply(clock_ms=clock_ms, born_unix_ms=2))
    harness.cluster.add_worker(
        attrs.evolve(reports[0], born_unix_ms=2, labels=frozenset(('other',)))
    )
    harness.written.set()
    has_restarted.set()
    await asyncio.sleep(0.01)
    assert sent_to == addressees
    if is_repeated:
        assert harness.cluster.pop_pending_stops() == [run]
    else:
        assert stage.waiting == {0}


@pytest.fixture
def source(harness, make_source):
    """Return the source of evacuations that the session follows."""
    found = make_source(harness.clock)
    harness.cluster.evacuations.follow(found, 4)
    return found


async def test_start_that_waited_for_its_record_is_withdrawn(
    harness, job, source
):
    """A run that was placed before an evacuation must not be started later.

    Its order waits for the record for up to two seconds, without a round.
    """
    harness.cluster.add_job(job('a' * 16))
    stage = harness.cluster.jobs['a' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.written.clear()
    harness.session.start(run, '')
    await asyncio.sleep(0)
    source.evacuated_domains = frozenset(('east',))
    harness.written.set()
    await asyncio.sleep(0.01)
    assert not harness.client.starts
    assert stage.waiting == {0}
    assert not harness.cluster.workers['w1'].runs
    assert b'reason="start_evacuated"' in harness.cluster._metrics.render()


async def test_start_is_not_repeated_in_an_evacuated_domain(
    harness, job, source
):
    """A start that was not delivered must not be sent again there."""
    harness.cluster.add_job(job('b' * 16))
    stage = harness.cluster.jobs['b' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.client.start_fault = WorkerUnavailableError('not sent')
    harness.client.on_start = lambda: setattr(
        source, 'evacuated_domains', frozenset(('east',))
    )
    harness.session.start(run, '')
    await asyncio.sleep(0.5)
    assert len(harness.client.starts) == 1
    assert stage.waiting == {0}


async def test_unanswered_start_in_an_evacuated_domain_is_stopped(
    harness, job, source
):
    """A start that may still arrive must be prevented, not repeated."""
    harness.cluster.add_job(job('c' * 16))
    stage = harness.cluster.jobs['c' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    harness.client.start_fault = OutcomeUnknownError('no answer')
    harness.client.on_start = lambda: setattr(
        source, 'evacuated_domains', frozenset(('east',))
    )
    harness.session.start(run, '')
    await asyncio.sleep(0.01)
    assert len(harness.client.starts) == 1
    assert harness.cluster.pop_pending_stops() == [run]


async def test_half_placed_gang_is_withdrawn(harness, job, reports, source):
    """The last member would start a gang whose others are evacuated.

    Its own worker is in another failure domain.
    """
    west = attrs.evolve(reports[1], failure_domain='west')
    harness.cluster.add_worker(west)
    harness.cluster.add_job(job('d' * 16, count=2, is_gang=True))
    stage = harness.cluster.jobs['d' * 16].stages[0, 0]
    first = harness.cluster.create_run(stage, 0, 'w2', 1)
    last = harness.cluster.create_run(stage, 1, 'w1', 1)
    harness.cluster.confirm_start(first)
    harness.written.clear()
    harness.session.start(last, '')
    await asyncio.sleep(0)
    source.evacuated_domains = frozenset(('west',))
    harness.written.set()
    await asyncio.sleep(0.01)
    assert not harness.client.starts
    assert harness.cluster.pop_pending_stops() == [first]
    assert stage.waiting == {1}


async def test_task_beside_evacuated_ones_is_started(
    harness, job, reports, source
):
    """Tasks that are no gang start alone, so the others do not matter."""
    west = attrs.evolve(reports[1], failure_domain='west')
    harness.cluster.add_worker(west)
    harness.cluster.add_job(job('e' * 16, count=2))
    stage = harness.cluster.jobs['e' * 16].stages[0, 0]
    harness.cluster.create_run(stage, 0, 'w2', 1)
    last = harness.cluster.create_run(stage, 1, 'w1', 1)
    source.evacuated_domains = frozenset(('west',))
    harness.session.start(last, '')
    await asyncio.sleep(0.01)
    assert len(harness.client.starts) == 1


async def test_start_is_withheld_while_evacuations_are_unknown(
    harness, job, source
):
    """A leader that is cut off from the requests must not go on starting.

    The view may become too old while an order waits for its record.
    """
    harness.cluster.add_job(job('f' * 16))
    stage = harness.cluster.jobs['f' * 16].stages[0, 0]
    run = harness.cluster.create_run(stage, 0, 'w1', 1)
    source.evacuations_read_at_s = harness.clock.now_s() - 4.01
    harness.session.start(run, '')
    await asyncio.sleep(0.01)
    assert not harness.client.starts
    metrics = harness.cluster._metrics.render()
    assert b'reason="start_evacuations_unknown"' in metrics
    source.evacuations_read_at_s = harness.clock.now_s() - 3.99
    second = harness.cluster.create_run(stage, 0, 'w1', 2)
    harness.session.start(second, '')
    await asyncio.sleep(0.01)
    assert len(harness.client.starts) == 1
