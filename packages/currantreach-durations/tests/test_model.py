"""Tests of the duration model."""

from __future__ import annotations

import collections
import math
import random
import statistics
import tracemalloc

import attrs
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from currantreach_durations import (
    DurationModel,
    DurationRecord,
    Estimate,
    FinishedRun,
    ModelLimits,
    QueueRecord,
    TeamRecord,
    Work,
)
from currantreach_types import decode_msgpack, encode_msgpack

INTERVAL_S = 0.02
SPREAD = 0.28
DECLARED_SPREAD = 0.35
MEBIBYTE = 2**20
MEGABYTE = 10**6
ODD_TIMES = st.sampled_from([0, -1, math.nan, math.inf, -math.inf, 3601, 1e300])
FACTORS = st.floats(0.1, 10)


@attrs.define
class Fleet:
    """Simulated workers whose runs a model learns from.

    ``speeds`` are the factors of the durations by worker, ``ratio`` is that of
    actual to declared durations.
    """

    rng: random.Random
    speeds: dict
    model: DurationModel = attrs.field(factory=DurationModel)
    ratio: float = 1
    spread: float = SPREAD
    declared_spread: float = DECLARED_SPREAD
    now_s: float = 1000
    job_count: int = 0

    def run_job(self, worker_ids=None, team='orchard'):
        """Run one step with one to five tasks."""
        self.job_count += 1
        length_s = math.exp(self.rng.gauss(0, 0.5))
        error = math.exp(self.rng.gauss(0, self.declared_spread))
        work = Work(
            queue='lookups',
            team=team,
            step_id=f'job-{self.job_count}.0',
            declared_s=length_s / self.ratio * error,
        )
        for _ in range(self.rng.randint(1, 5)):
            worker_id = self.rng.choice(worker_ids or tuple(self.speeds))
            self.finish(work, worker_id, length_s)

    def finish(self, work, worker_id, length_s):
        """End one run."""
        self.now_s += INTERVAL_S
        noise = math.exp(self.rng.gauss(0, self.spread))
        run_s = length_s * self.speeds[worker_id] * noise
        self.model.learn(FinishedRun(work, worker_id, run_s, self.now_s))

    def slowdowns(self):
        """Return the learned slowdowns of all workers."""
        return {
            worker_id: self.model.slowdown(worker_id, self.now_s)
            for worker_id in self.speeds
        }


@attrs.define
class CountingFleet(Fleet):
    """Fleet that counts the runs of each worker while it counts as usual."""

    usual_runs: collections.Counter = attrs.field(factory=collections.Counter)

    def finish(self, work, worker_id, length_s):
        """End one run."""
        if self.model.slowdown(worker_id, self.now_s) == 1:
            self.usual_runs[worker_id] += 1
        super().finish(work, worker_id, length_s)


def equal_workers(count=12):
    """Return the speeds of a fleet of equal workers."""
    return {f'w{number}': 1 for number in range(count)}


def declared(declared_s, step_id='', team='orchard', queue='lookups'):
    """Return work with a declared duration."""
    return Work(queue, team, step_id, declared_s)


@pytest.fixture
def warm():
    """Return a function that simulates a fleet with some finished jobs."""

    def simulate(seed, speeds=None, jobs=400, **options):
        fleet = Fleet(random.Random(seed), speeds or equal_workers(), **options)
        for _ in range(jobs):
            fleet.run_job()
        return fleet

    return simulate


@pytest.mark.parametrize('seed', range(5))
def test_speeds_are_told_apart_from_lengths(warm, seed):
    """Lengths that absorb the speeds would send short work to slow workers."""
    kinds = (0.6, 1, 1, 1.6)
    speeds = {f'w{number}': kinds[number % 4] for number in range(20)}
    fleet = warm(seed, speeds, jobs=900)
    for worker_id, found in fleet.slowdowns().items():
        assert found == pytest.approx(speeds[worker_id], rel=0.25)
    estimate = fleet.model.estimate(declared(2), fleet.now_s)
    assert estimate.mean_s == pytest.approx(2, rel=0.25)


@pytest.mark.parametrize('seed', range(5))
def test_lasting_speeds_are_known_after_few_runs(seed):
    """Workers of other speeds would be taken for usual ones for too long.

    It took 23 runs at the median until the slowdown of a worker was known.
    """
    kinds = (0.6, 1, 1, 1.6)
    speeds = {f'w{number}': kinds[number % 4] for number in range(40)}
    fleet = CountingFleet(random.Random(seed), speeds)
    for _ in range(700):
        fleet.run_job()
    median = statistics.median(
        fleet.usual_runs[worker_id]
        for worker_id, speed in speeds.items()
        if speed != 1
    )
    assert median < 18


