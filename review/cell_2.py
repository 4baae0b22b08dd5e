"""A small deployment on loopback addresses, for the scripts of cases 6 to 10.

The daemons are the real ones, started as the deploy file says. The store, the
workers and the clients are small stand-ins that follow the users' pages. All of
them write one line for each event to ``record.txt`` of their case.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'queue.example'
KEY = 'key-of-the-tenant'
# SYSTEM.md: the store takes 4 ms for an answer.
STORE_ANSWER_S = 0.004
# Bounds of the settings, as DEPLOY.md shows them.
BOUNDS = {
    'contactMs': 3000,
    'ackMs': 4000,
    'drainMs': 2000,
    'graceS': 6,
    'configApplyMs': 2000,
    'quotaOverage': 0.1,
    'holdMaxMs': 10000,
    'stopGraceMs': 200,
    'gangWaitMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'finish_s': 14,
    'status_s': 120,
    'noticeMs': 4500,
    'leaseMs': 3000,
}
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.5
_PORTS = iter(range(10_000 + os.getpid() * 50 % 20_000, 32_000))


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self._started_s = time.monotonic()
        self._file = path.open('w')

    def now_s(self):
        return time.monotonic() - self._started_s

    def add(self, who, text):
        self._file.write(f'{self.now_s():8.3f} {who} {text}\n')
        self._file.flush()


class Store:
    """The platform's store: keys, leases, watches and transactions."""

    def __init__(self, record):
        self.record = record
        self.answer_s = STORE_ANSWER_S
        self.items = {}
        self.revision = 1
        self.address = ''
        self._leases = {}
        self._lease_ids = itertools.count(1)
        self._history = []
        self._changed = asyncio.Event()

    def write(self, key, value, lease=0):
        self.revision += 1
        self._put(key, value, lease)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._drop(key)

    async def serve(self, request):
        await asyncio.sleep(self.answer_s)
        name, _, rest = request.path.removeprefix('/currantreach/').partition('/')
        return await getattr(self, '_' + name.replace('-', '_'))(request, rest)

    async def expire_leases(self):
        while True:
            for lease, (_, end_s) in tuple(self._leases.items()):
                if time.monotonic() > end_s:
                    self._end_lease(lease)
            await asyncio.sleep(0.01)

    async def _kv_key(self, request, _):
        key = request.query['key']
        if key not in self.items:
            return web.Response(status=404)
        return web.json_response({**self._row(key), 'at': self.revision})

    async def _kv_range(self, request, _):
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(request.query['prefix']) and key > after
        )
        return web.json_response({
            'items': [self._row(key) for key in keys[:500]],
            'hasMore': len(keys) > 500,
            'at': self.revision,
        })

    async def _kv_watch(self, request, _):
        prefix, after = request.query['prefix'], int(request.query['after'])
        end_s = time.monotonic() + int(request.query['waitMs']) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return web.json_response(
                    {'events': events, 'at': self.revision}
                )
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    async def _kv_txn(self, request, _):
        body = await request.json()
        expected = body.get('expectedRev', [])
        found = {
            row['key']: self.items.get(row['key'], {}).get('revision', 0)
            for row in expected
        }
        if any(found[row['key']] != row['revision'] for row in expected):
            rows = [
                self._row(key) if key in self.items
                else {'key': key, 'revision': 0}
                for key in found
            ]
            return web.json_response({'items': rows}, status=412)
        writes = body.get('write', [])
        if any(row.get('lease') and row['lease'] not in self._leases
               for row in writes):
            return web.Response(status=404)
        self.revision += 1
        for row in writes:
            self._put(
                row['key'], base64.b64decode(row['value']), row.get('lease', 0)
            )
        for key in body.get('remove', []):
            if key in self.items:
                self._drop(key)
        return web.json_response({'revision': self.revision})

    async def _kv_lease(self, request, _):
        ttl_ms = (await request.json())['ttlMs']
        lease = next(self._lease_ids)
        self._leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1000
        return web.json_response({'lease': lease, 'ttlMs': ttl_ms})

    async def _kv_keep(self, _, rest):
        lease = int(rest)
        if lease not in self._leases:
            return web.Response(status=404)
        ttl_ms = self._leases[lease][0]
        self._leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1000
        return web.json_response({'ttlMs': ttl_ms})

    async def _kv_lease_end(self, _, rest):
        self._end_lease(int(rest))
        return web.json_response({})

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return
        for key in [key for key in self.items
                    if self.items[key]['lease'] == lease]:
            self.remove(key)

    def _put(self, key, value, lease):
        created = self.items.get(key, {}).get('created', self.revision)
        self.items[key] = {
            'value': value,
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self._note(self._row(key))

    def _drop(self, key):
        del self.items[key]
        self._note({'key': key, 'revision': self.revision, 'deleted': True})

    def _note(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key):
        item = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(item['value']).decode(),
            'revision': item['revision'],
            'created': item['created'],
            'lease': item['lease'],
        }


