"""Evacuated failure domains: nothing starts there, and runs continue.

A start in a failure domain after the operator has evacuated it is lost when its
workers are switched off. Each test names the path on which it may occur.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_jobs import (
    AdviceConfig,
    ConfigSource,
    EndKind,
    JobSettings,
    Outcome,
)
from currantreach_jobs._load import measure_load
from currantreach_jobs._wait_monitor import WaitMonitor
from currantreach_types import Resources

WHOLE = Resources(cpu_milli=16000, memory_mib=1000)
HALF = Resources(cpu_milli=8000, memory_mib=1000)
ONE = '1' * 16
TWO = '2' * 16
THREE = '3' * 16
EAST = frozenset(('east',))
WEST = frozenset(('west',))


class PlainSource(ConfigSource):
    """Source that knows nothing of evacuations."""

    config = None
    last_answer_at_s = 7

    async def follow(self):
        """Follow nothing."""


@pytest.fixture
def domains(offline, reports, make_source):
    """Return the source of evacuations; w1 is in east and w2 in west."""
    offline.add_workers([attrs.evolve(reports[1], failure_domain='west')])
    source = make_source(offline.clock)
    offline.cluster.evacuations.follow(source, float('inf'))
    return source


def evacuate(offline, source, evacuated):
    """Evacuate some failure domains and mark their workers."""
    source.evacuated_domains = evacuated
    offline.cluster.evacuations.update()


def used_workers(offline):
    """Schedule once and return the workers on which runs start."""
    offline.started()
    return {run.worker_id for run in offline.launched}


def test_source_without_evacuations_has_none():
    """Sources that know of no evacuations must go on working."""

    source = PlainSource()
    assert source.evacuated_domains == frozenset()
    assert source.evacuations_read_at_s == 7


def test_nothing_is_placed_in_an_evacuated_domain(offline, job, domains):
    """Tasks must use the remaining workers only, and all after the end."""
    evacuate(offline, domains, EAST)
    offline.cluster.add_job(job(ONE, count=4, needed=HALF))
    assert used_workers(offline) == {'w2'}
    evacuate(offline, domains, frozenset())
    assert used_workers(offline) == {'w1'}


def test_unknown_domain_evacuates_no_worker(offline, job, domains, log):
    """A misspelled name must not keep any worker from use, but be visible."""
    evacuate(offline, domains, frozenset(('eas', 'EAST', 'east ', '\x00')))
    offline.cluster.add_job(job(ONE, count=4, needed=HALF))
    assert used_workers(offline) == {'w1', 'w2'}
    lines = [
        record.message
        for record in log.records
        if 'event=evacuation_begun' in record.message
    ]
    assert len(lines) == 4
    assert all('workers=0' in line for line in lines)


def test_gang_reserves_nothing_in_an_evacuated_domain(offline, job, domains):
    """Capacity reserved there would be lost to the gang."""
    offline.cluster.add_job(job(ONE, count=2, needed=WHOLE, estimate_s=9))
    offline.started()
    evacuate(offline, domains, EAST)
    gang = job(TWO, count=2, needed=HALF, is_gang=True, estimate_s=1)
    offline.cluster.add_job(gang)
    for _ in range(3):
        offline.clock.advance(0.1)
        offline.started()
    workers = offline.cluster.workers
    assert workers['w1'].reserved_by is None
    assert workers['w2'].reserved_by is None
    evacuate(offline, domains, frozenset())
    offline.clock.advance(0.1)
    offline.started()
    assert workers['w1'].reserved_by or workers['w2'].reserved_by


def test_gang_that_needs_both_domains_waits(offline, job, domains):
    """A gang must not be placed in part while a domain is evacuated."""
    offline.cluster.add_job(job(ONE, count=4, needed=HALF, is_gang=True))
    evacuate(offline, domains, EAST)
    assert not used_workers(offline)
    evacuate(offline, domains, frozenset())
    offline.clock.advance(0.1)
    assert used_workers(offline) == {'w1', 'w2'}


def test_boosted_stage_uses_no_evacuated_worker(offline, job, domains):
    """A stage that has waited for long may use reserved capacity only."""
    evacuate(offline, domains, EAST | WEST)
    offline.cluster.add_job(job(ONE))
    for _ in range(80):
        assert not used_workers(offline)
        offline.clock.advance(0.1)
    assert offline.stage_scheduler._boosted_stage is None


@pytest.mark.parametrize('evacuated', [EAST, EAST | WEST])
def test_wait_reason_names_the_evacuation(
    offline, job, domains, log, evacuated
):
    """The operator must see which work an evacuation holds up."""
    monitor = WaitMonitor(offline.cluster, offline.clock, {})
    evacuate(offline, domains, evacuated)
    offline.cluster.add_job(job(ONE, needed=WHOLE))
    offline.cluster.add_job(job(TWO, needed=WHOLE))
    for _ in range(16):
        offline.stage_scheduler.schedule()
        monitor.log_waits()
        offline.clock.advance(0.1)
    lines = [
        record.message
        for record in log.records
        if 'event=stage_waiting' in record.message
    ]
    assert lines
    assert all('reason=evacuated' in line for line in lines)
    assert monitor.count_by_reason()['evacuated'] == len(evacuated)


def test_full_evacuated_fleet_waits_for_the_operator(offline, job, domains):
    """Capacity that becomes free there is of no use before the end."""
    monitor = WaitMonitor(offline.cluster, offline.clock, {})
    offline.cluster.add_job(job(ONE, count=2, needed=WHOLE))
    offline.started()
    evacuate(offline, domains, EAST | WEST)
    offline.cluster.add_job(job(TWO, needed=WHOLE))
    for _ in range(16):
        offline.stage_scheduler.schedule()
        monitor.log_waits()
        offline.clock.advance(0.1)
    assert monitor.count_by_reason()['evacuated'] == 1


def test_full_fleet_is_not_blamed_on_the_evacuation(offline, job, domains, log):
    """Work that no worker has capacity for does not wait for the operator."""
    monitor = WaitMonitor(offline.cluster, offline.clock, {})
    offline.cluster.add_job(job(ONE, count=2, needed=WHOLE))
    offline.started()
    evacuate(offline, domains, EAST)
    offline.cluster.add_job(job(TWO, needed=WHOLE))
    for _ in range(16):
        offline.stage_scheduler.schedule()
        monitor.log_waits()
        offline.clock.advance(0.1)
    assert monitor.count_by_reason()['no_room'] == 1


def test_start_and_end_are_logged_once(offline, domains, log):
    """Each evacuation has one line at its start and one at its end."""
    for evacuated in (EAST, EAST, EAST | WEST, WEST, WEST, frozenset()):
        evacuate(offline, domains, evacuated)
    lines = [
        record.message.split(' workers=')[0]
        for record in log.records
        if 'event=evacuation_' in record.message
    ]
    assert lines == [
        'event=evacuation_begun domain=east',
        'event=evacuation_begun domain=west',
        'event=evacuation_ended domain=east',
        'event=evacuation_ended domain=west',
    ]


def test_load_counts_the_remaining_workers(offline, job, domains):
    """Waiting work takes longer while a domain is evacuated."""
    evacuate(offline, domains, EAST)
    offline.cluster.add_job(job(ONE, count=4, needed=WHOLE, estimate_s=3))
    load = measure_load(offline.cluster, offline.clock.now_s())
    assert load.wait_s == pytest.approx(12)
    assert not load.evacuated_services
    evacuate(offline, domains, frozenset())
    load = measure_load(offline.cluster, offline.clock.now_s())
    assert load.wait_s == pytest.approx(6)


@pytest.mark.parametrize(
    ('changes', 'is_evacuated'),
    [
        ({}, False),
        ({'is_usable': False}, False),
        ({'is_listed': False}, True),
        ({'is_evacuated': True}, True),
    ],
)
def test_service_without_remaining_workers(
    offline, domains, changes, is_evacuated
):
    """A worker that does not answer yet may be used soon, a gone one not."""
    evacuate(offline, domains, EAST)
    for name, found in changes.items():
        setattr(offline.cluster.workers['w2'], name, found)
    load = measure_load(offline.cluster, offline.clock.now_s())
    assert ('passes' in load.evacuated_services) is is_evacuated


def test_service_without_workers_is_not_evacuated(offline, domains):
    """Without any worker nothing is known, and jobs are accepted as before."""
    offline.cluster.workers.clear()
    evacuate(offline, domains, EAST)
    load = measure_load(offline.cluster, offline.clock.now_s())
    assert not load.evacuated_services


def test_jobs_are_refused_while_all_domains_are_evacuated(
    run_scenario, job, wait_until
):
    """A job that cannot start must be refused at once with a time to retry.

    One that was accepted before must not get a refusal, as it will run.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.add('w2', 'west')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        submissions = daemon.submissions
        following = asyncio.create_task(submissions.follow_load())
        fleet.work_s = 20
        accepted = await submissions.submit(job(ONE))
        assert accepted.outcome is Outcome.ACCEPTED
        fleet.evacuate('east')
        await asyncio.sleep(2)
        accepted = await submissions.submit(job(TWO))
        assert accepted.outcome is Outcome.ACCEPTED
        fleet.evacuate('east', 'west')
        await asyncio.sleep(2)
        refused = await submissions.submit(job(THREE))
        assert refused.outcome is Outcome.EVACUATED
        assert 0 < refused.retry_after_s <= 15
        repeated = await submissions.submit(job(ONE))
        assert repeated.outcome is Outcome.ACCEPTED
        fleet.evacuate()
        await asyncio.sleep(refused.retry_after_s)
        accepted = await submissions.submit(job(THREE))
        assert accepted.outcome is Outcome.ACCEPTED
        following.cancel()

    run_scenario(scenario)


