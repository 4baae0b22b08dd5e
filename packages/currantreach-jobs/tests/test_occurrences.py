"""Jobs that run at set times, and how much of them a leader holds."""

from __future__ import annotations

import tracemalloc

import attrs
import pytest

from currantreach_jobs import EndedRun, EndKind, JobState
from currantreach_jobs import _cluster_state as cluster_state
from currantreach_jobs._load import measure_load
from currantreach_jobs._records import (
    ProgressRecord,
    StageRecord,
    decode_progress,
)
from currantreach_types import Resources, encode_msgpack, unix_now_ms

ONE = '0' * 16
SMALL = Resources(cpu_milli=100, memory_mib=10)
DAY_MS = 86_400_000
# A team hands in 22 nightly jobs for three years, each with twenty steps. A
# daemon may use 64 MB at the size that the users expect.
JOB_COUNT = 22
STEP_COUNT = 20
OCCURRENCE_COUNT = 1000
MAX_BYTES = 64_000_000
EPOCH_ATTEMPTS = 1000
# A leader with the least bandwidth, 5 Mbit/s, sends a record of this size in a
# tenth of the time after which unwritten records stop all starts.
MAX_RECORD_BYTES = 37_500


@pytest.fixture
def wall_clock(monkeypatch):
    """Return the time of day that the cluster state reads, as a list."""
    reading = [unix_now_ms()]
    monkeypatch.setattr(cluster_state, 'unix_now_ms', lambda: reading[0])
    return reading


@pytest.fixture
def nightly(job, wall_clock):
    """Return a function that makes a job which is first due in an hour."""

    def make(job_id, step_count=1, occurrence_count=3, **step):
        made = job(job_id, needed=SMALL, **step)
        first = made.steps[0]
        steps = [
            attrs.evolve(first, after=(number - 1,) if number else ())
            for number in range(step_count)
        ]
        return attrs.evolve(
            made,
            steps=tuple(steps),
            occurrence_count=occurrence_count,
            first_run_unix_ms=wall_clock[0] + 3_600_000,
            interval_ms=DAY_MS,
        )

    return make


def end_as_done(offline, run, number):
    """Let the worker of a run list its end as done."""
    offline.cluster.end_run(
        run.worker_id,
        EndedRun(
            number=number,
            task=run.task,
            attempt=run.attempt,
            kind=EndKind.DONE,
        ),
    )


def run_all(offline):
    """Start and end tasks until none can be started; return their keys."""
    found = []
    while offline.started():
        for run in tuple(offline.launched):
            offline.cluster.confirm_start(run)
            found.append(run.task)
            end_as_done(offline, run, len(found))
    return found


def test_future_occurrences_exhaust_no_memory(offline, nightly):
    """Accepted scheduled jobs must not end each leader by its memory.

    The stages of all future occurrences took 17 MB a job.
    """
    tracemalloc.start()
    try:
        for number in range(JOB_COUNT):
            offline.cluster.add_job(
                nightly(f'{number:016x}', STEP_COUNT, OCCURRENCE_COUNT)
            )
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used_bytes < MAX_BYTES


def test_occurrences_start_when_due_and_may_overlap(
    offline, nightly, wall_clock
):
    """An occurrence must start at its time, also beside an earlier one."""
    made = nightly(ONE)
    offline.cluster.add_job(made)
    assert not offline.started()
    wall_clock[0] = made.first_run_unix_ms
    offline.started()
    assert [run.task.occurrence for run in offline.launched] == [0]
    wall_clock[0] += 2 * DAY_MS
    offline.started()
    assert [run.task.occurrence for run in offline.launched] == [1, 2]