class Run:
    """A run of a task on a worker."""

    def __init__(self, task, attempt, worker, step, started_s):
        self.task = task
        self.attempt = attempt
        self.worker = worker
        self.step = step
        self.started_s = started_s
        self.end_s = started_s + step['runS']
        self.how = step.get('how', 'done')


class Worker:
    """A worker: fencing token, lease, runs and numbered ends.

    Its clock is exact, it answers at once and it takes ``stop_s`` for a stop.
    """

    def __init__(self, cell, name, cpu, stop_s):
        self.cell = cell
        self.name = name
        self.cpu = cpu
        self.labels = ['a', 'r1-1']
        self.address = ''
        self.first_address = ''
        self.state = 'ready'
        self.is_lost = False
        self.is_cut = False
        self.runs = {}
        self._stop_s = stop_s
        self._born = round(time.time() * 1000)
        self._started_s = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._closed = {}
        self._ends = []
        self._numbers = itertools.count(1)
        self._sequence = 0
        self._ended = asyncio.Event()

    def clock_ms(self):
        return round((time.monotonic() - self._started_s) * 1000)

    def publish(self):
        self._sequence += 1
        report = {
            'service': 'grinding',
            'address': self.address,
            'zone': 'north',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldRemainingMs': 0,
            'capacity': {'cpu': self.cpu, 'memMb': 64000, 'gpu': 0},
            'labels': self.labels,
            'clockMs': self.clock_ms(),
            'born': self._born,
            'sequence': self._sequence,
        }
        if self.state == 'draining':
            report['drainRemainingMs'] = BOUNDS['drainMs']
        self.cell.store.write(
            f'servers/{self.name}', json.dumps(report).encode()
        )

    def update(self):
        """End the runs whose time or lease is over."""
        now_s = time.monotonic()
        is_lapsed = bool(self._lease_ms) and self.clock_ms() > self._lease_ms
        for run in tuple(self.runs.values()):
            if is_lapsed:
                self._end(run, 'lapsed')
            elif now_s >= run.end_s:
                self._end(run, run.how)
        if is_lapsed:
            self._lease_ms = 0

    def lose(self):
        """End for good, as a crash of its machine does."""
        self.is_lost = True
        self.cell.record.add(self.name, 'is lost for good')
        for run in tuple(self.runs.values()):
            self._end(run, 'lost')

    def cut(self, for_s):
        """Cut the worker off from all daemons; it runs on."""
        self.is_cut = True
        self.cell.record.add(self.name, f'is cut off for {for_s} s')
        asyncio.get_running_loop().call_later(for_s, self._heal)

    def _heal(self):
        self.is_cut = False
        self.cell.record.add(self.name, 'is reached again')

    async def restart(self, down_s):
        """Crash and start again under the same id, at another address."""
        self.lose()
        await asyncio.sleep(down_s)
        self.address = await self.cell.listen(self.serve_again)
        self.is_lost = False
        self._born = round(time.time() * 1000)
        self._started_s = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._closed = {}
        self._ends = []
        self._numbers = itertools.count(1)
        self._sequence = 0
        self.publish()
        self.cell.record.add(self.name, f'is back at {self.address}')

    async def serve(self, request):
        """Answer at the first address, where nobody is after a restart."""
        if self.is_lost or self.address != self.first_address:
            request.transport.abort()
            return web.Response(status=503)
        return await self.serve_again(request)

    async def serve_again(self, request):
        while self.is_cut:
            # Nothing is heard behind a cut; the caller gives up.
            await asyncio.sleep(0.02)
        if request.transport is None or request.transport.is_closing():
            return web.Response(status=503)
        born = self._born
        response = await self._carry_out(request)
        if self.is_lost or self._born != born:
            # The process that took the call has ended meanwhile.
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        return response

    async def _carry_out(self, request):
        if request.headers.get('X-Expect-Instance', self.name) != self.name:
            return web.Response(status=421)
        body = await request.json()
        self.update()
        name = request.path.removeprefix('/currantreach/')
        if body.get('fencingToken', 0) < self._token:
            return self._answer({'reason': 'fence'}, 409)
        self._token = body['fencingToken']
        if name == 'hold':
            return await self._hold(body)
        if name == 'run-start':
            return self._start(body)
        return self._stop(body)

    async def _hold(self, body):
        if 'deadlineMs' in body:
            self._extend(body['deadlineMs'])
        acked = body.get('ackedThrough', 0)
        for number, run, how in self._ends:
            if number <= acked:
                self.cell.record.add(
                    self.name, f'forgets {run.task} run {run.attempt} {how}'
                )
        self._ends = [end for end in self._ends if end[0] > acked]
        end_s = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self._ends and time.monotonic() < end_s:
            ended = self._ended
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(end_s - time.monotonic()):
                    await ended.wait()
        self.update()
        return self._answer({
            'active': [
                [run.task, run.attempt, '', 100, 0]
                for run in self.runs.values()
            ],
            'finished': [
                [number, run.task, run.attempt, how, '']
                for number, run, how in self._ends[:500]
            ],
        })

    def _start(self, body):
        task, attempt = body['task'], body['attempt']
        self._extend(body['deadlineMs'])
        known = self.runs.get(task)
        if known is not None and known.attempt == attempt:
            return self._answer({})
        if known is not None or attempt <= self._closed.get(task, 0):
            return self._answer({'reason': 'old'}, 409)
        if body['deadlineMs'] < self.clock_ms():
            return self._answer({'reason': 'late'}, 409)
        step = self.cell.step_of(task)
        run = Run(task, attempt, self, step, time.monotonic())
        self.cell.record.add(self.name, f'starts {task} run {attempt}')
        self.runs[task] = run
        self.cell.note_start(run)
        return self._answer({})

    def _stop(self, body):
        task, attempt = body['task'], body['attempt']
        self._closed[task] = max(attempt, self._closed.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt and run.how != 'stopped':
            self.cell.record.add(self.name, f'stops {task} run {run.attempt}')
            run.end_s = time.monotonic() + self._stop_s
            run.how = 'stopped'
        return self._answer({})

    def _extend(self, deadline_ms):
        limit_ms = self.clock_ms() + BOUNDS['holdMaxMs']
        self._lease_ms = max(self._lease_ms, min(deadline_ms, limit_ms))

    def _end(self, run, how):
        del self.runs[run.task]
        self._closed[run.task] = max(
            run.attempt, self._closed.get(run.task, 0)
        )
        self._ends.append((next(self._numbers), run, how))
        self.cell.record.add(
            self.name, f'ends {run.task} run {run.attempt} {how}'
        )
        self._ended.set()
        self._ended = asyncio.Event()
        self.cell.note_end(run, how)

    def _answer(self, fields, status=200):
        return web.json_response(
            {'clockMs': self.clock_ms(), 'born': self._born, **fields},
            status=status,
        )


class Daemon:
    """One daemon, started as the deploy file says."""

    def __init__(self, cell, name, directory, store_address):
        link, frontend, ready, control = (free_port() for _ in range(4))
        self.name = name
        self.frontend = f'127.0.0.1:{frontend}'
        self.ready = f'127.0.0.1:{ready}'
        self.log_path = directory / f'{name}.log'
        self._cell = cell
        self._settings = directory / f'{name}.toml'
        self._directory = directory
        self._child = None
        self._ports = link, control
        self._store_address = store_address
        self.write_settings()

    def write_settings(self):
        """Write the settings file, as the platform does when they change."""
        link, control = self._ports
        bounds = '\n'.join(f'{name} = {json.dumps(value)}'
                           for name, value in BOUNDS.items())
        more = '\n'.join(f'{name} = {json.dumps(value)}'
                         for name, value in self._cell.settings.items())
        self._settings.write_text(f"""
nodeName = "{self.name}"
role = "daemon"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "north"
region = "land"
internalPorts = [{link}, {link}]
seedNodes = []
bootstrap = true
discovery = "platform"
heartbeatMs = {round(HEARTBEAT_S * 1000)}
commands = "invoke"
{more}
[listenAddrs]
frontend = "{self.frontend}"
ready = "{self.ready}"
controlPlane = "127.0.0.1:{control}"
[limits]
cpuQuota = 1.0
cpuCores = 1
memoryMb = 300
maxFds = 1000
linkMbps = 1000.0
[bounds]
{bounds}
[platform]
address = "{self._store_address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
""")

    async def start(self):
        run = (ROOT / 'deploy' / 'system.toml').read_text()
        arguments = run.split('run = "')[1].split('"')[0].split()[1:]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CURRANTREACH_CONFIG'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log_path.open('ab') as log:
            self._child = await asyncio.create_subprocess_exec(
                sys.executable, *arguments,
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )
        self._cell.record.add(self.name, 'started')

    def reload(self):
        """Tell the daemon that its settings file has changed."""
        self._child.send_signal(signal.SIGHUP)
        self._cell.record.add(self.name, 'gets SIGHUP')

    async def kill(self):
        if self._child is not None and self._child.returncode is None:
            self._child.send_signal(signal.SIGKILL)
            await self._child.wait()
            self._cell.record.add(self.name, 'killed')

    def log_lines(self, event):
        if not self.log_path.exists():
            return []
        text = self.log_path.read_text(errors='replace')
        return [line for line in text.splitlines() if f'event={event} ' in line]


class Cell:
    """Store, workers, daemons and clients of one case.

    ``steps`` holds the steps of all submitted jobs; ``runS`` and ``how`` there
    say how long a task runs on its worker and how that ends.
    """

    def __init__(self, case):
        directory = pathlib.Path(case).resolve().parent
        self.record = Record(directory / 'record.txt')
        self.store = Store(self.record)
        self.workers = []
        self.daemons = []
        self.steps = {}
        # Settings of all daemons beside the usual ones.
        self.settings = {}
        self.starts = []
        self.on_start = lambda run: None
        self.on_end = lambda run, how: None
        self.answers = {}
        self._directory = pathlib.Path(tempfile.mkdtemp())
        self._runners = []
        self._tasks = []
        self._client = None

    def step_of(self, task):
        job_id, _, number, _ = task.split('.')
        return self.steps[job_id][int(number)]

    def note_start(self, run):
        self.starts.append(run)
        self.on_start(run)

    def note_end(self, run, how):
        self.on_end(run, how)

    async def lose(self, worker):
        """Lose a worker; its entry is removed after three heartbeats."""
        worker.lose()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove(f'servers/{worker.name}')

    def active_runs(self):
        for worker in self.workers:
            worker.update()
        return [run for worker in self.workers for run in worker.runs.values()]

    async def open(self, daemons, workers, config, worker_cpu=8000,
                   stop_s=0.18):
        self._client = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=3)
        )
        self.store.address = await self.listen(self.store.serve)
        self.store.write('op/config', json.dumps(config).encode())
        for number in range(workers):
            worker = Worker(self, f'i-{number}', worker_cpu, stop_s)
            worker.address = await self.listen(worker.serve)
            worker.first_address = worker.address
            self.workers.append(worker)
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        self._tasks.append(asyncio.create_task(self._beat()))
        self._tasks.append(asyncio.create_task(self._tick()))
        for number in range(daemons):
            daemon = Daemon(
                self, f'd{number}', self._directory, self.store.address
            )
            self.daemons.append(daemon)
            await daemon.start()
        await self.wait_for(self._are_ready, 20, 'the daemons are not ready')
        await self.wait_for(
            lambda: any(daemon.log_lines('recovered')
                        for daemon in self.daemons),
            20, 'there is no leader',
        )

    async def close(self):
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.kill()
        if self._client is not None:
            await self._client.close()
        for runner in self._runners:
            await runner.cleanup()
        if os.environ.get('KEEP'):
            shutil.copytree(self._directory, os.environ['KEEP'],
                            dirs_exist_ok=True)
        shutil.rmtree(self._directory, ignore_errors=True)

    async def listen(self, serve):
        runner = web.ServerRunner(
            web.Server(serve, access_log=None), shutdown_timeout=0.1
        )
        await runner.setup()
        self._runners.append(runner)
        port = free_port()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        return f'127.0.0.1:{port}'

    def leader(self):
        """Return the daemon that was elected last."""
        elected = [
            (line.split()[0], daemon)
            for daemon in self.daemons
            for line in daemon.log_lines('leadership_acquired')
        ]
        return max(elected, key=lambda pair: pair[0])[1]

    async def call(self, daemon, method, path, body=None):
        """Send one call as a client; return its status, 0 for no answer."""
        try:
            async with self._client.request(
                method, f'http://{daemon.frontend}{path}',
                json=body,
                headers={'Host': HOST, 'Authorization': f'Bearer {KEY}'},
            ) as response:
                answer = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer, status = repr(error).encode(), 0
        self.record.add(
            'client', f'{method} {path} at {daemon.name}: '
            f'{status} {answer[:80]!r}'
        )
        return status, answer

    async def submit(self, prefix, job_id, steps):
        """Hand a job in, at each daemon in turn, until one accepts it."""
        self.steps[job_id] = steps
        sent = [
            {name: value for name, value in step.items()
             if name not in {'runS', 'how'}}
            for step in steps
        ]
        for daemon in itertools.islice(itertools.cycle(self.daemons), 12):
            status, _ = await self.call(
                daemon, 'POST', prefix + job_id,
                {'spec': f'work of {job_id}', 'steps': sent},
            )
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError(f'job {job_id} was not accepted')

    async def cancel(self, prefix, job_id, daemons):
        """Cancel a job, at each daemon in turn, until one confirms it."""
        for daemon in itertools.islice(itertools.cycle(daemons), 20):
            status, _ = await self.call(daemon, 'DELETE', prefix + job_id)
            if status in {200, 410}:
                return status
            await asyncio.sleep(0.1)
        raise CannotRunError(f'the cancelling of {job_id} was not confirmed')

    async def state(self, prefix, job_id):
        for daemon in self.daemons:
            status, answer = await self.call(daemon, 'GET', prefix + job_id)
            if status == 200:
                return json.loads(answer)['state']
        return ''

    async def wait_for(self, condition, timeout_s, message):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.02)
        raise CannotRunError(message)

    async def _are_ready(self):
        for daemon in self.daemons:
            try:
                async with self._client.get(
                    f'http://{daemon.ready}/currantreach/readyz'
                ) as response:
                    if response.status != 200:
                        return False
            except (aiohttp.ClientError, TimeoutError, OSError):
                return False
        return True

    async def _beat(self):
        while True:
            for worker in self.workers:
                if not worker.is_lost:
                    worker.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick(self):
        while True:
            for worker in self.workers:
                worker.update()
            await asyncio.sleep(0.005)