@pytest.mark.parametrize('seed', range(10))
def test_equal_workers_have_exactly_the_usual_speed(warm, seed):
    """Noise taken for speed would change the order of equal workers."""
    fleet = warm(seed, jobs=0)
    for _ in range(300):
        fleet.run_job()
        assert set(fleet.slowdowns().values()) == {1}


@given(st.integers(0, 2**32), st.floats(0.2, 5))
def test_fleet_that_is_slower_as_a_whole_is_usual(seed, factor):
    """Without a usual worker, a common factor would make all workers slow."""
    speeds = dict.fromkeys(equal_workers(), factor)
    fleet = Fleet(
        random.Random(seed), speeds, spread=0.05, declared_spread=0.05
    )
    for _ in range(60):
        fleet.run_job()
    assert set(fleet.slowdowns().values()) == {1}


@given(st.integers(0, 2**32), st.floats(5, 8))
def test_slow_worker_is_known_after_two_runs_and_forgiven(seed, factor):
    """A worker that turned slow was given work until an average had moved."""
    fleet = Fleet(
        random.Random(seed),
        equal_workers(),
        spread=0.1,
        declared_spread=0.1,
    )
    for _ in range(100):
        fleet.run_job()
    fleet.speeds['w3'] = factor
    for number in range(2):
        fleet.finish(declared(1, f'slow-{number}'), 'w3', 1)
    assert fleet.slowdowns()['w3'] > 2
    assert fleet.slowdowns()['w4'] == 1
    fleet.speeds['w3'] = 1
    for further in range(2):
        fleet.finish(declared(1, f'fast-{further}'), 'w3', 1)
    assert fleet.slowdowns()['w3'] == 1


def test_single_long_run_does_not_make_a_worker_slow(warm):
    """Three tasks in a hundred take seven times as long on any worker."""
    fleet = warm(1)
    fleet.finish(declared(1), 'w3', 7)
    assert fleet.slowdowns()['w3'] == 1


def test_slow_worker_ages_without_runs(warm):
    """A worker that gets no work any more would stay slow for ever."""
    fleet = warm(1)
    fleet.speeds['w3'] = 7
    for _ in range(4):
        fleet.run_job(['w3'])
    aged = [
        fleet.model.slowdown('w3', fleet.now_s + age_s) for age_s in range(11)
    ]
    assert aged[0] > 3
    assert aged == sorted(aged, reverse=True)
    assert aged[-1] == 1


def test_lasting_speed_is_known_with_few_runs(warm):
    """With seconds between its runs, a worker would never be known as slow."""
    fleet = warm(2, {**equal_workers(), 'w3': 1.8}, jobs=200)
    for number in range(60):
        fleet.now_s += 4
        fleet.finish(declared(1, f'sparse-{number}'), 'w3', 1)
    assert fleet.slowdowns()['w3'] == pytest.approx(1.8, rel=0.25)
    assert fleet.model.slowdown('w3', fleet.now_s + 11) == 1
    fleet.now_s += 15
    fleet.finish(declared(1, 'next'), 'w3', 1)
    assert fleet.slowdowns()['w3'] == pytest.approx(1.8, rel=0.25)


def test_sudden_slowness_is_not_remembered(warm):
    """A worker that was slow for 6 s would be slow again after a pause."""
    fleet = warm(2)
    fleet.speeds['w3'] = 7
    for number in range(3):
        fleet.finish(declared(1, f'slow-{number}'), 'w3', 1)
    assert fleet.slowdowns()['w3'] > 3
    fleet.speeds['w3'] = 1
    fleet.now_s += 11
    fleet.finish(declared(1, 'next'), 'w3', 2)
    assert fleet.slowdowns()['w3'] == 1


def test_slow_step_does_not_make_its_workers_slow(warm):
    """A step that was declared far too short would make its workers slow."""
    fleet = warm(1)
    for _ in range(3):
        for worker_id in fleet.speeds:
            fleet.finish(declared(1, 'underestimated'), worker_id, 6)
    assert set(fleet.slowdowns().values()) == {1}


@given(st.integers(0, 2**32), FACTORS)
def test_declared_durations_that_are_off_are_corrected(seed, ratio):
    """A constant factor of all declared durations would stay in each one."""
    fleet = Fleet(
        random.Random(seed),
        equal_workers(),
        ratio=ratio,
        spread=0.1,
        declared_spread=0.1,
    )
    for _ in range(80):
        fleet.run_job()
    estimate = fleet.model.estimate(declared(3), fleet.now_s)
    assert estimate.mean_s == pytest.approx(3 * ratio, rel=0.25)


