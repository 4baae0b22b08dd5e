"""Link to one worker: adoption, starts, lease renewal and events."""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING

from currantreach_daemon._link_runs import LinkRuns
from currantreach_telemetry import log_event, log_warning
from currantreach_types import (
    StartOrder,
    StartOutcome,
    TaskPhase,
    WorkerInfo,
    WorkerTask,
    encode_json,
)
from currantreach_types.errors import StaleEpochError, WorkerUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from currantreach_daemon._link_runs import RunNumber
    from currantreach_decisions import Placement
    from currantreach_platform import WorkerClient
    from currantreach_types import (
        Clock,
        Inventory,
        StartResult,
    )

__all__ = ('WorkerLink', 'WorkerListener')

_EVENTS_TIMEOUT_S = 10
_ADOPT_RETRY_S = 0.25
# A worker refuses a start order after this window, so the outcome of a start
# whose answer was lost is known soon.
_START_WINDOW_S = 1
_RENEWALS_PER_LEASE = 4
_LOSS_MARGIN_S = 1
_MS_PER_S = 1000
# Longer run times do not fit in the wire format of workers.
_RUN_LIMIT_S = 31536000


class WorkerListener(abc.ABC):
    """Receiver of the events of workers and their tasks."""

    @abc.abstractmethod
    def worker_adopted(self, worker: str, inventory: Inventory) -> None:
        """Handle the adoption of a worker by this owner."""

    @abc.abstractmethod
    def worker_disconnected(self, worker: str) -> None:
        """Handle the loss of contact with a worker."""

    @abc.abstractmethod
    def task_reported(self, worker: str, task: WorkerTask) -> None:
        """Handle a report of the phase of a task on a worker."""

    @abc.abstractmethod
    def task_not_started(self, placement: Placement) -> None:
        """Handle a start that is known to have had no effect."""

    @abc.abstractmethod
    def task_lost(self, worker: str, task_id: str) -> None:
        """Handle a lost task, which is known not to run any more."""

    @abc.abstractmethod
    def ownership_lost(self) -> None:
        """Handle the loss of ownership to a higher epoch."""