def test_refusal_outlasts_a_change_of_the_leader(run_scenario, job, wait_until):
    """No job must be accepted between two leaders and then wait."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        fleet.evacuate('east')
        daemon = cell.start('a')
        following = asyncio.create_task(daemon.submissions.follow_load())
        await wait_until(lambda: daemon.submissions.load.evacuated_services)
        daemon.coordinator.leader = None
        await asyncio.sleep(0.6)
        refused = await daemon.submissions.submit(job(ONE))
        assert refused.outcome is Outcome.EVACUATED
        following.cancel()

    run_scenario(scenario)


def test_runs_in_progress_continue(run_scenario, job, wait_until):
    """An evacuation must neither stop runs nor let their leases expire."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 30
        daemon = cell.start('a')
        await daemon.submissions.submit(job(ONE))
        await wait_until(lambda: fleet.starts)
        fleet.evacuate('east')
        fleet.add('w2', 'west')
        await wait_until(lambda: fleet.done, timeout_s=35)
        assert len(fleet.starts) == 1
        assert not fleet.lease_expirations
        assert {end.kind for end in worker.ended} <= {EndKind.DONE}

    run_scenario(scenario)


def test_run_in_an_evacuated_domain_is_stopped(run_scenario, job, wait_until):
    """Stops go on, so that a cancelled job ends in an evacuated domain."""

    async def scenario(fleet, cell):
        worker = fleet.add('w1')
        fleet.work_s = 30
        daemon = cell.start('a')
        await daemon.submissions.submit(job(ONE))
        await wait_until(lambda: worker.running)
        fleet.evacuate('east')
        await asyncio.sleep(1)
        await daemon.submissions.cancel(ONE, 'lookups', 'orchard')
        await wait_until(lambda: not worker.running, timeout_s=4)

    run_scenario(scenario)


