"""Reservations of gangs on a full fleet, and capacity lent meanwhile.

A gang reserved the emptiest workers, on which capacity became free last if
their runs were long, and nothing else could use their free capacity until
then.
"""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs import JobState
from currantreach_jobs._capacity_forecast import ForecastCalculator
from currantreach_jobs._stage_durations import StageDurations, TaskDuration
from currantreach_types import Resources

HALF = Resources(cpu_milli=8000, memory_mib=1000)
QUARTER = Resources(cpu_milli=4000, memory_mib=1000)
WHOLE = Resources(cpu_milli=16000, memory_mib=1000)
STEP_S = 0.05
NOW_S = 100


class LearnedDurations(StageDurations):
    """Durations with a tail by job, and slow workers."""

    def __init__(self):
        super().__init__()
        self.tails_s = {}
        self.slowdowns = {}

    def task(self, stage):
        """Return the declared mean with the tail of the job."""
        declared = super().task(stage)
        job_id = stage.job_progress.job.job_id
        return TaskDuration(
            mean_s=declared.mean_s,
            tail_s=self.tails_s.get(job_id, declared.tail_s),
            run_count=20,
        )

    def slowdown(self, worker_id):
        """Return the factor of a worker."""
        return self.slowdowns.get(worker_id, 1)


@attrs.define
class Fleet:
    """A fleet whose workers are occupied for known times."""

    offline: object
    job: object

    def add(self, job_id, count=1, **step):
        """Add a job with one step; return its stage."""
        self.offline.cluster.add_job(self.job(job_id, count, **step))
        return self.offline.cluster.jobs[job_id].stages[0, 0]

    def occupy(self, job_id, worker_id, needed, estimate_s):
        """Run a task on a worker."""
        stage = self.add(job_id, needed=needed, estimate_s=estimate_s)
        run = self.offline.cluster.create_run(stage, 0, worker_id, 1)
        run.mark_running(self.offline.clock.now_s())
        return run

    def reserved(self, stage):
        """Return the workers that are reserved for a stage."""
        now_s = self.offline.clock.now_s()
        return {
            name
            for name, worker in self.offline.cluster.workers.items()
            if worker.reserved_by is stage and now_s < worker.reserved_until_s
        }

    def advance(self, duration_s):
        """Let time pass; return the jobs that start."""
        started = []
        for _ in range(round(duration_s / STEP_S)):
            self.offline.clock.advance(STEP_S)
            started.extend(self.offline.started())
        return started


@pytest.fixture
def fleet(offline, job, reports):
    """Return a fleet of four workers of 16 cores."""
    offline.add_workers(
        attrs.evolve(reports[0], worker_id=name) for name in ('w3', 'w4')
    )
    offline.cluster.durations = LearnedDurations()
    return Fleet(offline, job)


@pytest.fixture
def busy(fleet):
    """Return the fleet with one run on each worker.

    The emptiest workers, ``w1`` and ``w2``, become free last.
    """
    fleet.occupy('r1', 'w1', QUARTER, 9)
    fleet.occupy('r2', 'w2', QUARTER, 9)
    fleet.occupy('r3', 'w3', WHOLE, 2)
    fleet.occupy('r4', 'w4', WHOLE, 3)
    return fleet


def test_gang_reserves_what_is_free_soonest(busy):
    """A gang must not wait for 9 s on the workers that are emptiest now."""
    gang = busy.add('gang', 2, needed=WHOLE, is_gang=True, estimate_s=4)
    assert not busy.offline.started()
    assert busy.reserved(gang) == {'w3', 'w4'}
    assert gang.expected_start_s == pytest.approx(NOW_S + 3)


def test_gang_reserves_the_emptiest_without_estimates(busy):
    """Without any estimate the emptiest workers are reserved, as before."""
    for progress in busy.offline.cluster.open_jobs.values():
        stage = progress.stages[0, 0]
        stage.step = attrs.evolve(stage.step, estimate_s=0)
    gang = busy.add('gang', 2, needed=WHOLE, is_gang=True)
    assert not busy.offline.started()
    assert busy.reserved(gang) == {'w1', 'w2'}
    assert not gang.expected_start_s
    workers = busy.offline.cluster.workers
    assert not any(worker.reserved_start_s for worker in workers.values())


