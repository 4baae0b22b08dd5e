"""Log lines and gauges that tell why a stage is not started.

An accepted job stood still for twenty seconds after a takeover, and no line
told what it waited for.
"""

from __future__ import annotations

import types

import attrs
import logbook
import pytest

from currantreach_jobs import AdviceConfig, EndedRun, EndKind, SiteConfig, Team
from currantreach_jobs._records import Placement, ProgressRecord, StageRecord
from currantreach_jobs._wait_monitor import WaitMonitor, availability_of
from currantreach_jobs._wait_reasons import WaitReason
from currantreach_types import Resources

WHOLE = Resources(cpu_milli=16000, memory_mib=1000)
HALF = Resources(cpu_milli=8000, memory_mib=1000)
LEASE_S = 7


@pytest.fixture
def monitor(offline):
    """Return a monitor whose workers' leases end 7 s after the start."""
    over_s = offline.clock.now_s() + LEASE_S
    session = types.SimpleNamespace(leases_expire_at_s=over_s)
    sessions = types.SimpleNamespace(get=lambda _: session)
    return WaitMonitor(offline.cluster, offline.clock, sessions)


@pytest.fixture
def log():
    """Return the log lines that are written."""
    with logbook.TestHandler().applicationbound() as handler:
        yield handler


@pytest.fixture
def reasons(offline, monitor, log):
    """Return a function that waits and returns the lines by their jobs."""

    def wait(wait_s, gate=None):
        log.records.clear()
        for _ in range(round(wait_s / 0.1)):
            if gate is None:
                offline.stage_scheduler.schedule()
            monitor.log_waits(gate)
            offline.clock.advance(0.1)
        lines = [record.message for record in log.records]
        return [
            dict(pair.split('=', 1) for pair in line.split())
            for line in lines
            if 'event=stage_waiting' in line
        ]

    return wait


def test_stage_without_room_is_reported(offline, job, reasons):
    """A job that waits for room says how many workers are open at all."""
    offline.cluster.workers['w2'].is_usable = False
    offline.cluster.add_job(job('busy', needed=WHOLE))
    assert not reasons(1)
    offline.cluster.add_job(job('waits', needed=WHOLE))
    found = reasons(1.6)
    assert [line['job'] for line in found] == ['waits']
    assert found[0]['reason'] == 'no_room'
    assert found[0]['waiting'] == '1'
    assert (found[0]['open'], found[0]['workers']) == ('1', '2')
    assert float(found[0]['since_s']) >= 1


def test_pauses_between_lines_grow(offline, job, reasons):
    """A job that waits for long must not fill the log."""
    offline.add_workers([])
    offline.cluster.workers.clear()
    offline.cluster.add_job(job('waits'))
    assert 4 <= len(reasons(30)) <= 6


def test_lines_are_bounded_and_the_oldest_come_first(offline, job, reasons):
    """A thousand waiting jobs write some twenty lines a second."""
    offline.cluster.workers.clear()
    for number in range(1000):
        offline.cluster.add_job(job(f'j{number}'))
        if not number:
            reasons(0.5)
    found = reasons(2.5)
    assert 10 <= len(found) <= 50
    assert found[0]['job'] == 'j0'


def test_held_task_names_its_worker(offline, job, reasons):
    """A task of an earlier leader waits for the lists of its worker."""
    offline.cluster.workers['w1'].is_usable = False
    record = ProgressRecord(
        stages={'0.0': StageRecord(placed={0: Placement('w1', 3)})},
    )
    offline.cluster.add_job(job('held', count=2, is_gang=True), record)
    found = reasons(1.6)[0]
    assert found['reason'] == 'held'
    assert (found['worker'], found['held']) == ('w1', '1')
    assert 0 < float(found['for_s']) < LEASE_S


def test_step_that_waits_for_another_is_not_reported(offline, job, reasons):
    """Only stages whose turn has come count as waiting."""
    made = job('chain', needed=WHOLE)
    first = made.steps[0]
    steps = (first, attrs.evolve(first, after=(0,)))
    offline.cluster.add_job(attrs.evolve(made, steps=steps))
    assert not reasons(3)


def test_incomplete_gang_names_the_worker(offline, job, reasons):
    """A gang cannot start anew before its last member has ended."""
    offline.cluster.add_job(job('gang', count=2, needed=WHOLE, is_gang=True))
    offline.started()
    first, other = offline.launched
    for run in (first, other):
        offline.cluster.confirm_start(run)
    offline.cluster.mark_run_lost(first)
    found = reasons(1.6)[0]
    assert found['reason'] == 'gang_incomplete'
    assert found['worker'] == other.worker_id
    assert (found['running'], found['stopping']) == ('1', '1')


def test_team_limit_is_named(offline, job, reasons):
    """A team that runs as much as it may waits beside free workers."""
    limit = Resources(cpu_milli=16000)
    offline.stage_scheduler._read_config = lambda: SiteConfig(
        version=1,
        teams={'orchard': Team(name='orchard', limit=limit)},
    )
    offline.cluster.add_job(job('first', needed=WHOLE))
    offline.cluster.add_job(job('second', needed=WHOLE))
    found = reasons(1.6)[0]
    assert (found['reason'], found['team']) == ('team_limit', 'orchard')


@pytest.mark.parametrize(
    'gate',
    [WaitReason.RECORDS_UNWRITTEN, WaitReason.NO_LEASE],
)
def test_leader_that_starts_nothing_is_named(offline, job, reasons, gate):
    """Without its lease or with a slow store the leader starts nothing."""
    offline.cluster.add_job(job('waits'))
    assert reasons(1.6, gate)[0]['reason'] == gate


