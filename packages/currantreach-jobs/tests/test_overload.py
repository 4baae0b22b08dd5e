"""Overload: which jobs wait, which are refused, where tasks are placed.

One team submits many times its share, large gangs arrive together with small
tasks, and more work arrives than the fleet can do.
"""

from __future__ import annotations

import math

import attrs
import pytest

from currantreach_jobs import Queue
from currantreach_jobs._load import Load, measure_load, wait_before_retry_s
from currantreach_jobs._team_rates import TeamRates
from currantreach_types import Resources

WHOLE = Resources(cpu_milli=16000, memory_mib=1000)
SMALL = Resources(cpu_milli=4000, memory_mib=1000)


def test_team_beyond_its_share_waits(offline, job):
    """A flood of jobs of one team must not delay the jobs of the others."""
    made = [
        job(f'f{number}', team='flood', needed=WHOLE, estimate_s=1)
        for number in range(9)
    ]
    made.append(job('steady', needed=WHOLE, estimate_s=5))
    for each in made:
        # All jobs get the age 0, so that the milliseconds that the test takes
        # make none of them older than another.
        later_ms = each.accepted_unix_ms + 60_000
        offline.cluster.add_job(
            attrs.evolve(each, accepted_unix_ms=later_ms),
            weight=2,
        )
    jobs_over_share = [
        name
        for name, progress in offline.cluster.jobs.items()
        if progress.is_over_share
    ]
    assert len(jobs_over_share) == 6
    offline.started()
    offline.end(*offline.launched)
    assert 'steady' in offline.started()


def test_team_rate_allows_a_burst():
    """A team that has paused may submit the jobs of one second at once."""
    team_rates = TeamRates()
    exceeded = [team_rates.record_job('orchard', 4, 10) for _ in range(7)]
    assert exceeded.count(True) == 2
    assert not any(exceeded[:5])
    assert team_rates.teams_over_share(10) == ['orchard']
    assert not team_rates.teams_over_share(12)
    assert not team_rates.record_job('orchard', 4, 12)


def test_waiting_gang_reserves_freed_capacity(offline, job):
    """Small tasks must not use all capacity that a large gang waits for."""
    for number in range(8):
        offline.cluster.add_job(job(f's{number}', needed=SMALL, estimate_s=1))
    offline.started()
    running = list(offline.launched)
    gang = job('gang', count=4, needed=SMALL, is_gang=True, estimate_s=1)
    offline.cluster.add_job(gang)
    later = attrs.evolve(
        job('later', count=8, needed=SMALL, estimate_s=90),
        queue=Queue(
            name='slow',
            host='h',
            path_prefix='/',
            service='passes',
            target_s=60,
        ),
    )
    offline.cluster.add_job(later)
    by_worker = {'w1': [], 'w2': []}
    for run in running:
        by_worker[run.worker_id].append(run)
    offline.end(*by_worker['w1'][:2], *by_worker['w2'][:1])
    assert offline.started() == ['later']
    assert offline.launched[0].worker_id == 'w2'
    offline.end(*by_worker['w1'][2:])
    offline.started()
    assert {run.task.job_id for run in offline.launched} == {'gang'}
    assert {run.worker_id for run in offline.launched} == {'w1'}


def test_overload_refuses_jobs_that_would_end_too_late(offline, job):
    """A job that would end too late to be of use is refused at once."""
    for number in range(40):
        long_job = job(f'l{number}', needed=WHOLE, estimate_s=30)
        offline.cluster.add_job(long_job)
    load = measure_load(offline.cluster, 100)
    assert load.share_wait_s == pytest.approx(600)
    batch = attrs.evolve(
        job('new', estimate_s=5),
        queue=attrs.evolve(job('x').queue, priority=1),
    )
    assert 0 < wait_before_retry_s(load, batch) <= 15


@pytest.mark.parametrize('wait_s', [10.5, 14, 17.3, 21, 600])
def test_refused_callers_return_at_different_times(job, wait_s):
    """Callers that were refused together must not all return together.

    They would be refused together again. Retry-After has whole seconds, and
    none of the times may be before the expected one.
    """
    queue = attrs.evolve(job('x').queue, priority=1)
    load = Load(share_wait_s=wait_s)
    jobs = [
        job(f'n{number}', queue=queue, estimate_s=4) for number in range(99)
    ]
    # The objective is 5 s, so a wait of 10 s would be accepted.
    honest_s = min(12, max(1, wait_s - 10))
    times_s = [wait_before_retry_s(load, each) for each in jobs]
    assert times_s == [wait_before_retry_s(load, each) for each in jobs]
    assert all(honest_s <= each <= honest_s * 1.25 for each in times_s)
    headers = {math.ceil(each) for each in times_s}
    assert headers == {
        seconds
        for seconds in range(1, 16)
        if honest_s <= seconds <= honest_s * 1.25
    } or headers == {math.ceil(honest_s)}


