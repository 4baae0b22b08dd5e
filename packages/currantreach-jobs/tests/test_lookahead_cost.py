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

    def has_spare(self, _):
        """Tell that daemons are idle at the start of the pass."""
        return True

    def ask_ahead(self, *_):
        """Return why nothing is asked for a stage."""
        self.examined_count += 1
        return self.wait_reason


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
    cluster = offline.cluster
    for number in range(400):
        made = job(f'{number:016}', queue=advised_queue, estimate_s=0.1)
        first = made.steps[0]
        second = attrs.evolve(first, after=(0,))
        cluster.add_job(attrs.evolve(made, steps=(first, second)))
        stage = cluster.jobs[made.job_id].stages[0, 0]
        cluster.confirm_start(cluster.create_run(stage, 0, 'w1', 1))
    advice = RecordingAdvice(wait_reason)
    lookahead = AdviceLookahead(cluster, advice, ForecastCalculator(cluster))
    lookahead.ask_ahead(tuple(cluster.workers.values()), offline.clock.now_s())
    assert 0 < advice.examined_count <= MOST_EXAMINED