def test_slow_worker_becomes_free_later(busy):
    """The speed of a worker must count in the expected end of its runs."""
    busy.offline.cluster.durations.slowdowns = {'w3': 10}
    gang = busy.add('gang', needed=WHOLE, is_gang=True, estimate_s=4)
    busy.offline.started()
    assert busy.reserved(gang) == {'w4'}


def test_reservation_expires(busy):
    """A reservation that no round renews must end after 0.3 s."""
    gang = busy.add('gang', 2, needed=WHOLE, is_gang=True, estimate_s=4)
    busy.offline.started()
    gang.job_progress.state = JobState.CANCELLED
    busy.offline.cluster.open_jobs.pop('gang')
    busy.offline.clock.advance(0.31)
    assert not busy.reserved(gang)
    small = busy.add('small', 8, needed=QUARTER, estimate_s=90)
    busy.offline.started()
    assert len(small.waiting) == 2


def test_at_most_half_of_the_fleet_is_reserved(busy):
    """Waiting gangs must leave half of the workers to others."""
    first = busy.add('first', 2, needed=WHOLE, is_gang=True, estimate_s=4)
    second = busy.add('second', 2, needed=WHOLE, is_gang=True, estimate_s=4)
    busy.offline.started()
    assert len(busy.reserved(first) | busy.reserved(second)) == 2


@pytest.fixture
def lending(fleet):
    """Return a gang that waits for the second half of a worker.

    Only ``w1`` is usable, and its other half is free.
    """
    for name in ('w2', 'w3', 'w4'):
        fleet.occupy(f'full-{name}', name, WHOLE, 90)
    fleet.occupy('half', 'w1', HALF, 3)
    gang = fleet.add('gang', 2, needed=HALF, is_gang=True, estimate_s=4)
    assert not fleet.offline.started()
    assert fleet.reserved(gang) == {'w1'}
    return gang


def test_short_task_uses_reserved_capacity(fleet, lending):
    """Reserved capacity must not stay unused for three seconds."""
    fleet.add('short', needed=QUARTER, estimate_s=1)
    assert fleet.offline.started() == ['short']
    assert fleet.reserved(lending) == {'w1'}
    assert lending.expected_start_s == pytest.approx(NOW_S + 3)


@pytest.mark.parametrize(
    ('tail_s', 'slowdown', 'is_lent'),
    [(2.8, 1, True), (2.95, 1, False), (1, 2.5, True), (1, 3.5, False)],
)
def test_tail_decides_about_lending(fleet, lending, tail_s, slowdown, is_lent):
    """A task that may end after the gang can start must not delay it."""
    durations = fleet.offline.cluster.durations
    durations.tails_s['short'] = tail_s
    fleet.add('short', needed=QUARTER, estimate_s=0.5)
    durations.slowdowns['w1'] = slowdown
    assert lending.expected_start_s == pytest.approx(NOW_S + 3)
    assert bool(fleet.offline.started()) is is_lent


def test_task_without_estimate_borrows_nothing(fleet, lending):
    """On a full fleet, a task of unknown duration must not delay a gang."""
    fleet.add('unknown', needed=QUARTER)
    assert not fleet.advance(2.9)


def test_service_does_not_wait_for_a_gang(fleet, lending):
    """A service stays away for as long as a gang reserves what is free.

    It needs half of what is free on the only worker with any room. The gang
    starts once there is room for both.
    """
    cluster = fleet.offline.cluster
    service = fleet.add('service', needed=QUARTER, is_lasting=True)
    assert fleet.offline.started() == ['service']
    cluster.confirm_start(service.tasks[0].run)
    assert not fleet.advance(5)
    fleet.offline.end(cluster.jobs['half'].stages[0, 0].tasks[0].run)
    fleet.offline.end(cluster.jobs['full-w2'].stages[0, 0].tasks[0].run)
    assert fleet.advance(5) == ['gang', 'gang']


