"""Dispatch of placements to workers, after the journal record if needed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from currantreach_daemon._owner_state import journal_record
from currantreach_daemon._requests import StartIntent
from currantreach_daemon._retry_budget import RetryBudget, retry_delay_s
from currantreach_decisions import TaskEnd
from currantreach_state import RecordKind
from currantreach_types import RequestState, refusals
from currantreach_types.errors import (
    CurrantreachError,
    MalformedMessageError,
    OutcomeUnknownError,
    PlatformError,
    StaleEpochError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from currantreach_daemon._completion import CompletionHandler
    from currantreach_daemon._owner_state import OwnerState
    from currantreach_daemon._requests import RequestEntry
    from currantreach_decisions import Placement
    from currantreach_types import Refusal

__all__ = ('Dispatcher',)

_RESOLVE_RETRY_S = 1
_DEADLINE_CHECK_INTERVAL_S = 0.5
_TEMPORARY = frozenset((refusals.QUEUE_FULL, refusals.NEVER_FITS))


class Dispatcher:
    """Sends placements to workers and requeues requests that did not start."""

    def __init__(
        self, state: OwnerState, completion: CompletionHandler
    ) -> None:
        """Use the state of one owner."""
        self._state = state
        self._completion = completion
        self._deadline_checked_s = float('-inf')
        self._budget = RetryBudget(
            state.context.clock,
            state.context.retry_budget_ratio,
        )

    def dispatch(self, placement: Placement) -> None:
        """Start the task of a placement once its request is recorded."""
        entry = self._state.table.get(placement.spec.request_id)
        if entry is None or entry.is_closing or entry.is_cancelled:
            self.on_not_started(placement)
            return
        # The worker stores the spec as it was submitted, not with the
        # deadline of a later attempt, so that a successor computes the same
        # body hash from it.
        placement = attrs.evolve(placement, spec=entry.spec)
        entry.workers[placement.task_id] = placement.worker
        entry.attempt = placement.attempt
        if entry.is_durable and not entry.is_recorded:
            entry.pending_starts.append(placement)
            return
        has_ended_there = (
            placement.worker,
            placement.task_id,
        ) in entry.ended_on
        needs_record = entry.is_durable and entry.spec.is_unrepeatable
        if has_ended_there or needs_record:
            self._state.spawn(self._prepare_start(entry, placement))
        else:
            self._send(entry, placement)

    def record_accepted(self, entry: RequestEntry) -> asyncio.Task[None]:
        """Start to record a durable request; refuse it if that fails.

        From now on the request is completed only when it is known whether
        the journal holds it.
        """
        entry.is_recording = True
        return self._state.spawn(self._record_accepted(entry))

    def on_recorded(self, entry: RequestEntry) -> None:
        """Start or complete a request whose record was written."""
        entry.is_recorded = True
        entry.is_recording = False
        pending = tuple(entry.pending_starts)
        entry.pending_starts.clear()
        if entry.pending_end is None:
            self._mark_accepted(entry)
        else:
            self._completion.resume(entry)
        if entry.is_cancelled and not pending:
            self._completion.refuse(entry, refusals.CANCELLED)
        for placement in pending:
            self.dispatch(placement)

    def refuse_past_deadline(self) -> None:
        """Refuse prompt requests whose deadline passed under an expired claim.

        The scheduler, which refuses them otherwise, does not run then.
        """
        now_s = self._state.now_s()
        if now_s < self._deadline_checked_s + _DEADLINE_CHECK_INTERVAL_S:
            return
        self._deadline_checked_s = now_s
        past_deadline = [
            entry.request_id
            for entry in self._state.table
            if _is_past_deadline(entry, now_s)
        ]
        for request_id in self._state.context.scheduler.cancel(past_deadline):
            entry = self._state.table.get(request_id)
            if entry is not None:
                self._completion.refuse(entry, refusals.DEADLINE_UNREACHABLE)

    def retry_failed(self, entry: RequestEntry) -> None:
        """Retry a request after a failed run if the budget allows it."""
        if not self._budget.try_spend(entry.spec.team):
            self._state.stop_tasks(entry)
            refusal = refusals.RETRY_BUDGET_SPENT
            self._state.context.metrics.record_refusal(refusal.reason)
            self._completion.end(
                entry,
                RequestState.failed,
                reason=refusal.reason,
            )
            return
        self._state.context.metrics.record_retry('task_failed')
        entry.is_retry_delayed = True
        self.requeue_incomplete(entry)

    def count_request(self, entry: RequestEntry) -> None:
        """Count a new request towards the retry budget of its team."""
        self._budget.count_request(entry.spec.team)

    def requeue(self, entry: RequestEntry) -> None:
        """Queue a request of which no task runs."""
        spec = entry.spec
        now_s = self._state.now_s()
        if spec.deadline_s is not None:
            left_s = entry.submitted_s + spec.deadline_s - now_s
            spec = attrs.evolve(spec, deadline_s=max(float(0), left_s))
        refusal = self._state.context.scheduler.submit(spec, now_s)
        if refusal in _TEMPORARY and entry.is_durable:
            # An accepted durable request must not fail because the queue has
            # filled up since, or because workers are temporarily missing.
            self._requeue_later(entry)
            return
        if refusal is not None:
            self._completion.refuse(entry, refusal)
            return
        self._mark_accepted(entry)
        self._state.wakeup.set()

    def requeue_incomplete(self, entry: RequestEntry) -> None:
        """Stop the remaining tasks of a request, or requeue it if none is left.

        The scheduler starts all tasks of a gang together.
        """
        if entry.workers:
            entry.is_broken = True
            self._state.stop_tasks(entry)
        elif entry.is_closing or entry.is_recovering:
            return
        elif entry.is_cancelled:
            self._completion.refuse(entry, refusals.CANCELLED)
        elif entry.spec.is_unrepeatable and entry.may_have_run:
            self._completion.end(
                entry,
                RequestState.failed,
                reason='gang_incomplete',
            )
        else:
            self._run_again(entry)

    def on_not_started(self, placement: Placement) -> None:
        """Requeue a request whose start had no effect."""
        self._state.context.metrics.record_retry('not_started')
        self._state.free_resources(placement.task_id, TaskEnd.not_started)
        entry = self._state.table.get(placement.spec.request_id)
        if entry is None:
            return
        entry.workers.pop(placement.task_id, None)
        if not entry.is_closing:
            self.requeue_incomplete(entry)

    def _run_again(self, entry: RequestEntry) -> None:
        """Queue a request again, after a delay if its last run failed."""
        entry.is_broken = False
        entry.outputs.clear()
        if entry.is_retry_delayed:
            entry.is_retry_delayed = False
            self._requeue_later(entry)
        else:
            self.requeue(entry)

    def _send(self, entry: RequestEntry, placement: Placement) -> None:
        link = self._state.links.get(placement.worker)
        is_closed = placement.worker in self._state.closed
        is_over = entry.is_cancelled or entry.is_closing or entry.is_broken
        if link is None or is_closed or is_over:
            self.on_not_started(placement)
        else:
            link.start(placement)

    async def _record_accepted(self, entry: RequestEntry) -> None:
        try:
            await self._state.append(entry, RecordKind.accepted)
        except OutcomeUnknownError:
            entry.answer = attrs.evolve(
                entry.answer,
                reason='store_answer_lost',
            )
            self._state.spawn(self._resolve_accepted(entry))
        except (PlatformError, MalformedMessageError) as exc:
            self._withdraw(entry, _refusal_of(exc))
        else:
            self.on_recorded(entry)

    async def _prepare_start(
        self,
        entry: RequestEntry,
        placement: Placement,
    ) -> None:
        if entry.is_closing:
            self.on_not_started(placement)
            return
        key = (placement.worker, placement.task_id)
        link = self._state.links.get(placement.worker)
        try:
            if key in entry.ended_on and link is not None:
                # Until the earlier run is retired, the worker answers a start
                # of the same task id with the outcome "known".
                await link.retire((placement.task_id,))
                entry.ended_on -= {key}
            if entry.is_durable and entry.spec.is_unrepeatable:
                self._add_intent(entry, placement)
                await self._state.append(entry, RecordKind.starting)
        except PlatformError:
            self.on_not_started(placement)
            return
        self._send(entry, placement)

    def _add_intent(self, entry: RequestEntry, placement: Placement) -> None:
        link = self._state.links.get(placement.worker)
        entry.intents[placement.task_id] = StartIntent(
            worker=placement.worker,
            boot_id='' if link is None else link.boot_id,
        )

    async def _resolve_accepted(self, entry: RequestEntry) -> None:
        if await self._resolve_append(entry):
            self.on_recorded(entry)
        else:
            self._withdraw(entry, refusals.STORE_UNAVAILABLE)

    async def _resolve_append(self, entry: RequestEntry) -> bool:
        record = journal_record(entry, RecordKind.accepted)
        while True:
            try:
                return await self._state.context.journal.resolve(record)
            except (StoreUnavailableError, OutcomeUnknownError):
                await asyncio.sleep(_RESOLVE_RETRY_S)
            except StaleEpochError:
                self._state.lost.set()
                raise

    def _withdraw(self, entry: RequestEntry, refusal: Refusal) -> None:
        entry.is_recording = False
        self._state.context.scheduler.cancel((entry.request_id,))
        for placement in entry.pending_starts:
            self._state.free_resources(placement.task_id, TaskEnd.not_started)
        entry.pending_starts.clear()
        entry.workers.clear()
        if entry.pending_end is None:
            self._completion.refuse(entry, refusal)
        else:
            self._completion.resume(entry)

    def _mark_accepted(self, entry: RequestEntry) -> None:
        entry.answer = attrs.evolve(
            entry.answer,
            state=RequestState.accepted,
            reason='',
            can_retry=False,
        )

    def _requeue_later(self, entry: RequestEntry) -> None:
        entry.retry_count += 1
        self._mark_accepted(entry)
        self._state.spawn(
            self._requeue_after(
                entry,
                retry_delay_s(entry.request_id, entry.retry_count),
            ),
        )

    async def _requeue_after(self, entry: RequestEntry, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.requeue_incomplete(entry)


def _refusal_of(error: CurrantreachError) -> Refusal:
    """Return the refusal for an error after which no record exists."""
    if isinstance(error, MalformedMessageError):
        return refusals.BODY_TOO_LARGE
    if isinstance(error, StaleEpochError):
        return refusals.NO_OWNER
    return refusals.STORE_UNAVAILABLE


def _is_past_deadline(entry: RequestEntry, now_s: float) -> bool:
    deadline_s = entry.spec.deadline_s
    if entry.is_durable or deadline_s is None:
        return False
    return now_s > entry.submitted_s + deadline_s
