"""Work beside a boosted gang that cannot start, on a fleet with room to spare.

The gang reserved all workers that it needed for as long as its boost lasted, so
that nothing else started there although each had room many times over. A gang
at the limit of its team kept all other work of the team waiting likewise.
"""

from __future__ import annotations

import attrs
import pytest

from currantreach_jobs import SiteConfig, Team
from currantreach_jobs._placement import eligible_workers
from currantreach_types import Resources

STEP_S = 0.05
# After this wait the gang is boosted.
BOOST_S = 6
# With room to spare, nothing waits for longer than this.
MAX_WAIT_S = 3
LONG = Resources(cpu_milli=6000, memory_mib=1000)
WIDE = Resources(cpu_milli=12000, memory_mib=1000)
SMALL = Resources(cpu_milli=1000, memory_mib=100)
# No task of the gang fits beside it.
LARGE = Resources(cpu_milli=5000, memory_mib=100)
NAMES = ('w1', 'w2', 'w3', 'w4')
# The gang does not fit into it beside the long runs, which use less than half.
LIMIT = Resources(cpu_milli=60000)
KINDS = {
    'service': {'needed': LARGE, 'is_lasting': True},
    'service_gang': {
        'count': 2,
        'needed': LARGE,
        'is_lasting': True,
        'is_gang': True,
    },
    'short': {'needed': SMALL, 'estimate_s': 1},
    'long': {'needed': LARGE, 'estimate_s': 200},
    'unknown': {'needed': SMALL},
    'gang': {'count': 2, 'needed': LARGE, 'estimate_s': 5, 'is_gang': True},
}


@attrs.define
class Fleet:
    """Workers of 16 cores, whose runs end after their estimates."""

    offline: object
    job: object
    ends: list = attrs.field(factory=list)
    added_s: dict = attrs.field(factory=dict)
    started_s: dict = attrs.field(factory=dict)

    def add(self, job_id, count=1, **step):
        """Add a job with one step; return its stage."""
        self.offline.cluster.add_job(self.job(job_id, count, **step))
        self.added_s[job_id] = self.offline.clock.now_s()
        return self.offline.cluster.jobs[job_id].stages[0, 0]

    def occupy(self, job_id, worker_id, **step):
        """Run a task on a worker."""
        stage = self.add(job_id, **step)
        self.begin(self.offline.cluster.create_run(stage, 0, worker_id, 1))

    def limit_team(self):
        """Set the limit of the team of all jobs."""
        self.offline.stage_scheduler._read_config = lambda: SiteConfig(
            version=1, teams={'orchard': Team(name='orchard', limit=LIMIT)}
        )

    def begin(self, run):
        """Confirm the start of a run, and plan its end."""
        now_s = self.offline.clock.now_s()
        self.offline.cluster.confirm_start(run)
        self.started_s.setdefault(run.task.job_id, now_s)
        if run.stage.step.estimate_s:
            self.ends.append((now_s + run.stage.step.estimate_s, run))

    def advance(self, duration_s, until=''):
        """Let time pass, at most until a job has started."""
        for _ in range(round(duration_s / STEP_S)):
            self.offline.clock.advance(STEP_S)
            now_s = self.offline.clock.now_s()
            for end in tuple(self.ends):
                if end[0] > now_s:
                    continue
                self.ends.remove(end)
                self.offline.end(end[1])
            self.offline.started()
            for run in self.offline.launched:
                self.begin(run)
            if until in self.started_s:
                return

    def stream(self, duration_s, interval_s, **step):
        """Let time pass while a job arrives in each interval."""
        for number in range(round(duration_s / interval_s)):
            self.add(f'stream{number}', **step)
            self.advance(interval_s, 'gang')

    def waited_s(self, job_id):
        """Return how long a job waited for its start."""
        return self.started_s[job_id] - self.added_s[job_id]


@pytest.fixture
def fleet(offline, job, reports):
    """Return a fleet of four workers."""
    offline.add_workers(
        attrs.evolve(reports[0], worker_id=name) for name in NAMES
    )
    return Fleet(offline, job)


@pytest.fixture
def blocked(fleet):
    """Return the fleet with a boosted gang that long runs keep waiting.

    Each worker has ten cores free, and the gang needs twelve on each.
    """
    for name in NAMES:
        fleet.occupy(f'long-{name}', name, needed=LONG, estimate_s=100)
    fleet.add('gang', 4, needed=WIDE, is_gang=True, estimate_s=5)
    fleet.advance(BOOST_S)
    return fleet


