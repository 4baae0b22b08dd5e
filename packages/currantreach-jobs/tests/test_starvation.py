"""Starvation of late jobs on a fleet that is always full.

Urgent jobs of the queue ``prompt`` arrive all the time and use all capacity as
soon as it becomes free. A job that was late already was ordered behind them
all and did not start before the load ended.
"""

from __future__ import annotations

import itertools
import statistics

import attrs
import logbook
import pytest

from currantreach_jobs import (
    AdviceConfig,
    EndedRun,
    EndKind,
    Queue,
    SiteConfig,
    Team,
)
from currantreach_jobs._advice import AdvicePurpose
from currantreach_jobs._priority_boost import PriorityBoost
from currantreach_jobs._progress import RunPhase
from currantreach_jobs._wait_reasons import WaitReason
from currantreach_types import Resources

STEP_S = 0.05
SMALL = Resources(cpu_milli=4000, memory_mib=100)
LARGE = Resources(cpu_milli=10000, memory_mib=100)
# Number of prompt jobs that always wait; the fleet fits sixteen small tasks.
WAITING = 4
LONGEST_RUN_S = 1.2
CALL_S = 0.7
# A stage is boosted after five seconds; then the workers that it needs have to
# become free, with up to three advice calls.
BOUND_S = 5 + LONGEST_RUN_S + 3 * CALL_S + 1
PROMPT = Queue(
    name='prompt',
    host='h',
    path_prefix='/',
    service='passes',
    priority=0,
    stretch_factor=2,
    target_s=1,
)
BATCH = attrs.evolve(PROMPT, name='batch', priority=1)
ADVICE = AdviceConfig(fixed_s=0.4, per_worker_s=0.05, ticket_s=1.5)


class StubPlacementService:
    """Placement service that forbids some workers and takes 0.7 s a call."""

    def __init__(self, clock, forbidden=()):
        self.clock = clock
        self.forbidden = forbidden
        self.calls = []

    def ask(self, stage, advice, worker_ids, purpose=AdvicePurpose.START):
        """Accept a call."""
        self.calls.append((self.clock.now_s() + CALL_S, stage, worker_ids))
        stage.advice_deadline_s = self.clock.now_s() + 2 * CALL_S
        return True

    def allowed_fraction(self, _):
        """Return the fraction of allowed workers."""
        return 0.5

    def has_spare_member(self, _):
        """Tell that any call may be made."""
        return True

    def answer(self):
        """Answer the calls that are over."""
        now_s = self.clock.now_s()
        due = [call for call in self.calls if call[0] <= now_s]
        self.calls = [call for call in self.calls if call[0] > now_s]
        for _, stage, worker_ids in due:
            stage.advice_deadline_s = 0
            stage.next_search_at_s = 0
            for name in worker_ids:
                stage.allowed[name] = name not in self.forbidden
                if stage.allowed[name]:
                    stage.tickets[name] = ('code', now_s + ADVICE.ticket_s)


class Load:
    """Generator of prompt jobs that fill the fleet; measures their waits."""

    def __init__(self, offline, job, advice_dispatcher):
        self.offline = offline
        self.job = job
        self.advice_dispatcher = advice_dispatcher
        self.team = 'orchard'
        self.numbers = itertools.count()
        self.ends = []
        self.added_s = {}
        self.waits_s = []
        self.started_s = {}
        self.refusals = {}
        self.refused = []

    def advance(self, duration_s, until=()):
        """Let time pass, at most until all tasks of some jobs have started."""
        end_s = self.offline.clock.now_s() + duration_s
        while self.offline.clock.now_s() < end_s:
            self._step()
            if until and all(self.is_started(name) for name in until):
                return

    def is_started(self, job_id):
        """Tell whether all tasks of a job have been started."""
        progress = self.offline.cluster.jobs[job_id]
        return not any(stage.waiting for stage in progress.stages.values())

    def _step(self):
        cluster = self.offline.cluster
        now_s = self.offline.clock.now_s()
        due = [end for end in self.ends if end[0] <= now_s]
        self.ends = [end for end in self.ends if end[0] > now_s]
        for _, run in due:
            ended = EndedRun(
                number=1,
                task=run.task,
                attempt=run.attempt,
                kind=EndKind.DONE,
            )
            cluster.end_run(run.worker_id, ended)
        waiting = sum(1 for name in self.added_s if name in cluster.open_jobs)
        while waiting < WAITING:
            name = f'p{next(self.numbers)}'
            made = self.job(
                name,
                queue=PROMPT,
                team=self.team,
                needed=SMALL,
                estimate_s=1,
            )
            cluster.add_job(made)
            self.added_s[name] = now_s
            waiting += 1
        self.advice_dispatcher.answer()
        self.offline.started()
        for run in self.offline.launched:
            job_id = run.task.job_id
            if self.refusals.get(job_id):
                self.refusals[job_id] -= 1
                self.refused.append((now_s + 2 * STEP_S, run))
            elif run.phase is RunPhase.STARTING:
                self._record_start(run, now_s)
        for answered_s, refused in tuple(self.refused):
            if answered_s <= now_s:
                self.refused.remove((answered_s, refused))
                cluster.abandon_start(refused, 'bad_ticket')
        for stopped in cluster.pop_pending_stops():
            cluster.mark_run_lost(stopped)
        self.offline.clock.advance(STEP_S)

    def _record_start(self, run, now_s):
        self.offline.cluster.confirm_start(run)
        runs_s = 0.8 + 0.1 * (next(self.numbers) % 5)
        self.ends.append((now_s + runs_s, run))
        added_s = self.added_s.pop(run.task.job_id, None)
        self.started_s[run.task.job_id] = now_s
        if added_s is not None:
            self.waits_s.append(now_s - added_s)


