"""Table of the requests of one partition."""

from __future__ import annotations

import asyncio
import collections
import functools
import hashlib
from typing import TYPE_CHECKING, TypeAlias

import attrs

from currantreach_daemon._link_runs import RunNumber
from currantreach_decisions import Placement
from currantreach_types import (
    Answer,
    PolicyKind,
    RequestId,
    RequestState,
    Resources,
    TaskSpec,
    decode_json,
    encode_json,
    new_request_id,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantreach_state import Claim
    from currantreach_types import Refusal

__all__ = (
    'RequestEntry',
    'RequestTable',
    'StartIntent',
    'body_hash_of',
    'issue_request_id',
    'not_run_answer',
)

_Ended: TypeAlias = collections.deque[tuple[float, str]]

_DIGEST_BYTES = 16
_MS_PER_S = 1000
# Measured memory of an open and of an ended request, without the payload and
# output. An idle daemon uses 52 MiB of its limit of 64 MB.
_OPEN_BYTES = 1800
_ENDED_BYTES = 850
_OPEN_LIMIT_BYTES = 8_000_000
_ENDED_LIMIT_BYTES = 4_000_000
_SPEC_CACHE_SIZE = 256


@attrs.frozen(slots=True, kw_only=True)
class StartIntent:
    """Start of a task that was recorded before it was sent.

    :ivar worker: worker of the task.
    :ivar boot_id: boot id of the worker; until it restarts, its inventory
        shows whether the start took effect.
    """

    worker: str
    boot_id: str


class LazyEvent:
    """Event that is allocated on the first wait, which saves 700 bytes."""

    __slots__ = ('_event', '_is_set')

    def __init__(self) -> None:
        """Start in the unset state."""
        self._is_set = False
        self._event: asyncio.Event | None = None

    def is_set(self) -> bool:
        """Return whether the event is set."""
        return self._is_set

    def set(self) -> None:
        """Set the event and wake all waiters."""
        self._is_set = True
        if self._event is not None:
            self._event.set()

    async def wait(self) -> None:
        """Wait until the event is set."""
        if self._is_set:
            return
        if self._event is None:
            self._event = asyncio.Event()
        await self._event.wait()


@attrs.define(slots=True, kw_only=True, eq=False)
class RequestEntry:
    """A request and the state of its tasks.

    :ivar body_hash: hash of the submitted body.
    :ivar submitted_s: monotonic time of the submission.
    :ivar is_recorded: whether the journal holds it.
    :ivar is_cancelled: whether a caller cancelled it.
    :ivar is_recording: whether its acceptance is being recorded.
    :ivar is_recovering: whether recovery still waits for workers that may
        run it.
    :ivar is_broken: whether a task is missing, so that the others are
        stopped.
    :ivar is_closing: whether its final answer is known, although it may not
        be recorded yet.
    :ivar may_have_run: whether a task of it ran or may have run.
    :ivar pending_starts: placements that wait for the journal record.
    :ivar workers: worker of each task that may be running, by task id.
    :ivar outputs: output of each finished task, by task id.
    :ivar attempt: number of its last run, 0 if this owner has placed none.
    :ivar counted_run: epoch and number of the last failed run that is
        counted.
    :ivar failure_count: number of failed runs.
    :ivar is_retry_delayed: whether the next run waits, as the last one failed.
    :ivar retry_count: number of delayed retries.
    :ivar pending_end: final answer that waits until the acceptance is
        recorded.
    :ivar intents: recorded start of each task, by task id.
    :ivar ended_on: pairs of worker and task id whose end was reported.
    :ivar ended: set when the answer is final.
    """

    spec: TaskSpec
    body_hash: str
    submitted_s: float
    answer: Answer
    is_durable: bool
    is_recorded: bool = False
    is_cancelled: bool = False
    is_recording: bool = False
    is_recovering: bool = False
    is_broken: bool = False
    is_closing: bool = False
    may_have_run: bool = False
    pending_starts: list[Placement] = attrs.field(factory=list)
    workers: dict[str, str] = attrs.field(factory=dict)
    outputs: dict[str, str] = attrs.field(factory=dict)
    attempt: int = 0
    counted_run: RunNumber = (-1, -1)
    failure_count: int = 0
    is_retry_delayed: bool = False
    retry_count: int = 0
    pending_end: Answer | None = None
    intents: dict[str, StartIntent] = attrs.field(factory=dict)
    ended_on: frozenset[tuple[str, str]] = frozenset()
    ended: LazyEvent = attrs.field(factory=LazyEvent)

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.answer.request_id

    def count_failure(self, run: RunNumber) -> bool:
        """Count a failed run; return whether it was not counted yet.

        A run of a gang fails once, however many of its tasks do, and a run
        begins only after all tasks of the former one have ended.
        """
        if run <= self.counted_run:
            return False
        self.counted_run = run
        self.failure_count += 1
        return True


class RequestTable:
    """Open requests, and ended ones until they are retired.

    Refused, prompt and durable requests have separate queues after their end,
    so that many refusals do not displace results, and many prompt results do
    not displace durable ones.

    :param ended_limit: maximum number of ended requests in each queue.
    """

    def __init__(self, ended_limit: int) -> None:
        """Start with no requests."""
        self._entries: dict[str, RequestEntry] = {}
        self._refused: _Ended = collections.deque()
        self._prompt: _Ended = collections.deque()
        self._durable: _Ended = collections.deque()
        self._ended_limit = ended_limit
        self._open_count = 0
        self._open_bytes = 0
        self._ended_bytes = 0
        self._newest_retired_ms = -1
        # All ended requests share the event and the empty containers of this
        # entry, which are never modified.
        self._blank = _blank_entry()

    def __iter__(self) -> Iterator[RequestEntry]:
        """Iterate over a snapshot of all entries."""
        return iter(tuple(self._entries.values()))

    def get(self, request_id: str) -> RequestEntry | None:
        """Return the entry of a request, or ``None`` if there is none."""
        return self._entries.get(request_id)

    def has_memory_for(self, spec: TaskSpec) -> bool:
        """Return whether a request fits in the memory for open requests."""
        size_bytes = self._open_bytes + _open_bytes(spec)
        return size_bytes <= _OPEN_LIMIT_BYTES

    def may_be_retired(self, request_id: str) -> bool:
        """Return whether an id without an entry may have been retired.

        Ids contain the time of their issue; an id that is not newer than the
        newest retired one may have been retired too.
        """
        return _issued_ms(request_id) <= self._newest_retired_ms

    def add(self, entry: RequestEntry) -> None:
        """Add a request."""
        self._entries[entry.request_id] = entry
        self._open_count += 1
        self._open_bytes += _open_bytes(entry.spec)

    def open_count(self) -> int:
        """Return the number of open requests."""
        return self._open_count

    def open_prompt_count(self) -> int:
        """Return the number of open prompt requests."""
        return sum(
            entry.spec.policy == PolicyKind.prompt and not entry.ended.is_set()
            for entry in self._entries.values()
        )

    def end(self, entry: RequestEntry, answer: Answer, now_s: float) -> None:
        """Set the final answer of a request."""
        entry.answer = answer
        if entry.ended.is_set():
            return
        entry.ended.set()
        self._open_count -= 1
        self._open_bytes -= _open_bytes(entry.spec)
        self._ended_bytes += _ended_bytes(answer)
        self._compact(entry)
        ended = self._durable if entry.is_durable else self._prompt
        if answer.state == RequestState.not_run:
            ended = self._refused
        ended.append((now_s, entry.request_id))

    def retire(self, before_s: float) -> tuple[RequestEntry, ...]:
        """Remove and return the requests that ended before a time.

        Requests beyond the limits of number and memory are removed as well.
        """
        return (
            *self._retire_from(self._refused, before_s),
            *self._retire_from(self._prompt, before_s),
            *self._retire_from(self._durable, before_s),
        )

    def _retire_from(
        self,
        ended: _Ended,
        before_s: float,
    ) -> Iterator[RequestEntry]:
        while ended:
            ended_s, request_id = ended[0]
            # The only result is kept even if it alone exceeds the limit.
            is_over_limit = len(ended) > self._ended_limit or (
                len(ended) > 1 and self._ended_bytes > _ENDED_LIMIT_BYTES
            )
            if ended_s >= before_s and not is_over_limit:
                return
            ended.popleft()
            entry = self._entries.pop(request_id)
            self._ended_bytes -= _ended_bytes(entry.answer)
            self._newest_retired_ms = max(
                self._newest_retired_ms, _issued_ms(request_id)
            )
            yield entry

    def _compact(self, entry: RequestEntry) -> None:
        """Free the memory that only open requests need."""
        spec = entry.spec
        blank = self._blank
        entry.spec = _ended_spec(
            spec.team,
            spec.queue,
            spec.workload,
            spec.policy,
            spec.is_unrepeatable,
        )
        entry.ended = blank.ended
        entry.pending_starts = blank.pending_starts
        entry.workers = blank.workers
        entry.outputs = blank.outputs
        entry.intents = blank.intents
        entry.ended_on = frozenset()


@functools.lru_cache(maxsize=_SPEC_CACHE_SIZE)
def _ended_spec(
    team: str,
    queue: str,
    workload: str,
    policy: PolicyKind,
    is_unrepeatable: bool,
) -> TaskSpec:
    """Return the reduced spec of an ended request; equal ones are shared."""
    return TaskSpec(
        request_id='',
        team=team,
        queue=queue,
        workload=workload,
        policy=policy,
        resources=Resources(),
        is_unrepeatable=is_unrepeatable,
    )


def _blank_entry() -> RequestEntry:
    blank = RequestEntry(
        spec=_ended_spec('', '', '', PolicyKind.prompt, is_unrepeatable=False),
        body_hash='',
        submitted_s=0,
        answer=Answer(request_id='', state=RequestState.unknown),
        is_durable=False,
    )
    blank.ended.set()
    return blank


def issue_request_id(claim: Claim, now_s: float) -> str:
    """Return a new id that contains the time of its issue."""
    issued = new_request_id(claim.domain, claim.partition, claim.epoch)
    issued_ms = int(now_s * _MS_PER_S)
    return str(attrs.evolve(issued, suffix=f'{issued_ms}-{issued.suffix}'))


def _issued_ms(request_id: str) -> int:
    issued, dash, _random = RequestId.parse(request_id).suffix.partition('-')
    return int(issued) if dash and issued.isdecimal() else 0


def _open_bytes(spec: TaskSpec) -> int:
    return _OPEN_BYTES + len(spec.payload)


def _ended_bytes(answer: Answer) -> int:
    return _ENDED_BYTES + sum(len(text) for text in answer.output)


def body_hash_of(spec: TaskSpec) -> str:
    """Return the hash that identifies a repeated submission.

    A spec that was decoded from a worker's report, where integers became
    floats, has the same hash.
    """
    decoded = decode_json(encode_json(spec), TaskSpec)
    digest = hashlib.blake2b(encode_json(decoded), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


def not_run_answer(request_id: str, refusal: Refusal) -> Answer:
    """Return the answer for a refused request."""
    return Answer(
        request_id=request_id,
        state=RequestState.not_run,
        reason=refusal.reason,
        remedy=refusal.remedy,
        can_retry=refusal.can_retry,
        retry_after_s=refusal.retry_after_s,
    )