@given(st.integers(0, 2**32), st.floats(0.3, 4))
def test_teams_have_ratios_of_their_own(seed, ratio):
    """A ratio of the queue alone would mix teams that declare differently."""
    fleet = Fleet(
        random.Random(seed), equal_workers(), spread=0.1, declared_spread=0.1
    )
    for _ in range(60):
        fleet.ratio = 1
        fleet.run_job(team='orchard')
        fleet.ratio = ratio
        fleet.run_job(team='meadow')
    for team, expected in (('orchard', 1), ('meadow', ratio)):
        estimate = fleet.model.estimate(declared(1, team=team), fleet.now_s)
        assert estimate.mean_s == pytest.approx(expected, rel=0.3)


@given(st.integers(0, 2**32), st.floats(0.2, 5))
def test_finished_siblings_outweigh_the_declared_duration(seed, length_s):
    """A step that is known from its own tasks needs no declared duration."""
    fleet = Fleet(random.Random(seed), equal_workers(), spread=0.1)
    for _ in range(60):
        fleet.run_job()
    for worker_id in tuple(fleet.speeds)[:6]:
        fleet.finish(declared(1, 'step'), worker_id, length_s)
    estimate = fleet.model.estimate(declared(1, 'step'), fleet.now_s)
    assert estimate.mean_s == pytest.approx(length_s, rel=0.25)


@pytest.mark.parametrize('spread', [0.1, 0.28, 0.6])
def test_one_task_in_ten_exceeds_the_tail(warm, spread):
    """A tail that is too short would promise ends that are not met."""
    fleet = warm(3, spread=spread, declared_spread=spread, jobs=800)
    rng = random.Random(4)
    estimate = fleet.model.estimate(declared(1), fleet.now_s)
    exceeding = 0
    for _ in range(4000):
        error = rng.gauss(0, spread) - rng.gauss(0, spread)
        exceeding += math.exp(error) > estimate.tail_s
    assert 0.05 < exceeding / 4000 < 0.16
    assert estimate.mean_s < estimate.tail_s


def test_declared_duration_holds_without_runs():
    """A model without runs would change the order of work."""
    model = DurationModel()
    assert model.estimate(declared(4), 5) == Estimate(4, 4, 0)
    assert model.estimate(declared(0), 5) == Estimate(0, 0, 0)
    assert model.slowdown('w1', 5) == 1


def test_queue_without_declared_durations_is_estimated_from_its_runs():
    """A queue that declares nothing would count as work of no length."""
    model = DurationModel()
    for number in range(20):
        model.learn(FinishedRun(declared(0), '', 2.5, number))
    estimate = model.estimate(declared(0), 20)
    assert estimate.mean_s == pytest.approx(2.5, rel=0.1)


@pytest.mark.parametrize('count', [0, 1, 30])
@given(ODD_TIMES)
def test_implausible_times_teach_nothing(count, run_s):
    """A clock that restarts would teach negative or endless durations."""
    model = DurationModel()
    for number in range(count):
        model.learn(FinishedRun(declared(1), 'w1', 1, number))
    before = model.estimate(declared(1), 30), model.key_counts()
    assert not model.learn(FinishedRun(declared(1), 'w1', run_s, 31))
    assert not model.learn(FinishedRun(declared(1), 'w1', 101, 31))
    assert not model.learn(FinishedRun(declared(1), 'w1', 1, math.nan))
    assert (model.estimate(declared(1), 30), model.key_counts()) == before


@pytest.mark.parametrize('run_s', [2, 60, 3000])
@pytest.mark.parametrize('has_siblings', [False, True])
def test_declared_duration_that_is_far_off_is_corrected(run_s, has_siblings):
    """Work that is declared with a default would never be learned.

    Of 300 runs of 2 s with 15 ms declared, none was learned, as each took more
    than a hundred times the declared duration.
    """
    model = DurationModel()
    learned_count = 0
    for number in range(300):
        step_id = f'step-{number // 3}' if has_siblings else ''
        run = FinishedRun(declared(0.015, step_id), 'w1', run_s, number)
        learned_count += model.learn(run)
    assert learned_count == 299
    estimate = model.estimate(declared(0.015), 300)
    assert estimate.mean_s == pytest.approx(run_s, rel=0.25)