@pytest.fixture
def advice_dispatcher(offline):
    """Return a placement service that forbids a worker."""
    made = StubPlacementService(offline.clock, ('w1',))
    offline.stage_scheduler._stage_advice._advice_dispatcher = made
    return made


@pytest.fixture
def load(offline, reports, job, advice_dispatcher):
    """Return a load that fills four workers of 16 cores."""
    offline.add_workers(
        attrs.evolve(reports[0], worker_id=name) for name in ('w3', 'w4')
    )
    made = Load(offline, job, advice_dispatcher)
    made.advance(3)
    return made


@pytest.fixture
def late(offline, job):
    """Return a function that adds a job that is past its deadline."""

    def add(name, count=1, queue=BATCH, age_s=1000, **step):
        step = {'needed': LARGE, 'estimate_s': 1, **step}
        made = job(name, count=count, queue=queue, **step)
        accepted_ms = made.accepted_unix_ms - round(1000 * age_s)
        offline.cluster.add_job(
            attrs.evolve(made, accepted_unix_ms=accepted_ms)
        )
        return offline.cluster.jobs[name]

    return add


KINDS = {
    'plain': {'needed': SMALL},
    'large': {},
    'wide': {'count': 6, 'needed': SMALL},
    'gang': {'count': 2, 'is_gang': True},
    'gang_on_most_workers': {'count': 3, 'is_gang': True},
    'gang_apart': {
        'count': 3,
        'needed': SMALL,
        'is_gang': True,
        'max_per_worker': 1,
    },
}


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('has_advice', [False, True])
def test_late_job_is_boosted(load, late, kind, has_advice):
    """A late job must not be last for as long as other jobs wait."""
    queue = attrs.evolve(BATCH, advice=ADVICE) if has_advice else BATCH
    late('late', queue=queue, **KINDS[kind])
    load.advance(60, ['late'])
    assert load.is_started('late')
    stage = load.offline.cluster.jobs['late'].stages[0, 0]
    bound_s = BOUND_S + LONGEST_RUN_S * (stage.step.task_count > 3)
    assert load.offline.clock.now_s() - 103 <= bound_s


def test_job_that_misses_its_objective_is_boosted(load, late):
    """A late job that is still of use must not wait for all prompt jobs."""
    queue = attrs.evolve(BATCH, target_s=100, advice=ADVICE)
    progress = late('late', 2, queue, 120, is_gang=True)
    assert not progress.is_past_deadline(load.offline.clock.now_s())
    load.advance(60, ['late'])
    assert load.offline.clock.now_s() - 103 <= BOUND_S


def test_job_over_the_share_is_boosted(load, late):
    """A job over its team's share must not wait for all within a share."""
    late('late', age_s=0).is_over_share = True
    load.advance(60, ['late'])
    assert load.offline.clock.now_s() - 103 <= BOUND_S


