"""A small deployment: stand-ins, daemons as processes, and clients."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import tempfile

import aiohttp
from aiohttp import web

from standin_record import Record
from standin_relay import SlowRelay
from standin_store import Store
from standin_workers import Fleet

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = 'nony24.example'
# What deploy/system.toml runs.
COMMAND = ('python3', '-m', 'currantreach_adapter')
START_TIMEOUT_S = 30
DAEMON_COUNT = 3
TIME_LIMIT_S = 110
MEMORY_MB = 300
_MEMORY_CHECK_S = 0.02
_BYTES_PER_MB = 1_000_000
# The platform starts an ended process again after a short delay.
RESTART_DELAY_S = 0.3
GRACE_S = 6
FINISH_S = 14
VISIBLE_S = 3
CONTACT_S = 3

_SETTINGS = """
nodeName = "{name}"
role = "daemon"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "east"
region = "all"
internalPorts = [{link},{link}]
seedNodes = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entrypoint = "vip"
heartbeatMs = 1500
commands = "invoke"
recommendation = "{advice}"
[zones]
east = "all"
[listenAddrs]
frontend = "127.0.0.1:{frontend}"
ready = "127.0.0.1:{ready}"
[limits]
cpuQuota = 0.537
cpuCores = 2
memoryMb = {memory_mb}
maxFds = 4200
linkMbps = {link_mbps}
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regionLosses = 0
[bounds]
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
quotaOverage = 0.1
holdMaxMs = 10000
stopGraceMs = 200
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
leaseMs = 3000
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Daemon:
    """A daemon process, which is started again whenever it ends."""

    def __init__(self, name, directory, record, **addresses):
        """Write its settings file."""
        self.name = name
        self.frontend = addresses['frontend']
        self.ready = addresses['ready']
        self.restart_delay_s = RESTART_DELAY_S
        self.memory_kills = 0
        self.log_path = directory / f'{name}.log'
        self._addresses = addresses
        self._path = directory / f'{name}.toml'
        self._record = record
        self._child = None
        self.write_settings()

    def write_settings(self, **changed):
        """Write the settings file, with some changed addresses."""
        self._addresses.update(changed)
        self._path.write_text(
            _SETTINGS.format(
                name=self.name, memory_mb=MEMORY_MB, **self._addresses
            )
        )

    async def run(self):
        """Start the process, again and again, until cancelled."""
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'CURRANTREACH_CONFIG': str(self._path),
        }
        while True:
            with self.log_path.open('ab') as log:
                self._child = await asyncio.create_subprocess_exec(
                    *COMMAND, env=environment, cwd=ROOT, stdout=log, stderr=log
                )
            self._record.write(
                'daemon_starts', daemon=self.name, pid=self._child.pid
            )
            guard = asyncio.create_task(self._limit_memory(self._child.pid))
            code = await self._child.wait()
            guard.cancel()
            self._record.write('daemon_ended', daemon=self.name, code=code)
            await asyncio.sleep(self.restart_delay_s)

    async def _limit_memory(self, pid):
        """Kill the process once it exceeds its memory, as the platform does."""
        page_bytes = os.sysconf('SC_PAGE_SIZE')
        statm = pathlib.Path(f'/proc/{pid}/statm')
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(_MEMORY_CHECK_S)
                resident_mb = (
                    int(statm.read_text().split()[1])
                    * page_bytes
                    / _BYTES_PER_MB
                )
                if resident_mb > MEMORY_MB:
                    self.memory_kills += 1
                    self._record.write(
                        'memory_exceeded', daemon=self.name,
                        resident_mb=round(resident_mb),
                    )
                    self.send(signal.SIGKILL)
                    return

    def send(self, number):
        """Send a signal to the process."""
        if self._child is not None and self._child.returncode is None:
            self._record.write(
                'signal', daemon=self.name, signal=signal.Signals(number).name
            )
            with contextlib.suppress(ProcessLookupError):
                self._child.send_signal(number)

    async def end(self):
        """Kill the process."""
        if self._child is not None and self._child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._child.kill()
            await self._child.wait()


