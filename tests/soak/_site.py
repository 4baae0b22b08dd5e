"""One site of the soak: stand-ins, relays, daemons, callers and faults."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import time

import attrs
from aiohttp import web

from testbed import Relay
from tests.soak._callers import HOST, Callers
from tests.soak._daemons import Daemon
from tests.soak._faults import Faults
from tests.soak._kept import KeptConnections
from tests.soak._store import StoreStandIn
from tests.soak._workers import FleetStandIn
from tests.soak._world import MOST_ATTEMPTS, World

_DAEMONS = 3
_WORKERS = 6
_RATE = 8
_STALL_STEP_S = 0.05
# Connections to each daemon that are kept busy during planned work.
_KEPT = 20
_LIMITS = {'limited': 16000}
_TEAMS = ('steady', 'limited', 'advised')
# A daemon starts within a second on an idle machine.
_START_S = 60
# Ports below those that the kernel hands out, with a range for each seed and
# process: nobody else may take the port of a daemon that was killed.
_FIRST_PORT = 10000
_RANGES = 400
_RANGE_SIZE = 50
# Leases of 6 s, an election and the jobs that wait end well within this time.
_SETTLE_S = 40


@attrs.define
class Found:
    """What one seed showed."""

    seed: int
    broken: list
    faults: list
    jobs: int
    starts: int
    kept: dict
    stall_s: float

    def line(self):
        """Return the verdict in one line."""
        verdict = '; '.join(self.broken[:4]) or 'sound'
        return (
            f'seed={self.seed} jobs={self.jobs} starts={self.starts} '
            f'faults={len(self.faults)} kept={self.kept} '
            f'stall_s={self.stall_s:.2f} verdict={verdict}'
        )


class Site:
    """Everything that one seed plays with."""

    def __init__(self, seed, folder):
        """Prepare the parts.

        :ivar stall_s: longest time in which this process stood still; what
            callers saw during a long one says nothing of the daemons.
        """
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self.folder = folder
        self.random = random.Random(seed)
        self.world = World(_LIMITS)
        self.store = StoreStandIn(seed)
        self.fleet = FleetStandIn(self.world, self.store, seed)
        self.daemons = []
        self.store_relays = []
        self.worker_relays = []
        self.frontends = []
        self._runners = []
        self._tasks = []
        self.stall_s = 0
        self._versions = itertools.count(1)
        number = (os.getpid() * 7 + seed) % _RANGES
        self._ports = itertools.count(_FIRST_PORT + number * _RANGE_SIZE)

    async def open(self):
        """Start the stand-ins and the daemons."""
        self.configure()
        store_port = await self._serve(self.store.serve)
        advice_port = await self._serve(self.fleet.advise)
        for number in range(_WORKERS):
            worker = self.fleet.add(f'w{number}')
            relay = await self._relay(await self._serve(worker.serve))
            worker.address = f'127.0.0.1:{relay.port}'
            self.worker_relays.append(relay)
        self._tasks.append(asyncio.create_task(self.fleet.beat()))
        self._tasks.append(asyncio.create_task(self._note_stalls()))
        for index in range(_DAEMONS):
            await self._add_daemon(f'd{index}', store_port, advice_port)
        async with asyncio.timeout(_START_S):
            await asyncio.gather(*map(_listening, self.frontends))

    def configure(self, *, has_spare=False, idle_timeout_s=15):
        """Write the next version of the configuration."""
        config = _config(_TEAMS + ('spare',) * has_spare)
        config['version'] = next(self._versions)
        config['limits'] = {'idleTimeoutMs': idle_timeout_s * 1000}
        self.store.write('op/config', json.dumps(config).encode())

    async def close(self):
        """End all processes and servers that were started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for daemon in self.daemons:
            await daemon.end()
        for relay in (*self.store_relays, *self.worker_relays):
            await relay.close()
        for runner in self._runners:
            await runner.cleanup()

    async def _note_stalls(self):
        """Note how long the stand-ins and callers stood still at most."""
        while True:
            slept_at_s = time.monotonic()
            await asyncio.sleep(_STALL_STEP_S)
            late_s = time.monotonic() - slept_at_s - _STALL_STEP_S
            self.stall_s = max(self.stall_s, late_s)

    async def _add_daemon(self, name, store_port, advice_port):
        relay = await self._relay(store_port)
        self.store_relays.append(relay)
        link, frontend, ready = (next(self._ports) for _ in range(3))
        daemon = Daemon(
            name,
            self.folder,
            link=link,
            frontend=frontend,
            ready=ready,
            store=f'127.0.0.1:{relay.port}',
            advice=f'127.0.0.1:{advice_port}',
        )
        self.daemons.append(daemon)
        self.frontends.append(f'127.0.0.1:{frontend}')
        self._tasks.append(asyncio.create_task(daemon.run()))

    async def _serve(self, handler):
        runner = web.ServerRunner(
            web.Server(handler, access_log=None),
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


async def _listening(address):
    """Wait until a daemon takes connections."""
    host, _, port = address.partition(':')
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        await asyncio.sleep(_STALL_STEP_S)


async def play_seed(seed, folder, seconds, *, is_planned=False):
    """Play one seed and return what it showed.

    :param is_planned: play planned work only, during which no request ends
        without an answer.
    """
    site = Site(seed, folder)
    callers = Callers(site.world, site.frontends, site.random)
    kept = KeptConnections(callers, random.Random(seed + 2))
    faults = Faults(site, random.Random(seed + 1), is_planned=is_planned)
    await callers.open()
    try:
        await site.open()
        await asyncio.gather(
            callers.load(seconds, _RATE),
            faults.run(seconds),
            kept.load(site.frontends, _KEPT * is_planned, seconds),
        )
        await callers.settle(_SETTLE_S)
        _check_cancelled(site.world)
    finally:
        await callers.close()
        await site.close()
    return Found(
        seed=seed,
        broken=site.world.broken,
        faults=faults.played,
        jobs=len(site.world.jobs),
        starts=site.world.start_count,
        kept=dict(kept.counts),
        stall_s=site.stall_s,
    )


def _check_cancelled(world):
    """Nothing of a cancelled job runs once all is calm again."""
    for run in world.running:
        job = world.jobs[run.task[0]]
        if job.cancelled_at_s:
            world.breach('unasked', f'{run.task} of a cancelled job runs')


def _config(teams):
    queue = {
        'host': HOST,
        'service': 'passes',
        'priority': 1,
        'maxAttempts': MOST_ATTEMPTS,
        'stretchFactor': 3,
        'targetDurationMs': 5000,
    }
    queues = [{**queue, 'name': team, 'prefix': f'/{team}/'} for team in teams]
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
                'maxCount': {'cpu': _LIMITS.get(team, 0)},
            }
            for team in teams
        ],
    }
