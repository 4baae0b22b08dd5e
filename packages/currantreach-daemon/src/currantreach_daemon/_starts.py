"""Starts of requests, held back until they are recorded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from currantreach_daemon._owner_state import journal_record
from currantreach_daemon._requests import StartIntent
from currantreach_decisions import TaskEnd
from currantreach_state import RecordKind
from currantreach_types import RequestState, refusals
from currantreach_types.errors import (
    LostAnswerError,
    PlatformError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from currantreach_daemon._endings import Endings
    from currantreach_daemon._owner_state import OwnerState
    from currantreach_daemon._requests import RequestEntry
    from currantreach_decisions import Placement

__all__ = ('Starts',)

_SETTLE_RETRY_S = 1


class Starts:
    """Sends placements to workers and queues what did not start again."""

    def __init__(self, state: OwnerState, endings: Endings) -> None:
        """Work on the state of one owner."""
        self._state = state
        self._endings = endings

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

    async def record_accepted(self, entry: RequestEntry) -> None:
        """Record a durable request, or refuse it."""
        try:
            await self._state.append(entry, RecordKind.accepted)
        except StoreUnavailableError:
            self._withdraw(entry)
            return
        except LostAnswerError:
            entry.answer = attrs.evolve(
                entry.answer,
                state=RequestState.unknown,
                reason='store_answer_lost',
                can_retry=True,
            )
            self._state.spawn(self._settle_accepted(entry))
            return
        self._note_recorded(entry)

    def queue_again(self, entry: RequestEntry) -> None:
        """Queue a request none of whose tasks runs."""
        spec = entry.spec
        now_s = self._state.now_s()
        if spec.deadline_s is not None:
            left_s = entry.submitted_s + spec.deadline_s - now_s
            spec = attrs.evolve(spec, deadline_s=max(float(0), left_s))
        refusal = self._state.tools.scheduler.submit(spec, now_s)
        if refusal is not None:
            self._endings.refuse(entry, refusal)
            return
        entry.answer = attrs.evolve(
            entry.answer,
            state=RequestState.accepted,
        )
        self._state.wakeup.set()

    def settle_partial(self, entry: RequestEntry) -> None:
        """Queue a request again once none of its tasks is left."""
        if entry.workers:
            self._state.stop_tasks(entry)
            return
        if entry.is_closing:
            return
        if entry.is_cancelled:
            self._endings.refuse(entry, refusals.CANCELLED)
            return
        entry.outputs.clear()
        self.queue_again(entry)

    def note_not_started(self, placement: Placement) -> None:
        """Queue a request again whose start had no effect."""
        self._state.tools.metrics.retried('not_started')
        self._state.give_back(placement.task_id, TaskEnd.not_started)
        entry = self._state.table.get(placement.spec.request_id)
        if entry is None:
            return
        entry.workers.pop(placement.task_id, None)
        if not entry.is_closing:
            self.settle_partial(entry)

    def _send(self, entry: RequestEntry, placement: Placement) -> None:
        link = self._state.links.get(placement.worker)
        if link is None or entry.is_cancelled or entry.is_closing:
            self.note_not_started(placement)
        else:
            link.start(placement)

    async def _prepare_start(
        self,
        entry: RequestEntry,
        placement: Placement,
    ) -> None:
        key = (placement.worker, placement.task_id)
        link = self._state.links.get(placement.worker)
        try:
            if key in entry.closed_on and link is not None:
                # The worker answers "known" while it remembers the last run.
                await link.retire((placement.task_id,))
                entry.closed_on.discard(key)
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
            entry.answer = attrs.evolve(
                entry.answer,
                state=RequestState.accepted,
                reason='',
                can_retry=False,
            )
            self._note_recorded(entry)
        else:
            self._withdraw(entry)

    async def _settled(self, entry: RequestEntry) -> bool:
        record = journal_record(entry, RecordKind.accepted)
        while True:
            try:
                return await self._state.tools.journal.settle(record)
            except (StoreUnavailableError, LostAnswerError):
                await asyncio.sleep(_SETTLE_RETRY_S)

    def _withdraw(self, entry: RequestEntry) -> None:
        self._state.tools.scheduler.cancel((entry.request_id,))
        for placement in entry.held:
            self._state.give_back(placement.task_id, TaskEnd.not_started)
        entry.held.clear()
        entry.workers.clear()
        self._endings.refuse(entry, refusals.STORE_UNAVAILABLE)

    def _note_recorded(self, entry: RequestEntry) -> None:
        entry.is_recorded = True
        held = tuple(entry.held)
        entry.held.clear()
        for placement in held:
            self.dispatch(placement)
