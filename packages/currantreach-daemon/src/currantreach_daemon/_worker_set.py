"""Workers of one partition and the links to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_daemon._worker_link import WorkerLink
from currantreach_telemetry import log_warning
from currantreach_types import Resources

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_daemon._owner_state import OwnerState
    from currantreach_daemon._worker_link import WorkerListener
    from currantreach_types import WorkerInfo

__all__ = ('WorkerSet',)


class WorkerSet:
    """Maintains one link to each worker of the host list."""

    def __init__(self, state: OwnerState, listener: WorkerListener) -> None:
        """Start with no workers."""
        self._state = state
        self._listener = listener
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._is_open = False
        self._latest_update: tuple[Sequence[WorkerInfo], set[str]] = ((), set())

    def open(self) -> None:
        """Connect to the workers of the last update."""
        self._is_open = True
        self.update(*self._latest_update)

    async def close(self) -> None:
        """Close all links; the tasks keep running for the successor."""
        running = tuple(self._tasks.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def update(
        self, registrations: Sequence[WorkerInfo], closed: set[str]
    ) -> None:
        """Update the links from the host list.

        :param registrations: host list entries of the workers of this
            partition.
        :param closed: names of workers that receive no new tasks.
        """
        self._latest_update = (registrations, closed)
        if not self._is_open:
            return
        listed = {
            registration.name: registration for registration in registrations
        }
        unlisted = self._state.links.keys() - listed.keys()
        # The host list may be out of date, so the link to an unlisted worker
        # stays open, without new tasks, while tasks may run on it.
        self._state.closed = closed | unlisted
        for name, registration in listed.items():
            self._update_worker(name, registration)
        for missing in unlisted:
            self._update_worker(missing, self._state.registrations[missing])
            if self._can_remove(missing):
                self._remove(missing)
        self._state.wakeup.set()

    @property
    def registrations(self) -> Mapping[str, WorkerInfo]:
        """Return the host list entry of each worker."""
        return self._state.registrations

    def is_connected(self, worker: str) -> bool:
        """Return whether a worker answers."""
        return self._state.links[worker].is_connected

    def is_open(self, worker: str) -> bool:
        """Return whether a worker receives new tasks."""
        return self.is_connected(worker) and worker not in self._state.closed

    def open_capacity(self) -> Resources:
        """Return the total capacity of all open workers."""
        capacities = (
            registration.capacity
            for name, registration in self.registrations.items()
            if self.is_open(name)
        )
        return sum(capacities, Resources())

    def largest_capacity(self) -> Resources:
        """Return the largest capacity of an open worker, by resource."""
        largest = Resources()
        for name, registration in self.registrations.items():
            if self.is_open(name):
                largest = largest.elementwise_max(registration.capacity)
        return largest

    def _update_worker(self, name: str, registration: WorkerInfo) -> None:
        self._state.registrations[name] = registration
        link = self._state.links.get(name)
        if link is None:
            self._open_link(registration)
        else:
            link.update_worker(registration)
        self._state.context.scheduler.set_worker(
            registration, is_admitted=self.is_open(name)
        )

    def _can_remove(self, name: str) -> bool:
        is_recovered = self._state.recovered.is_set()
        return is_recovered and self._state.links[name].has_expired()

    def _remove(self, name: str) -> None:
        self._state.links.pop(name)
        self._state.registrations.pop(name)
        self._tasks.pop(name).cancel()
        self._state.context.scheduler.remove_worker(name)

    def _open_link(self, registration: WorkerInfo) -> None:
        link = WorkerLink(
            registration,
            self._state.context.workers,
            self._state.context.clock,
            self._state.claim.epoch,
            self._state.claim.owner,
            self._listener,
            self._state.context.claim_valid_until_s,
            self._state.context.task_lease_s,
        )
        self._state.links[registration.name] = link
        running = asyncio.create_task(link.run())
        running.add_done_callback(_log_failure)
        self._tasks[registration.name] = running


def _log_failure(running: asyncio.Task[None]) -> None:
    if not running.cancelled() and running.exception() is not None:
        log_warning('worker_link_failed', error=running.exception())
