"""Placement on workers of different speeds.

On a deployment with workers of 0.6, 1.0 and 1.6 of the usual speed, half of the
prompt jobs were late although they started at once, as they ran on slow
workers, while wide jobs with plenty of slack ran on fast ones.
"""

from __future__ import annotations

import attrs
import pytest
from hypothesis import HealthCheck, given, settings, strategies

from currantreach_jobs import AdviceConfig, Queue, WorkerReport
from currantreach_jobs._placement import (
    assign,
    eligible_workers,
    workers_to_query,
)
from currantreach_jobs._progress import JobProgress
from currantreach_jobs._stage_durations import StageDurations
from currantreach_jobs._usage import WorkerState
from currantreach_jobs._worker_ranking import measure_speeds, read_slowdowns
from currantreach_types import Resources

ROOM = Resources(cpu_milli=16000, memory_mib=32768)
QUARTER = Resources(cpu_milli=4000, memory_mib=1000)
WHOLE = Resources(cpu_milli=16000, memory_mib=1000)
SLOW = 1 / 0.6
FAST = 1 / 1.6
PROMPT = Queue(
    name='prompt',
    host='h',
    path_prefix='/',
    service='passes',
    priority=0,
    stretch_factor=1.5,
    target_s=0.25,
)
HEAVY = attrs.evolve(
    PROMPT, name='heavy', priority=1, stretch_factor=2.2, target_s=1
)
ADVISED = attrs.evolve(
    HEAVY,
    advice=AdviceConfig(fixed_s=0.6, per_worker_s=0.005, ticket_s=1.5),
)
WIDE = attrs.evolve(
    PROMPT, name='wide', priority=2, stretch_factor=4, target_s=3
)


def _report(worker_id, labels=()):
    return WorkerReport(
        worker_id=worker_id,
        address=worker_id,
        service='passes',
        failure_domain='east',
        is_draining=False,
        room=ROOM,
        labels=frozenset(labels),
    )


@pytest.fixture
def fleet(offline, durations):
    """Return a scheduler with workers ``s1``, ``u1``, ``f1`` and so on.

    Those with ``s`` are slow, those with ``u`` of usual speed and those with
    ``f`` fast.
    """
    offline.cluster.workers.clear()
    for number in range(1, 5):
        for letter, slowdown in (('s', SLOW), ('u', 1), ('f', FAST)):
            name = f'{letter}{number}'
            offline.add_workers([_report(name)])
            durations.slowdowns[name] = slowdown
    return offline


@pytest.fixture
def workers_of(fleet):
    """Return a function that schedules once and returns workers by job."""

    def start():
        fleet.started()
        found = {}
        for run in fleet.launched:
            found.setdefault(run.task.job_id, []).append(run.worker_id)
        return found

    return start


def _letters(worker_ids):
    return {worker_id[0] for worker_id in worker_ids}


def _former_order(stage, workers):
    rack = stage.step.data_rack
    return sorted(
        workers,
        key=lambda worker: (
            bool(rack) and rack not in worker.report.labels,
            worker.free.cpu_milli,
        ),
    )


class ScatteredDurations(StageDurations):
    """Durations of a fleet of equal workers, measured with noise."""

    def __init__(self, slowdowns):
        self.slowdowns = slowdowns

    def slowdown(self, worker_id):
        """Return the slowdown of the worker with a number as its name."""
        return self.slowdowns[int(worker_id)]


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    fleet=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 16),
            strategies.sampled_from(('a', 'b', '')),
            strategies.floats(0.9, 1.1),
        ),
        min_size=1,
        max_size=12,
    ),
    is_noisy=strategies.booleans(),
    rack=strategies.sampled_from(('', 'a', 'b', 'c')),
    count=strategies.integers(1, 9),
    is_gang=strategies.booleans(),
    is_rack_local=strategies.booleans(),
    late_s=strategies.floats(0, 20),
)
def test_equal_workers_are_used_as_before(
    job, fleet, is_noisy, rack, count, is_gang, is_rack_local, late_s
):
    """Without different speeds, the order is that of the best fit alone.

    Deployments with equal workers must not be placed by the noise of their
    measured speeds.
    """
    workers = [
        WorkerState(
            report=_report(str(number), (label,) if label else ()),
            free=Resources(cpu_milli=1000 * cores, memory_mib=32768),
            is_usable=True,
        )
        for number, (cores, label, _) in enumerate(fleet)
    ]
    durations = ScatteredDurations(
        [slowdown if is_noisy else 1 for _, _, slowdown in fleet]
    )
    made = job(
        'j',
        count,
        queue=PROMPT,
        needed=QUARTER,
        estimate_s=1,
        data_rack=rack,
        is_gang=is_gang,
        is_rack_local=is_rack_local,
    )
    progress = JobProgress(
        job=made,
        attempt_base=0,
        accepted_at_s=0,
        objective_s=made.objective_s(),
    )
    progress.open_next()
    stage = progress.stages[0, 0]
    ids = [worker.report.worker_id for worker in workers]
    speeds = measure_speeds(read_slowdowns(ids, durations), late_s)
    order = speeds.order_for(stage, late_s)
    former = _former_order(stage, workers)
    ranked = eligible_workers(stage, workers, late_s, speed_order=order)
    assert ranked == former
    assert assign(stage, ranked, count, order) == assign(stage, former, count)
    queried = workers_to_query(stage, ranked, 0.5, 1, 2, order)
    assert queried == workers_to_query(stage, former, 0.5, 1, 2)


