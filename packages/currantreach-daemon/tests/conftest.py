"""Simulated workers, store, journal and owners on a loop with virtual time."""

from __future__ import annotations

import asyncio
import collections
import functools
import itertools

import attrs
import logbook
import pytest

from currantreach_daemon._owner import Owner
from currantreach_daemon._owner_state import OwnerContext
from currantreach_daemon._requests import body_hash_of
from currantreach_decisions import IndexedScheduler, TeamQuota
from currantreach_platform import KeyValue, Store, WatchResult, WorkerClient
from currantreach_state import Claim, RecordKind
from currantreach_telemetry import Metrics
from currantreach_types import (
    Inventory,
    PolicyKind,
    Resources,
    StartOutcome,
    StartResult,
    TaskPhase,
    TaskSpec,
    WorkerEvents,
    WorkerInfo,
    WorkerTask,
)
from currantreach_types.errors import (
    ConflictError,
    MalformedMessageError,
    OutcomeUnknownError,
    StaleEpochError,
    StoreUnavailableError,
    WorkerUnavailableError,
)
from testbed.virtual_time import LoopClock, VirtualLoop

LEASE_S = 30
SLOTS = 4
_METRICS = Metrics()


@attrs.define
class FakeTask:
    """A task on a fake worker."""

    order: object
    phase: TaskPhase
    end_s: float
    lease_end_s: float
    output: str = ''


class FakeWorker:
    """Worker that enforces epochs and the latest start time of an order.

    Faults are injected by the name of a call. ``lost`` counts the answers to
    lose after the effect of the call, ``dropped`` the calls to lose before it,
    and ``broken`` the answers that raise an unexpected error in the client.
    ``delays`` maps a call and ``'effect'`` or ``'answer'`` to an event that
    this part of the call waits for. ``reports_attempts`` is off for a worker
    that does not know the numbers of runs.
    """

    def __init__(self, cell, name, slots=SLOTS):
        self.cell = cell
        self.name = name
        self.capacity = Resources(slots, slots * 1000, slots * 1000)
        self.url = f'http://{name}'
        self.lost = collections.Counter()
        self.dropped = collections.Counter()
        self.broken = collections.Counter()
        self.delays = {}
        self.is_unreachable = False
        self.fails = False
        self.reports_attempts = True
        self.padding = ''
        self.boot = 0
        self.restart()

    def restart(self):
        """Restart with a new boot id and clock, without tasks and epoch."""
        self.boot += 1
        self.epoch = 0
        self.tasks = {}
        self.event_log = []
        self.clock_offset_s = 50 * self.boot

    @property
    def info(self):
        """Return the host list entry."""
        return WorkerInfo(
            name=self.name,
            failure_domain='dom',
            rack=self.name,
            url=self.url,
            capacity=self.capacity,
        )

    @property
    def running(self):
        """Return the ids of the running tasks."""
        self.advance()
        return {
            name
            for name, task in self.tasks.items()
            if task.phase == TaskPhase.running
        }

    async def delay(self, method, part):
        """Wait as long as the test delays a part of a call."""
        event = self.delays.get((method, part))
        if event is not None:
            await event.wait()

    def clock_ms(self):
        """Return the clock of the worker."""
        return int((self.cell.clock.now_s() + self.clock_offset_s) * 1000)

    def end(self, name, phase):
        """End a task."""
        task = self.tasks[name]
        task.phase = phase
        if phase == TaskPhase.failed:
            self.cell.record_failure(task.order)
        if phase == TaskPhase.finished:
            task.output = f'{name}@{self.name}{self.padding}'
        self.event_log.append(name)

    def advance(self):
        """End the tasks whose run time or lease is over by now."""
        now_s = self.cell.clock.now_s()
        for name, task in self.tasks.items():
            if task.phase != TaskPhase.running:
                continue
            if task.end_s <= min(now_s, task.lease_end_s):
                self.end(name, TaskPhase.finished)
            elif task.lease_end_s <= now_s:
                self.end(name, TaskPhase.expired)

    def fence(self, epoch):
        """Refuse an epoch lower than the last one, and adopt a higher one."""
        if epoch < self.epoch:
            raise StaleEpochError(self.name)
        self.epoch = epoch

    def start(self, order):
        """Start a task unless the order is stale, late or a repetition."""
        outcome = StartOutcome.started
        if order.epoch < self.epoch:
            outcome = StartOutcome.stale_epoch
        elif order.start_by_ms < self.clock_ms():
            outcome = StartOutcome.too_late
        elif order.boot_id and order.boot_id != f'{self.name}-{self.boot}':
            outcome = StartOutcome.other_boot
        elif order.task_id in self.tasks:
            outcome = StartOutcome.known
        else:
            self.cell.record_start(self, order)
            now_s = self.cell.clock.now_s()
            self.tasks[order.task_id] = FakeTask(
                order,
                TaskPhase.running,
                now_s + order.run_ms / 1000,
                now_s + order.lease_ms / 1000,
            )
            if self.fails:
                self.end(order.task_id, TaskPhase.failed)
        return StartResult(task_id=order.task_id, outcome=outcome)

    def reported(self, name):
        """Return the report of a task."""
        task = self.tasks[name]
        return WorkerTask(
            task_id=name,
            epoch=task.order.epoch,
            phase=task.phase,
            resources=task.order.resources,
            output=task.output,
            spec_json=task.order.spec_json,
            attempt=task.order.attempt * self.reports_attempts,
        )

    def inventory(self):
        """Return all tasks."""
        return Inventory(
            worker=self.name,
            epoch=self.epoch,
            clock_ms=self.clock_ms(),
            boot_id=f'{self.name}-{self.boot}',
            sequence=len(self.event_log),
            tasks=tuple(self.reported(name) for name in self.tasks),
        )


