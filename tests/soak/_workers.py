"""Stand-ins for the workers and the placement service."""

from __future__ import annotations

import asyncio
import datetime
import itertools
import json
import random
import time
import weakref
import zlib

from aiohttp import web

HEARTBEAT_INTERVAL_S = 0.4
# A worker is unlisted after three missed heartbeats.
LISTING_TTL_S = 3 * HEARTBEAT_INTERVAL_S
STOP_DELAY_S = 0.2
GANG_TIMEOUT_S = 3
# The placement service allows one certain worker and seven in ten others.
ALLOWED_TENTHS = 7
_POLL_INTERVAL_S = 0.02
_TICKET_TTL_S = 2.5


def parse_task(name):
    """Return the job id, occurrence, step and index of a task name."""
    job_id, *numbers = name.split('.')
    return (job_id, *map(int, numbers))


def _format_task(task):
    return '.'.join(map(str, task))


class WorkerStandIn:
    """Worker with a fencing token, a lease, attempts and numbered ends.

    :ivar delayed_start_share: share of the starts that are not answered and
        take effect seconds later, unless the worker has restarted meanwhile.
    :ivar stray_call_share: share of all calls that are not answered and take
        effect seconds later, also in an instance that has started meanwhile.
    :ivar lost_answer_share: share of the calls whose answer is lost.
    :ivar jitter_s: longest delay of a call and of its answer; calls and answers
        of different connections overtake each other.
    :ivar failing_share: share of the runs that start now which fail.
    :ivar connections: instance that was first called on each connection.
    :ivar clock_rate: rate of the clock of the worker, which is up to 2 % slow.
    :ivar born: start of the present instance, in milliseconds.
    :ivar closed_attempts: highest stopped or ended attempt of each task;
        starts up to it are refused.
    :ivar unacknowledged_ends: number, run and outcome of each end that the
        leader has not acknowledged.
    :ivar last_lapsed_end: number of the last end that was unacknowledged when
        a lease expired; failures up to it need not count.
    """

    def __init__(self, name, fleet):
        """Start the first instance."""
        self.name = name
        self.fleet = fleet
        self.cpu = 8000
        self.delayed_start_share = 0
        self.stray_call_share = 0
        self.lost_answer_share = 0
        self.jitter_s = 0
        self.failing_share = 0
        self.connections = weakref.WeakKeyDictionary()
        self.is_up = True
        self.dark_until = None
        self.silent_instances = set()
        self.is_draining = False
        self.address = ''
        self.clock_rate = 1 - 0.02 * fleet.random.random()
        self.sequence = 0
        self.start_instance()

    def start_instance(self):
        """Start a new instance without the state of the previous one."""
        for run in self._own_runs():
            self.fleet.record_end(run, 'lost')
            self.log('end', run, outcome='lost')
        self.born = round(time.time() * 1000)
        self.started_at_s = time.monotonic()
        self.fencing_token = 0
        self.lease_deadline_ms = 0
        self.closed_attempts = {}
        self.unacknowledged_ends = []
        self.last_lapsed_end = 0
        self.end_numbers = itertools.count(1)
        self.log('instance_started')

    def crash(self):
        """End all runs and stay down."""
        self.is_up = False
        self.start_instance()

    async def restart(self, pause_s):
        """Restart behind a silent link.

        Calls under way get no answer. Those that are sent meanwhile reach the
        new instance, and their callers get no answer either. If the fleet
        closes connections, the calls on those of the former instance are lost
        with it, and only calls on new ones reach the new instance.
        """
        self.silent_instances.add(self.born)
        self.dark_until = asyncio.Event()
        self.crash()
        await asyncio.sleep(pause_s)
        self.is_up = True
        self.dark_until.set()
        self.dark_until = None

    def clock_ms(self):
        """Return the time of the slow clock since the instance started."""
        return round(
            (time.monotonic() - self.started_at_s) * 1000 * self.clock_rate
        )

    def build_report(self):
        """Return the next report for the list of workers."""
        self.sequence += 1
        return {
            'service': 'passes',
            'address': self.address,
            'zone': 'east',
            'version': '1',
            'slots': 8,
            'state': 'draining' if self.is_draining else 'ready',
            'sequence': self.sequence,
            'born': self.born,
            'capacity': {'cpu': self.cpu, 'memMb': 64000, 'gpu': 0},
            'labels': ['a', 'r1'],
        }

    def update_runs(self):
        """End the runs whose time or lease is over."""
        self.end_lapsed_runs()
        for run in self._own_runs():
            # The members of a gang end together.
            if run not in self.fleet.checker.active_runs:
                continue
            outcome = self.fleet.outcome(run, time.monotonic())
            if outcome:
                self.end_run(run, outcome)

    def end_lapsed_runs(self):
        """End all runs if the lease is over."""
        if self.lease_deadline_ms and self.clock_ms() > self.lease_deadline_ms:
            for lapsed in self._own_runs():
                self.end_run(lapsed, 'lapsed')
            self.last_lapsed_end = max(
                (end[0] for end in self.unacknowledged_ends),
                default=self.last_lapsed_end,
            )
            self.lease_deadline_ms = 0

    def log(self, event, run=None, **fields):
        """Record an event of the present instance for the log of the cell."""
        time_text = datetime.datetime.now(datetime.UTC).isoformat()[:-6]
        if run is not None:
            fields = {
                'task': _format_task(run.task),
                'attempt': run.attempt,
                **fields,
            }
        text = ' '.join(f'{name}={field}' for name, field in fields.items())
        self.fleet.log_lines.append(
            f'{time_text} {self.name}/{self.born} {event} {text}\n'
        )

    def end_run(self, run, outcome):
        """End a run and list its end until it is acknowledged."""
        self.fleet.record_end(run, outcome)
        self.log('end', run, outcome=outcome)
        self.closed_attempts[run.task] = max(
            run.attempt, self.closed_attempts.get(run.task, 0)
        )
        self.unacknowledged_ends.append((next(self.end_numbers), run, outcome))

    async def serve(self, request):
        """Answer one call."""
        if not self.is_up and self.dark_until is None:
            request.transport.abort()
        name = request.path.removeprefix('/currantreach/')
        body = await request.json()
        if request.transport is not None:
            self.connections.setdefault(request.transport, self.born)
        await self._jitter()
        if self._is_connection_of_former_instance(request.transport):
            if self.is_up:
                request.transport.abort()
            return await self._withhold_answer(request)
        if self.dark_until is not None:
            return await self._serve_new_instance(request, name, body)
        if request.headers['X-Expect-Instance'] != self.name:
            return web.Response(status=421)
        self.update_runs()
        if self._postpone(name, body):
            return await self._withhold_answer(request)
        born = self.born
        response = await self._execute(name, body)
        is_lost = self.fleet.random.random() < self.lost_answer_share
        if is_lost or born in self.silent_instances:
            return await self._withhold_answer(request)
        await self._jitter()
        return response

    async def _serve_new_instance(self, request, name, body):
        """Execute a call that arrives during a restart at the end of it."""
        await self.dark_until.wait()
        self.update_runs()
        response = await self._execute(name, body)
        if self.fleet.closes_connections:
            return response
        return await self._withhold_answer(request)

    async def _jitter(self):
        if self.jitter_s:
            await asyncio.sleep(self.fleet.random.uniform(0, self.jitter_s))

    def _is_connection_of_former_instance(self, transport):
        if transport is None or not self.fleet.closes_connections:
            return False
        return self.connections[transport] != self.born

    async def _withhold_answer(self, request):
        """Let the caller run into its timeout."""
        await asyncio.sleep(self.fleet.lease_limit_s)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    def _postpone(self, name, body):
        """Let a call take effect late, and tell whether it does."""
        random = self.fleet.random
        loop = asyncio.get_running_loop()
        if name == 'run-start' and random.random() < self.delayed_start_share:
            loop.call_later(random.uniform(2, 8), self._start, body, self.born)
            return True
        if random.random() < self.stray_call_share:
            loop.call_later(
                random.uniform(2, 12),
                self._execute_stray,
                name,
                body,
                self.born,
            )
            return True
        return False

    def _execute_stray(self, name, body, born):
        if not self.is_up:
            return
        if name == 'run-start':
            outcome = self._start(body, self.born)
        elif name == 'run-stop':
            outcome = self._stop(body)
        else:
            outcome = self._renew_lease(body)
        self.log('late_call', name=name, sent_to=born, outcome=outcome, **body)

    async def _execute(self, name, body):
        if name == 'run-start':
            return self._answer(*self._start(body, self.born))
        if name == 'run-stop':
            return self._answer(*self._stop(body))
        if name == 'pace':
            return self._answer(*self._check_token(body))
        return await self._hold(body)

    def _start(self, body, born):
        self.update_runs()
        task = parse_task(body['task'])
        refusal = self._find_refusal(body, task, born)
        if refusal:
            return 409, refusal
        self.lease_deadline_ms = max(
            self.lease_deadline_ms, self._limit_deadline(body)
        )
        if any(run.task == task for run in self._own_runs()):
            return 200, ''
        run = self.fleet.checker.record_start(
            self,
            task,
            body['attempt'],
            body['spec'],
        )
        if run is None:
            return 400, 'unknown'
        self.log('start', run, token=self.fencing_token)
        self.fleet.plan_end(
            run, self.fleet.random.random() < self.failing_share
        )
        return 200, ''

    def _find_refusal(self, body, task, born):
        if born != self.born or not self.is_up:
            return 'old'
        if body.get('fencingToken', 0) < self.fencing_token:
            return 'fence'
        self.fencing_token = body['fencingToken']
        known_attempts = [
            run.attempt for run in self._own_runs() if run.task == task
        ]
        if body['attempt'] in known_attempts:
            return ''
        if known_attempts or body['attempt'] <= self.closed_attempts.get(
            task, 0
        ):
            return 'old'
        return self._find_admission_refusal(body, task)

    def _find_admission_refusal(self, body, task):
        if body['deadlineMs'] < self.clock_ms():
            return 'late'
        if not self.fleet.has_ticket(self, task, body.get('ticket', '')):
            return 'ticket'
        return ''

    def _check_token(self, body):
        if body.get('fencingToken', 0) < self.fencing_token:
            return 409, 'fence'
        self.fencing_token = body['fencingToken']
        return 200, ''

    def _stop(self, body):
        if body.get('fencingToken', 0) < self.fencing_token:
            return 409, 'fence'
        self.fencing_token = body['fencingToken']
        task = parse_task(body['task'])
        self.closed_attempts[task] = max(
            body['attempt'], self.closed_attempts.get(task, 0)
        )
        for run in self._own_runs():
            if run.task == task and run.attempt <= body['attempt']:
                self.fleet.schedule_stop(run, time.monotonic() + STOP_DELAY_S)
        return 200, ''

    def _renew_lease(self, body):
        """Renew the lease and tell whether the token is high enough."""
        if body.get('fencingToken', 0) < self.fencing_token:
            return False
        self.fencing_token = body['fencingToken']
        if 'deadlineMs' in body:
            self.lease_deadline_ms = max(
                self.lease_deadline_ms, self._limit_deadline(body)
            )
        self._acknowledge(body.get('ackedThrough', 0))
        return True

    async def _hold(self, body):
        if not self._renew_lease(body):
            return self._answer(409, 'fence')
        end_s = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self.unacknowledged_ends and time.monotonic() < end_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self.update_runs()
        listed_ends = self.unacknowledged_ends[:500]
        for _, run, outcome in listed_ends:
            self.log('list', run, outcome=outcome)
            self.fleet.checker.record_listed_end(run, outcome)
        return web.json_response(
            {
                'clockMs': self.clock_ms(),
                'born': self.born,
                'active': [
                    [_format_task(run.task), run.attempt, '', 50, 0]
                    for run in self._own_runs()
                ],
                'finished': [
                    [number, _format_task(run.task), run.attempt, outcome, '']
                    for number, run, outcome in listed_ends
                ],
            },
        )

    def _acknowledge(self, through):
        for number, run, outcome in self.unacknowledged_ends:
            if number > through:
                break
            self.log('acknowledge', run, outcome=outcome)
            if outcome == 'done' or number > self.last_lapsed_end:
                self.fleet.checker.record_acknowledged_end(run, outcome)
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end[0] > through
        ]

    def _limit_deadline(self, body):
        return min(
            body['deadlineMs'],
            self.clock_ms() + self.fleet.lease_limit_s * 1000,
        )

    def _answer(self, status, reason):
        fields = {'clockMs': self.clock_ms(), 'born': self.born}
        if reason:
            fields['reason'] = reason
        return web.json_response(fields, status=status)

    def _own_runs(self):
        return [
            run for run in self.fleet.checker.active_runs if run.worker is self
        ]