class Cell:
    """Stand-ins, daemons and clients of one case.

    :ivar record: what was sent, answered and run.
    """

    def __init__(self, record_path):
        """Create the stand-ins."""
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.fleet = Fleet(self.store, self.record)
        self.daemons = []
        self.advice_address = ''
        self._config = {}
        self._directory = tempfile.TemporaryDirectory(prefix='review-')
        self._runners = []
        self._relays = []
        self._tasks = []
        self._session = None

    async def start(self, routes, tenants, *, slow_link_mbps=0):
        """Start everything and wait until all daemons are ready.

        :param slow_link_mbps: bandwidth of the last daemon's link, 0 for that
            of the others.
        """
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=3)
        )
        self.write_config(
            version=0,
            routes=[make_route(**route) for route in routes],
            services=[{'name': 'passes', 'enforceCapacity': False}],
            tenants=tenants,
            limits={},
        )
        store_address = await self.serve(self.store.serve)
        self.advice_address = await self.serve(self.fleet.advise)
        self._tasks.append(asyncio.create_task(self.fleet.keep()))
        directory = pathlib.Path(self._directory.name)
        for number in range(DAEMON_COUNT):
            link, frontend, ready = _free_ports(3)
            link_mbps, reached_address = 1000.0, store_address
            if slow_link_mbps and number == DAEMON_COUNT - 1:
                link_mbps = slow_link_mbps
                relay = SlowRelay(store_address, slow_link_mbps)
                reached_address = await relay.start()
                self._relays.append(relay)
            daemon = Daemon(
                f'edge-{number + 1}', directory, self.record,
                link=link, frontend=frontend, ready=ready,
                store=reached_address, advice=self.advice_address,
                link_mbps=link_mbps,
            )
            self.daemons.append(daemon)
            self._tasks.append(asyncio.create_task(daemon.run()))
        async with asyncio.timeout(START_TIMEOUT_S):
            for each in self.daemons:
                while not await self.is_ready(each):
                    await asyncio.sleep(0.1)
            while not self.leader():
                await asyncio.sleep(0.1)
        self.record.write('all_ready', leader=self.leader().name)

    def write_config(self, **changed):
        """Write the next version of the configuration as the operator."""
        self._config.update(changed)
        self._config['version'] += 1
        stored = json.dumps(self._config).encode()
        self.store.write('op/config', stored)
        self.record.write(
            'config_acknowledged',
            version=self._config['version'],
            routes=len(self._config['routes']),
            bytes=len(stored),
        )

    async def serve(self, handler):
        """Serve a stand-in on a free port and return its address."""
        runner = web.ServerRunner(
            web.Server(handler, access_log=None), shutdown_timeout=0
        )
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self._runners.append(runner)
        host, port = runner.addresses[0]
        return f'{host}:{port}'

    async def stop_serving(self, address):
        """Close a stand-in that :meth:`serve` has opened."""
        for runner in self._runners:
            if f'{runner.addresses[0][0]}:{runner.addresses[0][1]}' == address:
                for connection in runner.server.connections:
                    if connection.transport is not None:
                        connection.transport.abort()
                await runner.cleanup()
                self._runners.remove(runner)
                return

    async def is_ready(self, daemon):
        """Ask a daemon as the platform does."""
        url = f'http://127.0.0.1:{daemon.ready}/currantreach/readyz'
        try:
            async with self._session.get(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def leader(self):
        """Return the daemon that last wrote under a condition to the store.

        That is the one which the record of the leader names. It is read only
        to choose the daemon that a signal goes to.
        """
        item = self.store.items.get('cell/leader')
        if item is None:
            return None
        for daemon in self.daemons:
            if daemon.name.encode() in item['value']:
                return daemon
        return None

    async def call(self, method, path, *, key, daemon, body=None):
        """Send a client's call; return the status and the body.

        The status is 0 if there was no answer.
        """
        self.record.write(
            'call', method=method, path=path, daemon=daemon.name,
            body=json.dumps(body) if body else '',
        )
        headers = {'Host': HOST, 'Authorization': f'Bearer {key}'}
        url = f'http://127.0.0.1:{daemon.frontend}{path}'
        status, answer = 0, {}
        try:
            async with self._session.request(
                method, url, json=body, headers=headers
            ) as response:
                status = response.status
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as bad:
            self.record.write('no_answer', path=path, error=repr(bad))
        self.record.write(
            'answer', method=method, path=path, status=status,
            body=json.dumps(answer),
        )
        return status, answer

    def log_lines(self, *events):
        """Return the lines of the daemons' logs about some events."""
        found = []
        for daemon in self.daemons:
            for line in daemon.log_path.read_text().splitlines():
                if any(f'event={event} ' in f'{line} ' for event in events):
                    found.append(f'{daemon.name} {line}')
        return found

    async def close(self):
        """End all processes and servers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for daemon in self.daemons:
            await daemon.end()
        for worker in self.fleet.workers.values():
            if worker.is_up:
                await worker.close()
        for relay in self._relays:
            await relay.close()
        for runner in self._runners:
            await runner.cleanup()
        if self._session is not None:
            await self._session.close()
        self._directory.cleanup()


def make_route(name, **changed):
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': 'non_idempotent',
        'timeoutMs': 3000,
        'targetDurationMs': 1000,
        'priority': 1,
        'service': 'passes',
        'maxAttempts': 2,
        'stretchFactor': 2.2,
        'anonymous': False,
        **changed,
    }


def _free_ports(count):
    opened = [socket.socket() for _ in range(count)]
    for each in opened:
        each.bind(('127.0.0.1', 0))
    ports = [each.getsockname()[1] for each in opened]
    for each in opened:
        each.close()
    return ports


def play(case, record_path):
    """Run a case and return the exit code.

    :param case: coroutine function of the cell; returns what broke the rule,
        empty if it held. Raises ``CannotRunError`` if it could not tell.
    """
    return asyncio.run(_play(case, record_path))


class CannotRunError(Exception):
    """The case could not run."""


async def _play(case, record_path):
    cell = Cell(record_path)
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            broken = await case(cell)
    except Exception as error:
        cell.record.write('cannot_run', error=repr(error))
        return 2
    finally:
        await cell.close()
    cell.record.write('verdict', broken=broken or 'no')
    print(f'rule broken: {broken}' if broken else 'rule held')
    return 1 if broken else 0