@pytest.fixture
def limited(fleet):
    """Return a fleet with a boosted gang at the limit of its team.

    The gang fits on the workers, but not beside the long runs of its team.
    """
    fleet.limit_team()
    for name in NAMES[:2]:
        fleet.occupy(
            f'long-{name}',
            name,
            needed=Resources(cpu_milli=12000, memory_mib=1000),
            estimate_s=100,
        )
    fleet.add(
        'gang',
        10,
        needed=Resources(cpu_milli=3700, memory_mib=1000),
        is_gang=True,
        estimate_s=5,
    )
    fleet.advance(BOOST_S)
    assert 'gang' not in fleet.started_s
    return fleet


@pytest.mark.parametrize('kind', KINDS)
def test_work_starts_beside_a_blocked_gang(blocked, kind):
    """Other work waits for 30 s although every worker has room for it."""
    blocked.add('other', **KINDS[kind])
    blocked.advance(40, 'other')
    assert blocked.waited_s('other') <= MAX_WAIT_S


@pytest.mark.parametrize('kind', ['service', 'short'])
def test_work_starts_at_once_if_nothing_else_helps(blocked, kind):
    """A service, or a task that ends before the gang can start, need not wait.

    The two seconds of other work are there for gangs that start soon.
    """
    blocked.add('other', **KINDS[kind])
    blocked.advance(1, 'other')
    assert blocked.waited_s('other') <= 2 * STEP_S


@pytest.mark.parametrize('kind', KINDS)
def test_work_starts_beside_a_gang_at_the_limit(limited, kind):
    """All work of a team waits for a gang that its limit does not allow."""
    limited.add('other', **KINDS[kind])
    limited.advance(40, 'other')
    assert limited.waited_s('other') <= MAX_WAIT_S


@pytest.mark.parametrize(
    ('estimate_s', 'interval_s'),
    [(1, 0.7), (3, 0.7), (4.5, 0.7), (7, 1.5), (10, 2.5)],
)
def test_gang_starts_beside_a_stream_of_work(fleet, estimate_s, interval_s):
    """Short work that keeps arriving must not keep a gang from starting.

    Less than half of the fleet is in use, and the gang needs all workers.
    """
    for name in NAMES:
        fleet.occupy(f'first-{name}', name, needed=LARGE, estimate_s=3)
    fleet.add('gang', 4, needed=WIDE, is_gang=True, estimate_s=5)
    fleet.stream(60, interval_s, needed=LARGE, estimate_s=estimate_s)
    # The wait for the boost, and for the runs of that time.
    assert fleet.waited_s('gang') <= BOOST_S + 2 * estimate_s + MAX_WAIT_S


@pytest.mark.parametrize(
    ('estimate_s', 'interval_s'),
    [(1, 0.7), (3, 0.7), (4.5, 0.7), (7, 1.5), (10, 2.5)],
)
def test_gang_at_the_limit_starts_beside_a_stream(
    fleet, estimate_s, interval_s
):
    """Short work of a team must not use up the limit that a gang waits for."""
    fleet.limit_team()
    for name in NAMES:
        fleet.occupy(f'first-{name}', name, needed=LARGE, estimate_s=3)
    fleet.add(
        'gang',
        15,
        needed=Resources(cpu_milli=3800, memory_mib=1000),
        is_gang=True,
        estimate_s=5,
    )
    fleet.stream(60, interval_s, needed=LARGE, estimate_s=estimate_s)
    assert fleet.waited_s('gang') <= BOOST_S + 2 * estimate_s + MAX_WAIT_S


def test_forbidden_workers_are_no_alternative(blocked):
    """A service waits for a gang as only forbidden workers have other room."""
    service = blocked.add('service', needed=SMALL, is_lasting=True)
    service.allowed['w1'] = False
    workers = list(blocked.offline.cluster.workers.values())
    workers[0].reserved_by = None
    now_s = blocked.offline.clock.now_s()
    names = {
        worker.report.worker_id
        for worker in eligible_workers(service, workers, now_s)
    }
    assert names == set(NAMES)


def test_busy_fleet_keeps_the_reservation(blocked):
    """Without room to spare, a boosted gang must not be overtaken."""
    for name in NAMES:
        blocked.occupy(f'more-{name}', name, needed=LARGE, estimate_s=100)
    blocked.add('other', needed=SMALL, estimate_s=1)
    blocked.advance(10, 'other')
    assert 'other' not in blocked.started_s