def test_service_leaves_reserved_capacity_if_it_can(fleet):
    """A service must not delay a gang while another worker has room.

    The reserved worker is the fuller one, which comes first otherwise.
    """
    fleet.occupy('r1', 'w1', HALF, 3)
    for name in ('w2', 'w3'):
        fleet.occupy(f'full-{name}', name, WHOLE, 90)
    fleet.occupy('r4', 'w4', QUARTER, 90)
    gang = fleet.add('gang', needed=WHOLE, is_gang=True, estimate_s=4)
    fleet.offline.started()
    assert fleet.reserved(gang) == {'w1'}
    fleet.add('service', needed=QUARTER, is_lasting=True)
    assert fleet.offline.started() == ['service']
    assert fleet.offline.launched[0].worker_id == 'w4'


def test_lent_capacity_that_is_late_delays_by_one_run(fleet, lending, log):
    """A late task delays the gang until its own end, and nothing follows it.

    The late task takes 3.5 s instead of one. Meanwhile other short tasks wait,
    and none of them may use the capacity before the gang.
    """
    cluster = fleet.offline.cluster
    fleet.add('late', needed=QUARTER, estimate_s=1)
    assert fleet.offline.started() == ['late']
    assert any('borrowed=1' in line for line in log.formatted_records)
    fleet.offline.launched[0].mark_running(fleet.offline.clock.now_s())
    late_run = fleet.offline.launched[0]
    fleet.advance(3)
    half_run = cluster.jobs['half'].stages[0, 0].tasks[0].run
    fleet.offline.end(half_run)
    for number in range(8):
        fleet.add(f'other{number}', needed=QUARTER, estimate_s=1)
    assert not fleet.advance(0.5)
    fleet.offline.end(late_run)
    started = fleet.offline.started()
    assert started[:2] == ['gang', 'gang']


def test_boosted_stage_lends_nothing(fleet, lending):
    """The wait of a boosted stage is bounded, so nothing may delay it."""
    fleet.offline.cluster.durations.slowdowns['w1'] = 20
    fleet.advance(6)
    assert fleet.reserved(lending) == {'w1'}
    fleet.offline.cluster.durations.tails_s['short'] = 0.01
    fleet.add('short', needed=QUARTER, estimate_s=0.01)
    assert not fleet.offline.started()


def test_new_leader_makes_its_own_reservations(lending, make_offline, job):
    """A leader that takes over must not depend on earlier reservations.

    It has adopted the run on ``w1``, and knows its duration by the estimate.
    """
    successor = make_offline()
    worker = successor.cluster.workers['w1']
    assert worker.reserved_by is None
    taken_over = Fleet(successor, job)
    taken_over.occupy('full', 'w2', WHOLE, 90)
    taken_over.occupy('half', 'w1', HALF, 3)
    gang = taken_over.add('gang', 2, needed=HALF, is_gang=True, estimate_s=4)
    taken_over.add('long', needed=QUARTER, estimate_s=9)
    assert not successor.started()
    assert worker.reserved_by is gang
    assert worker.reserved_start_s == pytest.approx(NOW_S + 3)


@pytest.mark.parametrize('size', [2, 3, 4])
def test_gangs_of_all_sizes_start_beside_wide_work(fleet, size):
    """No gang may starve on a full fleet beside wide work that never ends.

    Wide tasks of 0.5 s always wait and would use all capacity as soon as it
    becomes free. The gang has to start before the priority boost.
    """
    offline = fleet.offline
    ends = []
    gang = None
    for number in range(80):
        if number == 20:
            gang = fleet.add(
                'gang', size, needed=HALF, is_gang=True, estimate_s=1
            )
        if number % 5 == 0:
            fleet.add(f'wide{number}', 12, needed=QUARTER, estimate_s=0.5)
        now_s = offline.clock.now_s()
        due = [end for end in ends if end[0] <= now_s]
        for _, run in due:
            run.stage.finish(run.task.index)
            offline.cluster.mark_run_lost(run)
            run.stage.waiting.discard(run.task.index)
        ends = [end for end in ends if end[0] > now_s]
        offline.started()
        for launched in offline.launched:
            launched.mark_running(now_s)
            ends.append((now_s + launched.stage.step.estimate_s, launched))
        if gang is not None and not gang.waiting:
            break
        offline.clock.advance(STEP_S)
    assert gang is not None
    assert not gang.waiting
    assert offline.clock.now_s() < gang.wait_began_s + 3