def test_room_kept_for_a_gang_is_named(offline, job, reasons):
    """A task may wait beside room that is kept for a gang."""
    offline.cluster.add_job(job('busy', count=3, needed=HALF, estimate_s=99))
    offline.started()
    offline.cluster.add_job(job('gang', count=2, needed=WHOLE, is_gang=True))
    gang = offline.cluster.jobs['gang'].stages[0, 0]
    for room in offline.cluster.workers.values():
        room.reserved_by = gang
        room.reserved_until_s = offline.clock.now_s() + 99
    offline.cluster.add_job(job('small', needed=HALF))
    found = {line['job']: line['reason'] for line in reasons(1.6)}
    assert found['small'] == 'reserved'


def test_verdicts_that_leave_no_worker_are_named(offline, job, reasons):
    """All workers with room may be forbidden to a step."""
    queue = attrs.evolve(
        job('x').queue,
        advice=AdviceConfig(fixed_s=0.5, per_worker_s=0.01, ticket_s=2),
    )
    offline.cluster.add_job(attrs.evolve(job('waits'), queue=queue))
    stage = offline.cluster.jobs['waits'].stages[0, 0]
    stage.allowed = {'w1': False, 'w2': False}
    found = reasons(1.6)[0]
    assert found['reason'] == 'not_allowed'
    assert int(found['forbidden']) > 0


def test_call_under_way_is_named(offline, job, reasons, advised_queue):
    """A call to the placement service may be under way or not be sent."""
    offline.cluster.add_job(attrs.evolve(job('waits'), queue=advised_queue))
    stage = offline.cluster.jobs['waits'].stages[0, 0]
    offline.stage_scheduler._ask = lambda *_: WaitReason.NO_ADVISER_FREE
    assert reasons(1.6)[0]['reason'] == 'no_adviser_free'
    stage.asked_until_s = offline.clock.now_s() + 9
    found = reasons(3)[0]
    assert found['reason'] == 'advice_pending'
    assert float(found['for_s']) > 0


def test_refused_start_counts_as_a_wait(offline, job, reasons):
    """A stage whose starts are refused each time has not had its turn."""
    offline.cluster.add_job(job('waits'))
    found = []
    for _ in range(8):
        offline.started()
        offline.cluster.refuse_start(offline.launched[0], 'no_room')
        found.extend(reasons(0.3))
        offline.launched.clear()
    assert [line['reason'] for line in found] == ['paused']


def test_wait_begins_anew_after_a_run(offline, job):
    """A stage whose run was lost waits since then."""
    offline.cluster.add_job(job('again'))
    offline.started()
    offline.cluster.confirm_start(offline.launched[0])
    offline.clock.advance(20)
    offline.cluster.mark_run_lost(offline.launched[0])
    stage = offline.cluster.jobs['again'].stages[0, 0]
    assert stage.wait_began_s == offline.clock.now_s()


def test_gauge_counts_stages_by_reason(offline, job, monitor):
    """The gauge tells how many stages wait, and for what."""
    offline.cluster.workers['w2'].is_usable = False
    for name in ('first', 'second', 'third'):
        offline.cluster.add_job(job(name, needed=WHOLE))
    offline.stage_scheduler.schedule()
    counts = monitor.count_by_reason()
    assert counts.pop('no_room') == 2
    assert not any(counts.values())


@pytest.mark.parametrize(
    ('changes', 'state'),
    [
        ({}, 'open'),
        ({'is_listed': False}, 'unlisted'),
        ({'is_usable': False}, 'unadopted'),
        ({'orphans': {('task', 1)}}, 'orphans'),
        ({'failing_until_s': 999}, 'paused'),
    ],
)
def test_state_of_a_worker(offline, changes, state):
    """The gauge of workers tells why nothing is started on them."""
    room = attrs.evolve(offline.cluster.workers['w1'], **changes)
    now_s = offline.clock.now_s()
    assert room.is_open(now_s) == (state == 'open')
    assert availability_of(room, False, True, now_s) == state


def test_silent_and_draining_workers(offline):
    """A worker that does not answer is told from one that leaves."""
    room = offline.cluster.workers['w1']
    assert availability_of(room, True, False, 0) == 'silent'
    assert availability_of(room, False, False, 0) == 'unadopted'
    room.report = attrs.evolve(room.report, is_draining=True)
    assert availability_of(room, False, True, 0) == 'draining'


def test_run_that_is_cut_short_leaves_a_trace(offline, job, log):
    """A run that lapsed or was broken was started again without a line."""
    offline.cluster.add_job(job('again'))
    offline.started()
    run = offline.launched[0]
    ended = EndedRun(
        number=1,
        task=run.task,
        attempt=run.attempt,
        kind=EndKind.LAPSED,
    )
    offline.cluster.end_run(run.worker_id, ended)
    lines = [record.message for record in log.records]
    assert any(
        'event=run_cut_short' in line and 'how=lapsed' in line for line in lines
    )
    assert b'reason="run_lapsed"' in offline.metrics.render()


def test_leader_counts_its_workers(run_scenario, wait_until):
    """The gauges of the leader must work while it decides."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.add('w2').silent = True
        host = cell.start('east')
        await wait_until(lambda: host.scheduler and host.scheduler.is_ready)
        scheduler = host.scheduler
        await wait_until(lambda: scheduler.worker_counts()['open'] == 1)
        await wait_until(lambda: scheduler.worker_counts()['silent'] == 1)
        assert sum(scheduler.worker_counts().values()) == 2
        assert not any(scheduler.wait_monitor.count_by_reason().values())

    run_scenario(scenario)
