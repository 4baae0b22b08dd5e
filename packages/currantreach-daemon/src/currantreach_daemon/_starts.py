"""Starts of requests, held back until they are recorded."""

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
    LostAnswerError,
    MalformedMessageError,
    PlatformError,
    StaleEpochError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from currantreach_daemon._endings import Endings
    from currantreach_daemon._owner_state import OwnerState
    from currantreach_daemon._requests import RequestEntry
    from currantreach_decisions import Placement
    from currantreach_types import Refusal

__all__ = ('Starts',)

_SETTLE_RETRY_S = 1
_REFUSE_LATE_INTERVAL_S = 0.5
_TEMPORARY = frozenset((refusals.QUEUE_FULL, refusals.NEVER_FITS))


class Starts:
    """Sends placements to workers and queues what did not start again."""

    def __init__(self, state: OwnerState, endings: Endings) -> None:
        """Work on the state of one owner."""
        self._state = state
        self._endings = endings
        self._refused_late_s = float('-inf')
        self._budget = RetryBudget(
            state.tools.clock,
            state.tools.retry_budget_ratio,
        )

    def dispatch(self, placement: Placement) -> None:
        """Start a placement as soon as its request is recorded."""
        entry = self._state.table.get(placement.spec.request_id)
        if entry is None or entry.is_closing or entry.is_cancelled:
            self.note_not_started(placement)
            return
        # The worker keeps the request as it was submitted, not with the
        # deadline of a later attempt, so that its hash can be computed again.
        placement = attrs.evolve(placement, spec=entry.spec)
        entry.workers[placement.task_id] = placement.worker
        if entry.is_durable and not entry.is_recorded:
            entry.held.append(placement)
            return
        ended_there = (placement.worker, placement.task_id) in entry.closed_on
        needs_record = entry.is_durable and entry.spec.is_unrepeatable
        if ended_there or needs_record:
            self._state.spawn(self._prepare_start(entry, placement))
        else:
            self._send(entry, placement)

    def record_accepted(self, entry: RequestEntry) -> asyncio.Task[None]:
        """Begin to record a durable request, which is refused on failure.

        From now on, an end waits until it is known whether the journal holds
        the request.
        """
        entry.is_recording = True
        return self._state.spawn(self._record_accepted(entry))

    def note_recorded(self, entry: RequestEntry) -> None:
        """Start, or end, what waited for the record."""
        entry.is_recorded = True
        entry.is_recording = False
        held = tuple(entry.held)
        entry.held.clear()
        if entry.pending_end is None:
            self._accept(entry)
        else:
            self._endings.resume(entry)
        if entry.is_cancelled and not held:
            self._endings.refuse(entry, refusals.CANCELLED)
        for placement in held:
            self.dispatch(placement)

    def refuse_late(self) -> None:
        """Refuse prompt requests that a lapsed claim kept from starting."""
        now_s = self._state.now_s()
        if now_s < self._refused_late_s + _REFUSE_LATE_INTERVAL_S:
            return
        self._refused_late_s = now_s
        late = [
            entry.request_id
            for entry in self._state.table
            if _is_late(entry, now_s)
        ]
        for request_id in self._state.tools.scheduler.cancel(late):
            entry = self._state.table.get(request_id)
            if entry is not None:
                self._endings.refuse(entry, refusals.DEADLINE_UNREACHABLE)

    def retry_failed(self, entry: RequestEntry) -> None:
        """Run a request again after a failure, as far as its budget goes."""
        if not self._budget.take(entry.spec.team):
            self._state.stop_tasks(entry)
            refusal = refusals.RETRY_BUDGET_SPENT
            self._state.tools.metrics.record_refusal(refusal.reason)
            self._endings.end(
                entry,
                RequestState.failed,
                reason=refusal.reason,
            )
            return
        self._state.tools.metrics.record_retry('task_failed')
        if entry.workers:
            self.settle_partial(entry)
        else:
            self._settle_later(entry)

    def note_request(self, entry: RequestEntry) -> None:
        """Count a first request for the retry budget of its team."""
        self._budget.note_request(entry.spec.team)

    def queue_again(self, entry: RequestEntry) -> None:
        """Queue a request none of whose tasks runs."""
        spec = entry.spec
        now_s = self._state.now_s()
        if spec.deadline_s is not None:
            left_s = entry.submitted_s + spec.deadline_s - now_s
            spec = attrs.evolve(spec, deadline_s=max(float(0), left_s))
        refusal = self._state.tools.scheduler.submit(spec, now_s)
        if refusal in _TEMPORARY and entry.is_durable:
            # Accepted work outlives a queue that filled up meanwhile and
            # workers that are away.
            self._settle_later(entry)
            return
        if refusal is not None:
            self._endings.refuse(entry, refusal)
            return
        self._accept(entry)
        self._state.wakeup.set()

    def settle_partial(self, entry: RequestEntry) -> None:
        """Queue a request again once none of its tasks is left."""
        if entry.workers:
            entry.is_broken = True
            self._state.stop_tasks(entry)
        elif entry.is_closing or entry.is_recovering:
            return
        elif entry.is_cancelled:
            self._endings.refuse(entry, refusals.CANCELLED)
        elif entry.spec.is_unrepeatable and entry.may_have_run:
            self._endings.end(
                entry,
                RequestState.failed,
                reason='gang_incomplete',
            )
        else:
            entry.is_broken = False
            entry.outputs.clear()
            self.queue_again(entry)

    def note_not_started(self, placement: Placement) -> None:
        """Queue a request again whose start had no effect."""
        self._state.tools.metrics.record_retry('not_started')
        self._state.give_back(placement.task_id, TaskEnd.not_started)
        entry = self._state.table.get(placement.spec.request_id)
        if entry is None:
            return
        entry.workers.pop(placement.task_id, None)
        if not entry.is_closing:
            self.settle_partial(entry)

    def _send(self, entry: RequestEntry, placement: Placement) -> None:
        link = self._state.links.get(placement.worker)
        is_closed = placement.worker in self._state.closed
        is_over = entry.is_cancelled or entry.is_closing or entry.is_broken
        if link is None or is_closed or is_over:
            self.note_not_started(placement)
        else:
            link.start(placement)

    async def _record_accepted(self, entry: RequestEntry) -> None:
        try:
            await self._state.append(entry, RecordKind.accepted)
        except LostAnswerError:
            entry.answer = attrs.evolve(
                entry.answer,
                reason='store_answer_lost',
            )
            self._state.spawn(self._settle_accepted(entry))
        except (PlatformError, MalformedMessageError) as exc:
            self._withdraw(entry, _refusal_of(exc))
        else:
            self.note_recorded(entry)

    async def _prepare_start(
        self,
        entry: RequestEntry,
        placement: Placement,
    ) -> None:
        if entry.is_closing:
            self.note_not_started(placement)
            return
        key = (placement.worker, placement.task_id)
        link = self._state.links.get(placement.worker)
        try:
            if key in entry.closed_on and link is not None:
                # The worker answers "known" while it remembers the last run.
                await link.retire((placement.task_id,))
                entry.closed_on -= {key}
            if entry.is_durable and entry.spec.is_unrepeatable:
                self._note_intent(entry, placement)
                await self._state.append(entry, RecordKind.starting)
        except PlatformError:
            self.note_not_started(placement)
            return
        self._send(entry, placement)

    def _note_intent(self, entry: RequestEntry, placement: Placement) -> None:
        link = self._state.links.get(placement.worker)
        entry.intents[placement.task_id] = StartIntent(
            worker=placement.worker,
            boot_id='' if link is None else link.boot_id,
        )

    async def _settle_accepted(self, entry: RequestEntry) -> None:
        if await self._settled(entry):
            self.note_recorded(entry)
        else:
            self._withdraw(entry, refusals.STORE_UNAVAILABLE)

    async def _settled(self, entry: RequestEntry) -> bool:
        record = journal_record(entry, RecordKind.accepted)
        while True:
            try:
                return await self._state.tools.journal.resolve(record)
            except (StoreUnavailableError, LostAnswerError):
                await asyncio.sleep(_SETTLE_RETRY_S)
            except StaleEpochError:
                self._state.lost.set()
                raise

    def _withdraw(self, entry: RequestEntry, refusal: Refusal) -> None:
        entry.is_recording = False
        self._state.tools.scheduler.cancel((entry.request_id,))
        for placement in entry.held:
            self._state.give_back(placement.task_id, TaskEnd.not_started)
        entry.held.clear()
        entry.workers.clear()
        if entry.pending_end is None:
            self._endings.refuse(entry, refusal)
        else:
            self._endings.resume(entry)

    def _accept(self, entry: RequestEntry) -> None:
        entry.answer = attrs.evolve(
            entry.answer,
            state=RequestState.accepted,
            reason='',
            can_retry=False,
        )

    def _settle_later(self, entry: RequestEntry) -> None:
        entry.retry_count += 1
        self._accept(entry)
        self._state.spawn(
            self._settle_after(
                entry,
                retry_delay_s(entry.request_id, entry.retry_count),
            ),
        )

    async def _settle_after(self, entry: RequestEntry, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.settle_partial(entry)


def _refusal_of(error: CurrantreachError) -> Refusal:
    """Return why a request was certainly not recorded."""
    if isinstance(error, MalformedMessageError):
        return refusals.BODY_TOO_LARGE
    if isinstance(error, StaleEpochError):
        return refusals.NO_OWNER
    return refusals.STORE_UNAVAILABLE


def _is_late(entry: RequestEntry, now_s: float) -> bool:
    deadline_s = entry.spec.deadline_s
    if entry.is_durable or deadline_s is None:
        return False
    return now_s > entry.submitted_s + deadline_s
