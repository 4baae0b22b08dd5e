"""Work of a round for gangs that cannot reserve anything."""

from __future__ import annotations

import attrs

from currantreach_jobs._capacity_forecast import ForecastCalculator
from currantreach_types import Resources

HALF = Resources(cpu_milli=8000, memory_mib=1000)
WORKER_COUNT = 20
GANG_COUNT = 20


def test_gangs_beyond_the_limit_cost_no_forecast(
    offline, job, reports, monkeypatch
):
    """A gang that may reserve no worker must not go over all runs.

    Half of the workers are reserved after a few gangs. Each further one went
    over all runs on all workers, so a round with 99 waiting gangs on 176
    workers took 250 ms, six times as long as without forecasts.
    """
    offline.add_workers(
        attrs.evolve(reports[0], worker_id=f'm{number}')
        for number in range(WORKER_COUNT - len(reports))
    )
    cluster = offline.cluster
    for worker_id in cluster.workers:
        for half in 'ab':
            cluster.add_job(job(worker_id + half, needed=HALF, estimate_s=9))
            stage = cluster.jobs[worker_id + half].stages[0, 0]
            cluster.confirm_start(cluster.create_run(stage, 0, worker_id, 1))
    for number in range(GANG_COUNT):
        cluster.add_job(
            job(f'g{number}', 4, needed=HALF, is_gang=True, estimate_s=4)
        )
    examined = []
    gains = ForecastCalculator._gains

    def count(self, stage, worker, now_s):
        examined.append(worker)
        return gains(self, stage, worker, now_s)

    monkeypatch.setattr(ForecastCalculator, '_gains', count)
    assert not offline.started()
    # Half of the workers are reserved, two for each gang.
    reserving_count = WORKER_COUNT // 2 // 2
    assert 0 < len(examined) <= reserving_count * WORKER_COUNT
