"""Cell of one seed: stand-ins, relays, daemons, callers and faults."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import functools
import itertools
import json
import os
import random
import shutil
import socket
import time

import attrs
from aiohttp import web

from testbed import Relay
from tests.soak._callers import HOST, Callers, Load
from tests.soak._daemons import DaemonProcess
from tests.soak._faults import FaultInjector, FaultKind
from tests.soak._keep_alive import KeepAliveClients
from tests.soak._store import StoreStandIn
from tests.soak._workers import FleetStandIn
from tests.soak._world import InvariantChecker

_LEASE_S = 6
# Work of the longest job with long tasks, two steps of 16 s.
_LONGEST_JOB_S = 32
# Longer than the leases that daemons ask for.
_LONG_LEASE_S = 10
_POLL_INTERVAL_S = 0.05
# Busy keep-alive connections to each daemon during planned maintenance.
_KEEP_ALIVE_COUNT = 20
_TEAM_LIMITS = {'limited': 16000}
# Attempts of the jobs of a team in cells of failing gangs.
_GANG_ATTEMPTS = {'steady': 2, 'advised': 4}
_TEAMS = ('steady', 'limited', 'advised')
# A daemon starts within a second on an idle machine.
_START_TIMEOUT_S = 60
# Ports below the ephemeral range, in a separate block for each seed and
# process: no other process may take the port of a killed daemon.
_FIRST_PORT = 10000
_LAST_PORT = 30000
# A daemon takes four ports, a worker one; ports in use are skipped.
_PORTS_PER_PROCESS = 6
# Leases of 6 s, an election and the waiting jobs end well within this time.
_COMPLETION_TIMEOUT_S = 40


@attrs.frozen
class CellSize:
    """Number of daemons, each a process of its own, and of workers."""

    daemon_count: int = 3
    worker_count: int = 6

    def first_port(self, number):
        """Return the first of the ports of a numbered cell of this size."""
        port_count = _PORTS_PER_PROCESS * (
            self.daemon_count + self.worker_count
        )
        range_count = (_LAST_PORT - _FIRST_PORT) // port_count
        return _FIRST_PORT + number % range_count * port_count


_USUAL_SIZE = CellSize()


@attrs.define
class SeedReport:
    """Outcome of one seed.

    :ivar request_counts: requests on keep-alive connections by outcome.
    :ivar max_stall_s: see :class:`SoakCell`.
    """

    seed: int
    violations: list
    faults: list
    job_count: int
    start_count: int
    request_counts: dict
    max_stall_s: float

    def summary(self):
        """Return the outcome in one line."""
        rules = _format_counts(
            violation.partition(':')[0] for violation in self.violations
        )
        verdict = '; '.join((rules, *self.violations[:4])) if rules else 'sound'
        faults = _format_counts(self.faults)
        return (
            f'seed={self.seed} jobs={self.job_count} starts={self.start_count} '
            f'faults=({faults}) kept={self.request_counts} '
            f'stall_s={self.max_stall_s:.2f} verdict={verdict}'
        )


class SoakCell:
    """Stand-ins, relays and daemons that one seed runs against.

    :ivar max_stall_s: longest time in which the event loop of this process
        was blocked; what callers observe during a long stall says nothing
        about the daemons.
    :ivar daemon_limits: limits in the settings of the daemons that differ from
        the usual ones, by the parameters of :class:`DaemonProcess`.
    """

    def __init__(
        self,
        seed,
        directory,
        size=_USUAL_SIZE,
        lease_limit_s=_LEASE_S,
        max_attempts=None,
    ):
        """Create an empty directory and the stand-ins.

        :param lease_limit_s: longest lease that the workers grant.
        :param max_attempts: see :class:`InvariantChecker`.
        """
        self.size = size
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        self.directory = directory
        self.random = random.Random(seed)
        self.checker = InvariantChecker(_TEAM_LIMITS, max_attempts)
        self.store = StoreStandIn(seed)
        self.fleet = FleetStandIn(self.checker, self.store, seed, lease_limit_s)
        self.daemons = []
        self.daemon_limits = {}
        self.store_relays = []
        self.worker_relays = []
        self.frontends = []
        self._runners = []
        self._tasks = []
        self.max_stall_s = 0
        self._versions = itertools.count(1)
        first_port = size.first_port(os.getpid() * 7 + seed)
        self._ports = filter(_is_free, itertools.count(first_port))

    async def start(self):
        """Start the stand-ins and the daemons, and wait for the daemons."""
        self.write_config()
        advice_port = await self._serve(self.fleet.advise)
        for number in range(self.size.worker_count):
            worker = self.fleet.add(f'w{number}')
            relay = await self._relay(await self._serve(worker.serve))
            worker.address = f'127.0.0.1:{relay.port}'
            self.worker_relays.append(relay)
        self._tasks.append(asyncio.create_task(self.fleet.send_heartbeats()))
        self._tasks.append(asyncio.create_task(self._measure_stalls()))
        for index in range(self.size.daemon_count):
            await self._add_daemon(index, advice_port)
        async with asyncio.timeout(_START_TIMEOUT_S):
            await asyncio.gather(*map(_wait_until_listening, self.frontends))

    def write_config(self, *, has_spare=False, idle_timeout_s=15):
        """Write the next version of the configuration."""
        teams = _TEAMS + ('spare',) * has_spare
        config = _build_config(teams, self.checker.attempts_of)
        config['version'] = next(self._versions)
        config['limits'] = {'idleTimeoutMs': idle_timeout_s * 1000}
        self.store.write('op/config', json.dumps(config).encode())

    async def close(self):
        """End all started processes and servers."""
        for task in self._tasks:
            task.cancel()
        for ended in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(ended, Exception):
                self._record_error(ended)
        for daemon in self.daemons:
            await daemon.kill()
        for relay in (*self.store_relays, *self.worker_relays):
            await relay.close()
        for runner in self._runners:
            await runner.cleanup()
        log_path = self.directory / 'workers.log'
        log_path.write_text(''.join(self.fleet.log_lines))

    async def _measure_stalls(self):
        """Measure the longest stall of the stand-ins and callers."""
        while True:
            started_at_s = time.monotonic()
            await asyncio.sleep(_POLL_INTERVAL_S)
            late_s = time.monotonic() - started_at_s - _POLL_INTERVAL_S
            self.max_stall_s = max(self.max_stall_s, late_s)

    async def _add_daemon(self, number, advice_port):
        serve_store = functools.partial(self.store.serve, number)
        relay = await self._relay(await self._serve(serve_store))
        self.store_relays.append(relay)
        link, frontend, ready = (next(self._ports) for _ in range(3))
        daemon = DaemonProcess(
            f'd{number}',
            self.directory,
            link=link,
            frontend=frontend,
            ready=ready,
            store=f'127.0.0.1:{relay.port}',
            advice=f'127.0.0.1:{advice_port}',
            lease_limit_ms=self.fleet.lease_limit_s * 1000,
            **self.daemon_limits,
        )
        self.daemons.append(daemon)
        self.frontends.append(f'127.0.0.1:{frontend}')
        self._tasks.append(asyncio.create_task(daemon.run()))

    def _record_error(self, error):
        """Record an error of a stand-in, which makes the seed void."""
        self.checker.record_violation('stand-in', repr(error))

    async def _serve(self, handler):
        async def serve(request):
            try:
                return await handler(request)
            except (LookupError, TypeError, ValueError) as error:
                self._record_error(error)
                raise

        runner = web.ServerRunner(
            web.Server(serve, access_log=None),
            shutdown_timeout=0.1,
        )
        await runner.setup()
        self._runners.append(runner)
        port = next(self._ports)
        await web.TCPSite(runner, '127.0.0.1', port).start()
        return port

    async def _relay(self, port):
        relay = Relay(port)
        await relay.start()
        return relay


def _format_counts(names):
    """Return how often each name occurs."""
    counts = sorted(collections.Counter(names).items())
    return ' '.join(f'{name}:{count}' for name, count in counts)


def _is_free(port):
    """Tell whether no process listens at a port.

    The block of another soak that runs at the same time may be the same one.
    """
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


async def _wait_until_listening(address):
    """Wait until a daemon accepts connections."""
    host, _, port = address.partition(':')
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        await asyncio.sleep(_POLL_INTERVAL_S)


async def run_seed(
    seed, directory, seconds, kind=FaultKind.ANY, size=_USUAL_SIZE
):
    """Run one seed and return its outcome.

    :param kind: kind of the faults to inject.
    """
    has_long_tasks = kind.has_long_tasks
    cell = SoakCell(
        seed,
        directory,
        size,
        _LONG_LEASE_S if has_long_tasks else _LEASE_S,
        _GANG_ATTEMPTS if kind is FaultKind.FAILING_GANGS else None,
    )
    callers = Callers(
        cell.checker, cell.frontends, cell.random, _choose_load(kind)
    )
    keep_alive = KeepAliveClients(callers, random.Random(seed + 2))
    faults = FaultInjector(cell, random.Random(seed + 1), kind)
    await callers.open()
    try:
        await cell.start()
        await asyncio.gather(
            callers.submit_jobs(seconds),
            faults.run(seconds),
            keep_alive.run(
                cell.frontends,
                _KEEP_ALIVE_COUNT * (kind is FaultKind.PLANNED),
                seconds,
            ),
        )
        await callers.wait_for_completion(
            _COMPLETION_TIMEOUT_S + has_long_tasks * _LONGEST_JOB_S
        )
        _check_cancelled_jobs(cell.checker)
    finally:
        await callers.close()
        await cell.close()
    return SeedReport(
        seed=seed,
        violations=cell.checker.violations,
        faults=faults.injected,
        job_count=len(cell.checker.jobs),
        start_count=cell.checker.start_count,
        request_counts=dict(keep_alive.request_counts),
        max_stall_s=cell.max_stall_s,
    )


def _choose_load(kind):
    if kind.has_long_tasks:
        # There are short tasks to start all the while.
        return Load(jobs_per_s=3, long_share=0.3)
    if kind is FaultKind.FAILING_GANGS:
        # Each job runs up to three times as long as it would.
        return Load(
            jobs_per_s=5, gang_share=0.7, wide_share=0.2, second_gang_share=0.3
        )
    return Load()


def _check_cancelled_jobs(checker):
    """Check that no cancelled job runs once the faults are over."""
    for run in checker.active_runs:
        job = checker.jobs[run.task[0]]
        if job.cancelled_at_s:
            checker.record_violation(
                'unasked', f'{run.task} of a cancelled job runs'
            )


def _build_config(teams, attempts_of):
    queue = {
        'host': HOST,
        'service': 'passes',
        'priority': 1,
        'stretchFactor': 3,
        'targetDurationMs': 5000,
    }
    queues = [
        {
            **queue,
            'name': team,
            'prefix': f'/{team}/',
            'maxAttempts': attempts_of(team),
        }
        for team in teams
    ]
    queues[2]['recommendation'] = {
        'decideMs': 20,
        'periodMs': 1,
        'validMs': 2500,
    }
    return {
        'routes': queues,
        'services': [{'name': 'passes'}],
        'tenants': [
            {
                'name': team,
                'apiKeys': [f'key-{team}'],
                'weight': 50,
                'maxCount': {'cpu': _TEAM_LIMITS.get(team, 0)},
            }
            for team in teams
        ],
    }
