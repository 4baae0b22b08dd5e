"""Events of one run that the leader hears more than once, or late."""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs import EndedRun, EndKind, JobState
from currantreach_jobs._memory import occurrence_bytes
from currantreach_types import Resources

ONE = '0' * 16
NEEDED = Resources(cpu_milli=1000, memory_mib=1000)


@pytest.fixture
def retries(offline, monkeypatch):
    """Return the reasons of the retries that are counted."""
    reasons = []
    monkeypatch.setattr(offline.metrics, 'record_retry', reasons.append)
    return reasons


@pytest.fixture
def start(offline):
    """Return a function that starts all tasks that fit."""

    def start_all():
        offline.started()
        for run in offline.launched:
            offline.cluster.confirm_start(run)
        return list(offline.launched)

    return start_all


@pytest.fixture
def end(offline):
    """Return a function that lists the end of a run."""

    def list_end(run, kind):
        ended = EndedRun(
            number=1, task=run.task, attempt=run.attempt, kind=kind
        )
        offline.cluster.end_run(run.worker_id, ended)

    return list_end


def test_failed_end_of_a_done_task_is_no_attempt(offline, job, start, end):
    """A job was shown as failed by a task that is done.

    A run that had been given up is listed as done, and the run that replaced it
    fails before it is stopped.
    """
    made = job(ONE, count=2)
    offline.cluster.add_job(
        attrs.evolve(made, queue=attrs.evolve(made.queue, max_attempts=1))
    )
    given_up, _ = start()
    offline.cluster.mark_run_lost(given_up)
    replacement = start()[0]
    end(given_up, EndKind.DONE)
    end(replacement, EndKind.FAILED)
    assert offline.cluster.jobs[ONE].state is not JobState.FAILED


def test_answer_to_a_start_of_a_former_run_stops_no_later_run(
    offline, job, start, retries
):
    """A gang must not be stopped by a late refusal of its former run.

    The runs were given up while a start had no answer. The refusal stopped the
    next run of the gang and was counted as a second retry of the former one.
    """
    offline.cluster.add_job(job(ONE, count=2, is_gang=True))
    former = start()
    for run in former:
        offline.cluster.mark_run_lost(run)
    offline.cluster.pop_pending_stops()
    assert start()
    offline.cluster.abandon_start(former[0], 'room')
    assert not offline.cluster.pop_pending_stops()
    assert retries == ['run_lost', 'run_lost']


def test_failed_run_of_a_gang_is_counted_as_one_retry(
    offline, job, start, end, retries
):
    """A retry must not be counted for each member that failed in a run."""
    made = job(ONE, count=3, is_gang=True)
    offline.cluster.add_job(made)
    for run in start():
        end(run, EndKind.FAILED)
        end(run, EndKind.FAILED)
    assert retries == ['run_failed']


def test_repeated_failure_is_one_of_a_streak(offline, job, start, end):
    """A worker must not be paused by ends that it lists again.

    Several members of a gang on one worker are one failed job as well.
    """
    offline.cluster.add_job(job(ONE, count=3, is_gang=True))
    runs = start()
    for run in runs * 3:
        end(run, EndKind.FAILED)
    for worker in offline.cluster.workers.values():
        assert worker.failed_jobs <= {ONE}
        assert not worker.paused_until_s


def test_failure_of_a_run_that_was_given_up_pauses_no_worker(
    offline, job, start, end
):
    """A failure listed after its run was given up must not count."""
    offline.cluster.add_job(job(ONE))
    run = start()[0]
    offline.cluster.mark_run_lost(run)
    end(run, EndKind.FAILED)
    assert not offline.cluster.workers[run.worker_id].failed_jobs


@pytest.mark.parametrize('kind', list(EndKind))
def test_repeated_end_frees_resources_once(offline, job, start, end, kind):
    """Neither a worker nor a team may gain room by an end listed again."""
    rooms = {
        name: worker.free for name, worker in offline.cluster.workers.items()
    }
    offline.cluster.add_job(job(ONE, count=2))
    first, second = start()
    end(first, kind)
    end(first, kind)
    offline.cluster.mark_run_lost(first)
    offline.cluster.abandon_start(first, 'room')
    assert offline.cluster.teams._used['orchard'] == NEEDED
    end(second, EndKind.STOPPED)
    assert offline.cluster.teams._used['orchard'] == Resources()
    for name, worker in offline.cluster.workers.items():
        assert worker.free == rooms[name]


def test_repeated_end_closes_one_occurrence(offline, job, start, end):
    """Each member of a gang lists the end of the same occurrence as done."""
    made = attrs.evolve(
        job(ONE, count=2, is_gang=True),
        occurrence_count=3,
        first_run_unix_ms=1,
        interval_ms=1,
    )
    offline.cluster.add_job(made)
    runs = start()
    first_runs = [run for run in runs if not run.task.occurrence]
    for run in first_runs * 2:
        end(run, EndKind.DONE)
    progress = offline.cluster.jobs[ONE]
    assert progress.done_occurrences == {0}
    assert progress.state is not JobState.COMPLETE
    opened_bytes = offline.cluster.memory.opened.total_bytes
    assert opened_bytes == 2 * occurrence_bytes(made)


def test_repeated_end_ends_a_job_once(offline, job, start, end, monkeypatch):
    """The end of a job must be counted once, and its memory freed once."""
    counted = []
    monkeypatch.setattr(
        offline.metrics,
        'record_request_end',
        lambda *labels: counted.append(labels),
    )
    offline.cluster.add_job(job(ONE, count=2, is_gang=True))
    for run in start() * 2:
        end(run, EndKind.DONE)
        offline.cluster.cancel(ONE)
    assert counted == [('lookups', JobState.COMPLETE)]
    assert not offline.cluster.memory.accepted.total_bytes
    assert not offline.cluster.memory.opened.total_bytes
    assert not offline.cluster.pending_count('lookups')


def test_failed_ends_that_do_not_count_are_logged(
    offline, job, start, end, log
):
    """A failed end must leave a line that tells whether it was counted."""
    offline.cluster.add_job(job(ONE, count=2, is_gang=True))
    first, second = start()
    for run in (first, second, second):
        end(run, EndKind.FAILED)
    lines = [record.message for record in log.records]
    failed = [line for line in lines if 'event=run_failed' in line]
    assert [line.endswith('is_counted=True') for line in failed] == [
        True,
        False,
    ]
    repeated = [line for line in lines if 'event=end_of_other_run' in line]
    assert len(repeated) == 1
    assert f'attempt={second.attempt} ' in repeated[0]
    assert 'how=failed' in repeated[0]
