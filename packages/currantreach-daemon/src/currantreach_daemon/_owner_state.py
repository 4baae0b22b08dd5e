"""State that the components of an owner share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from currantreach_daemon._requests import RequestEntry, RequestTable
from currantreach_decisions import Scheduler
from currantreach_platform import WorkerClient
from currantreach_state import Journal, JournalRecord, RecordKind
from currantreach_telemetry import Metrics, log_event, log_warning
from currantreach_types import (
    Answer,
    Clock,
    PolicyKind,
    RequestState,
    encode_json,
)
from currantreach_types.errors import PlatformError, StaleEpochError

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from currantreach_daemon._worker_link import WorkerLink
    from currantreach_decisions import TaskEnd
    from currantreach_state import Claim
    from currantreach_types import TaskSpec, WorkerInfo

__all__ = ('OwnerContext', 'OwnerState', 'journal_record')

_ENDED_LIMIT = 20000


@attrs.frozen(slots=True, kw_only=True)
class OwnerContext:
    """Services and settings of an owner.

    :ivar claim_valid_until_s: returns the time after which no start may be
        sent.
    :ivar unadopted_wait_s: how long recovery waits for workers that were not
        adopted, since the predecessor may still renew the leases of their
        tasks.
    """

    clock: Clock
    scheduler: Scheduler
    journal: Journal
    workers: WorkerClient
    metrics: Metrics
    claim_valid_until_s: Callable[[], float]
    task_lease_s: float
    result_retention_s: float
    unadopted_wait_s: float
    retry_budget_ratio: float = 0.2


class OwnerState:
    """Requests, workers and background work of one owner.

    :ivar lost: set when another daemon owns the partition.
    :ivar has_limits: set when the team limits are known.
    :ivar recovered: set when recovery is complete and requests without a
        running task are queued again.
    :ivar wakeup: set when the state changed so that the scheduler should run.
    :ivar links: link to each worker, by name.
    :ivar registrations: host list entry of each worker, by name.
    :ivar closed: names of workers that receive no new tasks.
    """

    def __init__(self, claim: Claim, context: OwnerContext) -> None:
        """Start with no requests and no workers."""
        self.claim = claim
        self.context = context
        self.lost = asyncio.Event()
        self.has_limits = asyncio.Event()
        self.recovered = asyncio.Event()
        self.wakeup = asyncio.Event()
        self.table = RequestTable(_ENDED_LIMIT)
        self.links: dict[str, WorkerLink] = {}
        self.registrations: dict[str, WorkerInfo] = {}
        self.closed: set[str] = set()
        self._background: set[asyncio.Task[None]] = set()

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self.context.clock.now_s()

    def log(self, event: str, **fields: object) -> None:
        """Log an event with the fields that identify this partition."""
        log_event(
            event,
            domain=self.claim.domain,
            partition=self.claim.partition,
            epoch=self.claim.epoch,
            **fields,
        )

    def spawn(
        self,
        work: Coroutine[object, object, None],
    ) -> asyncio.Task[None]:
        """Run a coroutine in the background; log its platform errors."""
        running = asyncio.create_task(_log_platform_errors(work))
        self._background.add(running)
        running.add_done_callback(self._background.discard)
        return running

    async def cancel_background(self) -> None:
        """Cancel all background tasks and wait for them."""
        running = tuple(self._background)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def free_resources(self, task_id: str, end: TaskEnd) -> None:
        """Free the resources of a task in the scheduler."""
        self.context.scheduler.end_task(task_id, end, self.now_s())

    def stop_tasks(self, entry: RequestEntry) -> None:
        """Ask the workers to stop the tasks of a request."""
        by_worker: dict[str, list[str]] = {}
        for task_id, worker in entry.workers.items():
            by_worker.setdefault(worker, []).append(task_id)
        for name, ids in by_worker.items():
            link = self.links.get(name)
            if link is not None:
                self.spawn(link.stop(tuple(ids)))

    def new_entry(self, spec: TaskSpec, body_hash: str) -> RequestEntry:
        """Return an entry for a new request.

        A durable request is reported as accepted only when the journal holds
        its record; until then its state is unknown.
        """
        is_durable = spec.policy != PolicyKind.prompt
        answer = Answer(
            request_id=spec.request_id,
            state=RequestState.accepted,
        )
        if is_durable:
            answer = attrs.evolve(
                answer,
                state=RequestState.unknown,
                reason='not_recorded_yet',
                can_retry=True,
            )
        return RequestEntry(
            spec=spec,
            body_hash=body_hash,
            submitted_s=self.now_s(),
            answer=answer,
            is_durable=is_durable,
        )

    async def append(
        self,
        entry: RequestEntry,
        kind: RecordKind,
        answer: Answer | None = None,
    ) -> None:
        """Append a record of a request to the journal."""
        try:
            await self.context.journal.append(
                journal_record(entry, kind, answer),
            )
        except StaleEpochError:
            self.lost.set()
            raise


def journal_record(
    entry: RequestEntry,
    kind: RecordKind,
    answer: Answer | None = None,
) -> JournalRecord:
    """Return the journal record of a request.

    A record of kind ``starting`` has the start intents in the field of the
    answer.
    """
    answer_json = ''
    if kind == RecordKind.starting:
        answer_json = encode_json(entry.intents).decode()
    elif answer is not None:
        answer_json = encode_json(answer).decode()
    return JournalRecord(
        request_id=entry.request_id,
        kind=kind,
        spec_json=encode_json(entry.spec).decode(),
        answer_json=answer_json,
        body_hash=entry.body_hash,
    )


async def _log_platform_errors(work: Coroutine[object, object, None]) -> None:
    try:
        await work
    except PlatformError as exc:
        log_warning('platform_error', error=exc)