class FakeWorkers(WorkerClient):
    """Client of the fake workers."""

    def __init__(self, cell):
        self.cell = cell

    async def adopt(self, worker, epoch, owner):
        return await self._call('adopt', worker, self._adopt, epoch)

    async def start(self, worker, orders):
        return await self._call('start', worker, self._start, orders)

    async def renew(self, worker, epoch, lease_ms):
        return await self._call('renew', worker, self._renew, epoch, lease_ms)

    async def stop(self, worker, epoch, task_ids):
        await self._call('stop', worker, self._stop, epoch, task_ids)

    async def checkpoint(self, worker, epoch, task_ids):
        self.cell.calls['checkpoint'].extend(task_ids)
        await self._call('checkpoint', worker, self._stop, epoch, task_ids)

    async def throttle(self, worker, epoch, task_ids):
        """Do nothing."""

    async def retire(self, worker, epoch, task_ids):
        await self._call('retire', worker, self._retire, epoch, task_ids)

    async def events(self, worker, after_sequence, timeout_s):
        end_s = self.cell.clock.now_s() + timeout_s
        boot = self.cell[worker].boot
        while True:
            events = await self._call(
                'events', worker, self._events, after_sequence
            )
            if events.tasks or self.cell.clock.now_s() >= end_s:
                return events
            if self.cell[worker].boot != boot:
                return events
            await asyncio.sleep(0.02)

    async def close(self):
        """Do nothing."""

    async def _call(self, method, info, effect, *args):
        worker = self.cell[info]
        await asyncio.sleep(0.001)
        is_elsewhere = info.url != worker.url
        if worker.is_unreachable or is_elsewhere or worker.dropped[method] > 0:
            worker.dropped[method] -= 1
            await asyncio.sleep(0.5)
            raise WorkerUnavailableError(f'{method} was lost')
        await worker.delay(method, 'effect')
        worker.advance()
        answer = effect(worker, *args)
        await worker.delay(method, 'answer')
        if worker.is_unreachable or worker.lost[method] > 0:
            worker.lost[method] -= 1
            await asyncio.sleep(0.5)
            raise WorkerUnavailableError(f'the answer to {method} was lost')
        if worker.broken[method] > 0:
            worker.broken[method] -= 1
            raise ZeroDivisionError('injected')
        return answer

    def _adopt(self, worker, epoch):
        worker.fence(epoch)
        return worker.inventory()

    def _start(self, worker, orders):
        self.cell.calls['start'].extend(orders)
        return tuple(worker.start(order) for order in orders)

    def _renew(self, worker, epoch, lease_ms):
        worker.fence(epoch)
        for name in worker.running:
            lease_end_s = self.cell.clock.now_s() + lease_ms / 1000
            worker.tasks[name].lease_end_s = lease_end_s
        return worker.inventory()

    def _stop(self, worker, epoch, task_ids):
        worker.fence(epoch)
        for name in worker.running & set(task_ids):
            worker.end(name, TaskPhase.stopped)

    def _retire(self, worker, epoch, task_ids):
        worker.fence(epoch)
        for name in set(task_ids) & worker.tasks.keys() - worker.running:
            worker.tasks.pop(name)

    def _events(self, worker, after):
        names = dict.fromkeys(worker.event_log[after:])
        return WorkerEvents(
            clock_ms=worker.clock_ms(),
            boot_id=f'{worker.name}-{worker.boot}',
            sequence=len(worker.event_log),
            tasks=tuple(
                worker.reported(name) for name in names if name in worker.tasks
            ),
        )