def test_slow_record_starts_nothing_after_the_request(
    run_scenario, job, wait_until
):
    """A start order that waits for its record is sent long after its round."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await wait_until(lambda: daemon.scheduler.worker_counts()['open'] == 1)
        workers = daemon.scheduler.cluster.workers
        fleet.store.delay_s = 0.3
        await daemon.submissions.submit(job(ONE))
        await wait_until(lambda: workers['w1'].runs)
        fleet.evacuate('east')
        fleet.add('w2', 'west')
        fleet.store.delay_s = 0.004
        await wait_until(lambda: fleet.done, timeout_s=10)
        assert {worker_id for worker_id, _ in fleet.starts} == {'w2'}

    run_scenario(scenario)


@pytest.mark.parametrize('is_gang', [True, False])
def test_next_leader_starts_nothing_there(
    run_scenario, job, wait_until, is_gang
):
    """The leader may change between the request and the last start.

    The first leader has stored the placement of tasks whose orders had no
    effect; the second one places all of them again.
    """

    async def scenario(fleet, cell):
        first_worker = fleet.add('w1')
        fleet.work_s = 3
        first = cell.start('a')
        await wait_until(lambda: first.scheduler and first.scheduler.is_ready)
        first_worker.late_starts = 2
        made = job(ONE, count=2, is_gang=is_gang, needed=HALF)
        await first.submissions.submit(made)
        await wait_until(lambda: len(first_worker.delayed) == 2)
        fleet.evacuate('east')
        first.kill()
        known = len(fleet.starts)
        second = cell.start('b')
        fleet.add('w2', 'west')
        await wait_until(lambda: second.scheduler and second.scheduler.is_ready)
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=30)
        assert {name for name, _ in fleet.starts[known:]} == {'w2'}

    run_scenario(scenario)


def test_job_waits_for_the_end_of_the_evacuation(run_scenario, job, wait_until):
    """Work that was accepted before must start once the domain is back."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        fleet.evacuate('east')
        await daemon.submissions.submit(job(ONE))
        await asyncio.sleep(12)
        assert not fleet.starts
        fleet.evacuate()
        await wait_until(lambda: fleet.done, timeout_s=3)

    run_scenario(scenario)