def test_learned_backlog_refuses_jobs(offline, durations, job):
    """Work that takes longer than declared must not be accepted in vain.

    By the estimates, the backlog is 5 s; by the finished runs it is 50 s.
    """
    queue = attrs.evolve(job('x').queue, name='slow', priority=1)
    for number in range(10):
        offline.cluster.add_job(
            job(f'l{number}', queue=queue, needed=WHOLE, estimate_s=1)
        )
    made = job('new', queue=queue, estimate_s=4)
    offline.cluster.workers['w1'].is_usable = False
    offline.cluster.workers['w2'].is_usable = False
    assert not wait_before_retry_s(measure_load(offline.cluster, 100), made)
    durations.lengths_s['slow'] = (10, 12)
    offline.started()
    load = measure_load(offline.cluster, offline.clock.now_s())
    assert load.share_wait_s == pytest.approx(50)
    assert wait_before_retry_s(load, made) >= 12


def test_slow_fleet_has_a_longer_backlog(offline, durations, job):
    """A worker of half the speed does half the work."""
    for number in range(4):
        offline.cluster.add_job(job(f'l{number}', needed=WHOLE, estimate_s=2))
    now_s = offline.clock.now_s()
    assert measure_load(offline.cluster, now_s).wait_s == pytest.approx(4)
    durations.slowdowns.update({'w1': 2, 'w2': 2})
    assert measure_load(offline.cluster, now_s).wait_s == pytest.approx(8)


def test_job_that_would_be_useless_is_refused_at_once(job):
    """A job that ends after three times its objective is of no use.

    One that would only be late is accepted.
    """
    queue = attrs.evolve(job('x').queue, priority=1, stretch_factor=2)
    made = job('new', queue=queue, estimate_s=2)
    assert made.objective_s() == 5
    assert not wait_before_retry_s(Load(share_wait_s=9.9), made)
    assert wait_before_retry_s(Load(share_wait_s=13.1), made)


def test_urgent_job_is_accepted_despite_a_backlog(job):
    """A backlog of batch jobs is no reason to refuse an urgent job."""
    urgent = attrs.evolve(
        job('new', estimate_s=1),
        queue=attrs.evolve(job('x').queue, priority=0),
    )
    assert not wait_before_retry_s(Load(share_wait_s=600), urgent)
    ahead = Load(wait_s=600, teams_over_share=frozenset(('orchard',)))
    assert wait_before_retry_s(ahead, urgent) > 0


def test_fleet_without_backlog_refuses_nothing(job):
    """Without a backlog, jobs of a team over its share are accepted as well."""
    ahead = Load(wait_s=0.5, teams_over_share=frozenset(('orchard',)))
    assert not wait_before_retry_s(ahead, job('new', estimate_s=1))


def test_backlog_of_one_team_refuses_no_other_team(offline, job):
    """Jobs over the share of a team wait last and delay no other team."""
    for number in range(40):
        flood = job(f'f{number}', team='flood', needed=WHOLE, estimate_s=30)
        offline.cluster.add_job(flood, weight=1)
    load = measure_load(offline.cluster, 100)
    batch = attrs.evolve(
        job('new', estimate_s=5),
        queue=attrs.evolve(job('x').queue, priority=1, stretch_factor=3),
    )
    assert not wait_before_retry_s(load, batch)
    assert wait_before_retry_s(load, attrs.evolve(batch, team='flood')) > 0


def test_takeover_is_no_overload(offline, job):
    """Workers that a new leader has not adopted yet count as capacity.

    Jobs were refused for a backlog of 52 s while the workers were free.
    """
    offline.cluster.workers['w1'].is_usable = False
    offline.cluster.workers['w2'].is_usable = False
    for number in range(4):
        offline.cluster.add_job(job(f'l{number}', needed=WHOLE, estimate_s=2))
    assert measure_load(offline.cluster, 100).share_wait_s == pytest.approx(4)
    offline.cluster.workers['w1'].is_listed = False
    assert measure_load(offline.cluster, 100).share_wait_s == pytest.approx(8)


