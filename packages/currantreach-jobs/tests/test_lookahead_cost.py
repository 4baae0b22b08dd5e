"""Cost of calls ahead of a step, which a round makes before it ends."""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs._capacity_forecast import ForecastCalculator
from currantreach_jobs._lookahead import AdviceLookahead
from currantreach_jobs._wait_reasons import WaitReason

MOST_EXAMINED = 50


class RecordingAdvice:
    """Placement service that is asked nothing; counts the examined stages."""

    def __init__(self, wait_reason):
        self.wait_reason = wait_reason
        self.examined_count = 0
        self.examined = []

    def has_spare(self, _):
        """Tell that daemons are idle at the start of the pass."""
        return True

    def ask_ahead(self, stage, *_):
        """Return why nothing is asked for a stage."""
        self.examined_count += 1
        self.examined.append(stage)
        return self.wait_reason


def add_due_stages(offline, job, queue, count):
    """Add jobs whose first step is about to end."""
    cluster = offline.cluster
    for number in range(count):
        made = job(f'{queue.name}{number:09}', queue=queue, estimate_s=0.1)
        first = made.steps[0]
        second = attrs.evolve(first, after=(0,))
        cluster.add_job(attrs.evolve(made, steps=(first, second)))
        stage = cluster.jobs[made.job_id].stages[0, 0]
        cluster.confirm_start(cluster.create_run(stage, 0, 'w1', 1))


@pytest.mark.parametrize(
    'wait_reason', [WaitReason.NO_ROOM, WaitReason.NO_ADVISER_FREE]
)
def test_pass_examines_a_bounded_number_of_stages(
    offline, job, advised_queue, wait_reason
):
    """A pass must stay short if hundreds of steps are about to start.

    Each examined stage goes over all workers, and only stages with a call
    counted towards the limit of a pass. With 176 workers, 400 stages took 0.37
    s in one round, in which no lease was renewed.
    """
    add_due_stages(offline, job, advised_queue, 400)
    cluster = offline.cluster
    advice = RecordingAdvice(wait_reason)
    lookahead = AdviceLookahead(cluster, advice, ForecastCalculator(cluster))
    lookahead.ask_ahead(tuple(cluster.workers.values()), offline.clock.now_s())
    assert 0 < advice.examined_count <= MOST_EXAMINED


def run_passes(offline, advice, count):
    """Run passes at their interval."""
    cluster = offline.cluster
    lookahead = AdviceLookahead(cluster, advice, ForecastCalculator(cluster))
    for _ in range(count):
        workers = tuple(cluster.workers.values())
        lookahead.ask_ahead(workers, offline.clock.now_s())
        offline.clock.advance(0.11)


def test_next_pass_continues_where_the_last_one_stopped(
    offline, job, advised_queue
):
    """No stage may be left out because others before it have nothing to ask.

    Their pause is over before a pass has reached the last stages.
    """
    add_due_stages(offline, job, advised_queue, 100)
    advice = RecordingAdvice(WaitReason.NO_ROOM)
    run_passes(offline, advice, 12)
    assert len(set(advice.examined)) == 100


def test_stage_with_nothing_to_ask_is_not_examined_in_each_pass(
    offline, job, advised_queue
):
    """A stage with valid tickets must not go over all workers in each pass."""
    add_due_stages(offline, job, advised_queue, 1)
    advice = RecordingAdvice(WaitReason.NO_ROOM)
    run_passes(offline, advice, 10)
    assert 4 <= advice.examined_count <= 5


def test_busy_daemons_end_the_pass_for_their_queue_alone(
    offline, job, advised_queue
):
    """Stages of other queues must be asked for if one has no idle daemon.

    The other stages of that queue would find none either.
    """
    fast = attrs.evolve(
        advised_queue,
        name='fast',
        advice=attrs.evolve(advised_queue.advice, fixed_s=0.15),
    )
    add_due_stages(offline, job, advised_queue, 20)
    add_due_stages(offline, job, fast, 20)
    advice = RecordingAdvice(WaitReason.NO_ADVISER_FREE)
    run_passes(offline, advice, 1)
    queues = [stage.job_progress.job.queue.name for stage in advice.examined]
    assert queues == [advised_queue.name, 'fast']
