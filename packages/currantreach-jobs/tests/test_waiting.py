"""Log lines and gauges for the reason why a stage waits.

They guard against a job that waits without an explanation: one was not started
for twenty seconds after a takeover, and no line showed why.
"""

from __future__ import annotations

import types

import attrs
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
    expires_at_s = offline.clock.now_s() + LEASE_S
    session = types.SimpleNamespace(leases_expire_at_s=expires_at_s)
    sessions = types.SimpleNamespace(get=lambda _: session)
    return WaitMonitor(offline.cluster, offline.clock, sessions)


@pytest.fixture
def reasons(offline, monitor, log):
    """Return a function that lets time pass and returns the wait lines."""

    def wait(wait_s, global_wait_reason=None):
        log.records.clear()
        for _ in range(round(wait_s / 0.1)):
            if global_wait_reason is None:
                offline.stage_scheduler.schedule()
            monitor.log_waits(global_wait_reason)
            offline.clock.advance(0.1)
        lines = [record.message for record in log.records]
        return [
            dict(pair.split('=', 1) for pair in line.split())
            for line in lines
            if 'event=stage_waiting' in line
        ]

    return wait


def test_stage_without_capacity_is_reported(offline, job, reasons):
    """A stage without capacity is logged with the number of open workers."""
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
    """A long wait must not fill the log."""
    offline.add_workers([])
    offline.cluster.workers.clear()
    offline.cluster.add_job(job('waits'))
    assert 4 <= len(reasons(30)) <= 6


def test_lines_are_bounded_and_the_oldest_come_first(offline, job, reasons):
    """A thousand waiting jobs log some twenty lines a second at most."""
    offline.cluster.workers.clear()
    for number in range(1000):
        offline.cluster.add_job(job(f'j{number}'))
        if not number:
            reasons(0.5)
    found = reasons(2.5)
    assert 10 <= len(found) <= 50
    assert found[0]['job'] == 'j0'


def test_inherited_task_names_its_worker(offline, job, reasons):
    """A task that an earlier leader placed waits for its worker's runs."""
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
    """A stage whose dependencies are not done does not count as waiting."""
    made = job('chain', needed=WHOLE)
    first = made.steps[0]
    steps = (first, attrs.evolve(first, after=(0,)))
    offline.cluster.add_job(attrs.evolve(made, steps=steps))
    assert not reasons(3)


def test_incomplete_gang_names_the_worker(offline, job, reasons):
    """A gang cannot restart before the last of its tasks has ended."""
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
    """A team at its limit waits although workers are free."""
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
    'global_wait_reason',
    [WaitReason.RECORDS_UNWRITTEN, WaitReason.NO_LEASE],
)
def test_leader_that_starts_nothing_is_named(
    offline, job, reasons, global_wait_reason
):
    """The leader starts nothing without its lease or with a slow store."""
    offline.cluster.add_job(job('waits'))
    assert reasons(1.6, global_wait_reason)[0]['reason'] == global_wait_reason


def test_reserved_capacity_is_named(offline, job, reasons):
    """A task may wait although capacity reserved for a gang is free."""
    offline.cluster.add_job(job('busy', count=3, needed=HALF, estimate_s=99))
    offline.started()
    offline.cluster.add_job(job('gang', count=2, needed=WHOLE, is_gang=True))
    gang = offline.cluster.jobs['gang'].stages[0, 0]
    for worker in offline.cluster.workers.values():
        worker.reserved_by = gang
        worker.reserved_until_s = offline.clock.now_s() + 99
    offline.cluster.add_job(job('small', needed=HALF))
    found = {line['job']: line['reason'] for line in reasons(1.6)}
    assert found['small'] == 'reserved'


def test_forbidden_workers_are_named(offline, job, reasons):
    """The placement service may forbid all workers with free capacity."""
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