def config(tenant_cpu=0, queues=None):
    """Return a configuration with one service and one tenant."""
    return {
        'version': 1,
        'routes': [
            {
                'name': name,
                'host': HOST,
                'prefix': f'/{name}/',
                'kind': 'non_idempotent',
                'timeoutMs': 3000,
                'service': 'grinding',
                'priority': priority,
                'maxAttempts': 4,
                'stretchFactor': 4.0,
                'targetDurationMs': 3000,
                'anonymous': False,
            }
            for name, priority in (queues or {'batch': 1}).items()
        ],
        'services': [{
            'name': 'grinding', 'healthPath': '/healthz', 'maxConns': 64,
            'protocol': 'h1', 'tls': False, 'enforceCapacity': False,
            'standby': False,
        }],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
        'tenants': [{
            'name': 'workshop', 'apiKeys': [KEY], 'priority': 1, 'weight': 16,
            'maxCount': {'cpu': tenant_cpu, 'memMb': 0, 'gpu': 0},
        }],
    }


def free_port():
    """Return a port that nobody listens at.

    It is below the range of ports that connections get by themselves, as no
    connection may take the port of a daemon that is down.
    """
    for port in _PORTS:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind(('127.0.0.1', port))
                return port
    raise CannotRunError('no port is free')


def main(case, play):
    """Play a case and exit with its result.

    ``play`` takes the cell and returns what broke the rule, empty if nothing
    did.
    """

    async def run():
        cell = Cell(case)
        try:
            async with asyncio.timeout(110):
                broken = await play(cell)
        except (CannotRunError, TimeoutError) as error:
            cell.record.add('case', f'could not run: {error!r}')
            print(f'could not run: {error!r}')
            return NOT_RUN
        finally:
            await cell.close()
        for text in broken:
            cell.record.add('case', f'BROKEN {text}')
        print('broken: ' + broken[0] if broken else 'held')
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