def test_forecast_follows_ends_and_starts(fleet):
    """A forecast must not count capacity twice when a run has ended."""
    run = fleet.occupy('r1', 'w1', WHOLE, 2)
    gang = fleet.add('gang', 2, needed=HALF, is_gang=True, estimate_s=1)
    calculator = ForecastCalculator(fleet.offline.cluster)
    worker = fleet.offline.cluster.workers['w1']

    def start_s(needed_count):
        found = calculator.forecast(gang, [worker], needed_count, 4, NOW_S)
        return found and found.start_s

    assert start_s(2) == pytest.approx(NOW_S + 2)
    assert start_s(3) is None
    fleet.offline.end(run)
    assert start_s(2) == NOW_S
    fleet.occupy('r2', 'w1', HALF, 5)
    assert start_s(1) == NOW_S
    assert start_s(2) == pytest.approx(NOW_S + 5)


def test_overdue_run_is_not_expected_at_once(fleet):
    """A run beyond its estimate must not make its worker look free."""
    fleet.occupy('r1', 'w1', WHOLE, 2)
    gang = fleet.add('gang', needed=HALF, is_gang=True, estimate_s=1)
    calculator = ForecastCalculator(fleet.offline.cluster)
    worker = fleet.offline.cluster.workers['w1']
    found = calculator.forecast(gang, [worker], 1, 4, NOW_S + 7)
    # It is 5 s beyond its estimate, so another half of that is expected.
    assert found.start_s == pytest.approx(NOW_S + 9.5)
    assert not found.is_free


def test_forecast_with_a_limit_on_workers_has_workers(offline, job, reports):
    """A forecast must not lose its workers to one that frees up just after.

    A gang without workers reserved nothing, and smaller tasks took the
    capacity that it waited for.
    """
    cluster = offline.cluster
    fleet = Fleet(offline, job)
    cluster.add_worker(attrs.evolve(reports[0], cold_remaining_s=60))
    fleet.occupy('r1', 'w1', WHOLE, 1)
    fleet.occupy('r2', 'w2', HALF, 1.05)
    fleet.occupy('r3', 'w2', HALF, 9)
    gang = fleet.add('gang', 2, needed=HALF, is_gang=True, estimate_s=4)
    forecast = ForecastCalculator(cluster).forecast(
        gang, cluster.workers.values(), 2, 1, offline.clock.now_s()
    )
    assert [worker.report.worker_id for worker in forecast.workers] == ['w1']


def test_forecast_uses_a_cold_worker_beside_a_warm_one(offline, job, reports):
    """A forecast must have workers if warm ones alone are too many.

    The two warm workers that come first fit two of three tasks.
    """
    cluster = offline.cluster
    fleet = Fleet(offline, job)
    cold = attrs.evolve(reports[0], worker_id='w3', cold_remaining_s=60)
    offline.add_workers([cold])
    fleet.occupy('r1', 'w1', HALF, 1)
    fleet.occupy('r2', 'w1', HALF, 9)
    fleet.occupy('r3', 'w2', HALF, 2)
    fleet.occupy('r4', 'w2', HALF, 9)
    fleet.occupy('r5', 'w3', WHOLE, 3)
    gang = fleet.add('gang', 3, needed=HALF, is_gang=True, estimate_s=4)
    forecast = ForecastCalculator(cluster).forecast(
        gang, cluster.workers.values(), 3, 2, offline.clock.now_s()
    )
    assert forecast.start_s == pytest.approx(NOW_S + 3)
    names = [worker.report.worker_id for worker in forecast.workers]
    assert len(names) == 2
    assert 'w3' in names
