"""Handling of events reported by workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_daemon._worker_link import WorkerListener
from currantreach_decisions import TaskEnd
from currantreach_types import RequestState, Resources, TaskPhase

if TYPE_CHECKING:
    from currantreach_daemon._completion import CompletionHandler
    from currantreach_daemon._dispatcher import Dispatcher
    from currantreach_daemon._owner_state import OwnerState
    from currantreach_daemon._recovery import Recovery
    from currantreach_daemon._requests import RequestEntry
    from currantreach_decisions import Placement
    from currantreach_types import Inventory, WorkerTask

__all__ = ('TaskEvents',)

_FAILURE_LIMIT = 3


class TaskEvents(WorkerListener):
    """Updates requests when workers connect and tasks change their phase."""

    def __init__(
        self,
        state: OwnerState,
        dispatcher: Dispatcher,
        completion: CompletionHandler,
        recovery: Recovery,
    ) -> None:
        """Use the state of one owner."""
        self._state = state
        self._dispatcher = dispatcher
        self._completion = completion
        self._recovery = recovery

    def worker_adopted(self, worker: str, inventory: Inventory) -> None:
        """Let the scheduler place tasks on the worker, unless it is closed."""
        self._recovery.mark_adopted(worker, inventory.boot_id)
        self._state.log(
            'worker_adopted', worker=worker, tasks=len(inventory.tasks)
        )
        is_open = worker not in self._state.closed
        self._state.context.scheduler.set_worker(
            self._state.registrations[worker], is_admitted=is_open
        )
        self._state.wakeup.set()

    def worker_disconnected(self, worker: str) -> None:
        """Exclude the worker from scheduling."""
        self._state.log('worker_disconnected', worker=worker)
        self._state.context.scheduler.set_worker(
            self._state.registrations[worker], is_admitted=False
        )

    def task_reported(self, worker: str, task: WorkerTask) -> None:
        """Update the request of a task from its phase."""
        request_id = task.task_id.rpartition('/')[0]
        entry = self._state.table.get(request_id)
        if entry is None:
            entry = self._recovery.entry_of(task)
        if entry is not None and task.task_id in entry.outputs:
            return
        if entry is not None and self._is_of_former_run(entry, task):
            self._completion.end_former(entry, worker, task)
            return
        if entry is None or self._is_orphan(entry, worker, task):
            self._completion.end_orphan(entry, worker, task)
            return
        self._recovery.restore_task(entry, worker, task)
        entry.may_have_run = True
        if task.phase == TaskPhase.running:
            self._on_running(entry, task)
            return
        self._on_ended(entry, worker, task)
        self._state.wakeup.set()

    def task_not_started(self, placement: Placement) -> None:
        """Requeue a request whose start had no effect."""
        self._dispatcher.on_not_started(placement)

    def task_lost(self, worker: str, task_id: str) -> None:
        """Requeue the request of a lost task, unless it is unrepeatable."""
        entry = self._state.table.get(task_id.rpartition('/')[0])
        if entry is None or entry.ended.is_set():
            self._state.free_resources(task_id, TaskEnd.lost)
            return
        if entry.workers.get(task_id) != worker:
            # An earlier run was lost. The current run is on another worker
            # and has its own resources there.
            return
        self._state.free_resources(task_id, TaskEnd.lost)
        entry.workers.pop(task_id)
        if entry.is_closing:
            return
        entry.may_have_run = True
        self._state.log('task_lost', task=task_id, worker=worker)
        if entry.spec.is_unrepeatable:
            self._completion.end(
                entry, RequestState.unknown, reason='worker_lost'
            )
            self._state.stop_tasks(entry)
            return
        self._state.context.metrics.record_retry('worker_lost')
        self._dispatcher.requeue_incomplete(entry)

    def ownership_lost(self) -> None:
        """Stop the owner, since a worker has accepted a higher epoch."""
        self._state.lost.set()

    def _is_of_former_run(self, entry: RequestEntry, task: WorkerTask) -> bool:
        """Tell whether a report is about a run before the last one placed."""
        if not entry.attempt or not task.attempt:
            return False
        last_run = self._state.claim.epoch, entry.attempt
        return (task.epoch, task.attempt) < last_run

    def _is_orphan(
        self,
        entry: RequestEntry,
        worker: str,
        task: WorkerTask,
    ) -> bool:
        if entry.is_closing:
            return True
        if entry.workers.get(task.task_id, worker) != worker:
            return True
        has_ended = task.phase != TaskPhase.running
        return has_ended and (worker, task.task_id) in entry.ended_on

    def _on_running(self, entry: RequestEntry, task: WorkerTask) -> None:
        if entry.is_cancelled or entry.is_broken:
            self._state.stop_tasks(entry)
        if task.observed != Resources():
            self._state.context.scheduler.observe(
                task.task_id,
                task.observed,
                self._state.now_s(),
            )
        if entry.answer.state == RequestState.running:
            return
        waited_s = self._state.now_s() - entry.submitted_s
        self._state.context.metrics.record_wait(entry.spec.workload, waited_s)
        entry.answer = attrs.evolve(
            entry.answer,
            state=RequestState.running,
            waited_s=waited_s,
        )

    def _on_ended(
        self,
        entry: RequestEntry,
        worker: str,
        task: WorkerTask,
    ) -> None:
        end_by_phase = {
            TaskPhase.finished: TaskEnd.finished,
            TaskPhase.failed: TaskEnd.failed,
            TaskPhase.stopped: TaskEnd.checkpointed,
            TaskPhase.expired: TaskEnd.lost,
        }
        self._state.free_resources(task.task_id, end_by_phase[task.phase])
        entry.workers.pop(task.task_id, None)
        entry.ended_on |= {(worker, task.task_id)}
        if task.phase == TaskPhase.finished:
            entry.outputs[task.task_id] = task.output
            self._completion.retire_later(entry, worker, task)
            self._completion.finish_if_complete(entry)
            if not entry.workers:
                # A task of this gang was lost before, and the others have
                # finished without being stopped.
                self._dispatcher.requeue_incomplete(entry)
            return
        if entry.spec.is_unrepeatable:
            self._completion.retire_later(entry, worker, task)
        else:
            self._completion.retire_task(worker, task.task_id)
        if entry.is_cancelled:
            if not entry.workers:
                self._completion.end(
                    entry, RequestState.failed, reason='cancelled'
                )
            return
        has_run_failed = False
        if task.phase == TaskPhase.failed:
            has_run_failed = self._count_failure(entry, worker, task)
        self._end_or_retry(entry, task.phase, has_run_failed)

    def _count_failure(
        self,
        entry: RequestEntry,
        worker: str,
        task: WorkerTask,
    ) -> bool:
        """Count a failed run once; return whether this task is the first."""
        attempt = task.attempt or entry.attempt
        is_counted = entry.count_failure((task.epoch, attempt))
        self._state.log(
            'task_failed',
            task=task.task_id,
            worker=worker,
            attempt=attempt,
            run_ms=task.run_ms,
            failures=entry.failure_count,
            most=_FAILURE_LIMIT,
            is_counted=is_counted,
        )
        return is_counted

    def _end_or_retry(
        self,
        entry: RequestEntry,
        phase: TaskPhase,
        has_run_failed: bool,
    ) -> None:
        is_limit_reached = entry.failure_count >= _FAILURE_LIMIT
        if entry.spec.is_unrepeatable or is_limit_reached:
            self._state.stop_tasks(entry)
            self._completion.end(
                entry, RequestState.failed, reason=f'task_{phase}'
            )
        elif has_run_failed:
            self._dispatcher.retry_failed(entry)
        else:
            self._dispatcher.requeue_incomplete(entry)
