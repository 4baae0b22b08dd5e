"""Stand-ins of the workers and of the placement service."""

import asyncio
import itertools
import json
import time

from aiohttp import web

HEARTBEAT_S = 1.5
HOLD_MAX_S = 10
STOP_S = 0.15
_POLL_INTERVAL_S = 0.01
_MAX_LISTED = 500


class Run:
    """One run of a task.

    :ivar how: how it ends at ``ends_at_s``, unless the lease ends first.
    """

    def __init__(self, worker, task, attempt, work_s):
        """Start the run."""
        self.worker = worker
        self.task = task
        self.attempt = attempt
        self.started_at_s = time.monotonic()
        self.ends_at_s = self.started_at_s + work_s
        self.how = 'done'
        self.is_stopping = False


class Worker:
    """A worker that keeps a fence, a lease, attempts and numbered ends.

    :ivar is_busy: whether it answers 503 to starts, and does nothing.
    :ivar address: where it serves calls now.
    """

    def __init__(self, worker_id, fleet, *, kind='a', rack='r1', cpu=4000):
        """Create a worker; :meth:`start` opens it."""
        self.worker_id = worker_id
        self.kind = kind
        self.rack = rack
        self.cpu = cpu
        self.is_busy = False
        self.is_up = False
        self.address = ''
        self.runs = []
        self.starts = []
        self._fleet = fleet
        self._runner = None

    async def start(self, port=0):
        """Start an incarnation, which knows nothing of earlier ones."""
        self.runs = []
        self.born = time.time_ns() // 1_000_000
        self._started_at_s = time.monotonic()
        self._fence = 0
        self._deadline_ms = 0
        self._closed = {}
        self._ends = []
        self._numbers = itertools.count(1)
        self._sequence = itertools.count(1)
        self._runner = web.ServerRunner(
            web.Server(self._serve, access_log=None), shutdown_timeout=0
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, '127.0.0.1', port, reuse_address=True
        )
        await site.start()
        opened = self._runner.addresses[0]
        self.address = f'{opened[0]}:{opened[1]}'
        self.is_up = True
        self._fleet.record.write(
            'worker_starts',
            worker=self.worker_id,
            address=self.address,
            born=self.born,
        )
        self.report()

    async def crash(self):
        """End the incarnation and everything that runs on it."""
        self._fleet.record.write('worker_crashes', worker=self.worker_id)
        for run in self.runs:
            self._fleet.record.write(
                'run_lost', worker=self.worker_id, task=run.task,
                attempt=run.attempt,
            )
        await self.close()

    async def close(self):
        """End the incarnation without a word."""
        self.is_up = False
        self.runs = []
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    def report(self):
        """Write the entry of the worker into the store."""
        self.reported_at_s = time.monotonic()
        entry = {
            'service': 'passes',
            'address': self.address,
            'zone': 'east',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'capacity': {'cpu': self.cpu, 'memMb': 16000, 'gpu': 0},
            'labels': [self.kind, self.rack],
            'clockMs': self.clock_ms(),
            'sequence': next(self._sequence),
            'born': self.born,
        }
        self._fleet.store.write(
            f'servers/{self.worker_id}', json.dumps(entry).encode()
        )

    def clock_ms(self):
        """Return the worker's steady clock."""
        return round((time.monotonic() - self._started_at_s) * 1000)

    def update(self):
        """End the runs whose time or whose lease is over."""
        if not self.is_up:
            return
        now_s = time.monotonic()
        if self._deadline_ms and self.clock_ms() > self._deadline_ms:
            for lapsed in tuple(self.runs):
                self._end(lapsed, 'lapsed')
        for run in tuple(self.runs):
            if now_s >= run.ends_at_s:
                self._end(run, run.how)

    async def _serve(self, request):
        body = await request.json()
        name = request.path.removeprefix('/currantreach/')
        if request.headers.get('X-Expect-Instance') != self.worker_id:
            return web.Response(status=421)
        self.update()
        if name == 'hold':
            return await self._hold(body)
        status, reason = self._order(name, body)
        self._fleet.record.write(
            name, worker=self.worker_id, task=body['task'],
            attempt=body['attempt'], fence=body.get('fencingToken', 0),
            status=status, reason=reason,
        )
        if status in {429, 503}:
            return web.Response(status=status)
        answer = {'clockMs': self.clock_ms(), 'born': self.born}
        if reason:
            answer['reason'] = reason
        return web.json_response(answer, status=status)

    def _order(self, name, body):
        if name == 'run-start' and self.is_busy:
            return 503, ''
        if body.get('fencingToken', 0) < self._fence:
            return 409, 'fence'
        self._fence = body.get('fencingToken', 0)
        if name == 'run-stop':
            return self._stop(body)
        return self._start(body)

    def _start(self, body):
        task, attempt = body['task'], body['attempt']
        self._extend(body['deadlineMs'])
        present = [run for run in self.runs if run.task == task]
        if any(run.attempt == attempt for run in present):
            return 200, ''
        if present or attempt <= self._closed.get(task, 0):
            return 409, 'old'
        if body['deadlineMs'] <= self.clock_ms():
            return 409, 'late'
        run = Run(self, task, attempt, _work_s(body['spec']))
        self.runs.append(run)
        self.starts.append(run)
        self._fleet.handle_start(run)
        return 200, ''

    def _stop(self, body):
        task, attempt = body['task'], body['attempt']
        self._closed[task] = max(attempt, self._closed.get(task, 0))
        for run in self.runs:
            if run.task == task and run.attempt <= attempt:
                run.ends_at_s = min(
                    run.ends_at_s, time.monotonic() + STOP_S
                )
                run.how = 'stopped'
                run.is_stopping = True
        return 200, ''

    async def _hold(self, body):
        if body.get('fencingToken', 0) < self._fence:
            return web.json_response(
                {'clockMs': self.clock_ms(), 'born': self.born,
                 'reason': 'fence'},
                status=409,
            )
        self._fence = body.get('fencingToken', 0)
        if 'deadlineMs' in body:
            self._extend(body['deadlineMs'])
        through = body.get('ackedThrough', 0)
        self._ends = [end for end in self._ends if end[0] > through]
        end_s = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self._ends and time.monotonic() < end_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self.update()
        return web.json_response(
            {
                'clockMs': self.clock_ms(),
                'born': self.born,
                'active': [
                    [run.task, run.attempt, '', 50, 0] for run in self.runs
                ],
                'finished': self._ends[:_MAX_LISTED],
            },
        )

    def _extend(self, deadline_ms):
        latest_ms = self.clock_ms() + HOLD_MAX_S * 1000
        self._deadline_ms = max(
            self._deadline_ms, min(deadline_ms, latest_ms)
        )

    def _end(self, run, how):
        self.runs.remove(run)
        self._closed[run.task] = max(
            run.attempt, self._closed.get(run.task, 0)
        )
        self._ends.append(
            [next(self._numbers), run.task, run.attempt, how, '']
        )
        self._fleet.record.write(
            'run_ends', worker=self.worker_id, task=run.task,
            attempt=run.attempt, how=how,
        )