@pytest.mark.parametrize('count', [1, 30])
def test_queue_that_becomes_far_longer_is_followed(count):
    """One short run would keep a queue from learning its real duration."""
    model = DurationModel()
    for number in range(count + 600):
        worker_id = f'w{number % 8}'
        run_s = 1 if number < count else 150
        model.learn(FinishedRun(declared(1), worker_id, run_s, number))
    estimate = model.estimate(declared(1), 700)
    assert estimate.mean_s == pytest.approx(150, rel=0.25)


@pytest.mark.parametrize('others', [(1,), (1, 1, 1)])
def test_single_absurd_times_teach_nothing(others):
    """Hosts that are suspended now and then would make a queue longer."""
    model = DurationModel()
    for number in range(30):
        model.learn(FinishedRun(declared(1), 'w1', 1, number))
    for further in range(30, 60):
        assert not model.learn(FinishedRun(declared(1), 'w1', 3000, further))
        for run_s in others:
            assert model.learn(FinishedRun(declared(1), 'w1', run_s, further))
    assert model.estimate(declared(1), 60).mean_s < 1.2
    assert model.slowdown('w1', 60) == 1


def test_absurd_times_that_disagree_teach_nothing():
    """Two suspensions in a row would count as a change of the queue."""
    model = DurationModel()
    model.learn(FinishedRun(declared(1), 'w1', 1, 1))
    before = model.estimate(declared(1), 2)
    for run_s in (150, 3000, 150):
        assert not model.learn(FinishedRun(declared(1), 'w1', run_s, 2))
    assert model.estimate(declared(1), 2) == before


@given(
    st.lists(
        st.tuples(
            st.floats(allow_nan=True, allow_infinity=True),
            st.floats(allow_nan=True, allow_infinity=True),
            st.floats(),
            st.sampled_from(['', 'w1', 'w2', 'x' * 5000]),
            st.sampled_from(['', 's1', 'y' * 5000]),
        ),
        max_size=30,
    ),
)
def test_any_input_gives_finite_estimates(runs):
    """An overflow in the model would end a round of decisions."""
    model = DurationModel()
    for declared_s, run_s, ended_at_s, worker_id, step_id in runs:
        work = declared(declared_s, step_id)
        model.learn(FinishedRun(work, worker_id, run_s, ended_at_s))
        estimate = model.estimate(work, ended_at_s)
        assert 0 <= estimate.mean_s < math.inf
        assert 0 <= estimate.tail_s < math.inf
        assert 0 < model.slowdown('w1', 0) < math.inf


def test_clock_that_goes_backwards_changes_no_speed(warm):
    """Times before the last run must not age a worker by negative amounts."""
    fleet = warm(1)
    fleet.now_s = 0
    for _ in range(50):
        fleet.run_job()
    assert set(fleet.slowdowns().values()) == {1}


def test_forgotten_worker_is_usual(warm):
    """A worker that is replaced would keep the speed of its predecessor."""
    fleet = warm(1, {**equal_workers(), 'w3': 3})
    assert fleet.slowdowns()['w3'] > 2
    fleet.model.forget_worker('w3')
    assert fleet.slowdowns()['w3'] == 1


def learn_many_keys(model, queue_count=60):
    """Teach a model more keys than it may keep."""
    for number in range(6000):
        work = Work(
            queue=f'queue-{number % queue_count:030d}',
            team=f'team-{number:030d}',
            step_id=f'job-{number:060d}.0',
            declared_s=1,
        )
        worker_id = f'worker-{number:040d}'
        model.learn(FinishedRun(work, worker_id, 1, number / 1000))


def learn_doubtful_runs(model):
    """Teach a model more implausible times than it may keep."""
    for number in range(6000):
        work = declared(0.001, '', f'meadow-{number:030d}', f'{number:036d}')
        model.learn(FinishedRun(work, '', 100, 6))


def learn_all_kinds(model):
    """Teach a model more keys of all kinds than it may keep."""
    learn_many_keys(model)
    learn_many_keys(model, queue_count=6000)
    learn_doubtful_runs(model)


