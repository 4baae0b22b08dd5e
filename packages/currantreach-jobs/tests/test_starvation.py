"""Waits of accepted jobs on a fleet that never runs empty.

Pattern: prompt jobs come without a pause and fill each piece of room as it
becomes free, while a job that is late already waits. It came last for as long
as anything else waited: an accepted job stood still until the load ended.
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
from currantreach_jobs._progress import RunPhase
from currantreach_jobs._turns import Turns
from currantreach_jobs._wait_reasons import WaitReason
from currantreach_types import Resources

STEP_S = 0.05
SMALL = Resources(cpu_milli=4000, memory_mib=100)
LARGE = Resources(cpu_milli=10000, memory_mib=100)
# Of sixteen slots for small tasks, so many prompt jobs always wait.
WAITING = 4
LONGEST_RUN_S = 1.2
CALL_S = 0.7
# A stage goes first after five seconds; then the workers that it needs have
# to become free, with up to three calls for advice.
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


class StubAdvisor:
    """Placement service that forbids some workers, 0.7 s a call."""

    def __init__(self, clock, forbidden=()):
        self.clock = clock
        self.forbidden = forbidden
        self.calls = []

    def ask(self, stage, advice, worker_ids):
        """Take a call."""
        self.calls.append((self.clock.now_s() + CALL_S, stage, worker_ids))
        stage.asked_until_s = self.clock.now_s() + 2 * CALL_S
        return True

    def likelihood(self, _):
        """Return the part of the workers that is allowed."""
        return 0.5

    def answer(self):
        """Answer the calls that are over."""
        now_s = self.clock.now_s()
        due = [call for call in self.calls if call[0] <= now_s]
        self.calls = [call for call in self.calls if call[0] > now_s]
        for _, stage, worker_ids in due:
            stage.asked_until_s = 0
            stage.next_look_s = 0
            for name in worker_ids:
                stage.allowed[name] = name not in self.forbidden
                if stage.allowed[name]:
                    stage.tickets[name] = ('code', now_s + ADVICE.ticket_s)


class Load:
    """Prompt jobs that fill the fleet, and their waits."""

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

    def run_scenario(self, duration_s, until=()):
        """Let time pass, at most until some jobs have started whole."""
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
                self._note_start(run, now_s)
        for answered_s, refused in tuple(self.refused):
            if answered_s <= now_s:
                self.refused.remove((answered_s, refused))
                cluster.refuse_start(refused, 'bad_ticket')
        for stopped in cluster.pop_pending_stops():
            cluster.mark_run_lost(stopped)
        self.offline.clock.advance(STEP_S)

    def _note_start(self, run, now_s):
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
    made = StubAdvisor(offline.clock, ('w1',))
    offline.stage_scheduler._advice_dispatcher = made
    return made


@pytest.fixture
def load(offline, reports, job, advice_dispatcher):
    """Return a load that fills four workers of 16 cores."""
    offline.add_workers(
        attrs.evolve(reports[0], worker_id=name) for name in ('w3', 'w4')
    )
    made = Load(offline, job, advice_dispatcher)
    made.run_scenario(3)
    return made


@pytest.fixture
def late(offline, job):
    """Return a function that adds a job that is late beyond all worth."""

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
def test_late_job_gets_its_turn(load, late, kind, has_advice):
    """A job that was late already came last for as long as others waited."""
    queue = attrs.evolve(BATCH, advice=ADVICE) if has_advice else BATCH
    late('late', queue=queue, **KINDS[kind])
    load.run_scenario(60, ['late'])
    assert load.is_started('late')
    stage = load.offline.cluster.jobs['late'].stages[0, 0]
    bound_s = BOUND_S + LONGEST_RUN_S * (stage.step.task_count > 3)
    assert load.offline.clock.now_s() - 103 <= bound_s


def test_job_that_misses_its_objective_gets_its_turn(load, late):
    """A job that was late but not without worth came after all prompt ones."""
    queue = attrs.evolve(BATCH, target_s=100, advice=ADVICE)
    progress = late('late', 2, queue, 120, is_gang=True)
    assert not progress.is_worthless(load.offline.clock.now_s())
    load.run_scenario(60, ['late'])
    assert load.offline.clock.now_s() - 103 <= BOUND_S


def test_job_beyond_a_share_gets_its_turn(load, late):
    """A job beyond the share of its team came after those within theirs."""
    late('late', age_s=0).is_excess = True
    load.run_scenario(60, ['late'])
    assert load.offline.clock.now_s() - 103 <= BOUND_S


def test_gang_at_the_limit_of_its_team_gets_its_turn(load, late):
    """Small tasks of a team used each part of its limit a gang waited for."""
    limit = Resources(cpu_milli=24000)
    load.offline.stage_scheduler._read_config = lambda: SiteConfig(
        version=1,
        teams={'orchard': Team(name='orchard', limit=limit)},
    )
    load.run_scenario(3)
    late('late', 2, is_gang=True)
    load.run_scenario(60, ['late'])
    assert load.offline.clock.now_s() - 106 <= BOUND_S


def test_stage_that_cannot_start_passes_its_turn_on(load, late):
    """A gang that no workers can hold must not keep others from their turn."""
    with logbook.TestHandler().applicationbound() as log:
        _play_beside_a_gang_that_never_fits(load, late)
    lines = [record.message for record in log.records]
    turns = [line for line in lines if 'event=turn_' in line]
    assert 'event=turn_given job=never' in turns[0]
    assert 'event=turn_over job=never' in turns[1]
    assert any('event=turn_given job=late' in line for line in turns)


def _play_beside_a_gang_that_never_fits(load, late):
    late('never', 9, age_s=2000, is_gang=True)
    load.run_scenario(1)
    late('late')
    load.run_scenario(60, ['late'])
    assert load.is_started('late')
    assert load.offline.clock.now_s() - 104 <= 2 * BOUND_S + 5


@pytest.mark.parametrize('kind', ['large', 'gang'])
def test_refused_start_does_not_cost_the_turn(load, late, kind):
    """A stage whose start was refused had to wait like a new one again."""
    late('late', queue=attrs.evolve(BATCH, advice=ADVICE), **KINDS[kind])
    load.refusals['late'] = 2
    load.run_scenario(20)
    assert not load.refusals['late']
    assert load.started_s['late'] - 103 <= BOUND_S + 2 * CALL_S


def test_turn_is_not_spent_without_workers(offline, late):
    """A stage lost its turn while a takeover held all workers up."""
    stage = late('late').stages[0, 0]
    stage.note_turn(100)
    workers = offline.cluster.workers.values()
    turns = Turns()
    for now_s in (106, 110, 120):
        assert turns.choose([stage], [], now_s) is None
    assert turns.choose([stage], workers, 121) is stage


def test_pause_after_a_turn_follows_its_cost(offline, late):
    """A small stage must not keep the next ones waiting for long."""
    first = late('first', needed=SMALL).stages[0, 0]
    second = late('second').stages[0, 0]
    workers = offline.cluster.workers.values()
    first.note_turn(100)
    second.note_turn(101)
    turns = Turns()
    assert turns.choose([first, second], workers, 110) is first
    first.waiting.clear()
    first.begin_wait(110.4)
    # A run of 1 s on an eighth of the fleet takes half a second of a quarter.
    assert turns.choose([second], workers, 110.4) is None
    assert turns.choose([second], workers, 110.6) is second


def test_late_jobs_get_their_turns_in_order(load, late):
    """Several late jobs start one after another, the longest wait first."""
    names = [f'late{number}' for number in range(5)]
    for name in names:
        late(name, 2, is_gang=True)
        load.run_scenario(0.2)
    load.run_scenario(120, names)
    starts = [load.started_s[name] for name in names]
    assert starts == sorted(starts)
    assert starts[-1] - 103 <= 5 * BOUND_S


def test_prompt_jobs_lose_little(load, late):
    """Late jobs go first one at a time, so others wait for one stage."""
    load.waits_s.clear()
    load.run_scenario(30)
    calm_s = statistics.mean(load.waits_s)
    calm_count = len(load.waits_s)
    load.waits_s.clear()
    for number in range(40):
        late(f'late{number}', 2, is_gang=True)
    load.run_scenario(30)
    started = sum(f'late{number}' in load.started_s for number in range(40))
    assert started >= 5
    assert statistics.mean(load.waits_s) <= 1.5 * calm_s
    # Late jobs take a quarter of the fleet at most.
    assert len(load.waits_s) >= 0.75 * calm_count
    assert max(load.waits_s) < 2


def test_prompt_jobs_are_not_delayed_by_a_short_wait(load, late):
    """Within the bound the order is that of worth alone."""
    late('late', 2, is_gang=True)
    load.run_scenario(4.8)
    assert not load.is_started('late')
    stage = load.offline.cluster.jobs['late'].stages[0, 0]
    assert stage.obstacle is WaitReason.NO_ROOM