class MemoryStore(Store):
    """Store in memory with fault injection.

    ``faults`` maps a call, or ``'all'``, to a fault: ``'down'`` has no effect,
    ``'lost'`` loses the answer after the effect, and ``'cut'`` does the same
    and takes the store down afterwards. The call ``'put <key>'`` stands for
    the writes of one key.
    """

    def __init__(self, clock):
        self.clock = clock
        self.entries = {}
        self.leases = {}
        self.faults = {}
        self.numbers = itertools.count(1)

    async def get(self, key):
        return self._call('get', self.peek, key)

    async def list_prefix(self, prefix):
        return self._call('get', self._list, prefix)

    async def watch(self, prefix, after_revision, timeout_s):
        return self._call('get', self._list, prefix)

    async def put(self, key, stored, expected_revision, lease_id=''):
        call = f'put {key}'
        return self._call(
            call if call in self.faults else 'put',
            self._put,
            key,
            stored,
            expected_revision,
            lease_id,
        )

    async def delete(self, key, expected_revision):
        self._call('put', self.entries.pop, key, None)

    async def grant_lease(self, ttl_s):
        return self._call('lease', self._grant, ttl_s)

    async def renew_lease(self, lease_id):
        self._call('lease', self._renew, lease_id)

    async def revoke_lease(self, lease_id):
        self._call('lease', self.leases.pop, lease_id, None)

    async def close(self):
        """Do nothing."""

    def peek(self, key):
        """Return a key, or ``None`` if it is missing or its lease expired."""
        record, lease_id = self.entries.get(key, (None, ''))
        return (
            None if lease_id and not self._is_lease_valid(lease_id) else record
        )

    def _call(self, call, effect, *args):
        fault = self.faults.get(call, self.faults.get('all'))
        if fault == 'down':
            raise StoreUnavailableError('injected')
        answer = effect(*args)
        if fault == 'cut':
            self.faults = {'all': 'down'}
        if fault:
            raise OutcomeUnknownError('injected')
        return answer

    def _is_lease_valid(self, lease_id):
        return self.clock.now_s() < self.leases.get(lease_id, (0, 0))[0]

    def _list(self, prefix):
        names = [name for name in self.entries if name.startswith(prefix)]
        found = [self.peek(name) for name in names if self.peek(name)]
        return WatchResult(revision=next(self.numbers), changed=tuple(found))

    def _put(self, key, stored, expected_revision, lease_id):
        current = self.peek(key)
        found = 0 if current is None else current.revision
        if found != expected_revision:
            raise ConflictError('injected', found)
        revision = next(self.numbers)
        record = KeyValue(key=key, stored=stored, revision=revision)
        self.entries[key] = (record, lease_id)
        return revision

    def _grant(self, ttl_s):
        lease_id = f'lease-{next(self.numbers)}'
        self.leases[lease_id] = (self.clock.now_s() + ttl_s, ttl_s)
        return lease_id

    def _renew(self, lease_id):
        if not self._is_lease_valid(lease_id):
            raise ConflictError('the lease ran out', 0)
        ttl_s = self.leases[lease_id][1]
        self.leases[lease_id] = (self.clock.now_s() + ttl_s, ttl_s)


