"""The checker of the soak finds each kind of breach."""

from __future__ import annotations

import pytest

from tests.soak._world import MOST_ATTEMPTS, Submitted, World

JOB = 'a' * 16
FIRST = (JOB, 0, 0, 0)
SECOND = (JOB, 0, 0, 1)
LATER = (JOB, 0, 1, 0)


class StubWorker:
    """Worker with a room."""

    name = 'w'
    cpu = 3000


@pytest.fixture
def world():
    """Return a world with one accepted job of two steps."""
    made = World({'limited': 2500})
    step = {'count': 2, 'cpu': 2000}
    steps = [step, {'count': 1, 'cpu': 2000, 'after': [0]}]
    job = Submitted(JOB, 'steady', {'spec': 'sound', 'steps': steps})
    job.is_accepted = True
    made.jobs[JOB] = job
    return made


def start(world, task, worker=None, attempt=1):
    """Start a run."""
    return world.note_start(worker or StubWorker(), task, attempt, 'sound')


def rules(world):
    """Return the rules that were broken."""
    return [broken.split(':')[0] for broken in world.broken]


def test_sound_day_breaks_nothing(world):
    """A checker that always finds something proves nothing."""
    for task in (FIRST, SECOND, LATER):
        run = start(world, task)
        world.note_end(run, 'done')
        world.note_settled(task, 'done')
    world.note_shown(world.jobs[JOB], 'complete')
    assert not world.broken


def test_finds_a_task_that_runs_twice(world):
    """Two runs of a task at once, or one after a noted end."""
    start(world, FIRST)
    start(world, FIRST, attempt=2)
    assert rules(world) == ['twice']
    world.running.clear()
    world.note_settled(SECOND, 'done')
    start(world, SECOND)
    assert rules(world) == ['twice', 'twice']


def test_finds_too_much_on_a_worker(world):
    """A worker that holds more than its room."""
    worker = StubWorker()
    start(world, FIRST, worker)
    start(world, SECOND, worker)
    assert rules(world) == ['limit']


def test_finds_too_much_of_a_team(world):
    """A team above its limit, the tenth and one task."""
    world.jobs[JOB].team = 'limited'
    start(world, FIRST)
    start(world, SECOND)
    assert not world.broken
    world.note_end(start(world, FIRST, attempt=2), 'lost')
    assert 'quota' in rules(world)


def test_finds_a_step_that_starts_early(world):
    """A step before the one that it waits for."""
    start(world, LATER)
    assert rules(world) == ['order', 'order']


def test_finds_an_exhausted_task_that_starts(world):
    """A task after as many failures as its queue allows."""
    for _ in range(MOST_ATTEMPTS):
        world.note_settled(FIRST, 'failed')
    start(world, FIRST)
    assert rules(world) == ['budget']


def test_finds_untrue_answers(world):
    """States and refusals that are not true."""
    job = world.jobs[JOB]
    world.note_shown(job, 'complete')
    world.note_shown(job, 'cancelled')
    world.note_shown(job, 'failed')
    assert rules(world) == ['mixed', 'lost', 'lost']
    job.is_accepted = False
    job.refusals = 1
    start(world, FIRST)
    assert rules(world)[-1] == 'refused'


def test_start_before_the_answer_is_no_untrue_refusal(world):
    """A try that was still under way was taken for a refused one."""
    job = world.jobs[JOB]
    job.is_accepted = False
    job.refusals = 1
    job.unsure = 1
    start(world, FIRST)
    assert not rules(world)
    job.unsure = 0
    world.check_refusals(job)
    assert rules(world) == ['refused']


def test_finds_what_nobody_asked_for(world):
    """A task of an unknown job, or with another payload."""
    assert start(world, ('b' * 16, 0, 0, 0)) is None
    assert world.note_start(StubWorker(), FIRST, 1, 'other') is None
    assert rules(world) == ['unasked', 'unasked']