def test_late_job_delays_no_job_that_can_be_in_time(offline, job):
    """After a burst, a late gang must not make the next one late as well."""
    queue = attrs.evolve(job('x').queue, stretch_factor=2, target_s=1)
    late = attrs.evolve(job('late', needed=WHOLE, estimate_s=4), queue=queue)
    offline.cluster.add_job(late)
    offline.clock.advance(7)
    fresh = [
        attrs.evolve(job(name, needed=WHOLE, estimate_s=4), queue=queue)
        for name in ('fresh1', 'fresh2')
    ]
    for each in fresh:
        offline.cluster.add_job(
            attrs.evolve(each, accepted_unix_ms=each.accepted_unix_ms + 7000),
        )
    assert offline.started() == ['fresh1', 'fresh2']
    offline.end(*offline.launched)
    assert offline.started() == ['late']


def test_step_with_longer_remaining_path_starts_first(offline, job):
    """The first of two steps has to start earlier for the job to be in time."""
    queue = attrs.evolve(job('x').queue, stretch_factor=2, target_s=10)
    short = attrs.evolve(job('short', needed=WHOLE, estimate_s=2), queue=queue)
    first = short.steps[0]
    chain = attrs.evolve(
        job('chain', needed=WHOLE, estimate_s=2),
        queue=attrs.evolve(queue, stretch_factor=1),
        steps=(first, attrs.evolve(first, after=(0,))),
    )
    assert chain.objective_s() == short.objective_s()
    assert chain.remaining_path_s() == [4, 2]
    offline.add_workers([])
    offline.cluster.workers['w2'].is_usable = False
    offline.cluster.add_job(short)
    offline.cluster.add_job(chain)
    assert offline.started() == ['chain']


def test_full_fleet_is_searched_at_intervals(offline, job, advised_queue):
    """A full fleet must not be searched for each stage in each round.

    After a restart, such rounds used a whole core of the leader, so that the
    answers of advice calls of 20 ms were processed after a second.
    """
    searches = []
    stage_advice = offline.stage_scheduler._stage_advice
    stage_advice.ask = lambda stage, *_: searches.append(stage)
    for number in range(20):
        advised = attrs.evolve(job(f'a{number}'), queue=advised_queue)
        offline.cluster.add_job(advised)
    for _ in range(10):
        offline.started()
        offline.clock.advance(0.01)
    assert len(searches) == 2 * 20


def test_ticket_is_used_in_the_next_round(offline, job, advised_queue):
    """A stage with a new ticket must not wait for its next search."""
    offline.stage_scheduler._stage_advice.ask = lambda *_: None
    offline.cluster.add_job(attrs.evolve(job('a'), queue=advised_queue))
    assert not offline.started()
    stage = offline.cluster.jobs['a'].stages[0, 0]
    stage.tickets['w2'] = ('ticket', offline.clock.now_s() + 1)
    assert offline.started() == ['a']
    assert offline.launched[0].worker_id == 'w2'


@pytest.fixture
def reserved(offline, job):
    """Return a function that returns the workers a waiting gang reserves."""

    def wait(**step):
        # The first worker has less free capacity than the second one.
        offline.cluster.add_job(
            job('busy', count=7, needed=SMALL, estimate_s=99)
        )
        offline.started()
        made = job('gang', needed=SMALL, is_gang=True, estimate_s=1, **step)
        offline.cluster.add_job(made)
        reservations = offline.stage_scheduler._reservations
        reservations.begin_round(worker_count=4)
        stage = offline.cluster.jobs['gang'].stages[0, 0]
        workers = list(offline.cluster.workers.values())
        now_s = offline.clock.now_s()
        forecast = reservations.forecast(stage, workers, now_s, False)
        reservations.reserve(stage, workers, forecast, now_s, False)
        return {
            name
            for name, worker in offline.cluster.workers.items()
            if worker.reserved_by is stage
        }

    return wait


def test_gang_reserves_a_worker_for_each_task(reserved):
    """A gang with one task per worker must reserve a worker for each task."""
    assert reserved(count=2, max_per_worker=1) == {'w1', 'w2'}


def test_gang_reserves_no_worker_that_services_fill(offline, job, reserved):
    """A gang must not reserve capacity of services, as it never gets free."""
    for name in ('serving1', 'serving2', 'serving3'):
        lasting = job(name, needed=SMALL, is_lasting=True, estimate_s=1)
        offline.cluster.add_job(lasting)
    offline.started()
    assert {run.worker_id for run in offline.launched} == {'w1'}
    assert not reserved(count=6)
