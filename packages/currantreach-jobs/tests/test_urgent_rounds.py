"""Rounds over the urgent stages alone: what they start, and what they leave."""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs import Queue
from currantreach_types import Resources

WHOLE = Resources(cpu_milli=16000, memory_mib=100)


@pytest.fixture
def prompt_queue():
    """Return a queue of urgent jobs."""
    return Queue(
        name='prompt',
        host='h',
        path_prefix='/prompt/',
        service='passes',
        priority=0,
        stretch_factor=1.5,
        target_s=1,
    )


@pytest.fixture
def started_urgently(offline):
    """Return a function that runs an urgent round; it returns what started."""

    def run():
        offline.launched.clear()
        offline.stage_scheduler.schedule_urgent()
        return [run.task.job_id for run in offline.launched]

    return run


def test_urgent_round_starts_urgent_jobs_only(
    offline, job, prompt_queue, started_urgently
):
    """A prompt job starts between two full rounds; other work is left."""
    offline.cluster.add_job(job('a' * 16, estimate_s=1))
    offline.cluster.add_job(job('b' * 16, queue=prompt_queue, estimate_s=1))
    assert started_urgently() == ['b' * 16]
    assert offline.started() == ['a' * 16]


def test_urgent_round_leaves_jobs_that_come_later_in_a_full_round(
    offline, job, prompt_queue, started_urgently
):
    """Jobs beyond a share or past their deadline must not overtake others."""
    offline.cluster.add_job(job('a' * 16, queue=prompt_queue, estimate_s=1))
    offline.cluster.add_job(job('b' * 16, queue=prompt_queue, estimate_s=1))
    offline.cluster.jobs['a' * 16].is_over_share = True
    offline.cluster.jobs['b' * 16].accepted_at_s -= 60
    assert not started_urgently()
    assert sorted(offline.started()) == ['a' * 16, 'b' * 16]


def test_urgent_round_respects_reservations(
    offline, reports, job, prompt_queue, started_urgently
):
    """Capacity that is reserved for a gang must not be taken in between."""
    offline.add_workers(
        attrs.evolve(reports[0], worker_id=name) for name in ('w3', 'w4')
    )
    offline.cluster.add_job(job('a' * 16, count=3, needed=WHOLE, estimate_s=5))
    assert len(offline.started()) == 3
    offline.cluster.add_job(
        job('b' * 16, count=2, is_gang=True, needed=WHOLE, estimate_s=1)
    )
    assert not offline.started()
    # The workers of the gang are free in 5 s.
    offline.cluster.add_job(job('c' * 16, queue=prompt_queue, estimate_s=6))
    assert not started_urgently()
    offline.cluster.add_job(job('d' * 16, queue=prompt_queue, estimate_s=1))
    assert started_urgently() == ['d' * 16]


def test_urgent_round_uses_only_workers_that_are_open_by_now(
    offline, job, prompt_queue, started_urgently
):
    """A worker that fell silent after the last full round must not be used."""
    offline.started()
    for worker in offline.cluster.workers.values():
        worker.is_usable = False
    offline.cluster.add_job(job('a' * 16, queue=prompt_queue, estimate_s=1))
    assert not started_urgently()


def test_urgent_round_keeps_the_order_of_urgent_jobs(
    offline, job, prompt_queue, started_urgently
):
    """The urgent job with the earlier latest start still starts first."""
    slack_queue = attrs.evolve(prompt_queue, target_s=9)
    offline.cluster.add_job(job('a' * 16, queue=slack_queue, estimate_s=1))
    offline.cluster.add_job(job('b' * 16, queue=prompt_queue, estimate_s=1))
    assert started_urgently() == ['b' * 16, 'a' * 16]