def test_gang_at_the_limit_of_its_team_is_boosted(load, late):
    """Small tasks must not use up the team limit that a gang waits for."""
    limit = Resources(cpu_milli=24000)
    load.offline.stage_scheduler._read_config = lambda: SiteConfig(
        version=1,
        teams={'orchard': Team(name='orchard', limit=limit)},
    )
    load.advance(3)
    late('late', 2, is_gang=True)
    load.advance(60, ['late'])
    assert load.offline.clock.now_s() - 106 <= BOUND_S


def test_boost_ends_for_a_stage_that_cannot_start(load, late):
    """A gang that fits on no workers must not keep others from a boost."""
    with logbook.TestHandler().applicationbound() as log:
        _run_beside_a_gang_that_never_fits(load, late)
    lines = [record.message for record in log.records]
    boosts = [line for line in lines if 'event=stage_boost' in line]
    assert 'event=stage_boosted job=never' in boosts[0]
    assert 'event=stage_boost_ended job=never' in boosts[1]
    assert any('event=stage_boosted job=late' in line for line in boosts)


def _run_beside_a_gang_that_never_fits(load, late):
    late('never', 9, age_s=2000, is_gang=True)
    load.advance(1)
    late('late')
    load.advance(60, ['late'])
    assert load.is_started('late')
    assert load.offline.clock.now_s() - 104 <= 2 * BOUND_S + 5


@pytest.mark.parametrize('kind', ['large', 'gang'])
def test_refused_start_does_not_end_the_boost(load, late, kind):
    """A stage whose start was refused must not lose its boost."""
    late('late', queue=attrs.evolve(BATCH, advice=ADVICE), **KINDS[kind])
    load.refusals['late'] = 2
    load.advance(20)
    assert not load.refusals['late']
    assert load.started_s['late'] - 103 <= BOUND_S + 2 * CALL_S


def test_boost_is_not_spent_without_workers(offline, late):
    """A stage must not use up its boost while all workers are unusable.

    A takeover makes them unusable for a while.
    """
    stage = late('late').stages[0, 0]
    stage.mark_startable(100)
    workers = offline.cluster.workers.values()
    boost = PriorityBoost()
    for now_s in (106, 110, 120):
        assert boost.select([stage], [], now_s) is None
    assert boost.select([stage], workers, 121) is stage


def test_pause_after_a_boost_depends_on_its_cost(offline, late):
    """The boost of a small stage must not delay the next boosts for long."""
    first = late('first', needed=SMALL).stages[0, 0]
    second = late('second').stages[0, 0]
    workers = offline.cluster.workers.values()
    first.mark_startable(100)
    second.mark_startable(101)
    boost = PriorityBoost()
    assert boost.select([first, second], workers, 110) is first
    first.waiting.clear()
    first.begin_wait(110.4)
    # 1 s on 1/8 of the fleet, at 1/4 of the fleet over time, is
    # 1 s * (1/8) / (1/4) = 0.5 s from the begin of the boost at 110.
    assert boost.select([second], workers, 110.4) is None
    assert boost.select([second], workers, 110.6) is second


def test_late_jobs_are_boosted_in_order(load, late):
    """Late jobs start one after another, the longest wait first."""
    names = [f'late{number}' for number in range(5)]
    for name in names:
        late(name, 2, is_gang=True)
        load.advance(0.2)
    load.advance(120, names)
    starts = [load.started_s[name] for name in names]
    assert starts == sorted(starts)
    assert starts[-1] - 103 <= 5 * BOUND_S


def test_boosts_delay_prompt_jobs_little(load, late):
    """Only one late job is boosted at a time, so others wait for one stage."""
    load.waits_s.clear()
    load.advance(30)
    calm_s = statistics.mean(load.waits_s)
    calm_count = len(load.waits_s)
    load.waits_s.clear()
    for number in range(40):
        late(f'late{number}', 2, is_gang=True)
    load.advance(30)
    started = sum(f'late{number}' in load.started_s for number in range(40))
    assert started >= 5
    assert statistics.mean(load.waits_s) <= 1.5 * calm_s
    # Boosted jobs use at most a quarter of the fleet.
    assert len(load.waits_s) >= 0.75 * calm_count
    assert max(load.waits_s) < 2


def test_prompt_jobs_are_not_delayed_by_a_short_wait(load, late):
    """Until the maximum wait, stages are ordered by urgency alone."""
    late('late', 2, is_gang=True)
    load.advance(4.8)
    assert not load.is_started('late')
    stage = load.offline.cluster.jobs['late'].stages[0, 0]
    assert stage.wait_reason is WaitReason.NO_ROOM
