"""The record of learned durations, from one leader to the next."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_durations import DurationRecord, QueueRecord
from currantreach_jobs._records import DURATIONS_KEY, LEADER_KEY
from currantreach_platform import KeyValue
from currantreach_types import decode_msgpack, encode_msgpack
from currantreach_types.errors import StoreUnavailableError

JOBS = 12
WORK_S = 0.5
DECLARED_S = 0.1
INTERVAL_S = 10
# An election and the recovery of an empty site take less than this.
RECOVERY_S = 8


def ready(daemon):
    """Tell whether a daemon is the leader and schedules."""
    return daemon.scheduler and daemon.scheduler.is_ready


def writes(fleet):
    """Return how often the record was written."""
    return sum(1 for _, key in fleet.store.log if key == DURATIONS_KEY)


def store_record(fleet, stored):
    """Put a record into the store."""
    fleet.store.keys[DURATIONS_KEY] = KeyValue(
        key=DURATIONS_KEY, stored=stored, revision=1
    )


def record_of(fleet):
    """Return the record in the store."""
    return decode_msgpack(
        fleet.store.keys[DURATIONS_KEY].stored, DurationRecord
    )


def event_names(log):
    """Return the names of the events that are logged."""
    return [line.message.split()[0] for line in log.records]


@pytest.fixture
def lead(wait_until):
    """Return a function that starts a daemon and waits until it leads."""

    async def start(fleet, cell, name='a'):
        if not fleet.workers:
            fleet.add('w1')
        fleet.work_s = WORK_S
        daemon = cell.start(name)
        await wait_until(lambda: ready(daemon))
        return daemon

    return start


@pytest.fixture
def run_jobs(job, wait_until):
    """Return a function that runs some jobs to their end."""

    async def run(fleet, daemon, first=0):
        done = len(fleet.done)
        for number in range(first, first + JOBS):
            await daemon.submissions.submit(
                job(f'{number:016d}', estimate_s=DECLARED_S)
            )
        await wait_until(lambda: len(fleet.done) == done + JOBS)

    return run


def test_successor_has_the_learned_durations(
    run_scenario, lead, run_jobs, wait_until, log
):
    """A new leader would order all work by declared estimates again."""

    async def scenario(fleet, cell):
        first = await lead(fleet, cell)
        await run_jobs(fleet, first)
        await wait_until(lambda: writes(fleet))
        first.kill()
        second = await lead(fleet, cell, 'b')
        durations = second.scheduler.cluster.durations
        assert durations.learned_count == 0
        assert durations.key_counts()['queues'] == 1
        restored = record_of(fleet).queues[0]
        assert restored.queue == 'lookups'
        assert restored.ratio_log > 1

    run_scenario(scenario)
    assert event_names(log).count('event=durations_restored') == 1


def test_record_is_written_rarely_and_only_after_learning(
    run_scenario, lead, run_jobs
):
    """A write for each end would delay the records of the jobs."""

    async def scenario(fleet, cell):
        daemon = await lead(fleet, cell)
        await asyncio.sleep(3 * INTERVAL_S)
        assert writes(fleet) == 0
        began_s = fleet.clock.now_s()
        for number in range(15):
            await run_jobs(fleet, daemon, first=100 * number)
            await asyncio.sleep(1)
        elapsed_s = fleet.clock.now_s() - began_s
        assert 1 <= writes(fleet) <= 1 + elapsed_s / INTERVAL_S
        await asyncio.sleep(INTERVAL_S)
        before = writes(fleet)
        await asyncio.sleep(3 * INTERVAL_S)
        assert writes(fleet) == before

    run_scenario(scenario)


@pytest.mark.parametrize(
    'stored',
    [b'', b'none', b'\xc1', encode_msgpack({'queues': 3}), b'\x91' * 5000],
)
def test_unreadable_record_is_replaced(
    run_scenario, lead, run_jobs, wait_until, log, stored
):
    """A damaged record would end the learning of each leader."""

    async def scenario(fleet, cell):
        store_record(fleet, stored)
        daemon = await lead(fleet, cell)
        await wait_until(lambda: writes(fleet), 2 * INTERVAL_S)
        await run_jobs(fleet, daemon)
        await asyncio.sleep(INTERVAL_S)
        assert record_of(fleet).queues

    run_scenario(scenario)
    assert event_names(log).count('event=durations_unreadable') == 1
    assert 'event=part_failed' not in event_names(log)


def test_entries_out_of_bounds_are_ignored(run_scenario, lead):
    """One damaged entry would spoil the estimates or drop all others."""

    async def scenario(fleet, cell):
        queues = (
            QueueRecord(queue='plans', runs=5, ratio_log=1),
            QueueRecord(queue='lookups', runs=5, ratio_log=1e9),
        )
        store_record(
            fleet,
            encode_msgpack(DurationRecord(queues=queues, slowdowns={'w1': -1})),
        )
        daemon = await lead(fleet, cell)
        durations = daemon.scheduler.cluster.durations
        assert durations.key_counts()['queues'] == 1
        assert durations.slowdown('w1') == 1

    run_scenario(scenario)


def test_slow_read_does_not_delay_the_recovery(
    run_scenario, lead, run_jobs, log
):
    """A leader without the record has to schedule by declared estimates."""

    async def scenario(fleet, cell):
        get = fleet.store.get
        failures = [StoreUnavailableError('no answer') for _ in range(20)]

        async def get_or_fail(key):
            if key == DURATIONS_KEY and failures:
                await asyncio.sleep(1)
                raise failures.pop()
            return await get(key)

        fleet.store.get = get_or_fail
        began_s = fleet.clock.now_s()
        daemon = await lead(fleet, cell)
        assert fleet.clock.now_s() < began_s + RECOVERY_S
        await run_jobs(fleet, daemon)
        assert failures
        # The record of earlier leaders may be read later.
        assert writes(fleet) == 0
        await asyncio.sleep(60)
        assert writes(fleet) == 1

    run_scenario(scenario)
    assert 'event=durations_read_failed' in event_names(log)


def test_former_leader_writes_no_record(run_scenario, lead, run_jobs):
    """A leader that lost its leadership would replace a newer record."""

    async def scenario(fleet, cell):
        daemon = await lead(fleet, cell)
        await run_jobs(fleet, daemon)
        recorder = daemon.scheduler._duration_recorder
        found = fleet.store.keys[LEADER_KEY]
        fleet.store.keys[LEADER_KEY] = attrs.evolve(
            found, revision=found.revision + 1
        )
        await recorder._write()
        assert writes(fleet) == 0

    run_scenario(scenario)


def test_error_of_the_recorder_ends_no_other_part(
    run_scenario, lead, run_jobs, monkeypatch, log
):
    """An error in a write would end the leadership."""

    async def scenario(fleet, cell):
        daemon = await lead(fleet, cell)
        await run_jobs(fleet, daemon)

        def fail():
            raise ValueError('broken')

        durations = daemon.scheduler.cluster.durations
        monkeypatch.setattr(durations, 'record', fail)
        await asyncio.sleep(3 * INTERVAL_S)
        monkeypatch.undo()
        assert ready(daemon)
        await run_jobs(fleet, daemon, first=500)
        await asyncio.sleep(2 * INTERVAL_S)
        assert writes(fleet)

    run_scenario(scenario)
    assert 'event=part_failed' in event_names(log)
