"""Faults that come from outside, in series and overlapping."""

from __future__ import annotations

import asyncio
import signal


class Faults:
    """Injects faults for a while and ends all of them."""

    def __init__(self, site, random, *, is_planned=False):
        """Prepare to disturb a site.

        :param is_planned: play planned work only.
        """
        self.site = site
        self.random = random
        self.played = []
        self._kinds = (
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
        if is_planned:
            self._kinds = (
                self._terminate,
                self._terminate_some,
                self._reload,
                self._configure,
            )

    async def run(self, seconds):
        """Start a fault each second on average, and wait for their ends."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        tasks = []
        while loop.time() < end_s:
            await asyncio.sleep(self.random.uniform(0.3, 1.8))
            kind = self.random.choice(self._kinds)
            for _ in range(self.random.choice([1, 1, 1, 2])):
                self.played.append(kind.__name__.removeprefix('_'))
                tasks.append(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)

    def _length_s(self):
        return self.random.uniform(0.5, 6)

    def _daemon(self):
        return self.random.choice(self.site.daemons)

    def _worker(self):
        return self.random.choice(tuple(self.site.fleet.workers.values()))

    async def _kill(self):
        daemon = self._daemon()
        daemon.is_wanted = False
        daemon.send(signal.SIGKILL)
        await asyncio.sleep(self._length_s() / 2)
        daemon.is_wanted = True

    async def _terminate(self):
        await self._daemon().stop()

    async def _pause(self):
        daemon = self._daemon()
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(self._length_s())
        daemon.send(signal.SIGCONT)

    async def _kill_all(self):
        for daemon in self.site.daemons:
            daemon.send(signal.SIGKILL)

    async def _terminate_some(self):
        """Stop some daemons within the time of an election."""
        stopping = []
        for daemon in self.random.sample(self.site.daemons, 2):
            stopping.append(asyncio.create_task(daemon.stop()))
            await asyncio.sleep(self.random.uniform(0, 0.6))
        await asyncio.gather(*stopping)

    async def _reload(self):
        self._daemon().send(signal.SIGHUP)

    async def _configure(self):
        """Change time-outs, and add or remove a queue and its key."""
        self.site.configure(
            has_spare=self.random.random() < 0.5,
            idle_timeout_s=self.random.choice([1, 5, 15]),
        )

    async def _cut_store(self):
        relay = self.random.choice(self.site.store_relays)
        relay.is_silent = True
        await asyncio.sleep(self._length_s())
        relay.is_silent = False
        relay.cut()

    async def _stall_store(self):
        self.random.choice(self.site.store_relays).stall()

    async def _store_down(self):
        store = self.site.store
        store.mode = self.random.choice(['busy', 'reset', 'silent'])
        await asyncio.sleep(self._length_s())
        store.mode = ''

    async def _store_slow(self):
        self.site.store.delay_s = 0.2
        await asyncio.sleep(self._length_s())
        self.site.store.delay_s = 0.003

    async def _store_lossy(self):
        self.site.store.lost = 0.3
        await asyncio.sleep(self._length_s())
        self.site.store.lost = 0

    async def _forget_history(self):
        self.site.store.forget_history()

    async def _cut_worker(self):
        relay = self.random.choice(self.site.worker_relays)
        relay.is_silent = True
        await asyncio.sleep(self._length_s())
        relay.is_silent = False
        relay.cut()

    async def _stall_worker(self):
        self.random.choice(self.site.worker_relays).stall()

    async def _crash_worker(self):
        worker = self._worker()
        worker.crash()
        await asyncio.sleep(self._length_s() / 2)
        worker.is_up = True

    async def _late_orders(self):
        worker = self._worker()
        worker.late = 0.5
        await asyncio.sleep(self._length_s())
        worker.late = 0

    async def _failing_worker(self):
        worker = self._worker()
        worker.is_failing = True
        await asyncio.sleep(self._length_s())
        worker.is_failing = False

    async def _drain_worker(self):
        worker = self._worker()
        worker.is_draining = True
        await asyncio.sleep(self._length_s())
        worker.is_draining = False
