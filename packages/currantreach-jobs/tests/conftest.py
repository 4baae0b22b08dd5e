"""Store, workers and daemons in memory on an event loop with virtual time."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import types

import attrs
import logbook
import pytest

from currantreach_jobs import (
    AdviceClient,
    AdviceConfig,
    ConfigSource,
    DaemonDependencies,
    EndedRun,
    EndKind,
    HoldReply,
    Job,
    JobSettings,
    Queue,
    RunClient,
    RunningRun,
    SiteConfig,
    StartAnswer,
    Step,
    Team,
    Ticket,
    WorkerDirectory,
    WorkerReport,
)
from currantreach_jobs._advice import AdviceService
from currantreach_jobs._cluster_state import ClusterState
from currantreach_jobs._coordinator import Coordinator
from currantreach_jobs._decider import StageScheduler
from currantreach_jobs._job_queries import JobQueries
from currantreach_jobs._job_scheduler import JobScheduler
from currantreach_jobs._key_writer import KeyWriter
from currantreach_jobs._progress import resource_demand
from currantreach_jobs._records import decode_job
from currantreach_jobs._stage_durations import StageDurations, TaskDuration
from currantreach_jobs._submissions import (
    SubmissionService,
    build_forward_reply,
)
from currantreach_links import NotSentError
from currantreach_platform import KeyValue, TransactionalStore, WatchResult
from currantreach_telemetry import Metrics
from currantreach_types import ManualClock, Resources, unix_now_ms
from currantreach_types.errors import (
    ConflictError,
    OutcomeUnknownError,
    StoreUnavailableError,
    TransactionConflictError,
    WorkerUnavailableError,
)
from testbed.virtual_time import LoopClock, VirtualLoop

STOP_S = 0.1
# Longer than any wait for an expired lease.
LONG_WORK_S = 40
WORKER_AGE_S = 60
GANG_WAIT_S = 3
EVACUATION_BOUND_S = 5
ROOM = Resources(cpu_milli=16000, memory_mib=32768)
QUEUE = Queue(
    name='lookups',
    host='cell.example',
    path_prefix='/lookups/',
    service='passes',
    max_attempts=2,
)
ADVISED = attrs.evolve(
    QUEUE,
    name='plans',
    advice=AdviceConfig(fixed_s=0.5, per_worker_s=0.01, ticket_s=2),
)


@attrs.define
class Running:
    """A run on a fake worker."""

    order: object
    end_s: float
    kind: EndKind


class MemoryStore(TransactionalStore):
    """Store with leases on virtual time.

    ``is_down`` refuses every call, ``lost`` counts commits that take effect
    without an answer, ``delay_s`` is the duration of a call, ``list_delay_s``
    the additional duration of a list, and ``watch_delay_s`` the delay with
    which a watch reports.
    """

    max_entries = 32

    def __init__(self, clock):
        self.clock = clock
        self.keys = {}
        self.leases = {}
        self.log = []
        self.revision = 1
        self.is_down = False
        self.delay_s = 0.004
        self.list_delay_s = 0
        self.watch_delay_s = 0
        self.lost = 0
        self.numbers = itertools.count(1)
        self.changed = asyncio.Event()

    async def get(self, key):
        await self._enter()
        return self.keys.get(key)

    async def list_prefix(self, prefix):
        await self._enter()
        await asyncio.sleep(self.list_delay_s)
        return WatchResult(
            revision=self.revision,
            changed=tuple(
                found
                for key, found in sorted(self.keys.items())
                if key.startswith(prefix)
            ),
        )

    async def put(self, key, stored, expected_revision, lease_id=''):
        raise NotImplementedError

    async def delete(self, key, expected_revision):
        raise NotImplementedError

    async def commit(self, expected, writes, removed=()):
        await self._enter()
        entries = len(expected) + len(writes) + len(removed)
        assert entries <= self.max_entries
        present = {key: self._revision_of(key) for key in expected}
        if present != dict(expected):
            raise TransactionConflictError('conflict', present)
        self.revision += 1
        for write in writes:
            lease = self.leases.get(write.lease_id)
            if write.lease_id and lease is None:
                raise ConflictError('no such lease', 0)
            if lease is not None:
                lease[2].add(write.key)
            self.keys[write.key] = KeyValue(
                key=write.key,
                stored=write.stored,
                revision=self.revision,
            )
            self.log.append((self.revision, write.key))
        for key in removed:
            self._remove(key)
        self._announce()
        if self.lost:
            self.lost -= 1
            raise OutcomeUnknownError('no answer')
        return self.revision

    async def grant_lease(self, ttl_s):
        await self._enter()
        lease_id = str(next(self.numbers))
        self.leases[lease_id] = [ttl_s, self.clock.now_s() + ttl_s, set()]
        return lease_id

    async def renew_lease(self, lease_id):
        await self._enter()
        if lease_id not in self.leases:
            raise ConflictError('no such lease', 0)
        lease = self.leases[lease_id]
        lease[1] = self.clock.now_s() + lease[0]

    async def revoke_lease(self, lease_id):
        await self._enter()
        self._end_lease(lease_id)

    async def watch(self, prefix, after_revision, timeout_s):
        await self._enter()
        end_s = self.clock.now_s() + timeout_s
        while True:
            self._expire()
            found = {
                key
                for revision, key in self.log
                if revision > after_revision and key.startswith(prefix)
            }
            left_s = end_s - self.clock.now_s()
            if found or left_s <= 0:
                await asyncio.sleep(self.watch_delay_s)
                return WatchResult(
                    revision=self.revision,
                    changed=tuple(
                        self.keys[key] for key in sorted(found & set(self.keys))
                    ),
                    deleted=tuple(sorted(found - set(self.keys))),
                )
            await self._next_change(min(left_s, 0.1))

    async def close(self):
        """Nothing is open."""

    def _revision_of(self, key):
        found = self.keys.get(key)
        return found.revision if found else 0

    async def _next_change(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()
        except TimeoutError:
            return

    async def _enter(self):
        await asyncio.sleep(self.delay_s)
        self._expire()
        if self.is_down:
            raise StoreUnavailableError('the store is down')

    def _expire(self):
        now_s = self.clock.now_s()
        for lease_id, lease in tuple(self.leases.items()):
            if lease[1] <= now_s:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        lease = self.leases.pop(lease_id, None)
        if lease is not None:
            self.revision += 1
            for key in lease[2]:
                self._remove(key)
            self._announce()

    def _remove(self, key):
        if self.keys.pop(key, None) is not None:
            self.log.append((self.revision, key))

    def _announce(self):
        self.changed.set()
        self.changed = asyncio.Event()


class DaemonStore(TransactionalStore):
    """Access of one daemon to the store.

    ``is_rejected`` rejects every call, ``is_silent`` answers none, and
    ``faults`` are exceptions that the next watches of a prefix raise.
    """

    max_entries = MemoryStore.max_entries

    def __init__(self, store):
        self.store = store
        self.is_rejected = False
        self.is_silent = False
        self.faults = collections.defaultdict(list)

    async def get(self, key):
        return await self._call(self.store.get, key)

    async def list_prefix(self, prefix):
        return await self._call(self.store.list_prefix, prefix)

    async def put(self, key, stored, expected_revision, lease_id=''):
        raise NotImplementedError

    async def delete(self, key, expected_revision):
        raise NotImplementedError

    async def commit(self, expected, writes, removed=()):
        return await self._call(self.store.commit, expected, writes, removed)

    async def grant_lease(self, ttl_s):
        return await self._call(self.store.grant_lease, ttl_s)

    async def renew_lease(self, lease_id):
        return await self._call(self.store.renew_lease, lease_id)

    async def revoke_lease(self, lease_id):
        return await self._call(self.store.revoke_lease, lease_id)

    async def watch(self, prefix, after_revision, timeout_s):
        if self.faults[prefix]:
            raise self.faults[prefix].pop(0)
        return await self._call(
            self.store.watch,
            prefix,
            after_revision,
            timeout_s,
        )

    async def close(self):
        """Nothing is open."""

    async def _call(self, method, *args):
        if self.is_silent:
            await asyncio.sleep(0.8)
            raise OutcomeUnknownError('no answer')
        if self.is_rejected:
            await asyncio.sleep(0.004)
            raise StoreUnavailableError('rejected')
        return await method(*args)


class FakeLinks:
    """Links that call the other daemons of a cell directly."""

    def __init__(self, cell):
        self.cell = cell

    async def call(self, address, method, message, reply_type, timeout_s):
        await asyncio.sleep(0.005)
        daemon = self.cell.daemons[address]
        if daemon.is_killed:
            raise NotSentError('no such daemon')
        return await getattr(daemon, f'on_{method}')(message)

    async def close(self):
        """Nothing is open."""


class FakeWorker:
    """Worker with fencing tokens, leases and numbers of ends.

    ``silent`` drops every call, ``unreachable_from`` names the hosts whose
    calls are dropped, ``drops_answers`` loses the answers, ``late_starts``
    counts starts without an answer that :meth:`carry_out` carries out,
    ``travel_times_s`` are those of the next calls of a kind, which arrive after
    their callers have given up, ``lease_limit_s`` is the longest lease that it
    grants, and ``faults`` are exceptions that the next calls of a kind raise.
    """

    def __init__(self, fleet, worker_id, rate=1):
        self.fleet = fleet
        self.worker_id = worker_id
        self.rate = rate
        self.silent = False
        self.unreachable_from = set()
        self.drops_answers = False
        self.faults = collections.defaultdict(list)
        self.travel_times_s = collections.defaultdict(list)
        self.late_starts = 0
        self.delayed = []
        self.lease_limit_s = 10
        self.refusal = None
        self.fails = False
        self.stop_s = STOP_S
        self.room = ROOM
        self.is_draining = False
        self.failure_domain = 'east'
        self.tails_ms = {}
        self.paces = {}
        self.process_count = 0
        self.restart()

    def restart(self):
        """Restart with empty lists, another clock and no fencing token."""
        self.process_count += 1
        self.born = 1000 * self.process_count
        self.began_s = self.fleet.clock.now_s()
        self.token = 0
        self.deadline_ms = 0
        self.running = {}
        self.paces = {}
        self.closed = {}
        self.ended = []
        self.numbers = itertools.count(1)
        self.acked = 0

    @property
    def report(self):
        """Return the report of this worker."""
        return WorkerReport(
            worker_id=self.worker_id,
            address=self.worker_id,
            service='passes',
            failure_domain=self.failure_domain,
            is_draining=self.is_draining,
            room=self.room,
            born_unix_ms=self.born,
        )

    def clock_ms(self):
        """Return the reading of the clock of this worker."""
        return round(
            (self.fleet.clock.now_s() - self.began_s) * 1000 * self.rate
        )

    def advance(self):
        """End the runs that are due, or all if the lease has expired."""
        now_s = self.fleet.clock.now_s()
        is_over = self.deadline_ms and self.clock_ms() > self.deadline_ms
        for key, run in tuple(self.running.items()):
            if run.end_s <= now_s:
                self.end(key, run.kind)
        if is_over:
            for lapsed in tuple(self.running):
                self.end(lapsed, EndKind.LAPSED)
            self.fleet.lease_expirations.append((self.worker_id, now_s))
            self.ended_before_expiry = len(self.ended)

    def end(self, key, kind):
        """End a run and list its end."""
        run = self.running.pop(key)
        self.closed[key[0]] = max(key[1], self.closed.get(key[0], 0))
        ended = EndedRun(
            number=next(self.numbers),
            task=key[0],
            attempt=key[1],
            kind=kind,
        )
        self.ended.append(ended)
        self.fleet.record_end(self, run.order, kind)

    def accept_token(self, token):
        """Tell whether a fencing token is valid, and remember the highest."""
        if token < self.token:
            return False
        self.token = token
        return True

    def extend_lease(self, deadline_ms):
        """Extend the lease up to a deadline, within the limit."""
        limit_ms = self.clock_ms() + self.lease_limit_s * 1000
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def start(self, order):
        """Start a run with the checks that the platform documents."""
        self.advance()
        if self.refusal is not None:
            return self.refusal
        if not self.accept_token(order.fencing_token):
            return StartAnswer.FENCED
        key = order.task, order.attempt
        if key in self.running:
            return StartAnswer.STARTED
        if order.attempt <= self.closed.get(order.task, 0):
            # The platform takes the deadline of a superseded start.
            self.extend_lease(order.worker_deadline_ms)
            return StartAnswer.SUPERSEDED
        if order.worker_deadline_ms < self.clock_ms():
            return StartAnswer.LATE
        self.extend_lease(order.worker_deadline_ms)
        self.running[key] = Running(
            order,
            self.fleet.clock.now_s() + self.fleet.work_s,
            EndKind.FAILED if self.fails else EndKind.DONE,
        )
        self.fleet.record_start(self, order)
        return StartAnswer.STARTED

    def stop(self, task, attempt, token):
        """Stop a run, and refuse later starts up to its attempt."""
        self.advance()
        if not self.accept_token(token):
            return False
        stopping = self.running.get((task, attempt))
        if stopping is not None:
            stopping.kind = EndKind.STOPPED
            stopping.end_s = min(
                stopping.end_s,
                self.fleet.clock.now_s() + self.stop_s,
            )
        self.closed[task] = max(attempt, self.closed.get(task, 0))
        return True

    def hold(self, token, acked_through, deadline_ms):
        """Renew the lease and return the lists."""
        self.advance()
        if not self.accept_token(token):
            return HoldReply(clock_ms=0, born_unix_ms=0, is_fenced=True)
        self.fleet.record_acknowledged(self, acked_through)
        self.ended = [end for end in self.ended if end.number > acked_through]
        self.extend_lease(deadline_ms)
        return HoldReply(
            clock_ms=self.clock_ms(),
            born_unix_ms=self.born,
            running=tuple(
                RunningRun(
                    task=task,
                    attempt=attempt,
                    recent_load=self.tail_ms(task.job_id),
                )
                for task, attempt in self.running
            ),
            ended=tuple(self.ended),
        )

    def pace(self, task, attempt, percent, token):
        """Set the pace of a run."""
        if not self.accept_token(token):
            return False
        if (task, attempt) in self.running:
            self.paces[task.job_id] = percent
        return True

    def tail_ms(self, job_id):
        """Return the tail of a service beside the present best-effort work.

        ``tails_ms`` has it without and with best-effort work at full pace.
        """
        alone_ms, disturbed_ms = self.tails_ms.get(job_id, (0, 0))
        fill_ids = {task.job_id for task, _ in self.running} - {job_id}
        percent = max(
            (self.paces.get(name, 100) for name in fill_ids), default=0
        )
        return alone_ms + (disturbed_ms - alone_ms) * percent / 100

    def carry_out(self):
        """Carry out the delayed starts."""
        delayed = tuple(self.delayed)
        self.delayed.clear()
        for order in delayed:
            self.start(order)


class FakeRunClient(RunClient):
    """Connection to a fake worker."""

    def __init__(self, worker, host_name=''):
        self.worker = worker
        self.host_name = host_name
        self.born = 0

    async def start(self, order):
        await self._enter('start')
        if self.worker.late_starts:
            self.worker.late_starts -= 1
            self.worker.delayed.append(order)
            await asyncio.sleep(0.5)
            raise OutcomeUnknownError('no answer')
        born = order.born_unix_ms
        await self._travel('start', born, lambda: self.worker.start(order))
        if self._is_other_process(born):
            return self._answer(StartAnswer.OTHER_PROCESS)
        return self._answer(self.worker.start(order))

    async def stop(self, task, attempt, token):
        await self._enter('stop')
        return self._answer(self.worker.stop(task, attempt, token))

    async def pace(self, task, attempt, percent, token):
        await self._enter('pace')
        await self._travel(
            'pace', 0, lambda: self.worker.pace(task, attempt, percent, token)
        )
        return self._answer(self.worker.pace(task, attempt, percent, token))

    async def hold(self, token, acked_through, worker_deadline_ms, wait_s):
        await self._enter('hold')
        worker = self.worker
        born = self.born if acked_through or worker_deadline_ms else 0
        await self._travel(
            'hold',
            born,
            lambda: worker.hold(token, acked_through, worker_deadline_ms),
        )
        if self._is_other_process(born):
            acked_through, worker_deadline_ms, wait_s = 0, 0, 0
        reply = worker.hold(token, acked_through, worker_deadline_ms)
        until_s = worker.fleet.clock.now_s() + wait_s
        while not reply.ended and worker.fleet.clock.now_s() < until_s:
            await asyncio.sleep(0.02)
            if worker.born != reply.born_unix_ms and not reply.is_fenced:
                raise OutcomeUnknownError('the worker has restarted')
            reply = worker.hold(token, acked_through, 0)
        await asyncio.sleep(0.003)
        self._answer(reply)
        if not reply.is_fenced:
            self.born = reply.born_unix_ms
        return reply

    async def close(self):
        """Nothing is open."""

    async def _enter(self, kind):
        await asyncio.sleep(0.003)
        if self.worker.faults[kind]:
            raise self.worker.faults[kind].pop(0)
        if self.worker.silent or self.host_name in self.worker.unreachable_from:
            await asyncio.sleep(0.6)
            raise WorkerUnavailableError('silent')

    def _is_other_process(self, born):
        return bool(born) and born != self.worker.born

    async def _travel(self, kind, born, deliver):
        """Deliver a call that is on its way for long after its timeout.

        A call for a process that has ended by then is lost with its connection.
        """
        if not self.worker.travel_times_s[kind]:
            return

        def arrive():
            if not self._is_other_process(born):
                deliver()

        travel_s = self.worker.travel_times_s[kind].pop(0)
        asyncio.get_running_loop().call_later(travel_s, arrive)
        await asyncio.sleep(0.6)
        raise OutcomeUnknownError('no answer')

    def _answer(self, reply):
        if self.worker.drops_answers:
            raise OutcomeUnknownError('the answer was lost')
        return reply


class Fleet(WorkerDirectory, ConfigSource, AdviceClient):
    """Workers, configuration and placement service of a cell.

    ``lease_expirations`` lists workers whose lease expired, ``overlaps`` tasks
    that were started while another run of them was active, ``overcommitted``
    workers that got more runs than they have resources for, and
    ``repeated_tasks`` tasks that were started after an acknowledged end.
    A report of a later process of a worker is shown after ``report_delay_s``.
    ``evacuation_requests`` has the times at which the store acknowledged the
    evacuation of a domain, ``shown_evacuations`` is what the daemons know of
    them since ``evacuations_shown_at_s`` (``None`` for the present), and
    ``evacuated_starts`` lists workers with a start in an evacuated domain after
    the bound on it.
    """

    def __init__(self, loop):
        self.loop = loop
        self.clock = LoopClock(loop)
        self.store = MemoryStore(self.clock)
        self.workers = {}
        self.work_s = 0.5
        self.lease_expirations = []
        self.starts = []
        self.done = collections.Counter()
        self.overlaps = []
        self.overcommitted = []
        self.repeated_tasks = []
        self.report_delay_s = 0
        self.shown_reports = {}
        self.evacuation_requests = {}
        self.evacuations_shown_at_s = None
        self.shown_evacuations = frozenset()
        self.evacuated_starts = []
        self.allowed = None
        self.advice_calls = []
        self.advice_faults = []
        self.acknowledged = {}
        self.needed = {}
        self.known_config = SiteConfig(
            version=1,
            queues=(QUEUE, ADVISED),
            teams={'orchard': Team(name='orchard')},
        )

    def add(self, worker_id, failure_domain='east', **options):
        """Add a worker."""
        self.workers[worker_id] = FakeWorker(self, worker_id, **options)
        self.workers[worker_id].failure_domain = failure_domain
        return self.workers[worker_id]

    def evacuate(self, *domains, is_shown=True):
        """Evacuate some failure domains, and no others."""
        self.evacuation_requests = {
            domain: self.evacuation_requests.get(domain, self.clock.now_s())
            for domain in domains
        }
        if is_shown:
            self.shown_evacuations = frozenset(domains)

    @property
    def reports(self):
        now_s = self.clock.now_s()
        for name, worker in self.workers.items():
            is_new = now_s >= worker.began_s + self.report_delay_s
            if is_new or name not in self.shown_reports:
                self.shown_reports[name] = worker.report
        return {name: self.shown_reports[name] for name in self.workers}

    async def changed(self):
        await asyncio.sleep(0.2)

    async def follow(self):
        await asyncio.Event().wait()

    @property
    def config(self):
        return self.known_config

    @property
    def last_answer_at_s(self):
        return self.clock.now_s()

    @property
    def evacuated_domains(self):
        return self.shown_evacuations

    @property
    def evacuations_read_at_s(self):
        if self.evacuations_shown_at_s is None:
            return self.clock.now_s()
        return self.evacuations_shown_at_s

    async def advise(self, job_id, occurrence, step, worker_ids, timeout_s):
        self.advice_calls.append((job_id, tuple(worker_ids)))
        await asyncio.sleep(0.5)
        if self.advice_faults:
            raise self.advice_faults.pop(0)
        return tuple(
            Ticket(worker_id=name, code=f'ticket-{name}')
            for name in worker_ids
            if self.allowed is None or name in self.allowed
        )

    def job_ids_on(self, worker_id):
        """Return the ids of the jobs that run on a worker."""
        return {task.job_id for task, _ in self.workers[worker_id].running}

    def resources_of(self, task):
        """Return the resources that a task uses, from its stored job."""
        key = task.job_id, task.step
        if key not in self.needed:
            # The steps are dropped when the job has ended.
            stored = self.store.keys[f'jobs/{task.job_id}'].stored
            step = decode_job(stored).steps[task.step]
            self.needed[key] = resource_demand(step)
        return self.needed[key]

    def record_start(self, worker, order):
        """Record a start and check it against all runs of its task."""
        self.starts.append((worker.worker_id, order))
        requested_at_s = self.evacuation_requests.get(
            worker.failure_domain, self.clock.now_s()
        )
        if self.clock.now_s() > requested_at_s + EVACUATION_BOUND_S:
            self.evacuated_starts.append(worker.worker_id)
        taken = sum(
            (self.resources_of(task) for task, _ in worker.running),
            Resources(),
        )
        if not taken.fits_in(worker.room):
            self.overcommitted.append(worker.worker_id)
        if self.acknowledged.get(order.task):
            self.repeated_tasks.append(order.task)
        for other in self.workers.values():
            if other is not worker:
                other.advance()
            for task, attempt in other.running:
                is_same = attempt == order.attempt and other is worker
                if task == order.task and not is_same:
                    self.overlaps.append(order.task)

    def record_end(self, worker, order, kind):
        """Count the runs that end as done."""
        if kind is EndKind.DONE:
            self.done[order.task] += 1

    def record_acknowledged(self, worker, acked_through):
        """Record the done tasks, which must not be started again."""
        for ended in worker.ended:
            if ended.number <= acked_through and ended.kind is EndKind.DONE:
                self.acknowledged[ended.task] = True

    async def close(self):
        """Nothing is open."""


@attrs.define
class FakeDaemon:
    """One daemon, whose links are replaced by direct calls."""

    fleet: Fleet
    coordinator: Coordinator
    submissions: SubmissionService
    job_queries: JobQueries
    tasks: list
    store: DaemonStore
    scheduler: JobScheduler | None = None
    is_killed: bool = False
    announced: list = attrs.field(factory=list)

    async def on_submit(self, request):
        return build_forward_reply(
            await self.submissions.submit_locally(request.job)
        )

    async def on_announce(self, request):
        self.announced.append(request.job.job_id)
        self.submissions.accept_announced_job(request.job)

    async def on_cancel(self, request):
        return build_forward_reply(
            await self.submissions.cancel_locally(
                request.job_id,
                request.queue,
                request.team,
            ),
        )

    async def on_advise(self, request):
        return await AdviceService(self.fleet).ask(request)

    async def on_state(self, request):
        return self.job_queries.answer_state(request)

    async def on_cell(self, _):
        return self.coordinator.view()

    def kill(self):
        """End the daemon without a resignation."""
        self.is_killed = True
        for task in self.tasks:
            task.cancel()
        self.scheduler = None


class FakeCell:
    """Daemons that share one fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.daemons = {}
        self.settings = JobSettings()
        self.seed = 0
        self.numbers = itertools.count(1)

    def start(self, name):
        """Start a daemon."""
        fleet = self.fleet
        store = DaemonStore(fleet.store)
        daemon_id = f'{name}-{next(self.numbers)}'
        coordinator = Coordinator(
            daemon_id,
            name,
            name,
            store,
            self.settings,
            fleet.clock,
            random.Random(f'{self.seed}-{daemon_id}'),
        )
        links = FakeLinks(self)
        daemon = FakeDaemon(fleet, coordinator, None, None, [], store)

        async def fetch_peer_view(address):
            try:
                return await links.call(address, 'cell', None, None, 1)
            except NotSentError:
                return None

        coordinator.fetch_peer_view = fetch_peer_view
        writer = KeyWriter(store)
        daemon.job_queries = JobQueries(
            store, coordinator, links, lambda: daemon.scheduler
        )
        daemon.submissions = SubmissionService(
            store,
            writer,
            coordinator,
            links,
            fleet.clock,
            lambda: daemon.scheduler,
            lambda: fleet.config,
        )
        dependencies = DaemonDependencies(
            store=store,
            directory=fleet,
            source=fleet,
            advice=fleet,
            make_run_client=lambda report: FakeRunClient(
                fleet.workers[report.worker_id],
                name,
            ),
        )

        async def lead():
            while True:
                leadership = await coordinator.acquire_leadership()
                daemon.scheduler = JobScheduler(
                    leadership,
                    coordinator,
                    dependencies,
                    links,
                    AdviceService(fleet),
                    self.settings,
                    fleet.clock,
                )
                await daemon.scheduler.run()
                daemon.scheduler = None

        coroutines = (
            coordinator.follow(),
            coordinator.maintain_membership(),
            writer.run(),
            lead(),
        )
        daemon.tasks = [
            asyncio.ensure_future(coroutine) for coroutine in coroutines
        ]
        self.daemons[name] = daemon
        return daemon

    def scheduling_daemon(self):
        """Return the leader once it has recovered the jobs, if there is one."""
        for daemon in self.daemons.values():
            if daemon.scheduler is not None and daemon.scheduler.is_ready:
                return daemon
        return None

    def close(self):
        """Kill all daemons."""
        for daemon in self.daemons.values():
            daemon.kill()


