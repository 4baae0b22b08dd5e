"""Tickets of stages that wait for capacity, or for their earlier steps.

Tickets are valid for 1.5 s. A gang whose allowed workers were full asked again
once they had free capacity, which stayed unused during a call of 0.6 s; and
the second step of a job asked only after the first one was done.
"""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs import AdviceConfig
from currantreach_jobs._advice import AdviceDispatcher, AdvicePurpose
from currantreach_jobs._stage_durations import StageDurations
from currantreach_telemetry import Metrics
from currantreach_types import ManualClock, Resources

TASK = Resources(cpu_milli=8000, memory_mib=1000)
ADVICE = AdviceConfig(fixed_s=0.6, per_worker_s=0.005, ticket_s=1.5)
WORKER_COUNT = 12
STEP_S = 0.05


class RecordingDispatcher:
    """Dispatcher that records calls and answers them when it is told to."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = []
        self.has_spare = True
        self.is_free = True
        self.allowed = {'w0', 'w1', 'w2'}

    def ask(self, stage, advice, worker_ids, purpose):
        """Record a call."""
        if not self.is_free:
            return False
        stage.advice_deadline_s = self.clock.now_s() + 3
        self.calls.append((stage, tuple(worker_ids), purpose))
        return True

    def allowed_fraction(self, _):
        """Return the fraction of allowed workers."""
        return 0.25

    def has_spare_member(self, _):
        """Tell whether calls that are not urgent may be made."""
        return self.has_spare

    def answer(self):
        """Answer all calls."""
        for stage, worker_ids, _ in self.calls:
            stage.advice_deadline_s = 0
            stage.next_search_at_s = 0
            for worker_id in worker_ids:
                stage.allowed[worker_id] = worker_id in self.allowed
                if stage.allowed[worker_id]:
                    stage.tickets[worker_id] = (
                        'code',
                        self.clock.now_s() + ADVICE.ticket_s,
                    )
        self.calls.clear()


class FixedEnds(StageDurations):
    """Durations by which all runs of a job end at a fixed time."""

    def __init__(self, ends_s):
        super().__init__()
        self.ends_s = ends_s

    def remaining_s(self, run, now_s):
        """Return the time until the end of the run's job."""
        return max(0, self.ends_s[run.task.job_id] - now_s)


@attrs.define
class Scene:
    """A full fleet and a dispatcher whose calls are recorded."""

    offline: object
    dispatcher: RecordingDispatcher
    job: object
    queue: object

    def add(self, job_id, *steps, queue=None):
        """Add a job with the placement service."""
        made = attrs.evolve(
            self.job(job_id, 1), queue=queue or self.queue, steps=steps
        )
        self.offline.cluster.add_job(made)
        return self.offline.cluster.jobs[job_id].stages

    def fill(self, worker_id, estimate_s=4):
        """Occupy a worker for some time."""
        job_id = f'fill-{worker_id}'
        step = self.step(2, estimate_s=estimate_s)
        stage = self.add(job_id, step)[0, 0]
        for index in range(2):
            run = self.offline.cluster.create_run(stage, index, worker_id, 1)
            run.mark_running(self.offline.clock.now_s())

    def step(self, count=1, **fields):
        """Return a step whose tasks use half a worker."""
        fields.setdefault('estimate_s', 4)
        template = self.job('template', count, needed=TASK, **fields)
        return template.steps[0]

    def advance(self, duration_s):
        """Let time pass until a call is made; return the calls."""
        for _ in range(round(duration_s / STEP_S)):
            self.offline.clock.advance(STEP_S)
            self.offline.started()
            if self.dispatcher.calls:
                break
        return list(self.dispatcher.calls)


@pytest.fixture
def scene(offline, job, reports, advised_queue):
    """Return a scene with twelve workers of two tasks each, all full."""
    offline.cluster.workers.clear()
    names = [f'w{number}' for number in range(WORKER_COUNT)]
    offline.add_workers(
        [attrs.evolve(reports[0], worker_id=name) for name in names]
    )
    dispatcher = RecordingDispatcher(offline.clock)
    offline.stage_scheduler._stage_advice._advice_dispatcher = dispatcher
    queue = attrs.evolve(advised_queue, advice=ADVICE)
    made = Scene(offline, dispatcher, job, queue)
    for name in names:
        made.fill(name)
    ends_s = {f'fill-{name}': 103 + number for number, name in enumerate(names)}
    offline.cluster.durations = FixedEnds(ends_s)
    return made


@pytest.fixture
def gang(scene):
    """Return a gang of four tasks that knows of three allowed workers."""
    stage = scene.add('gang', scene.step(4, is_gang=True))[0, 0]
    for number in range(WORKER_COUNT):
        stage.allowed[f'w{number}'] = number < 3
    return stage


