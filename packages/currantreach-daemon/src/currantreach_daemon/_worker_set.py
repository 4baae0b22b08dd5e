"""Workers of one partition and the links to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_daemon._worker_link import WorkerLink
from currantreach_types import Resources

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_daemon._owner_state import OwnerState
    from currantreach_daemon._worker_link import WorkerListener
    from currantreach_types import WorkerInfo

__all__ = ('WorkerSet',)


class WorkerSet:
    """Keeps one link to each worker of the host list."""

    def __init__(self, state: OwnerState, listener: WorkerListener) -> None:
        """Start without workers."""
        self._state = state
        self._listener = listener
        self._is_open = False
        self._listed: tuple[WorkerInfo, ...] = ()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def open(self) -> None:
        """Open the links, once the requests of the journal are known.

        A task of a request that is not known yet would be taken for one that
        nothing waits for.
        """
        self._is_open = True
        self.update(self._listed, self._state.closed)

    async def close(self) -> None:
        """Stop all links and leave the tasks to the successor."""
        running = tuple(self._tasks.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def update(self, hosts: Sequence[WorkerInfo], closed: set[str]) -> None:
        """Follow the host list.

        :param hosts: workers of this partition.
        :param closed: names of workers that receive no new task.
        """
        self._listed = tuple(hosts)
        self._state.closed = closed
        if not self._is_open:
            return
        listed = {host.name: host for host in hosts}
        for name, host in listed.items():
            self._state.hosts[name] = host
            if name not in self._state.links:
                self._open_link(host)
            is_open = (
                name not in closed and self._state.links[name].is_connected
            )
            self._state.tools.scheduler.set_worker(host, is_open=is_open)
        for gone in tuple(self._state.links.keys() - listed.keys()):
            self._drop_unlisted(gone)
        self._state.wakeup.set()

    @property
    def hosts(self) -> Mapping[str, WorkerInfo]:
        """Return the host list entry of each worker."""
        return self._state.hosts

    def is_connected(self, worker: str) -> bool:
        """Tell whether a worker answers."""
        return self._state.links[worker].is_connected

    def is_open(self, worker: str) -> bool:
        """Tell whether a worker receives new tasks."""
        return self.is_connected(worker) and worker not in self._state.closed

    def open_capacity(self) -> Resources:
        """Return what all open workers hold together."""
        held = (
            host.capacity
            for name, host in self.hosts.items()
            if self.is_open(name)
        )
        return sum(held, Resources())

    def largest_capacity(self) -> Resources:
        """Return the largest amount of each resource of an open worker."""
        largest = Resources()
        for name, host in self.hosts.items():
            if self.is_open(name):
                largest = largest.at_least(host.capacity)
        return largest

    def _drop_unlisted(self, name: str) -> None:
        # The host list lags, so a worker that still answers is kept closed.
        if self._state.links[name].is_connected:
            self._state.tools.scheduler.set_worker(
                self._state.hosts[name], is_open=False
            )

    def _open_link(self, host: WorkerInfo) -> None:
        link = WorkerLink(
            host,
            self._state.tools.workers,
            self._state.tools.clock,
            self._state.claim.epoch,
            self._state.claim.owner,
            self._listener,
            self._state.tools.deadline_s,
            self._state.tools.task_lease_s,
        )
        self._state.links[host.name] = link
        self._tasks[host.name] = asyncio.create_task(link.run())
