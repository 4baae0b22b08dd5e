"""Durations and speeds that the leader learns from the ends of runs."""

from __future__ import annotations

import itertools

import attrs
import pytest

from currantreach_jobs import EndedRun, EndKind, RunningRun, Step
from currantreach_jobs._records import Placement
from currantreach_jobs._stage_durations import StageDurations, TaskDuration
from currantreach_types import Resources

NEEDED = Resources(cpu_milli=1000, memory_mib=1000)
# With this many runs the spread of the estimates is known.
WARM_RUNS = 60
WORKER_IDS = ('w1', 'w2', 'w3', 'w4')


class Runs:
    """Runs of an offline scheduler, with methods for their steps."""

    def __init__(self, offline, job):
        self.offline = offline
        self.cluster = offline.cluster
        self.durations = offline.cluster.durations
        self.job = job
        self.numbers = itertools.count(1)

    def add(self, count=1, estimate_s=1, **options):
        """Add a job with one step and return its stage."""
        job_id = f'{next(self.numbers):016d}'
        self.cluster.add_job(
            self.job(job_id, count=count, estimate_s=estimate_s, **options)
        )
        return self.cluster.jobs[job_id].stages[0, 0]

    def begin(self, stage, worker_ids=('w1',)):
        """Start one task of a stage on each worker."""
        runs = [
            self.cluster.create_run(stage, index, worker_id, 1)
            for index, worker_id in enumerate(worker_ids)
        ]
        for run in runs:
            self.cluster.confirm_start(run)
        return runs

    def begin_one(self, stage, worker_id='w1'):
        """Start the first task of a stage."""
        return self.begin(stage, (worker_id,))[0]

    def end(self, run, after_s=0, kind=EndKind.DONE):
        """End a run some time later."""
        self.offline.clock.advance(after_s)
        self.cluster.end_run(
            run.worker_id,
            EndedRun(number=1, task=run.task, attempt=run.attempt, kind=kind),
        )

    def finish(self, run_s, worker_id='w1', **options):
        """Run a job with one task."""
        run = self.begin_one(self.add(**options), worker_id)
        self.end(run, run_s)

    def warm(self, run_s=1):
        """Run jobs on all workers of equal speed."""
        for number in range(WARM_RUNS):
            self.finish(run_s, WORKER_IDS[number % len(WORKER_IDS)])


@pytest.fixture
def runs(offline, reports, job):
    """Return the runs of an offline scheduler with four workers."""
    offline.add_workers(
        attrs.evolve(
            report,
            worker_id=worker_id,
            labels=frozenset((f'rack-{number // 2}',)),
        )
        for number, (worker_id, report) in enumerate(
            zip(WORKER_IDS, reports * 2, strict=True)
        )
    )
    return Runs(offline, job)


def test_declared_estimates_hold_without_runs(runs):
    """A leader without data would change the order and the placement."""
    stage = runs.add(estimate_s=3)
    expected = TaskDuration(mean_s=3, tail_s=3, run_count=0)
    assert runs.durations.task(stage) == expected
    assert runs.durations.run_s(stage, 'w1') == 3
    assert runs.durations.tail_s(stage, 'w1') == 3
    assert runs.durations.slowdown('w1') == 1
    assert StageDurations().task(stage) == expected


def test_ends_teach_the_duration(runs):
    """Declared estimates that are off would order the work for ever."""
    runs.warm(4)
    found = runs.durations.task(runs.add())
    assert found.mean_s == pytest.approx(4, rel=0.15)
    assert found.tail_s > found.mean_s
    assert found.run_count >= 40
    assert runs.durations.learned_count == WARM_RUNS


def test_siblings_teach_their_step_at_once(runs):
    """An estimate that is kept for a moment would miss ended siblings."""
    runs.warm()
    stage = runs.add(count=4)
    before_s = runs.durations.task(stage).mean_s
    started = runs.begin(stage, ('w1', 'w2', 'w3'))
    for run, after_s in zip(started, (3, 0, 0), strict=True):
        runs.end(run, after_s)
    assert before_s < 1.2
    assert runs.durations.task(stage).mean_s > 2


def test_slow_worker_is_known_and_logged(runs, log):
    """Operators could not tell why work avoids a worker."""
    runs.warm()
    for _ in range(2):
        runs.finish(7, 'w3')
    assert runs.durations.slowdown('w3') > 3
    stage = runs.add()
    assert runs.durations.run_s(stage, 'w3') > 3
    assert runs.durations.tail_s(stage, 'w3') > runs.durations.run_s(
        stage, 'w3'
    )
    for _ in range(2):
        runs.finish(1, 'w3')
    assert runs.durations.slowdown('w3') == 1
    events = [
        line.message.split()[0]
        for line in log.records
        if line.message.startswith('event=worker_')
    ]
    assert events == ['event=worker_slow', 'event=worker_usual']