class FakeDurations(StageDurations):
    """Learned durations of a test.

    ``slowdowns`` has those of workers, and ``lengths_s`` the mean and the tail
    of the duration of a task by the name of its queue.
    """

    def __init__(self):
        super().__init__()
        self.slowdowns = {}
        self.lengths_s = {}

    def task(self, stage):
        learned = self.lengths_s.get(stage.job_progress.job.queue.name)
        if learned is None:
            return super().task(stage)
        mean_s, tail_s = learned
        return TaskDuration(mean_s=mean_s, tail_s=tail_s, run_count=20)

    def slowdown(self, worker_id):
        return self.slowdowns.get(worker_id, 1)


class OfflineScheduler:
    """Cluster state and stage scheduler without a network."""

    def __init__(self, fleet_config=None):
        self.clock = ManualClock(100)
        self.launched = []
        self.metrics = Metrics()
        self.cluster = ClusterState(
            self.clock,
            lambda _: None,
            lambda: None,
            self.metrics,
        )
        self.stage_scheduler = StageScheduler(
            self.cluster,
            None,
            self.clock,
            lambda run, ticket: self.launched.append(run),
            lambda: fleet_config,
            self.metrics,
        )

    def add_workers(self, reports):
        """Add usable workers."""
        for report in reports:
            self.cluster.add_worker(report).is_usable = True

    def started(self):
        """Schedule once and return the ids of the jobs that start."""
        self.launched.clear()
        self.stage_scheduler.schedule()
        return [run.task.job_id for run in self.launched]

    def end(self, *runs):
        """Remove runs of jobs that have one task each."""
        for run in runs:
            self.cluster.jobs[run.task.job_id].stages.clear()
            self.cluster.mark_run_lost(run)


