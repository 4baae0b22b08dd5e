"""Requests that the owner of a partition knows."""

from __future__ import annotations

import asyncio
import collections
import hashlib
from typing import TYPE_CHECKING

import attrs

from currantreach_decisions import Placement
from currantreach_types import (
    Answer,
    PolicyKind,
    RequestState,
    TaskSpec,
    encode_json,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantreach_types import Refusal

__all__ = (
    'RequestEntry',
    'RequestTable',
    'StartIntent',
    'body_hash_of',
    'not_run_answer',
)

_DIGEST_BYTES = 16


@attrs.frozen(slots=True, kw_only=True)
class StartIntent:
    """Start that was recorded before it was sent.

    :ivar worker: worker that was chosen.
    :ivar boot_id: boot of the worker; while it lasts, the inventory shows
        whether the start took effect.
    """

    worker: str
    boot_id: str


@attrs.define(slots=True, kw_only=True, eq=False)
class RequestEntry:
    """A request and what is known of its tasks.

    :ivar body_hash: hash of the submitted body.
    :ivar submitted_s: monotonic time of the submission.
    :ivar is_recorded: whether the journal holds it, or need not.
    :ivar is_cancelled: whether a caller cancelled it.
    :ivar is_closing: whether its final answer is settled, though perhaps
        not yet recorded.
    :ivar may_have_run: whether a task of it ran or may have run.
    :ivar held: placements that wait for the journal.
    :ivar workers: worker of each task that may run.
    :ivar outputs: output of each finished task.
    :ivar attempt_count: how often it was started.
    :ivar intents: boot id of the worker of each task that was recorded as
        about to start.
    :ivar closed_on: pairs of worker and task id that were seen to end.
    :ivar ended: set once the answer is final.
    """

    spec: TaskSpec
    body_hash: str
    submitted_s: float
    answer: Answer
    is_durable: bool
    is_recorded: bool = False
    is_cancelled: bool = False
    is_closing: bool = False
    may_have_run: bool = False
    held: list[Placement] = attrs.field(factory=list)
    workers: dict[str, str] = attrs.field(factory=dict)
    outputs: dict[str, str] = attrs.field(factory=dict)
    attempt_count: int = 0
    intents: dict[str, StartIntent] = attrs.field(factory=dict)
    closed_on: set[tuple[str, str]] = attrs.field(factory=set)
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.spec.request_id

    def holds_room(self, worker: str, task_id: str) -> bool:
        """Tell whether the room of a task may be the one on this worker.

        An earlier run of it, here or elsewhere, gave its room back when it
        ended; the room now belongs to a later run.
        """
        if (worker, task_id) in self.closed_on:
            return False
        return self.workers.get(task_id, worker) == worker


class RequestTable:
    """Requests in progress, and ended ones until they are retired.

    :param ended_limit: ended requests kept at most.
    """

    def __init__(self, ended_limit: int) -> None:
        """Start without requests."""
        self._entries: dict[str, RequestEntry] = {}
        self._ended: collections.deque[tuple[float, str]] = collections.deque()
        self._ended_limit = ended_limit
        self._open_counts: collections.Counter[str] = collections.Counter()

    def __iter__(self) -> Iterator[RequestEntry]:
        """Iterate over a snapshot of all entries."""
        return iter(tuple(self._entries.values()))

    def get(self, request_id: str) -> RequestEntry | None:
        """Return the entry of a request, if it is known."""
        return self._entries.get(request_id)

    def add(self, entry: RequestEntry) -> None:
        """Add a request."""
        self._entries[entry.request_id] = entry
        self._open_counts[entry.spec.team] += 1

    def remove(self, request_id: str) -> None:
        """Forget a request."""
        entry = self._entries.pop(request_id, None)
        if entry is not None and not entry.ended.is_set():
            self._open_counts[entry.spec.team] -= 1

    def open_count(self) -> int:
        """Return how many requests have not ended."""
        return self._open_counts.total()

    def open_prompt_count(self) -> int:
        """Return how many prompt requests have not ended."""
        return sum(
            entry.spec.policy == PolicyKind.prompt and not entry.ended.is_set()
            for entry in self._entries.values()
        )

    def end(self, entry: RequestEntry, answer: Answer, now_s: float) -> None:
        """Give a request its final answer."""
        entry.answer = answer
        if entry.ended.is_set():
            return
        entry.ended.set()
        self._open_counts[entry.spec.team] -= 1
        self._ended.append((now_s, entry.request_id))

    def retire(self, before_s: float) -> tuple[RequestEntry, ...]:
        """Forget and return the requests that ended before a time."""
        retired = []
        while self._ended:
            ended_s, request_id = self._ended[0]
            is_over_limit = len(self._ended) > self._ended_limit
            if ended_s >= before_s and not is_over_limit:
                break
            self._ended.popleft()
            entry = self._entries.pop(request_id, None)
            if entry is not None:
                retired.append(entry)
        return tuple(retired)


def body_hash_of(spec: TaskSpec) -> str:
    """Return the hash that recognises a repeated submission."""
    digest = hashlib.blake2b(encode_json(spec), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


def not_run_answer(request_id: str, refusal: Refusal) -> Answer:
    """Return the answer that tells a refusal."""
    return Answer(
        request_id=request_id,
        state=RequestState.not_run,
        reason=refusal.reason,
        remedy=refusal.remedy,
        can_retry=refusal.can_retry,
        retry_after_s=refusal.retry_after_s,
    )