def test_prompt_and_wide_jobs_on_three_speeds(
    fleet, durations, job, workers_of
):
    """Work with slack must not take the workers that prompt work needs."""
    durations.lengths_s['prompt'] = (0.85, 1.2)
    fleet.cluster.add_job(
        job('wide', 16, queue=WIDE, needed=QUARTER, estimate_s=1.9)
    )
    fleet.cluster.add_job(
        job('prompt', 8, queue=PROMPT, needed=QUARTER, estimate_s=0.85)
    )
    found = workers_of()
    assert _letters(found['wide']) == {'s'}
    assert _letters(found['prompt']) == {'u'}


def test_tail_decides_which_speed_suffices(fleet, durations, job, workers_of):
    """A worker on which only the mean meets the objective is not enough."""
    durations.lengths_s['prompt'] = (0.85, 1.6)
    fleet.cluster.add_job(job('prompt', queue=PROMPT, estimate_s=0.85))
    assert _letters(workers_of()['prompt']) == {'f'}


def test_later_steps_count_against_the_objective(fleet, job, workers_of):
    """The first of two steps has to leave time for the second one."""
    queue = attrs.evolve(WIDE, stretch_factor=1.2, target_s=0.5)
    made = job('chain', queue=queue, needed=QUARTER, estimate_s=2)
    first = made.steps[0]
    steps = (first, attrs.evolve(first, after=(0,)))
    fleet.cluster.add_job(attrs.evolve(made, steps=steps))
    # Of 5.3 s, 2 s are left for the second step: the slow workers take 3.33 s.
    assert _letters(workers_of()['chain']) == {'u'}


def test_wave_of_prompt_jobs_leaves_fast_workers(
    fleet, durations, job, workers_of
):
    """Prompt jobs must not take all fast workers while others suffice.

    A heavy gang that is nearly late would have no worker to be on time on.
    """
    durations.lengths_s['prompt'] = (0.85, 1.2)
    for number in range(16):
        fleet.cluster.add_job(
            job(f'p{number}', queue=PROMPT, needed=QUARTER, estimate_s=0.85)
        )
    found = workers_of()
    assert {workers[0][0] for workers in found.values()} == {'u'}
    heavy = job('heavy', 4, queue=HEAVY, needed=WHOLE, estimate_s=4)
    heavy = attrs.evolve(
        heavy,
        steps=(attrs.evolve(heavy.steps[0], is_gang=True),),
        accepted_unix_ms=heavy.accepted_unix_ms - 6500,
    )
    fleet.cluster.add_job(heavy)
    # The gang has 3.3 s left, and takes 2.5 s on fast workers.
    assert _letters(workers_of()['heavy']) == {'f'}


def test_late_stage_takes_the_fastest_worker(fleet, job, workers_of):
    """A stage that is late everywhere ends soonest on the fastest worker."""
    late = job('late', queue=PROMPT, needed=QUARTER, estimate_s=0.85)
    fleet.cluster.add_job(
        attrs.evolve(late, accepted_unix_ms=late.accepted_unix_ms - 2000)
    )
    assert _letters(workers_of()['late']) == {'f'}


def test_full_fleet_leaves_no_worker_idle(fleet, job, workers_of):
    """Slow workers are used while work waits, also for late work."""
    late = job('late', 60, queue=PROMPT, needed=QUARTER, estimate_s=0.85)
    fleet.cluster.add_job(
        attrs.evolve(late, accepted_unix_ms=late.accepted_unix_ms - 2000)
    )
    used = workers_of()['late']
    assert len(used) == 48
    assert ''.join(worker_id[0] for worker_id in used) == (
        'f' * 16 + 'u' * 16 + 's' * 16
    )


@pytest.mark.parametrize(
    ('count', 'age_s', 'letters'),
    [
        # Slow workers alone are on time: 6.7 of 9.8 s.
        (4, 0, 's'),
        # They are not any more: usual workers alone are.
        (4, 4, 'u'),
        # Neither usual nor fast workers suffice alone; both are on time.
        (6, 4, 'uf'),
        # Only fast workers are on time, and too few: the gang is late, and
        # usual workers beside them are faster than slow ones.
        (6, 6.5, 'uf'),
        # Late everywhere: as fast as possible.
        (4, 9.5, 'f'),
        (12, 9.5, 'suf'),
    ],
)
def test_gang_uses_workers_of_similar_speed(
    fleet, job, workers_of, count, age_s, letters
):
    """A gang must not be slowed by one slow member."""
    gang = job(
        'gang', count, queue=HEAVY, needed=WHOLE, estimate_s=4, is_gang=True
    )
    fleet.cluster.add_job(
        attrs.evolve(
            gang, accepted_unix_ms=gang.accepted_unix_ms - round(age_s * 1000)
        )
    )
    used = workers_of()['gang']
    assert len(used) == count
    assert _letters(used) == set(letters)


