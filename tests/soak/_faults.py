"""Random, overlapping faults of processes, the store and workers."""

from __future__ import annotations

import asyncio
import enum
import signal

_RESTART_S = 0.6


class FaultKind(enum.Enum):
    """Kinds of faults that a seed plays.

    :cvar ANY: random faults of all parts of a cell.
    :cvar PLANNED: stops, reloads and new configurations, during which every
        request must be answered.
    :cvar RESTARTED_WORKERS: workers that restart and are cut off soon after,
        while long tasks run.
    """

    ANY = 'any'
    PLANNED = 'planned'
    RESTARTED_WORKERS = 'restarted-workers'


class FaultInjector:
    """Injects faults for a while and reverts them.

    :ivar injected: names of the injected faults in order.
    """

    def __init__(self, cell, random, kind=FaultKind.ANY):
        """Choose the faults for a cell.

        :param kind: kind of the faults to inject.
        """
        self.cell = cell
        self.random = random
        self.injected = []
        self._faults = (
            self._kill,
            self._terminate,
            self._pause,
            self._kill_all,
            self._cut_store,
            self._stall_store,
            self._store_down,
            self._store_slow,
            self._store_lossy,
            self._forget_history,
            self._cut_worker,
            self._stall_worker,
            self._crash_worker,
            self._late_orders,
            self._failing_worker,
            self._drain_worker,
            self._reload,
        )
        if kind is FaultKind.PLANNED:
            self._faults = (
                self._terminate,
                self._terminate_some,
                self._reload,
                self._configure,
            )
        elif kind is FaultKind.RESTARTED_WORKERS:
            self._faults = (
                self._restart_and_cut_worker,
                self._restart_and_cut_worker,
                self._kill,
            )

    async def run(self, seconds):
        """Inject faults every second on average, and wait until all end."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        tasks = []
        while loop.time() < end_s:
            await asyncio.sleep(self.random.uniform(0.3, 1.8))
            fault = self.random.choice(self._faults)
            for _ in range(self.random.choice([1, 1, 1, 2])):
                self.injected.append(fault.__name__.removeprefix('_'))
                tasks.append(asyncio.create_task(fault()))
        await asyncio.gather(*tasks)

    def _random_duration_s(self):
        return self.random.uniform(0.5, 6)

    def _random_daemon(self):
        return self.random.choice(self.cell.daemons)

    def _random_worker(self):
        return self.random.choice(tuple(self.cell.fleet.workers.values()))

    async def _kill(self):
        daemon = self._random_daemon()
        daemon.can_restart = False
        daemon.send_signal(signal.SIGKILL)
        await asyncio.sleep(self._random_duration_s() / 2)
        daemon.can_restart = True

    async def _terminate(self):
        await self._random_daemon().stop()

    async def _pause(self):
        daemon = self._random_daemon()
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random_duration_s())
        daemon.send_signal(signal.SIGCONT)

    async def _kill_all(self):
        for daemon in self.cell.daemons:
            daemon.send_signal(signal.SIGKILL)

    async def _terminate_some(self):
        """Stop two daemons within the time of an election."""
        stopping = []
        for daemon in self.random.sample(self.cell.daemons, 2):
            stopping.append(asyncio.create_task(daemon.stop()))
            await asyncio.sleep(self.random.uniform(0, 0.6))
        await asyncio.gather(*stopping)

    async def _reload(self):
        self._random_daemon().send_signal(signal.SIGHUP)

    async def _configure(self):
        """Change a timeout, and add or remove a queue with its key."""
        self.cell.write_config(
            has_spare=self.random.random() < 0.5,
            idle_timeout_s=self.random.choice([1, 5, 15]),
        )

    async def _cut_store(self):
        relay = self.random.choice(self.cell.store_relays)
        relay.drops_data = True
        await asyncio.sleep(self._random_duration_s())
        relay.drops_data = False
        relay.close_connections()

    async def _stall_store(self):
        self.random.choice(self.cell.store_relays).stall_connections()

    async def _store_down(self):
        store = self.cell.store
        store.failure_mode = self.random.choice(['busy', 'reset', 'silent'])
        await asyncio.sleep(self._random_duration_s())
        store.failure_mode = ''

    async def _store_slow(self):
        self.cell.store.delay_s = 0.2
        await asyncio.sleep(self._random_duration_s())
        self.cell.store.delay_s = 0.003

    async def _store_lossy(self):
        self.cell.store.lost_answer_share = 0.3
        await asyncio.sleep(self._random_duration_s())
        self.cell.store.lost_answer_share = 0

    async def _forget_history(self):
        self.cell.store.compact()

    async def _cut_worker(self):
        relay = self.random.choice(self.cell.worker_relays)
        relay.drops_data = True
        await asyncio.sleep(self._random_duration_s())
        relay.drops_data = False
        relay.close_connections()

    async def _stall_worker(self):
        self.random.choice(self.cell.worker_relays).stall_connections()

    async def _crash_worker(self):
        worker = self._random_worker()
        worker.crash()
        await asyncio.sleep(self._random_duration_s() / 2)
        worker.is_up = True

    async def _restart_and_cut_worker(self):
        """Restart a worker, and cut it off after it is in use again."""
        index = self.random.randrange(len(self.cell.worker_relays))
        worker = tuple(self.cell.fleet.workers.values())[index]
        if not worker.is_up:
            return
        await worker.restart(_RESTART_S)
        await asyncio.sleep(self.random.uniform(1, 2.5))
        relay = self.cell.worker_relays[index]
        relay.drops_data = True
        # Longer than the longest lease from the restart on.
        await asyncio.sleep(self.cell.fleet.lease_limit_s)
        relay.drops_data = False
        relay.close_connections()

    async def _late_orders(self):
        worker = self._random_worker()
        worker.delayed_start_share = 0.5
        await asyncio.sleep(self._random_duration_s())
        worker.delayed_start_share = 0

    async def _failing_worker(self):
        worker = self._random_worker()
        worker.is_failing = True
        await asyncio.sleep(self._random_duration_s())
        worker.is_failing = False

    async def _drain_worker(self):
        worker = self._random_worker()
        worker.is_draining = True
        await asyncio.sleep(self._random_duration_s())
        worker.is_draining = False