def test_full_workers_are_not_asked_about_again(scene, gang):
    """A gang must not repeat its call while its allowed workers are full.

    Its expired tickets are of no use yet.
    """
    assert not scene.advance(2.5)
    assert gang.expected_start_s == pytest.approx(104)


def test_tickets_are_renewed_in_time(scene, gang):
    """Tickets must be valid when the capacity is expected, not expired.

    Only those of the workers that become free first are renewed.
    """
    calls = scene.advance(5)
    (stage, worker_ids, purpose) = calls[0]
    assert stage is gang
    assert set(worker_ids) == {'w0', 'w1'}
    assert purpose is AdvicePurpose.RENEWAL
    call_s = ADVICE.fixed_s + 2 * ADVICE.per_worker_s
    answered_s = scene.offline.clock.now_s() + call_s
    assert 103.5 <= answered_s <= 104
    assert answered_s + ADVICE.ticket_s > 104.5


def test_renewal_waits_for_idle_daemons(scene, gang):
    """Renewals must not take the daemons that startable stages need."""
    scene.dispatcher.has_spare = False
    assert not scene.advance(5)
    scene.dispatcher.has_spare = True
    assert scene.advance(1)


def test_gang_starts_with_renewed_tickets(scene, gang):
    """A gang must start at once when its workers become free."""
    assert scene.advance(5)
    scene.dispatcher.answer()
    for name in ('w0', 'w1'):
        progress = scene.offline.cluster.jobs[f'fill-{name}']
        runs = [task.run for task in progress.stages[0, 0].tasks]
        scene.offline.end(*runs)
    assert set(scene.offline.started()) == {'gang'}
    assert not gang.waiting


def test_unknown_ends_are_not_awaited(scene, gang):
    """Without any estimate a gang must wait for capacity, as before."""
    for progress in scene.offline.cluster.open_jobs.values():
        for stage in progress.stages.values():
            stage.step = attrs.evolve(stage.step, estimate_s=0)
    assert not scene.advance(5)
    assert not gang.expected_start_s


def test_gang_searches_others_meanwhile(scene, gang):
    """Free workers of unknown verdicts are asked about during a long wait.

    Otherwise a gang waits for seconds beside idle workers.
    """
    gang.allowed = {'w9': True, 'w10': True}
    for name in ('w4', 'w5'):
        progress = scene.offline.cluster.jobs[f'fill-{name}']
        runs = [task.run for task in progress.stages[0, 0].tasks]
        scene.offline.end(*runs)
    calls = scene.advance(STEP_S)
    assert set(calls[0][1]) == {'w4', 'w5'}
    assert calls[0][2] is AdvicePurpose.START


def test_overdue_run_is_not_awaited_for_long(scene, gang):
    """A gang must search others while a run takes far longer than expected.

    Three runs in a hundred take seven times as long as the rest.
    """
    for awaited in ('w0', 'w1'):
        scene.offline.cluster.durations.ends_s[f'fill-{awaited}'] = 100.5
        gang.tickets[awaited] = ('code', 1000)
    for free in ('w4', 'w5'):
        filling = scene.offline.cluster.jobs[f'fill-{free}'].stages[0, 0]
        scene.offline.end(*[task.run for task in filling.tasks])
        gang.allowed.pop(free)
    assert not scene.advance(0.8)
    calls = scene.advance(0.5)
    assert calls[0][2] is AdvicePurpose.START
    assert set(calls[0][1]) == {'w4', 'w5'}


@pytest.fixture
def later(scene):
    """Return the second step of a job whose first step is running.

    Its first step ends at 106 s by its estimate.
    """
    first = scene.step(2)
    second = scene.step(4, is_gang=True, after=(0,))
    stages = scene.add('steps', first, second)
    progress = scene.offline.cluster.jobs['steps']
    progress.has_started = True
    cluster = scene.offline.cluster
    runs = [task.run for task in cluster.jobs['fill-w0'].stages[0, 0].tasks]
    scene.offline.end(*runs)
    for index in range(2):
        run = cluster.create_run(stages[0, 0], index, 'w0', 1)
        run.mark_running(scene.offline.clock.now_s())
    cluster.durations.ends_s['steps'] = 106
    return stages[0, 1]


def test_later_step_is_asked_for_in_advance(scene, later):
    """The verdicts must be known when the earlier steps end."""
    assert not scene.advance(4.9)
    calls = scene.advance(0.4)
    (stage, worker_ids, purpose) = calls[0]
    assert stage is later
    assert purpose is AdvicePurpose.AHEAD
    assert len(worker_ids) > 4
    scene.dispatcher.answer()
    assert later.allowed['w0']


