"""Calls to the placement service: whom they name, and how many.

Pattern: gangs on a fleet that is nearly full, on queues that allow a quarter
of the workers. Calls named a hundred workers, the fullest first, took 1.2 s
each and were repeated two or three times before a gang could start.
"""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs import AdviceConfig, Queue
from currantreach_jobs._advice import AdviceDispatcher
from currantreach_jobs._placement import rooms_to_ask
from currantreach_jobs._progress import JobProgress
from currantreach_jobs._usage import WorkerState
from currantreach_telemetry import Metrics
from currantreach_types import ManualClock, Resources

WORKERS = 120
TASK = Resources(cpu_milli=4000, memory_mib=1000)
FULL = Resources(cpu_milli=1000, memory_mib=32768)
LIKELIHOOD = 0.25
NOW_S = 100


@pytest.fixture
def workers(reports):
    """Return workers of which every second one is full."""
    made = []
    for number in range(WORKERS):
        name = f'w{number}'
        report = attrs.evolve(reports[0], worker_id=name)
        free = FULL if number % 2 else report.room
        made.append(WorkerState(report=report, free=free, is_usable=True))
    return made


@pytest.fixture
def stage(job):
    """Return a function that makes a stage of alike tasks."""

    def make(count, **step):
        queue = Queue(
            name='plans',
            host='h',
            path_prefix='/',
            service='passes',
            advice=AdviceConfig(fixed_s=0.5, per_worker_s=0.007, ticket_s=2.5),
        )
        made = attrs.evolve(job('j', count, needed=TASK, **step), queue=queue)
        progress = JobProgress(job=made, first_attempt=0, accepted_at_s=0)
        progress.build()
        return progress.stages[0, 0]

    return make


def test_gang_asks_for_workers_with_room(stage, workers):
    """A worker without room for a task is not worth its part of a call."""
    gang = stage(8, is_gang=True)
    named = rooms_to_ask(gang, workers, LIKELIHOOD, NOW_S)
    assert all(room.free.cpu_milli == 16000 for room in named)
    # Eight tasks take two workers; a quarter is allowed.
    assert 8 <= len(named) <= 16


def test_small_task_names_few(stage, workers):
    """A call for two small tasks must not name a hundred workers."""
    named = rooms_to_ask(stage(2), workers, 0.7, NOW_S)
    assert 1 <= len(named) <= 3


def test_known_workers_are_enough(stage, workers):
    """Tickets that ran out are renewed on the workers known to be allowed."""
    gang = stage(8, is_gang=True)
    gang.allowed = {'w80': True, 'w100': True, 'w110': True}
    named = rooms_to_ask(gang, workers, LIKELIHOOD, NOW_S)
    assert {room.report.worker_id for room in named} == set(gang.allowed)


def test_valid_tickets_are_not_renewed(stage, workers):
    """Only what is missing beside the valid tickets is asked for."""
    gang = stage(8, is_gang=True)
    gang.allowed = {'w80': True}
    gang.tickets = {'w80': ('ticket', NOW_S + 1)}
    named = rooms_to_ask(gang, workers, LIKELIHOOD, NOW_S)
    assert 'w80' not in {room.report.worker_id for room in named}
    assert 4 <= len(named) <= 8


def test_urgent_task_holds_tickets_before_room_is_free(stage, workers):
    """On a full fleet others took the room while an urgent call went on."""
    full = [room for room in workers if room.free is FULL]
    assert not rooms_to_ask(stage(2), full, 0.7, NOW_S)
    named = rooms_to_ask(stage(2), full, 0.7, NOW_S, least=40)
    assert len(named) == 40
    mixed = rooms_to_ask(stage(2), workers, 0.7, NOW_S, least=40)
    assert len(mixed) == 40
    assert all(room.free is not FULL for room in mixed)


class StubCell:
    """Members of a cell, of which some are near."""

    daemon_id = 'own'
    members = dict.fromkeys(('far1', 'far2', 'far3', 'near1', 'own'), 'address')

    def is_in_same_domain(self, member):
        """Tell whether the name says so."""
        return member.startswith('near')


@pytest.fixture
def advice_dispatcher():
    """Return an advisor of a cell of five daemons."""
    return AdviceDispatcher(
        StubCell(), None, None, ManualClock(NOW_S), lambda: None, Metrics()
    )


def test_short_call_takes_the_shortest_way(advice_dispatcher):
    """A prompt call went to any daemon, mostly in another failure domain."""
    assert advice_dispatcher._choose(0.01, NOW_S) == 'own'
    advice_dispatcher._busy_until_s['own'] = NOW_S + 0.01
    assert advice_dispatcher._choose(0.01, NOW_S) == 'near1'
    advice_dispatcher._busy_until_s['near1'] = NOW_S + 0.1
    assert advice_dispatcher._choose(0.01, NOW_S) == 'own'


def test_long_call_stays_off_the_short_ones(advice_dispatcher):
    """A call of a second must not delay the prompt calls behind it."""
    chosen = set()
    for _ in range(6):
        member = advice_dispatcher._choose(1, NOW_S)
        advice_dispatcher._busy_until_s[member] += NOW_S + 1
        chosen.add(member)
    assert chosen == {'far1', 'far2', 'far3'}


def test_long_call_leaves_out_daemons_that_failed(advice_dispatcher, stage):
    """No long call was sent while the farther half was cut off."""
    for member in ('far1', 'far2', 'far3'):
        advice_dispatcher._free(stage(1), member, is_answered=False)
    member = advice_dispatcher._choose(1, NOW_S)
    assert member in {'near1', 'own'}
    assert advice_dispatcher._busy_until_s[member] <= NOW_S
    advice_dispatcher._clock.advance(4)
    assert advice_dispatcher._choose(1, NOW_S + 4).startswith('far')


def test_single_daemon_takes_all_calls(advice_dispatcher):
    """A cell of one daemon has to serve both kinds of calls."""
    advice_dispatcher._coordinator.members = {'own': 'address'}
    assert advice_dispatcher._choose(0.01, NOW_S) == 'own'
    assert advice_dispatcher._choose(1, NOW_S) == 'own'