class JournalStore:
    """Stored part of the journal, with fault injection.

    ``faults`` lists the faults of the next writes: ``'down'`` if the store is
    unavailable, ``'lost'`` if the answer is lost after the write, ``'late'``
    if it is lost without a write, and ``None`` for no fault. Writes wait for
    the event ``append_barrier``, if there is one. Records with an answer
    longer than ``answer_limit_bytes`` are refused.
    """

    def __init__(self):
        self.epoch = 0
        self.records = {}
        self.faults = collections.deque()
        self.is_down = False
        self.append_barrier = None
        self.answer_limit_bytes = 10000


class FakeJournal:
    """Journal of one owner, on a store that its successors share."""

    def __init__(self, stored, epoch):
        self.stored = stored
        self.epoch = epoch
        self.outcomes = {}

    async def open(self):
        await asyncio.sleep(0.01)
        if self.stored.is_down:
            raise StoreUnavailableError('injected')
        if self.stored.epoch > self.epoch:
            raise StaleEpochError('injected')
        self.stored.epoch = self.epoch
        return tuple(self.stored.records.values())

    async def append(self, record):
        await asyncio.sleep(0.01)
        if self.stored.append_barrier is not None:
            await self.stored.append_barrier.wait()
        if self.stored.epoch > self.epoch:
            raise StaleEpochError('injected')
        if len(record.answer_json) > self.stored.answer_limit_bytes:
            raise MalformedMessageError('injected')
        fault = self.stored.faults.popleft() if self.stored.faults else None
        if fault == 'down' or self.stored.is_down:
            raise StoreUnavailableError('injected')
        if fault != 'late':
            self._write(record)
        if fault:
            self.outcomes[record] = fault == 'lost'
            raise OutcomeUnknownError('injected')

    async def resolve(self, record):
        await asyncio.sleep(0.5)
        return self.outcomes.pop(record)

    async def close(self):
        """Do nothing."""

    def _write(self, record):
        if record.kind == RecordKind.retired:
            self.stored.records.pop(record.request_id, None)
        else:
            self.stored.records[record.request_id] = record


class FakeQuotas:
    """Quotas that never change."""

    revision = 1

    def __init__(self, owner, context):
        self.owner = owner
        self.context = context

    async def run(self):
        quota = TeamQuota(share=1, allotment=Resources(999, 999000, 999000))
        self.context.scheduler.set_teams({'tine': quota, 'feed': quota})
        self.owner.has_limits.set()
        await asyncio.Event().wait()

    def granted(self, team):
        return Resources()


