"""Completion of requests: final answers, their records and retirement."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import attrs

from currantreach_daemon._requests import not_run_answer
from currantreach_decisions import TaskEnd
from currantreach_state import RecordKind
from currantreach_types import RequestState, TaskPhase
from currantreach_types import task_id as task_id_of
from currantreach_types.errors import (
    MalformedMessageError,
    OutcomeUnknownError,
    PlatformError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from currantreach_daemon._owner_state import OwnerState
    from currantreach_daemon._requests import RequestEntry
    from currantreach_types import Answer, Refusal, WorkerTask

__all__ = ('CompletionHandler',)

_RETIRE_INTERVAL_S = 1
_NON_DURABLE_RETENTION_S = 10


class CompletionHandler:
    """Sets final answers and retires completed tasks and requests."""

    def __init__(self, state: OwnerState) -> None:
        """Use the state of one owner.

        :ivar _task_ids_to_retire: tasks to retire in the next round, by
            worker.
        :ivar _deferred_retirements: tasks whose retirement waits for a record
            or a time.
        :ivar _timed_retirements: those of them that wait for a time, in order
            of that time.
        """
        self._state = state
        self._task_ids_to_retire: collections.defaultdict[str, list[str]]
        self._task_ids_to_retire = collections.defaultdict(list)
        self._deferred_retirements: set[tuple[str, str]] = set()
        self._timed_retirements: collections.deque[tuple[float, str, str]]
        self._timed_retirements = collections.deque()

    def refuse(self, entry: RequestEntry, refusal: Refusal) -> None:
        """Complete a waiting request with a refusal.

        Its state is ``not_run`` only if no task of it can have run, and
        ``failed`` otherwise.
        """
        self._state.context.metrics.record_refusal(refusal.reason)
        answer = not_run_answer(entry.request_id, refusal)
        if entry.may_have_run:
            answer = attrs.evolve(answer, state=RequestState.failed)
        self._close_entry(entry, answer)

    def end(
        self,
        entry: RequestEntry,
        state: RequestState,
        reason: str = '',
    ) -> None:
        """Complete a request that ran or may have run."""
        self._close_entry(
            entry,
            attrs.evolve(entry.answer, state=state, reason=reason),
        )

    def resume(self, entry: RequestEntry) -> None:
        """Continue a completion that waited for the request to be recorded."""
        answer = entry.pending_end
        entry.pending_end = None
        if answer is not None:
            self._record_or_publish_end(entry, answer)

    def finish_if_complete(self, entry: RequestEntry) -> None:
        """Complete a request if all its tasks have finished."""
        size = entry.spec.gang_size
        if len(entry.outputs) < size:
            return
        ids = [task_id_of(entry.request_id, index) for index in range(size)]
        entry.answer = attrs.evolve(
            entry.answer,
            output=tuple(entry.outputs[task_id] for task_id in ids),
        )
        self.end(entry, RequestState.finished)

    def retire_later(
        self,
        entry: RequestEntry,
        worker: str,
        task: WorkerTask,
    ) -> None:
        """Retire a task once its output is not needed after an owner failure.

        The worker keeps the output of a durable request until the answer is
        recorded, and that of a non-durable request for longer than a takeover
        takes.
        """
        if (worker, task.task_id) in self._deferred_retirements:
            return
        self._deferred_retirements.add((worker, task.task_id))
        if entry.is_durable:
            self._state.spawn(
                self._retire_recorded(entry, worker, task.task_id),
            )
            return
        due_s = self._state.now_s() + _NON_DURABLE_RETENTION_S
        self._timed_retirements.append((due_s, worker, task.task_id))

    def retire_task(self, worker: str, task_id: str) -> None:
        """Ask the worker in the next retirement round to delete a task."""
        if (worker, task_id) not in self._deferred_retirements:
            self._task_ids_to_retire[worker].append(task_id)

    def end_orphan(
        self,
        entry: RequestEntry | None,
        worker: str,
        task: WorkerTask,
    ) -> None:
        """Stop or retire a task that no request in progress waits for."""
        if task.phase != TaskPhase.running:
            self._free_if_placed(entry, worker, task.task_id)
        self.end_former(entry, worker, task)

    def end_former(
        self,
        entry: RequestEntry | None,
        worker: str,
        task: WorkerTask,
    ) -> None:
        """Stop or retire a task whose resources may be those of a later run."""
        if task.phase == TaskPhase.running:
            link = self._state.links.get(worker)
            if link is not None:
                self._state.spawn(link.stop((task.task_id,)))
        elif entry is None or entry.ended.is_set():
            self.retire_task(worker, task.task_id)
        else:
            # The worker keeps the task. It has to be retired before it can be
            # started there again.
            entry.ended_on |= {(worker, task.task_id)}
            self.retire_later(entry, worker, task)

    async def run_retirement(self) -> None:
        """Retire tasks and old answers periodically until cancelled."""
        while True:
            await asyncio.sleep(_RETIRE_INTERVAL_S)
            self._retire_due()
            await self._retire_on_workers()
            before_s = (
                self._state.now_s() - self._state.context.result_retention_s
            )
            for entry in self._state.table.retire(before_s):
                if entry.is_durable:
                    self._state.spawn(
                        self._append_with_retry(entry, RecordKind.retired)
                    )

    def _free_if_placed(
        self,
        entry: RequestEntry | None,
        worker: str,
        ended_id: str,
    ) -> None:
        """Free the resources of a task unless it now runs elsewhere."""
        if entry is not None and not entry.ended.is_set():
            if entry.workers.get(ended_id) != worker:
                return
            entry.workers.pop(ended_id)
        self._state.free_resources(ended_id, TaskEnd.finished)

    def _retire_due(self) -> None:
        now_s = self._state.now_s()
        while (
            self._timed_retirements and self._timed_retirements[0][0] <= now_s
        ):
            _due_s, worker, ended_id = self._timed_retirements.popleft()
            self._deferred_retirements.discard((worker, ended_id))
            self.retire_task(worker, ended_id)

    async def _retire_on_workers(self) -> None:
        task_ids_to_retire = self._task_ids_to_retire
        self._task_ids_to_retire = collections.defaultdict(list)
        for worker, ids in task_ids_to_retire.items():
            link = self._state.links.get(worker)
            if link is None:
                continue
            try:
                await link.retire(tuple(ids))
            except PlatformError:
                self._task_ids_to_retire[worker].extend(ids)

    def _close_entry(self, entry: RequestEntry, answer: Answer) -> None:
        if entry.is_closing:
            return
        entry.is_closing = True
        if entry.is_recording:
            # If the journal turns out to hold the request, a successor would
            # run it, so the completion has to be recorded as well.
            entry.pending_end = answer
        else:
            self._record_or_publish_end(entry, answer)

    def _record_or_publish_end(
        self, entry: RequestEntry, answer: Answer
    ) -> None:
        if entry.is_durable and entry.is_recorded:
            entry.answer = attrs.evolve(answer, state=entry.answer.state)
            self._state.spawn(self._record_end(entry, answer))
        else:
            self._publish_end(entry, answer)

    async def _record_end(self, entry: RequestEntry, answer: Answer) -> None:
        try:
            await self._append_with_retry(entry, RecordKind.ended, answer)
        except MalformedMessageError as exc:
            # The record is too large, so retries would fail too. The request
            # is completed as failed, since the caller waits for an answer.
            self._state.log(
                'end_not_recorded', request=entry.request_id, error=exc
            )
            answer = attrs.evolve(
                answer,
                state=RequestState.failed,
                reason='output_too_large',
                remedy='store large results elsewhere and return their place',
                output=(),
            )
            await self._append_with_retry(entry, RecordKind.ended, answer)
        self._publish_end(entry, answer)

    async def _append_with_retry(
        self,
        entry: RequestEntry,
        kind: RecordKind,
        answer: Answer | None = None,
    ) -> None:
        """Append a record, with retries for as long as the store is down."""
        while True:
            try:
                await self._state.append(entry, kind, answer)
            except (StoreUnavailableError, OutcomeUnknownError):
                self._state.context.metrics.record_retry('store_unavailable')
                await asyncio.sleep(_RETIRE_INTERVAL_S)
            else:
                return

    def _publish_end(self, entry: RequestEntry, answer: Answer) -> None:
        now_s = self._state.now_s()
        self._state.table.end(entry, answer, now_s)
        self._state.context.metrics.record_request_end(
            entry.spec.workload, answer.state
        )
        self._state.log(
            'request_end',
            request=entry.request_id,
            team=entry.spec.team,
            workload=entry.spec.workload,
            state=answer.state,
            reason=answer.reason or '-',
            waited_s=_rounded(answer.waited_s),
            total_s=_rounded(now_s - entry.submitted_s),
        )

    async def _retire_recorded(
        self,
        entry: RequestEntry,
        worker: str,
        ended_id: str,
    ) -> None:
        await entry.ended.wait()
        self._deferred_retirements.discard((worker, ended_id))
        self.retire_task(worker, ended_id)


def _rounded(duration_s: float | None) -> str:
    return '-' if duration_s is None else f'{duration_s:.4f}'