def test_job_is_complete_after_its_last_occurrence(
    offline, nightly, wall_clock
):
    """A job must not be shown as complete while an occurrence is due later."""
    made = nightly(ONE, step_count=2)
    offline.cluster.add_job(made)
    progress = offline.cluster.jobs[ONE]
    for occurrence in range(made.occurrence_count):
        assert progress.state is JobState.QUEUED
        wall_clock[0] = made.first_run_unix_ms + occurrence * DAY_MS
        assert [(task.occurrence, task.step) for task in run_all(offline)] == [
            (occurrence, 0),
            (occurrence, 1),
        ]
    assert progress.state is JobState.COMPLETE
    assert not offline.cluster.open_jobs


def test_successor_goes_on_with_the_open_occurrences(
    offline, nightly, wall_clock
):
    """A successor must not run a done occurrence again nor skip a later one."""
    made = nightly(ONE, step_count=2)
    offline.cluster.add_job(made)
    wall_clock[0] = made.first_run_unix_ms
    run_all(offline)
    wall_clock[0] += DAY_MS
    offline.started()
    end_as_done(offline, offline.launched[0], 9)
    record = decode_progress(encode_msgpack(offline.cluster.jobs[ONE].record()))
    offline.cluster.jobs.clear()
    offline.cluster.open_jobs.clear()
    offline.cluster.add_job(made, record, EPOCH_ATTEMPTS)
    wall_clock[0] += DAY_MS
    found = sorted((task.occurrence, task.step) for task in run_all(offline))
    assert found == [(1, 1), (2, 0), (2, 1)]
    assert offline.cluster.jobs[ONE].state is JobState.COMPLETE


def test_record_of_many_done_occurrences_is_small(offline, nightly, wall_clock):
    """A record that grows with each occurrence delays those of all jobs.

    After 999 occurrences of twenty steps it took 0.8 MB, and it is written at
    each start and each end of a task.
    """
    made = nightly(ONE, STEP_COUNT, OCCURRENCE_COUNT)
    done = {
        f'{occurrence}.{number}': StageRecord(is_done=True)
        for occurrence in range(OCCURRENCE_COUNT - 1)
        for number in range(STEP_COUNT)
    }
    offline.cluster.add_job(made, ProgressRecord(stages=done))
    stored = encode_msgpack(offline.cluster.jobs[ONE].record())
    assert len(stored) < MAX_RECORD_BYTES
    offline.cluster.jobs.clear()
    offline.cluster.open_jobs.clear()
    offline.cluster.add_job(made, decode_progress(stored))
    wall_clock[0] = made.first_run_unix_ms + OCCURRENCE_COUNT * DAY_MS
    found = {task.occurrence for task in run_all(offline)}
    assert found == {OCCURRENCE_COUNT - 1}


@pytest.mark.parametrize('odd', [-1, 3, 2**60])
def test_odd_done_occurrence_is_left_out(offline, nightly, wall_clock, odd):
    """A record must not complete a job by an occurrence it does not have."""
    made = nightly(ONE)
    offline.cluster.add_job(made, ProgressRecord(done_occurrences=(0, odd)))
    wall_clock[0] = made.first_run_unix_ms + 3 * DAY_MS
    assert [task.occurrence for task in run_all(offline)] == [1, 2]


def test_takeover_between_occurrences(run_scenario, job, wait_until):
    """Each occurrence runs once, whichever daemon leads when it is due."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        for name in ('a', 'b'):
            cell.start(name)
        await wait_until(lambda: cell.scheduling_daemon())
        made = attrs.evolve(
            job(ONE, count=2),
            occurrence_count=20,
            first_run_unix_ms=1,
            interval_ms=1,
        )
        await cell.scheduling_daemon().submissions.submit(made)
        await wait_until(lambda: len(fleet.done) > 4)
        cell.scheduling_daemon().kill()
        await wait_until(lambda: len(fleet.done) == 40, timeout_s=60)
        assert set(fleet.done.values()) == {1}

    run_scenario(scenario)


def test_future_occurrences_are_no_waiting_work(offline, nightly):
    """An idle cell refused all jobs because of work that is due much later."""
    offline.cluster.add_job(nightly(ONE, occurrence_count=900, estimate_s=900))
    load = measure_load(offline.cluster, offline.clock.now_s())
    assert not load.wait_s