class Cell:
    """Workers, a journal and the successive owners of one partition.

    ``violations`` collects each breach of a guarantee that a worker sees, and
    ``failed_runs`` the runs of each request of which a task has failed.
    """

    def __init__(self, loop, worker_count=2, **options):
        self.clock = LoopClock(loop)
        self.journal = JournalStore()
        self.client = FakeWorkers(self)
        self.workers = {}
        self.starts = []
        self.failed_runs = collections.defaultdict(set)
        self.calls = collections.defaultdict(list)
        self.violations = []
        self.options = {
            'metrics': _METRICS,
            'result_retention_s': 3600,
            **options,
        }
        self.claim_valid_until_s = float('inf')
        self.epoch = 0
        self.owner = None
        self.closed = set()
        for number in range(worker_count):
            self.add_worker(f'w{number}')

    def __getitem__(self, info):
        return self.workers[info.name]

    def add_worker(self, name, slots=SLOTS):
        """Add a worker to the host list."""
        self.workers[name] = FakeWorker(self, name, slots)
        return self.workers[name]

    def record_start(self, worker, order):
        """Record a start and the guarantees that it violates."""
        self.starts.append((worker.name, order.task_id))
        if any(order.task_id in other.running for other in self.all_workers()):
            self.violations.append(f'{order.task_id} runs in two places')
        if len(worker.running) >= worker.capacity.slot_count:
            self.violations.append(f'{worker.name} is overcommitted')

    def record_failure(self, order):
        """Record the run of a failed task."""
        request_id = order.task_id.rpartition('/')[0]
        self.failed_runs[request_id].add((order.epoch, order.attempt))

    def all_workers(self):
        """Return all workers."""
        return tuple(self.workers.values())

    def workers_of(self, request_id):
        """Return the workers that run a task of a request."""
        return [
            worker.name
            for worker in self.all_workers()
            for name in worker.running
            if name.startswith(f'{request_id}/')
        ]

    def start_count(self, request_id):
        """Return how many starts of a request took effect."""
        return sum(f'{request_id}/' in name for _, name in self.starts)

    def new_owner(self):
        """Start an owner under a new epoch, without stopping the old one."""
        self.epoch += 1
        claim = Claim(
            domain='dom',
            partition=0,
            owner=f'd{self.epoch}',
            session_id=f's{self.epoch}',
            epoch=self.epoch,
        )
        context = OwnerContext(
            clock=self.clock,
            scheduler=IndexedScheduler({'batch': 50, 'short': 1}),
            journal=FakeJournal(self.journal, self.epoch),
            workers=self.client,
            claim_valid_until_s=self._claim_end_of(self.epoch),
            task_lease_s=LEASE_S,
            unadopted_wait_s=LEASE_S + 4,
            **self.options,
        )
        self.owner = Owner(claim, context)
        self.owner.quotas = FakeQuotas(self.owner, context)
        self.running = self.clock.loop.create_task(self.owner.run())
        self.publish_hosts()
        return self.owner

    def publish_hosts(self, without=()):
        """Pass the host list to the owner."""
        registrations = [
            worker.info
            for worker in self.all_workers()
            if worker.name not in without
        ]
        self.owner.workers.update(registrations, set(self.closed))

    async def stop_owner(self):
        """Kill the owner."""
        self.running.cancel()
        await asyncio.wait([self.running])

    async def replace_owner(self):
        """Kill the owner and let a successor take over."""
        await self.stop_owner()
        return self.new_owner()

    def spec(self, policy='batch', **fields):
        """Return a request with an id of the current epoch."""
        fields.setdefault('request_id', self.owner.issue_id())
        fields.setdefault('team', 'tine')
        fields.setdefault('queue', policy)
        fields.setdefault('expected_run_s', 5)
        return TaskSpec(
            workload='scan',
            policy=PolicyKind(policy),
            resources=Resources(1, 1000, 1000),
            **fields,
        )

    async def submit(self, spec):
        """Submit a request to the owner."""
        return await self.owner.submit(spec, body_hash_of(spec))

    async def start_owner(self):
        """Start an owner and wait until it has adopted its workers."""
        self.new_owner()
        await asyncio.sleep(0.5)

    async def final_answer(self, request_id, timeout_s=120):
        """Return the final answer, or the last one at the timeout."""
        end_s = self.clock.now_s() + timeout_s
        while True:
            left_s = max(0, end_s - self.clock.now_s())
            answer = await self.owner.wait(request_id, 'tine', left_s)
            if not (answer.can_retry and left_s):
                return answer
            await asyncio.sleep(0.1)

    def _claim_end_of(self, epoch):
        """Return a deadline that has passed as soon as there is a successor."""
        return lambda: self.claim_valid_until_s if epoch == self.epoch else 0


@pytest.fixture
def new_loop():
    """Return the class of the loop with virtual time."""
    return VirtualLoop


@pytest.fixture
def new_store():
    """Return the class of the store in memory."""
    return MemoryStore


@pytest.fixture
def new_cell():
    """Return the class of the simulated cell, for state machines."""
    return Cell


@pytest.fixture
def simulate():
    """Return a function that runs a scenario on a simulated cell."""

    def run_scenario(scenario, worker_count=2, **options):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            cell = Cell(runner.get_loop(), worker_count, **options)

            async def run_all():
                await cell.start_owner()
                await scenario(cell)
                assert not cell.violations
                await cell.stop_owner()

            runner.run(run_all())

    return run_scenario


@pytest.fixture
def logged():
    """Return a function that lists the log lines of an event."""
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield lambda event: [
            record.message
            for record in handler.records
            if f'event={event} ' in record.message
        ]


@pytest.fixture
def logged_ends(logged):
    """Return a function that lists the log lines for ends of requests."""
    return functools.partial(logged, 'request_end')