def test_later_step_does_not_start_early(scene, later):
    """Tickets must not start a step before its earlier steps are done."""
    for number in range(WORKER_COUNT):
        later.allowed[f'w{number}'] = True
        later.tickets[f'w{number}'] = ('code', 1000)
    cluster = scene.offline.cluster
    for name in ('w4', 'w5', 'w6'):
        progress = cluster.jobs[f'fill-{name}']
        scene.offline.end(*[task.run for task in progress.stages[0, 0].tasks])
    for _ in range(200):
        scene.offline.clock.advance(STEP_S)
        assert not scene.offline.started()
    assert len(later.waiting) == 4
    assert not later.wait_began_s


def test_later_step_waits_for_idle_daemons(scene, later):
    """Calls in advance must not delay the calls of stages that can start."""
    scene.dispatcher.has_spare = False
    assert not scene.advance(8)


def test_step_after_a_waiting_step_is_not_asked_for(scene, later):
    """A step whose earlier step has not started is far from its start."""
    progress = scene.offline.cluster.jobs['steps']
    earlier = progress.stages[0, 0]
    scene.offline.cluster.mark_run_lost(earlier.tasks[0].run)
    scene.offline.cluster.durations.ends_s['steps'] = 100
    scene.dispatcher.is_free = False
    assert not scene.advance(1)
    scene.dispatcher.is_free = True
    calls = scene.advance(3)
    assert all(stage is not later for stage, _, _ in calls)


def test_call_in_advance_without_answer_is_repeated(scene, later):
    """A lost call must not leave a later step without verdicts."""
    assert scene.advance(6)
    scene.dispatcher.calls.clear()
    # The deadline of the lost call passes.
    assert not scene.advance(2.5)
    calls = scene.advance(1)
    assert calls[0][0] is later


def test_error_in_a_pass_does_not_end_the_round(scene, later, log):
    """An error while looking ahead must be logged, and start all the same."""

    def fail(*_):
        raise ValueError('no such duration')

    scene.offline.stage_scheduler._lookahead.ask_ahead = fail
    filling = scene.offline.cluster.jobs['fill-w4'].stages[0, 0]
    scene.offline.end(*[task.run for task in filling.tasks])
    scene.offline.cluster.add_job(scene.job('plain', needed=TASK))
    assert scene.offline.started() == ['plain']
    assert any('lookahead_failed' in line for line in log.formatted_records)


class StubCell:
    """Members of a cell; the last three send the long calls."""

    daemon_id = 'own'
    members = dict.fromkeys(
        ('own', 'near1', 'far1', 'far2', 'far3', 'far4'), 'address'
    )

    def is_in_same_domain(self, member):
        """Tell whether the name says so."""
        return member.startswith('near')


def test_few_idle_daemons_are_kept_free():
    """Two idle daemons of a class are kept for calls that cannot wait."""
    dispatcher = AdviceDispatcher(
        StubCell(), None, None, ManualClock(100), lambda: None, Metrics()
    )
    assert dispatcher.has_spare_member(ADVICE)
    dispatcher._busy_until_s['far3'] = 101
    assert not dispatcher.has_spare_member(ADVICE)
    dispatcher._clock.advance(2)
    assert dispatcher.has_spare_member(ADVICE)
    dispatcher._in_flight['far3'] = 1
    assert not dispatcher.has_spare_member(ADVICE)


def test_small_cell_renews_tickets():
    """A cell of four idle daemons must make calls that can wait as well.

    Its half for long calls has two daemons, fewer than had to be idle, so a
    gang waited for capacity without renewing its tickets.
    """
    cell = StubCell()
    cell.members = dict.fromkeys(('own', 'near1', 'far1', 'far2'), 'address')
    dispatcher = AdviceDispatcher(
        cell, None, None, ManualClock(100), lambda: None, Metrics()
    )
    assert dispatcher.has_spare_member(ADVICE)
    dispatcher._in_flight['far2'] = 1
    assert not dispatcher.has_spare_member(ADVICE)


def test_outage_does_not_lower_the_number_of_idle_daemons():
    """Calls that can wait must not take the daemons left in an outage.

    With four of six daemons cut off, one daemon is left for the long calls.
    """
    dispatcher = AdviceDispatcher(
        StubCell(), None, None, ManualClock(100), lambda: None, Metrics()
    )
    for member in ('far1', 'far2', 'far3', 'far4'):
        dispatcher._avoid_until_s[member] = 103
    assert not dispatcher.has_spare_member(ADVICE)
    dispatcher._clock.advance(4)
    assert dispatcher.has_spare_member(ADVICE)