def test_advice_call_in_flight_is_named(offline, job, reasons, advised_queue):
    """An advice call may be in flight, or no daemon may be free to send it."""
    offline.cluster.add_job(attrs.evolve(job('waits'), queue=advised_queue))
    stage = offline.cluster.jobs['waits'].stages[0, 0]
    stage_advice = offline.stage_scheduler._stage_advice
    stage_advice.ask = lambda *_: WaitReason.NO_ADVISER_FREE
    assert reasons(1.6)[0]['reason'] == 'no_adviser_free'
    stage.advice_deadline_s = offline.clock.now_s() + 9
    found = reasons(3)[0]
    assert found['reason'] == 'advice_pending'
    assert float(found['for_s']) > 0


def test_refused_start_counts_as_a_wait(offline, job, reasons):
    """Refused starts must not reset the wait of a stage."""
    offline.cluster.add_job(job('waits'))
    found = []
    for _ in range(8):
        offline.started()
        offline.cluster.abandon_start(offline.launched[0], 'no_room')
        found.extend(reasons(0.3))
        offline.launched.clear()
    assert [line['reason'] for line in found] == ['paused']


def test_wait_restarts_after_a_run(offline, job):
    """The wait of a stage whose run was lost begins at the loss."""
    offline.cluster.add_job(job('again'))
    offline.started()
    offline.cluster.confirm_start(offline.launched[0])
    offline.clock.advance(20)
    offline.cluster.mark_run_lost(offline.launched[0])
    stage = offline.cluster.jobs['again'].stages[0, 0]
    assert stage.wait_began_s == offline.clock.now_s()


def test_gauge_counts_stages_by_reason(offline, job, monitor):
    """The gauge counts the waiting stages by the reason of their wait."""
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
        ({'paused_until_s': 999}, 'paused'),
        ({'is_evacuated': True}, 'evacuated'),
    ],
)
def test_state_of_a_worker(offline, changes, state):
    """The availability tells why nothing is started on a worker."""
    worker = attrs.evolve(offline.cluster.workers['w1'], **changes)
    now_s = offline.clock.now_s()
    assert worker.is_open(now_s) == (state == 'open')
    assert availability_of(worker, False, True, now_s) == state


@pytest.mark.parametrize(
    ('reported_unix_ms', 'born_unix_ms', 'state'),
    [
        (1, 1, 'open'),
        (1, 2, 'unadopted'),
        (2, 1, 'unadopted'),
        (0, 2, 'open'),
        (1, 0, 'open'),
    ],
)
def test_report_of_another_process(
    offline, reported_unix_ms, born_unix_ms, state
):
    """A worker is used only by a report of the process that answers.

    One whose report or lists lack its start time must not be left unused.
    """
    worker = offline.cluster.workers['w1']
    worker.report = attrs.evolve(worker.report, born_unix_ms=reported_unix_ms)
    worker.born_unix_ms = born_unix_ms
    now_s = offline.clock.now_s()
    assert worker.is_open(now_s) == (state == 'open')
    assert availability_of(worker, False, True, now_s) == state


def test_silent_and_draining_workers(offline):
    """A silent worker is distinguished from a draining one."""
    worker = offline.cluster.workers['w1']
    assert availability_of(worker, True, False, 0) == 'silent'
    assert availability_of(worker, False, False, 0) == 'unadopted'
    worker.report = attrs.evolve(worker.report, is_draining=True)
    assert availability_of(worker, False, True, 0) == 'draining'


def test_interrupted_run_is_logged(offline, job, log):
    """The end of a run that lapsed or broke must be logged."""
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
    """The gauges of the leader work while it schedules."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.add('w2').silent = True
        daemon = cell.start('east')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        scheduler = daemon.scheduler
        await wait_until(lambda: scheduler.worker_counts()['open'] == 1)
        await wait_until(lambda: scheduler.worker_counts()['silent'] == 1)
        assert sum(scheduler.worker_counts().values()) == 2
        assert not any(scheduler.wait_monitor.count_by_reason().values())

    run_scenario(scenario)
