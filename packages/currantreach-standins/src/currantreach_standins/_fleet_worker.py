"""Simulated worker of the worker stand-in."""

from __future__ import annotations

import secrets
import zlib
from typing import TYPE_CHECKING

import attrs

from currantreach_standins._fleet_events import EventLog
from currantreach_standins._fleet_tasks import RunningTask
from currantreach_types import (
    Inventory,
    Resources,
    StartOrder,
    StartOutcome,
    StartResult,
    TaskPhase,
    WorkerEvents,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantreach_standins._fleet import Fleet

__all__ = ('FleetWorker', 'StaleEpochError', 'WorkerFault')

_BOOT_ID_BYTES = 4
_MS_PER_S = 1000
_CLOCK_SPREAD_MS = 1000000


class StaleEpochError(Exception):
    """The order carries a lower epoch than the worker has seen."""


@attrs.define(slots=True, kw_only=True)
class WorkerFault:
    """Injected faults of one worker.

    :ivar fail_all: every task fails immediately after its start.
    :ivar freeze: no call is answered; starts that arrive meanwhile are
        executed when the worker thaws.
    :ivar dead: connections are closed and all tasks are lost.
    :ivar lost_start_answers: number of next start calls that take effect but
        are not answered.
    :ivar delay_ms: delay added to each call.
    :ivar use_factor: actual usage of all tasks as a multiple of the declared
        resources.
    """

    fail_all: bool = False
    freeze: bool = False
    dead: bool = False
    lost_start_answers: int = 0
    delay_ms: int = 0
    use_factor: float | None = None


class FleetWorker:
    """Worker that records exceeded capacity but refuses no start for it."""

    def __init__(self, name: str, capacity: Resources, fleet: Fleet) -> None:
        """Create a worker without tasks at epoch 0."""
        self.name = name
        self.capacity = capacity
        self.used = Resources()
        self.peak = Resources()
        self.breach_count = 0
        self.fault = WorkerFault()
        self.event_log = EventLog()
        self._fleet = fleet
        self._epoch = 0
        self._boot_id = secrets.token_hex(_BOOT_ID_BYTES)
        self._tasks: dict[str, RunningTask] = {}

    def clock_ms(self) -> int:
        """Return the worker's clock, whose offset depends on its name."""
        offset_ms = zlib.crc32(self.name.encode()) % _CLOCK_SPREAD_MS
        return int(self._fleet.clock.now_s() * _MS_PER_S) + offset_ms

    def fence(self, epoch: int) -> None:
        """Reject stale epochs and record the highest one.

        :raises StaleEpochError: if the worker has seen a higher epoch.
        """
        if epoch < self._epoch:
            raise StaleEpochError
        self._epoch = epoch

    def start(self, order: StartOrder) -> StartResult:
        """Start a task unless the order is stale, late or a duplicate."""
        outcome = self._find_refusal(order)
        if outcome is None:
            self._epoch = max(self._epoch, order.epoch)
            self._start_task(order)
            outcome = StartOutcome.started
        return StartResult(task_id=order.task_id, outcome=outcome)

    def renew(self, lease_ms: int) -> None:
        """Renew the leases of all running tasks."""
        lease_expires_at_s = self._fleet.clock.now_s() + lease_ms / _MS_PER_S
        for task in _running(self._tasks):
            task.lease_expires_at_s = lease_expires_at_s
            self._fleet.schedule(self, task)

    def stop(self, task_ids: Iterable[str]) -> None:
        """Stop tasks."""
        now_s = self._fleet.clock.now_s()
        for task in _running(self._tasks, task_ids):
            self._end(task, TaskPhase.stopped, now_s)

    def checkpoint(self, task_ids: Iterable[str]) -> None:
        """Save the progress of tasks and stop them."""
        now_s = self._fleet.clock.now_s()
        for task in _running(self._tasks, task_ids):
            task.advance(now_s)
            self._fleet.checkpoints[task.order.task_id] = task.progress_ms
            self._end(task, TaskPhase.stopped, now_s)

    def throttle(self, task_ids: Iterable[str]) -> None:
        """Limit tasks to half speed and to their declared resources."""
        now_s = self._fleet.clock.now_s()
        for task in _running(self._tasks, task_ids):
            task.advance(now_s)
            task.is_throttled = True
            self._schedule_usage_report(task)

    def retire(self, task_ids: Iterable[str]) -> None:
        """Remove ended tasks."""
        for task_id in task_ids:
            task = self._tasks.get(task_id)
            if task is not None and not task.is_running:
                self._tasks.pop(task_id)
                self.event_log.discard(task_id)

    def inventory(self) -> Inventory:
        """Return all tasks."""
        now_s = self._fleet.clock.now_s()
        return Inventory(
            worker=self.name,
            epoch=self._epoch,
            clock_ms=self.clock_ms(),
            boot_id=self._boot_id,
            sequence=self.event_log.sequence,
            tasks=tuple(
                task.as_worker_task(now_s) for task in self._tasks.values()
            ),
        )

    def events(self, after_sequence: int) -> WorkerEvents:
        """Return the tasks that changed after a sequence number."""
        now_s = self._fleet.clock.now_s()
        return WorkerEvents(
            clock_ms=self.clock_ms(),
            boot_id=self._boot_id,
            sequence=self.event_log.sequence,
            tasks=tuple(
                task.as_worker_task(now_s)
                for task in self.event_log.after(after_sequence)
            ),
        )

    def replace_fault(self, fault: WorkerFault) -> None:
        """Replace the injected faults."""
        was_dead = self.fault.dead
        is_use_factor_changed = fault.use_factor != self.fault.use_factor
        self.fault = fault
        if fault.dead and not was_dead:
            self._drop_all_tasks()
        if was_dead and not fault.dead:
            self._boot_id = secrets.token_hex(_BOOT_ID_BYTES)
        if is_use_factor_changed:
            for task in _running(self._tasks):
                self._schedule_usage_report(task)
        self.event_log.wake()

    def apply_due_changes(self, task: RunningTask, now_s: float) -> None:
        """Apply the changes of a task that are due."""
        if (
            task.lease_expires_at_s <= now_s
            and task.lease_expires_at_s < task.end_at_s()
        ):
            self._end(task, TaskPhase.expired, now_s)
            return
        if task.end_at_s() <= now_s:
            self._fleet.checkpoints.pop(task.order.task_id, None)
            self._end(task, TaskPhase.finished, now_s)
            return
        if task.usage_report_at_s <= now_s and task.update_observed_usage(
            self.fault.use_factor,
        ):
            self.event_log.record(task)
        self._fleet.schedule(self, task)

    def log_held(self, order: StartOrder) -> None:
        """Log a start that is received and not answered."""
        self._fleet.log.add(
            'held',
            worker=self.name,
            task_id=order.task_id,
            epoch=order.epoch,
            phase='',
        )

    def _find_refusal(self, order: StartOrder) -> StartOutcome | None:
        if self._fleet.settings.refuses_stale_starts:
            if order.epoch < self._epoch:
                return StartOutcome.stale_epoch
            if order.start_by_ms < self.clock_ms():
                return StartOutcome.too_late
            if order.boot_id and order.boot_id != self._boot_id:
                return StartOutcome.other_boot
        if order.task_id in self._tasks:
            return StartOutcome.known
        return None

    def _start_task(self, order: StartOrder) -> None:
        fleet = self._fleet
        now_s = fleet.clock.now_s()
        task = RunningTask.from_order(
            order,
            fleet.checkpoints.get(order.task_id, 0),
            now_s,
            fleet.settings.usage_lag_s,
        )
        self._tasks[order.task_id] = task
        self._log('start', task)
        self.used += order.resources
        self.peak = self.peak.elementwise_max(self.used)
        if not self.used.fits_in(self.capacity):
            self._record_breach(task)
        if self.fault.fail_all or task.hints.fails:
            self._end(task, TaskPhase.failed, now_s)
        else:
            fleet.schedule(self, task)

    def _record_breach(self, task: RunningTask) -> None:
        self.breach_count += 1
        self._log(
            'breach',
            task,
            used=self.used,
            capacity=self.capacity,
            peak=self.peak,
        )

    def _end(self, task: RunningTask, phase: TaskPhase, now_s: float) -> None:
        task.end(phase, now_s)
        self.used -= task.order.resources
        self._log('end', task)
        self.event_log.record(task)

    def _schedule_usage_report(self, task: RunningTask) -> None:
        lag_s = self._fleet.settings.usage_lag_s
        task.usage_report_at_s = self._fleet.clock.now_s() + lag_s
        self._fleet.schedule(self, task)

    def _drop_all_tasks(self) -> None:
        now_s = self._fleet.clock.now_s()
        for task in _running(self._tasks):
            # There is no phase for a task that was lost with its worker.
            task.end(TaskPhase.stopped, now_s)
            self._log('end', task, is_lost=True)
        self._tasks.clear()
        self.event_log.clear()
        self.used = Resources()

    def _log(self, event: str, task: RunningTask, **more: object) -> None:
        self._fleet.log.add(
            event,
            worker=self.name,
            task_id=task.order.task_id,
            epoch=task.order.epoch,
            attempt=task.order.attempt,
            phase=task.phase,
            **more,
        )


def _running(
    tasks: dict[str, RunningTask],
    task_ids: Iterable[str] | None = None,
) -> list[RunningTask]:
    if task_ids is None:
        return [task for task in tasks.values() if task.is_running]
    named = [tasks.get(task_id) for task_id in task_ids]
    return [task for task in named if task and task.is_running]
