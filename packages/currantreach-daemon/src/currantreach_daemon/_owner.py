"""Owner of one partition: accepts, places and completes requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_daemon._completion import CompletionHandler
from currantreach_daemon._dispatcher import Dispatcher
from currantreach_daemon._messages import OwnedPartition
from currantreach_daemon._owner_state import OwnerState
from currantreach_daemon._recovery import Recovery
from currantreach_daemon._requests import issue_request_id, not_run_answer
from currantreach_daemon._task_events import TaskEvents
from currantreach_daemon._worker_set import WorkerSet
from currantreach_types import (
    Answer,
    RequestId,
    RequestState,
    Resources,
    refusals,
)
from currantreach_types.errors import (
    OutcomeUnknownError,
    StaleEpochError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_daemon._owner_state import OwnerContext
    from currantreach_daemon._quotas import Quotas
    from currantreach_daemon._requests import RequestEntry
    from currantreach_decisions import Decisions
    from currantreach_state import Claim, JournalRecord
    from currantreach_types import Refusal, TaskSpec

__all__ = ('Owner',)

_DECIDE_INTERVAL_S = 0.05
_JOURNAL_RETRY_S = 0.5
# Routing tolerates load figures that are older than a heartbeat.
_LOAD_MAX_AGE_S = 0.1
_RECOVERING = 'recovering'


class Owner:
    """Single writer of the state of a partition, under one claim.

    :ivar claim: claim that makes this daemon the owner.
    :ivar workers: workers of the partition.
    :ivar quotas: team limits, set before :meth:`run`.
    """

    def __init__(self, claim: Claim, context: OwnerContext) -> None:
        """Create the components; :meth:`run` starts them."""
        self.claim = claim
        self.quotas: Quotas
        self._context = context
        self._state = OwnerState(claim, context)
        self._completion = CompletionHandler(self._state)
        self._dispatcher = Dispatcher(self._state, self._completion)
        self._recovery = Recovery(
            self._state, self._dispatcher, self._completion
        )
        self._events = TaskEvents(
            self._state,
            self._dispatcher,
            self._completion,
            self._recovery,
        )
        self.workers = WorkerSet(self._state, self._events)
        self._is_journal_read = asyncio.Event()
        self._load: OwnedPartition | None = None
        self._load_until_s = float(0)

    @property
    def has_limits(self) -> asyncio.Event:
        """Return the event that is set when the team limits are known."""
        return self._state.has_limits

    async def run(self) -> None:
        """Serve the partition until another daemon claims it."""
        try:
            await self._recover()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_scheduling())
                group.create_task(self._completion.run_retirement())
                group.create_task(self._recovery.finish())
                group.create_task(self.quotas.run())
                await self._state.lost.wait()
                raise StaleEpochError('another daemon owns this partition')
        except* StaleEpochError:
            self._state.log('ownership_lost')
        finally:
            await self.close()

    async def close(self) -> None:
        """Close all worker links; the tasks keep running for the successor."""
        await self.workers.close()
        await self._state.cancel_background()
        await self._context.journal.close()

    def issue_id(self) -> str:
        """Return a new request id for this partition."""
        return issue_request_id(self.claim, self._state.now_s())

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return self._context.scheduler.waiting_count()

    async def submit(self, spec: TaskSpec, body_hash: str) -> Answer:
        """Accept a request, or return the answer to an earlier submission.

        A repeated id with another body is refused.
        """
        existing = self._state.table.get(spec.request_id)
        if existing is not None:
            if existing.body_hash != body_hash:
                return not_run_answer(spec.request_id, refusals.ID_REUSED)
            return existing.answer
        if self._may_have_run(spec.request_id):
            return self._unknown_answer(spec.request_id)
        if not self._is_ready():
            return not_run_answer(spec.request_id, refusals.NO_OWNER)
        entry = self._state.new_entry(spec, body_hash)
        refusal = self._enqueue(spec)
        self._state.table.add(entry)
        if refusal is not None:
            self._completion.refuse(entry, refusal)
            return entry.answer
        self._dispatcher.count_request(entry)
        if entry.is_durable:
            # A background task writes the record, so that it is completed
            # although the caller disconnects, and the caller gets an answer
            # although the owner stops.
            await asyncio.wait((self._dispatcher.record_accepted(entry),))
        self._state.wakeup.set()
        return entry.answer

    async def wait(
        self, request_id: str, team: str, timeout_s: float
    ) -> Answer:
        """Return the answer when it is final or the timeout expires."""
        entry = self._visible_entry(request_id, team)
        if entry is None:
            return self._unknown_answer(request_id)
        try:
            async with asyncio.timeout(timeout_s):
                await entry.ended.wait()
        except TimeoutError:
            return entry.answer
        return entry.answer

    def cancel(
        self, request_ids: Sequence[str], team: str
    ) -> tuple[Answer, ...]:
        """Cancel requests of a team; completed ones keep their answer."""
        entries = [
            self._visible_entry(wanted_id, team) for wanted_id in request_ids
        ]
        present = [entry for entry in entries if entry is not None]
        ids = [entry.request_id for entry in present]
        waiting = frozenset(self._context.scheduler.cancel(ids))
        for entry in present:
            if entry.is_closing:
                continue
            entry.is_cancelled = True
            if entry.request_id in waiting and not entry.workers:
                self._completion.refuse(entry, refusals.CANCELLED)
            else:
                self._state.stop_tasks(entry)
        return tuple(
            self._unknown_answer(request_id) if entry is None else entry.answer
            for request_id, entry in zip(request_ids, entries, strict=True)
        )

    def answers(self, team: str) -> tuple[Answer, ...]:
        """Return the answers of all requests of a team, or of all teams."""
        return tuple(
            entry.answer
            for entry in self._state.table
            if not team or entry.spec.team == team
        )

    def explain(self, request_id: str) -> str:
        """Return why a request waits."""
        entry = self._state.table.get(request_id)
        if entry is None:
            return 'unknown request'
        if entry.ended.is_set() or entry.workers:
            return f'{entry.answer.state}; nothing holds it back'
        return self._context.scheduler.explain(
            request_id,
            self._context.clock.now_s(),
        )

    def preempt(self, worker: str, ids: tuple[str, ...]) -> None:
        """Ask a worker to checkpoint tasks and stop them."""
        link = self._state.links.get(worker)
        if link is not None:
            self._state.spawn(link.checkpoint(ids))

    def preempt_excess(self, team: str, excess: Resources) -> None:
        """Preempt tasks of a team until at least ``excess`` becomes free.

        Repeatable tasks are preempted first and, among tasks alike in that,
        those of the requests that were added last.
        """
        running = [
            entry
            for entry in self._state.table
            if entry.workers and entry.spec.team == team
        ]
        # The loop pops from the end. Repeatable tasks are sorted last, so that
        # they are preempted first: they run again later, while preempted
        # unrepeatable ones fail. The sort is stable, so the requests that were
        # added last are popped first.
        running.sort(key=lambda entry: not entry.spec.is_unrepeatable)
        remaining = excess
        while running and not remaining.fits_in(Resources()):
            entry = running.pop()
            for running_id, worker in entry.workers.items():
                self.preempt(worker, (running_id,))
                remaining -= entry.spec.resources

    def load(self) -> OwnedPartition:
        """Return the claim and the load of the partition, from a cache."""
        now_s = self._state.now_s()
        if self._load is None or now_s >= self._load_until_s:
            self._load_until_s = now_s + _LOAD_MAX_AGE_S
            self._load = self._measure_load()
        return self._load

    def usage(self) -> Mapping[str, Resources]:
        """Return the resources that each team uses."""
        return self._context.scheduler.usage()

    def unadopted_capacity(self) -> Resources | None:
        """Return the capacity of workers that were not adopted yet."""
        return self._recovery.unadopted_capacity()

    def allotments(self) -> Mapping[str, Resources]:
        """Return the allotment of each team."""
        return {team: self.quotas.granted(team) for team in self.usage()}

    def limits_revision(self) -> int:
        """Return the revision whose team limits are in force."""
        return self.quotas.revision

    def prompt_count(self) -> int:
        """Return the number of prompt requests in progress."""
        return self._state.table.open_prompt_count()

    def _measure_load(self) -> OwnedPartition:
        used = sum(self.usage().values(), Resources())
        return OwnedPartition(
            domain=self.claim.domain,
            partition=self.claim.partition,
            epoch=self.claim.epoch,
            waiting_count=self.waiting_count(),
            free=self.workers.open_capacity() - used,
            largest=self.workers.largest_capacity(),
        )

    async def _recover(self) -> None:
        for record in await self._open_journal():
            self._recovery.add_record(record)
        self._is_journal_read.set()
        # Workers connect after the journal was read: tasks of requests that
        # only the journal knows would otherwise be stopped as orphans.
        self.workers.open()

    async def _open_journal(self) -> tuple[JournalRecord, ...]:
        while True:
            try:
                return await self._context.journal.open()
            except (StoreUnavailableError, OutcomeUnknownError) as exc:
                self._state.log('journal_unavailable', error=exc)
                await asyncio.sleep(_JOURNAL_RETRY_S)

    async def _run_scheduling(self) -> None:
        clock = self._context.clock
        while True:
            try:
                async with asyncio.timeout(_DECIDE_INTERVAL_S):
                    await self._state.wakeup.wait()
            except TimeoutError:
                pass  # noqa: WPS420
            self._state.wakeup.clear()
            if clock.now_s() >= self._context.claim_valid_until_s():
                self._dispatcher.refuse_past_deadline()
                continue
            began_s = clock.now_s()
            decisions = self._context.scheduler.decide(began_s)
            self._context.metrics.record_decision_round(clock.now_s() - began_s)
            self._apply_decisions(decisions)

    def _apply_decisions(self, decisions: Decisions) -> None:
        for placement in decisions.placements:
            self._dispatcher.dispatch(placement)
        for request_id, refusal in decisions.refused:
            entry = self._state.table.get(request_id)
            if entry is not None:
                self._completion.refuse(entry, refusal)
        for preemption in decisions.preemptions:
            self.preempt(preemption.worker, (preemption.task_id,))

    def _is_ready(self) -> bool:
        """Return whether new work can be accepted and started."""
        is_open = self._is_journal_read.is_set() and self.has_limits.is_set()
        return (
            is_open
            and self._state.now_s() < self._context.claim_valid_until_s()
        )

    def _enqueue(self, spec: TaskSpec) -> Refusal | None:
        if not self._state.table.has_memory_for(spec):
            return refusals.QUEUE_FULL
        return self._context.scheduler.submit(spec, self._state.now_s())

    def _may_have_run(self, request_id: str) -> bool:
        """Return whether an id without an entry may have run earlier."""
        if RequestId.parse(request_id).epoch != self.claim.epoch:
            return True
        return self._state.table.may_be_retired(request_id)

    def _visible_entry(self, request_id: str, team: str) -> RequestEntry | None:
        entry = self._state.table.get(request_id)
        if entry is None or (team and entry.spec.team != team):
            return None
        return entry

    def _unknown_answer(self, request_id: str) -> Answer:
        # Only the successor that issued an id of a higher epoch knows the
        # state of its request.
        is_final = (
            self._state.recovered.is_set()
            and RequestId.parse(request_id).epoch <= self.claim.epoch
        )
        return Answer(
            request_id=request_id,
            state=RequestState.unknown,
            reason='id_epoch_passed' if is_final else _RECOVERING,
            remedy=(
                'the work may have run; submit with a new id to run it again'
                if is_final
                else 'ask again; the owner changes or is reading its workers'
            ),
            can_retry=not is_final,
        )