def _work_s(spec):
    """Return how long the tasks of a job work: the first word of its spec."""
    return float(spec.split()[0])


class Fleet:
    """All workers and the placement service."""

    def __init__(self, store, record):
        """Create an empty fleet."""
        self.store = store
        self.record = record
        self.workers = {}

    async def add(self, worker_id, **options):
        """Start a worker."""
        worker = Worker(worker_id, self, **options)
        self.workers[worker_id] = worker
        await worker.start()

    def runs(self):
        """Return everything that runs now."""
        return [run for each in self.workers.values() for run in each.runs]

    def starts(self):
        """Return everything that was ever started."""
        return [run for each in self.workers.values() for run in each.starts]

    def handle_start(self, run):
        """Record the start of a run."""
        self.record.write(
            'run_starts', worker=run.worker.worker_id, task=run.task,
            attempt=run.attempt,
        )

    async def keep(self):
        """Send heartbeats, and drop the entries of silent workers."""
        while True:
            now_s = time.monotonic()
            for worker_id, worker in self.workers.items():
                worker.update()
                if worker.is_up and now_s >= worker.reported_at_s + HEARTBEAT_S:
                    worker.report()
                if now_s >= worker.reported_at_s + 3 * HEARTBEAT_S:
                    self.store.remove(f'servers/{worker_id}')
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def advise(self, request):
        """Answer a call for advice: every worker may run every step."""
        body = await request.json()
        await asyncio.sleep(0.01)
        self.record.write(
            'advise', step=body['stepId'], workers=len(body['workers'])
        )
        return web.json_response(
            {'allowed': [[name, f't-{name}'] for name in body['workers']]}
        )
