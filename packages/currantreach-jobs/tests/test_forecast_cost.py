"""Work of a round for gangs that wait for capacity."""

from __future__ import annotations

import random

import attrs
import pytest

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


def test_gang_without_forecast_pauses_its_forecasts(
    offline, job, reports, monkeypatch
):
    """A gang that found nothing must not go over all runs in each search.

    The runs here have no estimate, so no forecast is possible.
    """
    for worker_id in offline.cluster.workers:
        offline.cluster.add_job(job(worker_id, needed=HALF.scaled_by(2)))
    assert len(offline.started()) == len(reports)
    offline.cluster.add_job(job('gang', 2, needed=HALF, is_gang=True))
    forecasts_s = []
    forecast = ForecastCalculator.forecast

    def count(self, *arguments):
        forecasts_s.append(offline.clock.now_s())
        return forecast(self, *arguments)

    monkeypatch.setattr(ForecastCalculator, 'forecast', count)
    for _ in range(20):
        offline.clock.advance(0.05)
        assert not offline.started()
    # Some of them within a second, but not one for each of its 20 searches.
    assert 3 <= len(forecasts_s) <= 5


def _earliest_s(ends_s, task_counts, needed_count, max_workers):
    """Return when enough tasks fit, by trying the end of each run."""
    for end_s in sorted(ends_s):
        fitting = [
            count
            for other_s, count in zip(ends_s, task_counts, strict=True)
            if other_s <= end_s
        ]
        if sum(sorted(fitting)[-max_workers:]) >= needed_count:
            return end_s
    return None


@pytest.mark.parametrize('seed', range(10))
def test_forecast_is_the_earliest_time(offline, job, reports, seed):
    """Stopping early must not miss an earlier time, or workers that suffice."""
    numbers = random.Random(seed)
    cluster = offline.cluster
    cluster.workers.clear()
    ends_s = [numbers.uniform(1, 90) for _ in range(WORKER_COUNT)]
    task_counts = [numbers.randint(1, 4) for _ in range(WORKER_COUNT)]
    for number, (end_s, count) in enumerate(
        zip(ends_s, task_counts, strict=True)
    ):
        name = f'm{number}'
        room = HALF.scaled_by(count)
        report = attrs.evolve(reports[0], worker_id=name, room=room)
        offline.add_workers([report])
        cluster.add_job(job(name, needed=room, estimate_s=end_s))
        run = cluster.create_run(cluster.jobs[name].stages[0, 0], 0, name, 1)
        run.mark_running(offline.clock.now_s())
    cluster.add_job(job('gang', 12, needed=HALF, is_gang=True, estimate_s=4))
    calculator = ForecastCalculator(cluster)
    for max_workers in range(1, WORKER_COUNT):
        found = calculator.forecast(
            cluster.jobs['gang'].stages[0, 0],
            cluster.workers.values(),
            12,
            max_workers,
            offline.clock.now_s(),
        )
        expected_s = _earliest_s(ends_s, task_counts, 12, max_workers)
        if expected_s is None:
            assert found is None
        else:
            assert found.start_s - offline.clock.now_s() == pytest.approx(
                expected_s
            )
            assert 0 < len(found.workers) <= max_workers
