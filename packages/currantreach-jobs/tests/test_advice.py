"""Calls to the placement service: which workers they query, and how many.

They guard against slow calls for gangs on a nearly full fleet with queues that
allow a quarter of the workers. Calls queried a hundred workers, the fullest
first, took 1.2 s each and were repeated two or three times before a gang could
start.
"""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs import AdviceConfig, Queue
from currantreach_jobs._advice import AdviceDispatcher
from currantreach_jobs._placement import workers_to_query
from currantreach_jobs._progress import JobProgress
from currantreach_jobs._usage import WorkerState
from currantreach_telemetry import Metrics
from currantreach_types import ManualClock, Resources

WORKERS = 120
TASK = Resources(cpu_milli=4000, memory_mib=1000)
FULL = Resources(cpu_milli=1000, memory_mib=32768)
ALLOWED_FRACTION = 0.25
NOW_S = 100


@pytest.fixture
def workers(reports):
    """Return workers, of which every second one is full."""
    made = []
    for number in range(WORKERS):
        name = f'w{number}'
        report = attrs.evolve(reports[0], worker_id=name)
        free = FULL if number % 2 else report.room
        made.append(WorkerState(report=report, free=free, is_usable=True))
    return made


@pytest.fixture
def stage(job):
    """Return a function that makes a stage with a number of tasks."""

    def make(count, **step):
        queue = Queue(
            name='plans',
            host='h',
            path_prefix='/',
            service='passes',
            advice=AdviceConfig(fixed_s=0.5, per_worker_s=0.007, ticket_s=2.5),
        )
        made = attrs.evolve(job('j', count, needed=TASK, **step), queue=queue)
        progress = JobProgress(job=made, attempt_base=0, accepted_at_s=0)
        progress.open_next()
        return progress.stages[0, 0]

    return make


def test_gang_queries_workers_with_capacity(stage, workers):
    """Workers without capacity must not make the call of a gang longer."""
    gang = stage(8, is_gang=True)
    named = workers_to_query(gang, workers, ALLOWED_FRACTION, NOW_S)
    assert all(worker.free.cpu_milli == 16000 for worker in named)
    # Eight tasks need two workers, and a quarter of the workers is allowed. A
    # second call costs as much as seventy workers in the first one.
    assert 18 <= len(named) <= 20


def test_small_task_queries_few_workers(stage, workers):
    """A call for two small tasks must not query a hundred workers."""
    named = workers_to_query(stage(2), workers, 0.7, NOW_S)
    assert 4 <= len(named) <= 6


def test_known_workers_are_enough(stage, workers):
    """Expired tickets are renewed for workers that are known to be allowed."""
    gang = stage(8, is_gang=True)
    gang.allowed = {'w80': True, 'w100': True, 'w110': True}
    named = workers_to_query(gang, workers, ALLOWED_FRACTION, NOW_S)
    assert {worker.report.worker_id for worker in named} == set(gang.allowed)


def test_valid_tickets_are_not_renewed(stage, workers):
    """A call queries only workers for the tasks without a valid ticket."""
    gang = stage(8, is_gang=True)
    gang.allowed = {'w80': True}
    gang.tickets = {'w80': ('ticket', NOW_S + 1)}
    named = workers_to_query(gang, workers, ALLOWED_FRACTION, NOW_S)
    assert 'w80' not in {worker.report.worker_id for worker in named}
    # The other four tasks and a margin still need two workers.
    assert 18 <= len(named) <= 20
    gang.allowed['w100'] = True
    gang.tickets['w100'] = ('ticket', NOW_S + 1)
    assert not workers_to_query(gang, workers, ALLOWED_FRACTION, NOW_S)


def test_urgent_task_gets_tickets_before_capacity_is_free(stage, workers):
    """An urgent task must have its tickets before capacity is free.

    Otherwise other tasks take the capacity while its call is in flight.
    """
    full = [worker for worker in workers if worker.free is FULL]
    assert not workers_to_query(stage(2), full, 0.7, NOW_S)
    named = workers_to_query(stage(2), full, 0.7, NOW_S, min_count=40)
    assert len(named) == 40
    mixed = workers_to_query(stage(2), workers, 0.7, NOW_S, min_count=40)
    assert len(mixed) == 40
    assert all(worker.free is not FULL for worker in mixed)


class StubCell:
    """Members of a cell, some of them in the same failure domain."""

    daemon_id = 'own'
    members = dict.fromkeys(('far1', 'far2', 'far3', 'near1', 'own'), 'address')

    def is_in_same_domain(self, member):
        """Tell whether the name says so."""
        return member.startswith('near')


@pytest.fixture
def advice_dispatcher():
    """Return a dispatcher of a cell of five daemons."""
    return AdviceDispatcher(
        StubCell(), None, None, ManualClock(NOW_S), lambda: None, Metrics()
    )


def test_short_call_goes_through_the_nearest_daemon(advice_dispatcher):
    """Short calls must not go to another domain while near daemons are free."""
    assert advice_dispatcher._choose_member(0.01, NOW_S) == 'own'
    advice_dispatcher._busy_until_s['own'] = NOW_S + 0.01
    assert advice_dispatcher._choose_member(0.01, NOW_S) == 'near1'
    advice_dispatcher._busy_until_s['near1'] = NOW_S + 0.1
    assert advice_dispatcher._choose_member(0.01, NOW_S) == 'own'


def test_long_calls_do_not_delay_short_ones(advice_dispatcher):
    """A call of a second must not delay short calls behind it."""
    chosen = set()
    for _ in range(6):
        member = advice_dispatcher._choose_member(1, NOW_S)
        advice_dispatcher._busy_until_s[member] += NOW_S + 1
        chosen.add(member)
    assert chosen == {'far1', 'far2', 'far3'}


def test_long_call_avoids_failed_daemons(advice_dispatcher, stage):
    """Long calls must be sent also while the farther half is unreachable."""
    for member in ('far1', 'far2', 'far3'):
        advice_dispatcher._free_member(stage(1), member, is_answered=False)
    member = advice_dispatcher._choose_member(1, NOW_S)
    assert member in {'near1', 'own'}
    assert advice_dispatcher._busy_until_s[member] <= NOW_S
    advice_dispatcher._clock.advance(4)
    assert advice_dispatcher._choose_member(1, NOW_S + 4).startswith('far')


def test_single_daemon_takes_all_calls(advice_dispatcher):
    """A cell of one daemon sends both short and long calls."""
    advice_dispatcher._coordinator.members = {'own': 'address'}
    assert advice_dispatcher._choose_member(0.01, NOW_S) == 'own'
    assert advice_dispatcher._choose_member(1, NOW_S) == 'own'