def make_job(job_id, count=1, queue=QUEUE, team='orchard', **step):
    """Return a job with one step."""
    needed = step.pop('needed', Resources(cpu_milli=1000, memory_mib=1000))
    return Job(
        job_id=job_id,
        queue=queue,
        team=team,
        payload='payload',
        accepted_unix_ms=unix_now_ms(),
        steps=(Step(task_count=count, needed=needed, **step),),
    )


async def until(check, timeout_s=30):
    """Wait in virtual time until a condition holds."""
    for _ in range(round(timeout_s / 0.05)):
        if check():
            return
        await asyncio.sleep(0.05)
    raise AssertionError('the condition did not come true in time')


@pytest.fixture(autouse=True)
def quiet_log():
    """Keep log lines out of the output."""
    with logbook.NullHandler().applicationbound():
        yield


@pytest.fixture
def log():
    """Return the log lines that are written."""
    with logbook.TestHandler().applicationbound() as handler:
        yield handler


@pytest.fixture
def run_scenario():
    """Return a function that runs a scenario on virtual time."""

    def run(scenario):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            fleet = Fleet(runner.get_loop())
            cell = FakeCell(fleet)

            async def run_and_close():
                await scenario(fleet, cell)
                cell.close()
                await asyncio.sleep(0)

            runner.run(run_and_close())
            assert not fleet.overlaps
            assert not fleet.repeated_tasks
            assert not fleet.overcommitted
            assert not fleet.evacuated_starts

    return run


