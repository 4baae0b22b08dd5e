"""Jobs with a task that no worker could hold."""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs import Outcome, Team
from currantreach_jobs._load import Load, fits_no_worker, measure_load
from currantreach_types import Resources

ONE = '0' * 16
# More than the 16 processors of a worker.
WIDE = Resources(cpu_milli=17000, memory_mib=1000)


@pytest.mark.parametrize(
    ('fields', 'is_refused'),
    [
        ({'needed': WIDE}, True),
        ({'needed': Resources(memory_mib=40000)}, True),
        ({'needed': Resources(accelerator_count=1)}, True),
        ({'needed': Resources(cpu_milli=16000)}, False),
        ({'needed': WIDE, 'is_filling': True}, False),
    ],
)
def test_task_larger_than_every_worker_is_refused(
    offline, job, fields, is_refused
):
    """A job that no worker could hold waited until its caller gave up."""
    load = measure_load(offline.cluster, offline.clock.now_s())
    assert fits_no_worker(load, job(ONE, **fields)) is is_refused


def test_no_job_is_refused_before_a_worker_is_known(job):
    """Without a leader or a worker it is not known what fits."""
    assert not fits_no_worker(Load(), job(ONE, needed=WIDE))


def test_worker_that_is_away_still_counts(offline, job, reports):
    """The largest worker may crash and come back within seconds."""
    large = attrs.evolve(reports[0], worker_id='large', room=WIDE)
    offline.add_workers([large])
    offline.cluster.remove_worker('large')
    load = measure_load(offline.cluster, offline.clock.now_s())
    assert not fits_no_worker(load, job(ONE, needed=WIDE))


def test_repeat_of_an_accepted_job_is_not_refused(run_scenario, job):
    """A refusal says that the job never runs, so it must not be accepted.

    The limit of its team fell between the two calls.
    """

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        made = job(ONE)
        response = await daemon.submissions.submit(made)
        assert response.outcome is Outcome.ACCEPTED
        small = Team(name='orchard', limit=Resources(cpu_milli=1))
        fleet.known_config = attrs.evolve(
            fleet.known_config, teams={'orchard': small}
        )
        response = await daemon.submissions.submit(made)
        assert response.outcome is Outcome.ACCEPTED
        response = await daemon.submissions.submit(job('1' * 16))
        assert response.outcome is Outcome.NEVER_FITS

    run_scenario(scenario)