def test_slow_worker_ages_without_ends(runs, log):
    """A round without any ends would leave a worker slow for ever."""
    runs.warm()
    for _ in range(2):
        runs.finish(7, 'w3')
    runs.durations.refresh(runs.offline.clock.now_s() + 12)
    assert runs.durations.slowdown('w3') == 1
    assert any('worker_usual' in line.message for line in log.records)


def test_removed_worker_is_forgotten(runs):
    """A worker that comes back would have the speed of its former process."""
    runs.warm()
    for _ in range(2):
        runs.finish(7, 'w3')
    runs.cluster.remove_worker('w3')
    assert runs.durations.slowdown('w3') == 1
    assert runs.durations.key_counts()['workers'] == 3


@pytest.mark.parametrize(
    'kind',
    [EndKind.FAILED, EndKind.STOPPED, EndKind.LAPSED, EndKind.BROKEN],
)
def test_runs_that_are_not_done_teach_nothing(runs, kind):
    """The time until a failure or a stop is no duration of the task."""
    run = runs.begin_one(runs.add())
    runs.end(run, 3, kind)
    assert runs.durations.learned_count == 0


def test_lost_run_teaches_nothing(runs):
    """The end of a lost run is not known."""
    run = runs.begin_one(runs.add())
    runs.offline.clock.advance(3)
    runs.cluster.mark_run_lost(run)
    assert runs.durations.learned_count == 0


def test_run_that_is_to_be_stopped_teaches_nothing(runs):
    """The confirmation of a stop would count as the start of the run."""
    run = runs.begin_one(runs.add())
    runs.cluster.stop(run)
    run.confirmed_at_s = runs.offline.clock.now_s()
    runs.end(run, 3)
    assert runs.durations.learned_count == 0


def test_unconfirmed_run_teaches_nothing(runs):
    """A start of unknown time would count as one at the beginning."""
    stage = runs.add()
    run = runs.cluster.create_run(stage, 0, 'w1', 1)
    runs.end(run, 3)
    assert stage.is_done
    assert runs.durations.learned_count == 0


def test_resumed_run_teaches_nothing(runs):
    """A run from a checkpoint takes only a part of the duration."""
    stage = runs.add()
    stage.tasks[0].checkpoint = 'half'
    run = runs.begin_one(stage)
    runs.end(run, 3)
    assert runs.durations.learned_count == 0


def test_adopted_run_teaches_nothing(runs):
    """The start of a run of an earlier leader is not known."""
    stage = runs.add()
    stage.waiting.discard(0)
    stage.inherited[0] = Placement('w1', 1)
    runs.cluster.teams.add('orchard', NEEDED)
    found = RunningRun(task=stage.key_of(0), attempt=1)
    run = runs.cluster.adopt('w1', found)
    runs.end(run, 3)
    assert stage.is_done
    assert runs.durations.learned_count == 0


def test_end_that_is_heard_late_teaches_nothing(runs):
    """The silence of a worker would count as a part of the duration."""
    run = runs.begin_one(runs.add())
    runs.cluster.workers['w1'].is_usable = False
    runs.end(run, 3)
    assert runs.durations.learned_count == 0


@pytest.mark.parametrize(
    ('options', 'worker_ids', 'learned'),
    [
        ({'data_rack': 'rack-0'}, ['w1'], 1),
        ({'data_rack': 'rack-0'}, ['w3'], 0),
        ({'is_rack_local': True}, ['w3'], 1),
        ({'is_rack_local': True, 'is_gang': True}, ['w1', 'w2'], 1),
        ({'is_rack_local': True, 'is_gang': True}, ['w1', 'w3'], 0),
        ({'is_rack_local': True}, ['w1', 'w3'], 0),
        ({'is_filling': True}, ['w1'], 0),
        ({'is_lasting': True}, ['w1'], 0),
    ],
)
def test_only_undisturbed_runs_teach(runs, options, worker_ids, learned):
    """Distance from the data would count as the length of the step."""
    stage = runs.add(count=len(worker_ids), **options)
    for run in runs.begin(stage, worker_ids):
        runs.end(run, 3)
    assert runs.durations.learned_count == learned


def test_gang_teaches_one_duration_from_its_last_start(runs):
    """Each member would count, with the wait for the others."""
    for _ in range(WARM_RUNS):
        stage = runs.add(count=2, is_gang=True)
        first = runs.cluster.create_run(stage, 0, 'w1', 1)
        second = runs.cluster.create_run(stage, 1, 'w2', 1)
        runs.cluster.confirm_start(first)
        runs.offline.clock.advance(2)
        runs.cluster.confirm_start(second)
        runs.end(first, 1)
        runs.end(second)
    assert runs.durations.learned_count == WARM_RUNS
    found = runs.durations.task(runs.add())
    assert found.mean_s == pytest.approx(1, rel=0.15)


