"""Recovery of requests from the journal and the workers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from currantreach_daemon._requests import StartIntent, body_hash_of
from currantreach_decisions import Placement
from currantreach_state import RecordKind
from currantreach_types import (
    Answer,
    PolicyKind,
    RequestState,
    Resources,
    TaskSpec,
    decode_json,
)
from currantreach_types.errors import MalformedMessageError

if TYPE_CHECKING:
    from currantreach_daemon._completion import CompletionHandler
    from currantreach_daemon._dispatcher import Dispatcher
    from currantreach_daemon._owner_state import OwnerState
    from currantreach_daemon._requests import RequestEntry
    from currantreach_state import JournalRecord
    from currantreach_types import WorkerTask

__all__ = ('Recovery',)

_POLL_S = 0.05


class Recovery:
    """Restores the requests and tasks of the previous owner."""

    def __init__(
        self,
        state: OwnerState,
        dispatcher: Dispatcher,
        completion: CompletionHandler,
    ) -> None:
        """Use the state of one owner."""
        self._state = state
        self._dispatcher = dispatcher
        self._completion = completion
        self._recovering: list[RequestEntry] = []
        self._boot_ids: dict[str, str] = {}
        self._began_s = state.now_s()

    def mark_adopted(self, worker: str, boot_id: str) -> None:
        """Record the boot id of a worker whose inventory was read."""
        self._boot_ids.setdefault(worker, boot_id)

    def unadopted_capacity(self) -> Resources | None:
        """Return the capacity of workers that were not adopted yet.

        :returns: ``None`` while the host list has no workers.
        """
        if self._state.recovered.is_set():
            return Resources()
        if not self._state.registrations:
            return None
        unadopted = (
            registration.capacity
            for name, registration in self._state.registrations.items()
            if name not in self._boot_ids
        )
        return sum(unadopted, Resources())

    def add_record(self, record: JournalRecord) -> None:
        """Restore a request from its journal record."""
        spec = decode_json(record.spec_json, TaskSpec)
        entry = self._state.new_entry(spec, record.body_hash)
        entry.is_recorded = True
        entry.answer = attrs.evolve(
            entry.answer,
            state=RequestState.accepted,
            reason='',
            can_retry=False,
        )
        self._state.table.add(entry)
        if record.kind == RecordKind.ended:
            answer = decode_json(record.answer_json, Answer)
            entry.is_closing = True
            self._state.table.end(entry, answer, self._state.now_s())
            return
        # The start of an unrepeatable request is recorded before it is sent.
        # Whether other requests were started is not in the journal.
        is_starting = record.kind == RecordKind.starting
        entry.may_have_run = is_starting or not spec.is_unrepeatable
        if is_starting:
            entry.intents = decode_json(
                record.answer_json,
                dict[str, StartIntent],
            )
        self._mark_recovering(entry)

    def entry_of(self, task: WorkerTask) -> RequestEntry | None:
        """Return a new entry for a prompt task found on a worker."""
        try:
            spec = decode_json(task.spec_json, TaskSpec)
        except MalformedMessageError:
            return None
        if spec.policy != PolicyKind.prompt:
            return None
        entry = self._state.new_entry(spec, body_hash_of(spec))
        self._state.table.add(entry)
        if not self._state.recovered.is_set():
            self._mark_recovering(entry)
        return entry

    def restore_task(
        self,
        entry: RequestEntry,
        worker: str,
        task: WorkerTask,
    ) -> None:
        """Register a running task that this owner did not place."""
        if task.task_id in entry.workers:
            return
        entry.workers[task.task_id] = worker
        placement = Placement(
            task_id=task.task_id,
            spec=entry.spec,
            worker=worker,
            resources=task.resources,
        )
        self._state.context.scheduler.recover(placement, self._state.now_s())

    async def finish(self) -> None:
        """Wait for the workers, then requeue requests without a task."""
        await self._state.has_limits.wait()
        while not self._is_wait_over():
            await asyncio.sleep(_POLL_S)
        for entry in self._recovering:
            entry.is_recovering = False
            if not entry.is_closing:
                self._requeue_or_end(entry)
        self._recovering.clear()
        self._state.recovered.set()
        self._state.log('recovered', requests=self._state.table.open_count())

    def _mark_recovering(self, entry: RequestEntry) -> None:
        entry.is_recovering = True
        self._recovering.append(entry)

    def _requeue_or_end(self, entry: RequestEntry) -> None:
        found = len(entry.workers) + len(entry.outputs)
        if found == entry.spec.gang_size:
            return
        if entry.spec.is_unrepeatable and self._has_not_started(entry):
            entry.may_have_run = False
        if entry.may_have_run and entry.spec.is_unrepeatable:
            self._state.stop_tasks(entry)
            self._completion.end(
                entry,
                RequestState.unknown,
                reason='owner_lost',
            )
        else:
            self._dispatcher.requeue_incomplete(entry)

    def _has_not_started(self, entry: RequestEntry) -> bool:
        """Return whether the inventories prove that no task was started.

        An inventory lists each task of an unrepeatable request until the
        completion of the request is recorded, unless the worker restarted.
        """
        if entry.workers or entry.outputs:
            return False
        return all(
            self._boot_ids.get(intent.worker) == intent.boot_id
            for intent in entry.intents.values()
        )

    def _is_wait_over(self) -> bool:
        waited_s = self._state.now_s() - self._began_s
        if waited_s >= self._state.context.unadopted_wait_s:
            return True
        return (
            bool(self._state.registrations)
            and self._boot_ids.keys() >= self._state.registrations.keys()
        )