@pytest.mark.parametrize(
    ('limits', 'most_bytes'),
    [
        (ModelLimits(), MEGABYTE),
        (
            ModelLimits(max_queues=4096, max_teams=4096, max_doubts=4096),
            8 * MEGABYTE,
        ),
    ],
)
def test_memory_follows_the_limits(limits, most_bytes):
    """All kinds of keys together would exceed the memory of a daemon."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        model = DurationModel(limits)
        learn_all_kinds(model)
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert model.key_counts() == {
        'queues': limits.max_queues,
        'teams': limits.max_teams,
        'steps': limits.max_steps,
        'workers': limits.max_workers,
    }
    assert used < most_bytes


@pytest.mark.parametrize(('run_s', 'is_learned'), [(7200, True), (7201, False)])
def test_longest_run_is_a_limit(run_s, is_learned):
    """Runs above one hour were not learned where tasks take hours."""
    model = DurationModel(ModelLimits(max_run_s=7200))
    run = FinishedRun(declared(3600), 'w1', run_s, 1)
    assert model.learn(run) == is_learned


def test_memory_is_bounded():
    """Names that callers choose would exhaust the memory of a daemon."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        model = DurationModel()
        learn_many_keys(model)
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert min(model.key_counts().values()) > 50
    assert sum(model.key_counts().values()) < 4000
    assert used < MEBIBYTE


def test_record_takes_a_few_kilobytes():
    """A large record would make each write of the store slow."""
    model = DurationModel()
    learn_many_keys(model)
    assert len(encode_msgpack(model.record())) < 12 * 1024


def test_least_recently_used_keys_are_evicted():
    """A bound that drops keys in use would forget what is asked for."""
    model = DurationModel()
    for number in range(3000):
        model.learn(FinishedRun(declared(1, team='kept'), '', 3, number))
        other = declared(1, f'step-{number}', f'team-{number}')
        model.learn(FinishedRun(other, '', 1, number))
    kept = model.estimate(declared(1, team='kept'), 3000)
    assert kept.mean_s == pytest.approx(3, rel=0.2)


@given(st.integers(0, 2**32), st.floats(0.3, 3))
@example(130465097, 1)
def test_record_restores_estimates_and_speeds(seed, ratio):
    """A new leader would start with declared durations only."""
    fleet = Fleet(
        random.Random(seed),
        {**equal_workers(), 'w3': 3},
        ratio=ratio,
        spread=0.1,
        declared_spread=0.1,
    )
    for _ in range(60):
        fleet.run_job()
    # By chance, a worker may have had too few runs until now.
    for _ in range(300):
        if fleet.model.slowdown('w3', fleet.now_s) != 1:
            break
        fleet.run_job()
    stored = encode_msgpack(fleet.model.record())
    restored = DurationModel()
    assert restored.restore(decode_msgpack(stored, DurationRecord), 7) == 3
    for found, expected in zip(
        attrs.astuple(restored.estimate(declared(2), 7)),
        attrs.astuple(fleet.model.estimate(declared(2), fleet.now_s)),
        strict=True,
    ):
        assert found == pytest.approx(expected, rel=0.15)
    assert restored.slowdown('w3', 7) == pytest.approx(3, rel=0.4)
    assert restored.slowdown('w4', 7) == 1
    assert restored.slowdown('w3', 18) == 1


@given(
    st.floats(allow_nan=True, allow_infinity=True),
    st.floats(allow_nan=True, allow_infinity=True),
)
def test_record_out_of_bounds_is_ignored(odd_runs, odd_log):
    """A damaged record would spoil all estimates of the next leaders."""
    record = DurationRecord(
        queues=(
            QueueRecord(queue='lookups', runs=odd_runs, ratio_log=odd_log),
            QueueRecord(queue='q' * 500, runs=1),
        ),
        teams=(
            TeamRecord(
                queue='lookups', team='orchard', runs=odd_runs, ratio_log=50
            ),
        ),
        slowdowns={'w1': odd_log, 'w2': 0, 'w3': math.nan, 'w4': 1e9},
    )
    model = DurationModel()
    model.restore(record)
    estimate = model.estimate(declared(1), 1)
    assert 0.0001 < estimate.mean_s < 10000
    assert estimate.mean_s * 0.9 <= estimate.tail_s < math.inf
    assert {model.slowdown(name, 1) for name in ('w2', 'w3', 'w4')} == {1}
    model.learn(FinishedRun(declared(1), 'w1', 1, 1))


def test_own_runs_take_precedence_over_a_record():
    """A record that is read late would undo what the leader has learned."""
    model = DurationModel()
    for number in range(20):
        model.learn(FinishedRun(declared(1), '', 3, number))
    before = model.estimate(declared(1), 20)
    record = DurationRecord(
        queues=(QueueRecord(queue='lookups', runs=9, ratio_log=-1),),
        teams=(
            TeamRecord(queue='lookups', team='orchard', runs=9, ratio_log=-1),
        ),
    )
    assert model.restore(record) == 0
    assert model.estimate(declared(1), 20) == before