class FleetStandIn:
    """Workers, their entries in the store and the placement service.

    :ivar tickets: expiry of each ticket of the placement service.
    :ivar lease_limit_s: longest lease that the workers grant.
    :ivar log_lines: what the workers did, for the trace of a violation.
    :ivar closes_connections: whether the connections to an instance end with
        it, as those of a process do.
    """

    def __init__(self, checker, store, seed, lease_limit_s):
        """Start without workers."""
        self.lease_limit_s = lease_limit_s
        self.checker = checker
        self.store = store
        self.random = random.Random(seed)
        self.workers = {}
        self.tickets = {}
        self.log_lines = []
        self.closes_connections = False
        self._planned_ends = {}
        self._complete_gang_runs = set()
        self._broken_gang_runs = set()
        self._last_heartbeat_s = {}

    def add(self, name):
        """Add a worker."""
        self.workers[name] = WorkerStandIn(name, self)
        return self.workers[name]

    async def send_heartbeats(self):
        """Refresh the entries of the workers until cancelled."""
        while True:
            now_s = time.monotonic()
            for name, worker in self.workers.items():
                worker.update_runs()
                if worker.is_up and not self.store.failure_mode:
                    self._last_heartbeat_s[name] = now_s
                    report = json.dumps(worker.build_report()).encode()
                    self.store.write(f'servers/{name}', report)
                elif (
                    now_s > self._last_heartbeat_s.get(name, 0) + LISTING_TTL_S
                ):
                    self.store.remove(f'servers/{name}')
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def plan_end(self, run, is_failing):
        """Set when a run ends and with which outcome."""
        job = self.checker.jobs[run.task[0]]
        duration_s = job.steps[run.task[2]]['estimateMs'] / 1000
        outcome = 'failed' if is_failing or job.has_failing_spec() else 'done'
        self._planned_ends[run] = [run.started_at_s + duration_s, outcome]
        if (
            len(self._gang_members(run))
            == self.checker.find_step(run.task)['count']
        ):
            self._complete_gang_runs.add(_gang_run(run))

    def schedule_stop(self, run, end_s):
        """End a run as stopped at a time, or earlier."""
        planned_end = self._planned_ends[run]
        planned_end[0] = min(planned_end[0], end_s)
        planned_end[1] = 'stopped'

    def outcome(self, run, now_s):
        """Return the outcome of a run, empty while it is active."""
        end_s, outcome = self._planned_ends[run]
        step = self.checker.find_step(run.task)
        if outcome != 'stopped' and step.get('gang'):
            return self._gang_outcome(run, step, now_s)
        return outcome if now_s >= end_s else ''

    def record_end(self, run, outcome):
        """Record the end of a run, which breaks those of a working gang."""
        self.checker.record_end(run, outcome)
        if _gang_run(run) in self._complete_gang_runs:
            self._broken_gang_runs.add(_gang_run(run))

    def has_ticket(self, worker, task, ticket):
        """Tell whether a start has a valid ticket, if its queue needs one."""
        if self.checker.jobs[task[0]].team != 'advised':
            return True
        step = task[:3]
        expires_at_s = self.tickets.get(
            (worker.name, worker.born, step, ticket), 0
        )
        return time.monotonic() < expires_at_s

    async def advise(self, request):
        """Answer a call to the placement service."""
        body = await request.json()
        job_id, *numbers = body['stepId'].split('.')
        step = (job_id, *map(int, numbers))
        await asyncio.sleep(0.02 + 0.001 * len(body['workers']))
        allowed = []
        for name in body['workers']:
            worker = self.workers.get(name)
            if worker is not None and self._is_allowed(step, name):
                ticket = f't{self.random.randrange(10**9)}'
                key = name, worker.born, step, ticket
                self.tickets[key] = time.monotonic() + _TICKET_TTL_S
                allowed.append([name, ticket])
        return web.json_response({'allowed': allowed})

    def _is_allowed(self, step, name):
        """Tell whether the placement policy allows a step on a worker."""
        digest = zlib.crc32(str(step).encode())
        guaranteed = sorted(self.workers)[digest % len(self.workers)]
        drawn = zlib.crc32(f'{step}{name}'.encode()) % 10
        return name == guaranteed or drawn < ALLOWED_TENTHS

    def _gang_members(self, run):
        return [
            other
            for other in self.checker.active_runs
            if _gang_run(other) == _gang_run(run)
        ]

    def _gang_outcome(self, run, step, now_s):
        """Return the outcome of a member, and end a gang whose time is over."""
        if _gang_run(run) not in self._complete_gang_runs:
            waited_s = now_s - run.started_at_s
            return 'alone' if waited_s > GANG_TIMEOUT_S else ''
        members = self._gang_members(run)
        started_at_s = max(member.started_at_s for member in members)
        if now_s >= started_at_s + step['estimateMs'] / 1000:
            for member in members:
                member.worker.end_lapsed_runs()
            if _gang_run(run) not in self._broken_gang_runs:
                self._end_gang(members)
        is_broken = _gang_run(run) in self._broken_gang_runs
        return 'broken' if is_broken and run in self.checker.active_runs else ''

    def _end_gang(self, members):
        """End all members together, as done or by the faults of some."""
        faulty = [
            member
            for member in members
            if self._planned_ends[member][1] == 'failed'
        ]
        failed = self.random.sample(
            faulty, self.random.randint(min(1, len(faulty)), len(faulty))
        )
        self.random.shuffle(members)
        for member in members:
            outcome = 'done'
            if failed:
                outcome = 'failed' if member in failed else 'broken'
            member.worker.end_run(member, outcome)


def _gang_run(run):
    return (*run.task[:3], run.attempt)