def test_late_gang_takes_no_fast_workers_beside_slow_ones(
    fleet, job, workers_of
):
    """Fast workers are of no use to a gang that waits for a usual one.

    They would be taken from work that can still be on time on them.
    """
    fleet.cluster.workers['f1'].paused_until_s = 10**9
    gang = job('gang', 4, queue=HEAVY, needed=WHOLE, estimate_s=4, is_gang=True)
    fleet.cluster.add_job(
        attrs.evolve(gang, accepted_unix_ms=gang.accepted_unix_ms - 9500)
    )
    assert _letters(workers_of()['gang']) == {'u'}


def test_data_rack_comes_before_speed(fleet, job, workers_of):
    """How much the distance from its data slows a task is not known."""
    fleet.add_workers([_report('s1', ('rack1',)), _report('s2', ('rack1',))])
    for name, count in (('tasks', 3), ('gang', 4)):
        fleet.cluster.add_job(
            job(
                name,
                count,
                queue=PROMPT,
                needed=QUARTER,
                estimate_s=1,
                data_rack='rack1',
                is_gang=name == 'gang',
            )
        )
    found = workers_of()
    assert set(found['tasks']) | set(found['gang']) == {'s1', 's2'}


def test_rack_local_gang_stays_on_one_rack(fleet, job, workers_of):
    """Similar speed is worth less than a rack of its own."""
    for name in ('s4', 'u4', 'f4'):
        fleet.add_workers([_report(name, ('rack9',))])
    fleet.cluster.add_job(
        job(
            'gang',
            3,
            queue=HEAVY,
            needed=WHOLE,
            estimate_s=4,
            is_gang=True,
            is_rack_local=True,
        )
    )
    assert set(workers_of()['gang']) == {'s4', 'u4', 'f4'}


def test_calls_list_workers_of_similar_speed(fleet, durations, job):
    """A call for a gang lists the workers that placement would take first."""
    fleet.cluster.workers['f1'].free = ROOM + ROOM
    fleet.cluster.add_job(
        job(
            'gang', 4, queue=ADVISED, needed=QUARTER, estimate_s=4, is_gang=True
        )
    )
    stage = fleet.cluster.jobs['gang'].stages[0, 0]
    now_s = fleet.clock.now_s()
    speeds = measure_speeds(
        read_slowdowns(fleet.cluster.workers, durations), now_s
    )
    order = speeds.order_for(stage, now_s)
    workers = eligible_workers(
        stage, fleet.cluster.workers.values(), now_s, speed_order=order
    )
    queried = workers_to_query(stage, workers, 1, now_s, speed_order=order)
    assert _letters(worker.report.worker_id for worker in queried) == {'s'}


@pytest.mark.parametrize('slowdown', [0, -1, float('nan'), float('inf'), 1e300])
def test_implausible_speed_stops_no_round(fleet, durations, job, slowdown):
    """A wrong speed may cost time, but every task is still started."""
    durations.slowdowns['u1'] = slowdown
    fleet.cluster.add_job(
        job('wide', 48, queue=WIDE, needed=QUARTER, estimate_s=1.9)
    )
    assert len(fleet.started()) == 48


def test_worker_that_joins_is_used_at_once(fleet, job, workers_of):
    """A worker whose speed was not measured yet is taken as usual."""
    for name in ('u1', 'u2', 'u3', 'u4'):
        fleet.cluster.remove_worker(name)
    assert not workers_of()
    fleet.add_workers([_report('u9')])
    fleet.cluster.add_job(
        job('gang', 9, queue=PROMPT, needed=WHOLE, estimate_s=1, is_gang=True)
    )
    assert 'u9' in workers_of()['gang']


def test_start_is_logged_with_its_reasons(
    fleet, durations, job, log, workers_of
):
    """An operator must see why a late job ran on slow workers."""
    durations.lengths_s['prompt'] = (0.8, 1.2)
    for name in ('f1', 'f2', 'f3', 'f4', 'u2', 'u3', 'u4'):
        fleet.cluster.workers[name].paused_until_s = 10**9
    made = job('prompt', 8, queue=PROMPT, needed=QUARTER, estimate_s=0.85)
    # The job does not get older by the milliseconds that the test takes.
    later_ms = made.accepted_unix_ms + 60_000
    fleet.cluster.add_job(attrs.evolve(made, accepted_unix_ms=later_ms))
    assert _letters(workers_of()['prompt']) == {'u', 's'}
    lines = [each for each in log.formatted_records if 'stage_started' in each]
    assert len(lines) == 1
    # The objective is 1.45 s.
    for field in (
        ' slowdown=1.00-1.67 ',
        ' on_time_slowdown=1.21 ',
        ' mean_s=0.8 ',
        ' tail_s=1.2 ',
        ' slack_s=0.65',
    ):
        assert field in lines[0]
