"""Runs that take far too long: long tasks and slow workers.

On a deployment, three runs in a hundred take seven times as long as the rest.
A worker that has become slow shows in finished runs only after they have ended.
"""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs import EndedRun, EndKind, Queue
from currantreach_jobs._slow_runs import RunTime, is_worker_to_blame
from currantreach_types import Resources

SMALL = Resources(cpu_milli=2000, memory_mib=1000)
TIGHT = Queue(
    name='prompt',
    host='h',
    path_prefix='/',
    service='passes',
    priority=0,
    stretch_factor=1.5,
    target_s=0.25,
)
ROOMY = attrs.evolve(TIGHT, name='wide', stretch_factor=20, target_s=3)


def _time(worker_id, run_s, tail_s=1):
    return RunTime(worker_id=worker_id, run_s=run_s, tail_s=tail_s)


LATE = _time('w1', 2.5)


@pytest.mark.parametrize(
    ('run', 'siblings', 'has_other_end_in_time', 'is_blamed'),
    [
        (LATE, [_time('w2', 1), _time('w3', 0.8)], False, True),
        # The worker is known to be slow, so its run is not late.
        (
            _time('w1', 2.5, tail_s=1.7),
            [_time('w2', 1), _time('w3', 0.8)],
            False,
            False,
        ),
        # All tasks of the step are long.
        (LATE, [_time('w2', 2), _time('w3', 2.4)], False, False),
        # One sibling is a long run itself.
        (
            LATE,
            [_time('w2', 1), _time('w3', 0.8), _time('w4', 5)],
            False,
            True,
        ),
        # Only one sibling ran elsewhere.
        (LATE, [_time('w2', 1), _time('w1', 0.8)], False, False),
        # Another run on the worker took its usual time: one long run.
        (LATE, [_time('w2', 1), _time('w3', 0.8)], True, False),
    ],
)
def test_worker_is_to_blame(run, siblings, has_other_end_in_time, is_blamed):
    """A long task must not make its worker look slow."""
    assert is_worker_to_blame(run, siblings, has_other_end_in_time) is is_blamed


@pytest.fixture
def wait_for_siblings(offline, job):
    """Return a function that leaves one task of a step running for long.

    Its siblings on the other workers are done after a second.
    """
    report = offline.cluster.workers['w1'].report
    for name in ('w3', 'w4'):
        offline.add_workers(
            [attrs.evolve(report, worker_id=name, address=name)]
        )

    def confirm_and_end(is_ended):
        for run in offline.launched:
            offline.cluster.confirm_start(run)
        for _ in range(10):
            offline.clock.advance(0.1)
            offline.stage_scheduler.schedule()
        for ended in filter(is_ended, list(offline.launched)):
            offline.cluster.end_run(
                ended.worker_id,
                EndedRun(
                    number=1,
                    task=ended.task,
                    attempt=ended.attempt,
                    kind=EndKind.DONE,
                ),
            )

    def wait(other_on_w1=False):
        made = job(
            'step',
            4,
            queue=ROOMY,
            needed=SMALL,
            estimate_s=1.2,
            max_per_worker=1,
        )
        offline.cluster.add_job(made)
        assert len(offline.started()) == 4
        confirm_and_end(lambda run: run.worker_id != 'w1')
        if other_on_w1:
            offline.cluster.add_job(
                job(
                    'other',
                    4,
                    queue=ROOMY,
                    needed=SMALL,
                    estimate_s=1.2,
                    max_per_worker=1,
                )
            )
            assert len(offline.started()) == 4
            confirm_and_end(lambda run: True)
        offline.clock.advance(2)
        offline.started()

    return wait


def _start_job(offline, job, queue):
    offline.cluster.add_job(
        job('new', queue=queue, needed=SMALL, estimate_s=1.2)
    )
    offline.started()
    return offline.launched[0].worker_id


def test_tight_task_avoids_a_worker_to_blame(
    offline, job, log, wait_for_siblings
):
    """Prompt jobs must not follow a run that has stood still on a worker."""
    wait_for_siblings()
    assert _start_job(offline, job, TIGHT) != 'w1'
    assert any('worker_suspected' in each for each in log.formatted_records)


def test_task_with_slack_uses_a_worker_to_blame(
    offline, job, wait_for_siblings
):
    """A suspicion must not leave capacity idle for work with slack."""
    wait_for_siblings()
    assert _start_job(offline, job, ROOMY) == 'w1'


def test_one_long_run_blames_no_worker(offline, job, log, wait_for_siblings):
    """A worker on which other runs take their usual time is used as before."""
    wait_for_siblings(other_on_w1=True)
    assert _start_job(offline, job, TIGHT) == 'w1'
    assert not any('worker_suspected' in each for each in log.formatted_records)


def test_suspicion_ends_with_the_run(offline, job, log, wait_for_siblings):
    """A worker is used as before once its late run is over."""
    wait_for_siblings()
    for run in list(offline.cluster.workers['w1'].running()):
        offline.cluster.mark_run_lost(run)
    offline.clock.advance(1)
    offline.cluster.cancel('step')
    offline.started()
    assert any('worker_cleared' in each for each in log.formatted_records)