def test_leader_without_news_starts_nothing(run_scenario, job, wait_until):
    """A leader whose watch has failed for too long may have missed a request.

    It still holds its lease, as other calls to the store succeed.
    """

    async def scenario(fleet, cell):
        cell.settings = attrs.evolve(JobSettings(), evacuation_bound_s=5)
        fleet.add('w1')
        daemon = cell.start('a')
        await daemon.submissions.submit(job(ONE))
        await wait_until(lambda: fleet.done)
        fleet.evacuations_shown_at_s = fleet.clock.now_s()
        fleet.evacuate('east', is_shown=False)
        await asyncio.sleep(4.4)
        await daemon.submissions.submit(job(TWO))
        await asyncio.sleep(8)
        assert len(fleet.starts) == 1
        counts = daemon.scheduler.wait_monitor.count_by_reason()
        assert counts['evacuations_unknown'] == 1
        fleet.evacuate()
        fleet.evacuations_shown_at_s = None
        await wait_until(lambda: len(fleet.done) == 2, timeout_s=3)

    run_scenario(scenario)


def test_without_a_bound_an_old_view_changes_nothing(
    run_scenario, job, wait_until
):
    """Deployments without the setting go on while the watch fails."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        fleet.evacuations_shown_at_s = fleet.clock.now_s() - 1000
        await daemon.submissions.submit(job(ONE))
        await wait_until(lambda: fleet.done, timeout_s=5)

    run_scenario(scenario)


def test_known_evacuation_holds_while_the_watch_fails(
    run_scenario, job, wait_until
):
    """An old view must not end the evacuations that it contains."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        fleet.evacuate('east')
        fleet.evacuations_shown_at_s = fleet.clock.now_s()
        await daemon.submissions.submit(job(ONE))
        await asyncio.sleep(12)
        assert not fleet.starts

    run_scenario(scenario)


def test_no_advice_is_asked_for_evacuated_workers(
    run_scenario, job, wait_until, advised_queue
):
    """A ticket for an evacuated worker is of no use and makes a call longer.

    One that was issued before the request must not be used any more.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        queue = attrs.evolve(
            advised_queue,
            advice=AdviceConfig(fixed_s=0.5, per_worker_s=0.01, ticket_s=9),
        )
        await daemon.submissions.submit(job(ONE, queue=queue))
        await wait_until(lambda: fleet.advice_calls)
        fleet.evacuate('east')
        fleet.add('w2', 'west')
        await wait_until(lambda: fleet.done, timeout_s=8)
        assert {worker_id for worker_id, _ in fleet.starts} == {'w2'}
        assert [asked for _, asked in fleet.advice_calls] == [('w1',), ('w2',)]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('bound_s', 'max_age_s'), [(0, float('inf')), (5, 4.3), (0.5, 0)]
)
def test_oldest_view_leaves_time_for_a_call(bound_s, max_age_s):
    """An order takes effect at the latest when its call times out."""
    settings = JobSettings(evacuation_bound_s=bound_s, call_timeout_s=0.7)
    assert settings.max_evacuation_view_age_s == pytest.approx(max_age_s)