@pytest.fixture
def reports():
    """Return the reports of two workers."""
    return [
        WorkerReport(
            worker_id=name,
            address=name,
            service='passes',
            failure_domain='east',
            is_draining=False,
            room=ROOM,
        )
        for name in ('w1', 'w2')
    ]


@pytest.fixture
def job():
    """Return a function that makes a job with one step."""
    return make_job


@pytest.fixture
def wait_until():
    """Return a function that waits in virtual time for a condition."""
    return until


@pytest.fixture
def start_cell(wait_until):
    """Return a function that starts a cell with a worker of some age.

    Its clock is far ahead of that of its next process.
    """

    async def start(fleet, cell):
        fleet.work_s = LONG_WORK_S
        worker = fleet.add('w1')
        cell.settings = attrs.evolve(
            JobSettings(), lease_limit_s=worker.lease_limit_s
        )
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await asyncio.sleep(WORKER_AGE_S)
        return daemon, worker

    return start


@pytest.fixture
def advised_queue():
    """Return a queue with a placement service."""
    return ADVISED


@pytest.fixture
def make_source():
    """Return a function that makes a source without evacuations."""

    def make(clock):
        return types.SimpleNamespace(
            evacuated_domains=frozenset(),
            evacuations_read_at_s=clock.now_s(),
        )

    return make


@pytest.fixture
def make_offline(reports):
    """Return a function that makes an offline scheduler with two workers."""

    def make():
        offline_scheduler = OfflineScheduler()
        offline_scheduler.add_workers(reports)
        return offline_scheduler

    return make


@pytest.fixture
def offline(make_offline):
    """Return an offline scheduler with two workers of 16 cores."""
    return make_offline()


@pytest.fixture
def durations(offline):
    """Return learned durations that the offline scheduler uses."""
    offline.cluster.durations = FakeDurations()
    return offline.cluster.durations