class WorkerLink:
    """Connection to one worker under one epoch.

    :param claim_valid_until_s: returns the time after which no start may be
        sent.
    :param lease_s: duration of task leases, which renewals extend.
    :ivar is_connected: whether the worker was adopted and answers.
    :ivar boot_id: boot id of the worker at its last adoption.
    """

    def __init__(
        self,
        worker: WorkerInfo,
        client: WorkerClient,
        clock: Clock,
        epoch: int,
        owner_name: str,
        listener: WorkerListener,
        claim_valid_until_s: Callable[[], float],
        lease_s: float,
    ) -> None:
        """Create a link; :meth:`run` connects it."""
        self.worker = worker
        self.is_connected = False
        self._listed = worker
        self._client = client
        self._clock = clock
        self._epoch = epoch
        self._owner_name = owner_name
        self._listener = listener
        self._claim_valid_until_s = claim_valid_until_s
        self._lease_s = lease_s
        self._runs = LinkRuns(epoch)
        self._wakeup = asyncio.Event()
        self._is_stale = False
        self.boot_id = ''
        self._sequence = 0
        self._clock_base_ms = 0
        self._clock_read_s = float(0)
        self._lease_end_s = clock.now_s() + lease_s

    async def run(self) -> None:
        """Serve the worker until it accepts a higher epoch."""
        while not self._is_stale:
            try:
                await self._adopt()
                await self._serve()
            except* WorkerUnavailableError:
                self._disconnect()
            except* StaleEpochError:
                self._is_stale = True
            except* Exception as faults:
                # If the link ended here, no task on this worker would ever be
                # reported as ended or lost.
                log_warning(
                    'worker_link_failed',
                    worker=self.worker.name,
                    error=repr(faults.exceptions),
                )
                self._disconnect()
            await asyncio.sleep(_ADOPT_RETRY_S)
            self._expire_tasks()
        self._listener.ownership_lost()

    def start(self, placement: Placement) -> None:
        """Queue the start of a task."""
        self._runs.queued[placement.task_id] = placement
        self._wakeup.set()

    def update_worker(self, worker: WorkerInfo) -> None:
        """Update the host list entry; adopt again if the address changed."""
        self._listed = worker
        if worker.url != self.worker.url:
            self._wakeup.set()

    def has_expired(self) -> bool:
        """Return whether a disconnected worker cannot run any task any more.

        That is so when the leases of all its tasks have expired.
        """
        return not self.is_connected and self._is_lease_over()

    async def stop(self, task_ids: tuple[str, ...]) -> None:
        """Ask the worker to stop tasks."""
        await self._client.stop(self.worker, self._epoch, task_ids)

    async def checkpoint(self, task_ids: tuple[str, ...]) -> None:
        """Ask the worker to checkpoint tasks and stop them."""
        await self._client.checkpoint(self.worker, self._epoch, task_ids)

    async def retire(self, task_ids: tuple[str, ...]) -> None:
        """Ask the worker to delete ended tasks."""
        await self._client.retire(self.worker, self._epoch, task_ids)

    def _disconnect(self) -> None:
        if self.is_connected:
            self.is_connected = False
            self._listener.worker_disconnected(self.worker.name)
        placements = tuple(self._runs.queued.values())
        self._runs.queued.clear()
        for placement in placements:
            self._listener.task_not_started(placement)

    async def _adopt(self) -> None:
        self.worker = self._listed
        inventory = await self._client.adopt(
            self.worker,
            self._epoch,
            self._owner_name,
        )
        self._sync_clock(inventory.clock_ms)
        if self.boot_id and inventory.boot_id != self.boot_id:
            # The clock of the worker was reset by the restart. A start in
            # flight cannot be compared with it, and may have been carried
            # out before the restart.
            self._mark_all_lost()
        self.boot_id = inventory.boot_id
        self._sequence = inventory.sequence
        self._reconcile(inventory, dict(self._runs.running))
        self.is_connected = True
        self._listener.worker_adopted(self.worker.name, inventory)

    async def _serve(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_events())
            group.create_task(self._send_starts())
            group.create_task(self._renew_leases())

    async def _follow_events(self) -> None:
        while True:
            events = await self._client.events(
                self.worker,
                self._sequence,
                _EVENTS_TIMEOUT_S,
            )
            self._check_boot(events.boot_id)
            self._sequence = events.sequence
            for task in events.tasks:
                self._report(task)

    def _check_boot(self, boot_id: str) -> None:
        """Accept what a worker tells of its tasks only before a restart."""
        if boot_id != self.boot_id:
            raise WorkerUnavailableError(
                'the worker has restarted; adopt it again',
            )

    async def _send_starts(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            if self._listed.url != self.worker.url:
                raise WorkerUnavailableError(
                    'the address of the worker has changed; adopt it again',
                )
            batch = list(self._runs.queued.values())
            self._runs.queued.clear()
            if batch:
                await self._send_batch(batch)
            if self._runs.in_flight:
                raise WorkerUnavailableError(
                    'the outcome of a start is unknown; adopt the worker again',
                )

    async def _send_batch(self, batch: list[Placement]) -> None:
        now_s = self._clock.now_s()
        start_by_s = min(self._claim_valid_until_s(), now_s + _START_WINDOW_S)
        # An expired claim has a deadline of minus infinity.
        start_by_ms = self._worker_clock_ms(max(start_by_s, now_s - 1))
        orders = [self._order(placement, start_by_ms) for placement in batch]
        if self._clock.now_s() >= self._claim_valid_until_s():
            for refused in batch:
                self._listener.task_not_started(refused)
            return
        for placement in batch:
            self._runs.in_flight[placement.task_id] = (placement, start_by_ms)
        self._extend_lease_end(start_by_s)
        outcomes = await self._client.start(self.worker, orders)
        for outcome in outcomes:
            self._apply_outcome(outcome)

    def _apply_outcome(self, outcome: StartResult) -> None:
        in_flight = self._runs.in_flight.pop(outcome.task_id, None)
        if in_flight is None:
            # An event or an inventory reported the task before the answer
            # arrived.
            return
        placement, start_by_ms = in_flight
        if outcome.outcome == StartOutcome.stale_epoch:
            self._listener.task_not_started(placement)
            raise StaleEpochError('another owner has this worker')
        if outcome.outcome == StartOutcome.started:
            self._runs.running[outcome.task_id] = self._epoch, placement.attempt
            self._listener.task_reported(
                self.worker.name,
                _started_task(placement, self._epoch),
            )
        elif outcome.outcome == StartOutcome.known:
            self._runs.in_flight[outcome.task_id] = (placement, start_by_ms)
        else:
            self._listener.task_not_started(placement)

    async def _renew_leases(self) -> None:
        while True:
            await asyncio.sleep(self._lease_s / _RENEWALS_PER_LEASE)
            if self._clock.now_s() >= self._claim_valid_until_s():
                continue
            running = dict(self._runs.running)
            inventory = await self._renew()
            self._check_boot(inventory.boot_id)
            self._sync_clock(inventory.clock_ms)
            self._reconcile(inventory, running)

    async def _renew(self) -> Inventory:
        try:
            return await self._client.renew(
                self.worker,
                self._epoch,
                int(self._lease_s * _MS_PER_S),
            )
        finally:
            # If the answer was lost, the worker may have renewed the leases
            # as late as now.
            self._extend_lease_end(self._clock.now_s())

    def _reconcile(
        self,
        inventory: Inventory,
        running: Mapping[str, RunNumber],
    ) -> None:
        """Reconcile the known tasks with an inventory.

        :param running: runs before the inventory was requested, by task id;
            only these are lost if it does not list them.
        """
        if inventory.sequence < self._sequence:
            # Events that arrived earlier are newer than this inventory.
            return
        listed = frozenset(
            task.task_id
            for task in inventory.tasks
            if not self._runs.is_former(task)
        )
        self._resolve_in_flight(inventory, listed)
        self._mark_lost(
            task_id
            for task_id, run in running.items()
            if task_id not in listed and self._runs.running.get(task_id) == run
        )
        for task in inventory.tasks:
            self._report(task)

    def _resolve_in_flight(
        self,
        inventory: Inventory,
        listed: frozenset[str],
    ) -> None:
        for task_id, (placement, start_by_ms) in tuple(
            self._runs.in_flight.items(),
        ):
            if task_id in listed:
                self._runs.in_flight.pop(task_id)
            elif inventory.clock_ms > start_by_ms:
                self._runs.in_flight.pop(task_id)
                self._listener.task_not_started(placement)
        if self._runs.in_flight:
            self._wakeup.set()

    def _mark_lost(self, task_ids: Iterable[str]) -> None:
        for task_id in tuple(task_ids):
            self._runs.running.pop(task_id, None)
            self._listener.task_lost(self.worker.name, task_id)

    def _report(self, task: WorkerTask) -> None:
        if self._runs.is_former(task):
            log_event(
                'former_run_listed',
                worker=self.worker.name,
                task=task.task_id,
                epoch=task.epoch,
                attempt=task.attempt,
                phase=task.phase,
            )
            return
        run = self._runs.run_of(task)
        self._runs.in_flight.pop(task.task_id, None)
        if task.phase == TaskPhase.running:
            self._runs.running[task.task_id] = run
        else:
            self._runs.running.pop(task.task_id, None)
        self._listener.task_reported(self.worker.name, task)

    def _expire_tasks(self) -> None:
        if self._is_lease_over():
            self._mark_all_lost()

    def _is_lease_over(self) -> bool:
        return self._clock.now_s() >= self._lease_end_s + _LOSS_MARGIN_S

    def _mark_all_lost(self) -> None:
        self._mark_lost(self._runs.running)
        for placement, _start_by_ms in tuple(self._runs.in_flight.values()):
            self._runs.in_flight.pop(placement.task_id)
            self._listener.task_lost(self.worker.name, placement.task_id)

    def _extend_lease_end(self, from_s: float) -> None:
        self._lease_end_s = max(self._lease_end_s, from_s + self._lease_s)

    def _sync_clock(self, clock_ms: int) -> None:
        self._clock_base_ms = clock_ms
        self._clock_read_s = self._clock.now_s()

    def _worker_clock_ms(self, at_s: float) -> int:
        ahead_ms = (at_s - self._clock_read_s) * _MS_PER_S
        return self._clock_base_ms + int(ahead_ms)

    def _order(self, placement: Placement, start_by_ms: int) -> StartOrder:
        spec = placement.spec
        return StartOrder(
            task_id=placement.task_id,
            epoch=self._epoch,
            start_by_ms=start_by_ms,
            resources=placement.resources,
            lease_ms=int(self._lease_s * _MS_PER_S),
            run_ms=int(min(spec.expected_run_s, _RUN_LIMIT_S) * _MS_PER_S),
            spec_json=encode_json(spec).decode(),
            boot_id=self.boot_id,
            attempt=placement.attempt,
        )


def _started_task(placement: Placement, epoch: int) -> WorkerTask:
    return WorkerTask(
        task_id=placement.task_id,
        epoch=epoch,
        phase=TaskPhase.running,
        resources=placement.resources,
        attempt=placement.attempt,
    )