def test_gang_on_several_workers_teaches_no_speed(runs):
    """One slow member would make all workers of its gang slow."""
    runs.warm()
    for _ in range(6):
        stage = runs.add(count=2, is_gang=True)
        first, _ = runs.begin(stage, ('w1', 'w2'))
        runs.end(first, 7)
    assert runs.durations.slowdown('w1') == 1
    assert runs.durations.slowdown('w2') == 1


def test_gang_on_one_worker_teaches_its_speed(runs):
    """A worker that runs gangs only would never be known as slow."""
    runs.warm()
    for _ in range(2):
        stage = runs.add(count=2, is_gang=True)
        first, _ = runs.begin(stage, ('w3', 'w3'))
        runs.end(first, 7)
    assert runs.durations.slowdown('w3') > 3


def test_gang_with_a_slow_member_teaches_the_usual_duration(runs):
    """The slowness of one worker would count as the length of the step."""
    runs.warm()
    for _ in range(3):
        runs.finish(7, 'w3')
    slowdown = runs.durations.slowdown('w3')
    before_s = runs.durations.task(runs.add()).mean_s
    stage = runs.add(count=2, is_gang=True)
    first, _ = runs.begin(stage, ('w1', 'w3'))
    runs.end(first, slowdown)
    runs.offline.clock.advance(1)
    runs.finish(1)
    after_s = runs.durations.task(runs.add()).mean_s
    assert after_s == pytest.approx(before_s, rel=0.05)


def test_remaining_time_grows_with_the_overrun(runs):
    """A run beyond its estimate would count as ending now for ever."""
    declared = runs.begin_one(runs.add(estimate_s=4))
    began_s = declared.confirmed_at_s
    left_s = [
        runs.durations.remaining_s(declared, began_s + age_s)
        for age_s in (0, 3, 4, 6, 10)
    ]
    assert left_s == [4, 1, 0, 1, 3]
    runs.warm()
    learned = runs.begin_one(runs.add())
    began_s = learned.confirmed_at_s
    mean_s = runs.durations.task(learned.stage).mean_s
    at_start_s = runs.durations.remaining_s(learned, began_s)
    at_mean_s = runs.durations.remaining_s(learned, began_s + mean_s)
    late_s = runs.durations.remaining_s(learned, began_s + 5 * mean_s)
    assert at_start_s == pytest.approx(mean_s)
    assert 0 < at_mean_s < mean_s
    assert late_s > 2 * mean_s


def test_error_in_the_model_ends_nothing(runs, monkeypatch, log):
    """An error in learning would end the session of a worker."""

    def fail(*_):
        raise ValueError('broken')

    model = runs.durations._model
    for name in ('learn', 'estimate', 'slowdowns'):
        monkeypatch.setattr(model, name, fail)
    stage = runs.add(estimate_s=2)
    run = runs.begin_one(stage)
    runs.end(run, 3)
    assert stage.is_done
    runs.durations.refresh(runs.offline.clock.now_s() + 9)
    assert runs.durations.task(runs.add(estimate_s=2)).mean_s == 2
    logged = {line.message.split()[0] for line in log.records}
    assert 'event=duration_not_estimated' in logged
    assert 'event=durations_not_refreshed' in logged


def test_round_of_equal_workers_asks_the_model_once(runs, monkeypatch):
    """Thousands of questions in a round would slow all decisions."""
    runs.warm()
    stage = runs.add(count=4)
    calls = []
    estimate = runs.durations._model.estimate

    def count(*args):
        calls.append(args)
        return estimate(*args)

    monkeypatch.setattr(runs.durations._model, 'estimate', count)
    runs.durations.refresh(runs.offline.clock.now_s() + 1)
    for _ in range(1000):
        runs.durations.run_s(stage, 'w1')
        runs.durations.tail_s(stage, 'w2')
    assert len(calls) == 1


def test_metrics_show_what_was_learned(runs):
    """Operators could not see whether the estimates are any good."""
    runs.warm(2)
    rendered = runs.offline.metrics.render().decode()
    assert 'currantreach_duration_ratio_count{' in rendered
    assert runs.durations.key_counts()['queues'] == 1


def test_steps_of_one_job_are_told_apart(runs, job):
    """A short step would take the duration of the long one before it."""
    runs.warm()
    two_steps = attrs.evolve(
        job('f' * 16),
        steps=(
            Step(task_count=3, needed=NEEDED, estimate_s=1),
            Step(task_count=3, needed=NEEDED, estimate_s=1),
        ),
    )
    runs.cluster.add_job(two_steps)
    stages = runs.cluster.jobs['f' * 16].stages
    started = runs.begin(stages[0, 0], ('w1', 'w2'))
    for run, after_s in zip(started, (3, 0), strict=True):
        runs.end(run, after_s)
    assert runs.durations.task(stages[0, 0]).mean_s > 1.5
    assert runs.durations.task(stages[0, 1]).mean_s < 1.3
