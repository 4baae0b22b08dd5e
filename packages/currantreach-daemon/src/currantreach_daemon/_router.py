"""Routing of requests to the owner of their partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_daemon._messages import (
    CancelMessage,
    IdMessage,
    IdReply,
    ListMessage,
    ListReply,
    OwnedPartition,
    SubmitMessage,
    TextReply,
    WaitMessage,
)
from currantreach_daemon._requests import not_run_answer
from currantreach_links import NotSentError
from currantreach_types import Answer, RequestId, RequestState, refusals
from currantreach_types.errors import LinkError

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_daemon._owner import Owner
    from currantreach_daemon._peers import Peer, PeerTable
    from currantreach_telemetry import Metrics
    from currantreach_types import Refusal, Resources, TaskSpec

__all__ = ('Router',)

_SUBMIT_TIMEOUT_S = 4
_CALL_TIMEOUT_S = 2
# Requests stay in the caller's failure domain until its queue is this much
# longer than elsewhere, since links between failure domains are slow.
_LOCAL_PREFERENCE = 8
_RETRY_DELAY_S = 0.1
_OWNER_ATTEMPTS = 8
_NO_KEYS: frozenset[str] = frozenset()
_AMBIGUOUS_REASONS = frozenset(
    (refusals.NO_OWNER.reason, refusals.OWNER_UNREACHABLE.reason),
)


class Router:
    """Routes calls about requests to the owners of their partitions.

    :ivar owners: owners of the partitions of this daemon.
    """

    def __init__(
        self,
        domain: str,
        owners: Mapping[int, Owner],
        peers: PeerTable,
        metrics: Metrics,
    ) -> None:
        """Route from a daemon of the failure domain ``domain``."""
        self._domain = domain
        self.owners = owners
        self._peers = peers
        self._metrics = metrics

    async def issue_id(
        self,
        resources: Resources,
        excluded: frozenset[str] = _NO_KEYS,
    ) -> str | Refusal:
        """Return a new id of the partition that suits a task best.

        :param excluded: keys ``domain.partition`` of partitions to skip.
        """
        candidates = [
            (peer, owned)
            for peer, owned in self._candidates()
            if f'{owned.domain}.{owned.partition}' not in excluded
        ]
        candidates.sort(key=lambda pair: self._rank(pair[1], resources))
        for peer, owned in candidates:
            if peer is None:
                local = self.owners.get(owned.partition)
                if local is not None:
                    return local.issue_id()
                continue
            try:
                reply = await peer.link.call(
                    'issue_id',
                    IdMessage(domain=owned.domain, partition=owned.partition),
                    IdReply,
                    _CALL_TIMEOUT_S,
                )
            except LinkError:
                self._metrics.record_retry('owner_unreachable')
                continue
            if reply.request_id:
                return reply.request_id
        return refusals.NO_OWNER

    async def submit(
        self,
        spec: TaskSpec,
        body_hash: str,
        *,
        is_repeated: bool,
    ) -> Answer:
        """Submit a request to the owner of its partition.

        :param is_repeated: whether the caller submitted it before; then only
            the owner can answer that it was not run.
        """
        answer = await self._submit_once(spec, body_hash)
        attempts_left = _OWNER_ATTEMPTS
        while attempts_left and answer.reason == refusals.NO_OWNER.reason:
            # A new owner may not have been announced by a heartbeat yet.
            attempts_left -= 1
            await asyncio.sleep(_RETRY_DELAY_S)
            answer = await self._submit_once(spec, body_hash)
        if is_repeated and answer.reason in _AMBIGUOUS_REASONS:
            return _unreachable_answer(spec.request_id)
        return answer

    async def wait(
        self,
        request_id: str,
        team: str,
        timeout_s: float,
    ) -> Answer:
        """Return the answer when the request ends or the timeout expires.

        While the owner changes, the call is retried until the successor knows
        the state of the request.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while True:
            left_s = max(float(0), end_s - loop.time())
            answer = await self._wait_once(request_id, team, left_s)
            is_unknown = answer.state == RequestState.unknown
            if not (is_unknown and answer.can_retry and left_s):
                return answer
            await asyncio.sleep(_RETRY_DELAY_S)

    async def explain(self, request_id: str) -> str:
        """Return why a request waits."""
        owner = self._owner(request_id)
        if owner is None:
            return refusals.NO_OWNER.remedy
        if not isinstance(owner, RemoteOwner):
            return owner.explain(request_id)
        try:
            reply = await owner.peer.link.call(
                'explain',
                WaitMessage(request_id=request_id, team='', timeout_s=0),
                TextReply,
                _CALL_TIMEOUT_S,
            )
        except LinkError:
            return refusals.OWNER_UNREACHABLE.remedy
        return reply.text

    async def cancel(
        self,
        request_ids: Sequence[str],
        team: str,
    ) -> tuple[Answer, ...]:
        """Cancel requests, one call for each partition."""
        by_partition: dict[tuple[str, int], list[str]] = {}
        for request_id in request_ids:
            parsed = RequestId.parse(request_id)
            key = (parsed.domain, parsed.partition)
            by_partition.setdefault(key, []).append(request_id)
        answers: list[Answer] = []
        for ids in by_partition.values():
            answers.extend(await self._cancel_at(tuple(ids), team))
        by_id = {answer.request_id: answer for answer in answers}
        return tuple(by_id[request_id] for request_id in request_ids)

    async def list_requests(self, team: str) -> tuple[Answer, ...]:
        """Return the requests of a team in all reachable partitions."""
        answers: list[Answer] = []
        for peer, owned in self._candidates():
            if peer is None:
                local = self.owners.get(owned.partition)
                answers.extend(() if local is None else local.answers(team))
                continue
            try:
                reply = await peer.link.call(
                    'list',
                    ListMessage(
                        domain=owned.domain,
                        partition=owned.partition,
                        team=team,
                    ),
                    ListReply,
                    _CALL_TIMEOUT_S,
                )
            except LinkError:
                continue
            answers.extend(reply.answers)
        return tuple(answers)

    async def _submit_once(self, spec: TaskSpec, body_hash: str) -> Answer:
        request_id = spec.request_id
        owner = self._owner(request_id)
        if owner is None:
            return not_run_answer(request_id, refusals.NO_OWNER)
        if not isinstance(owner, RemoteOwner):
            return await owner.submit(spec, body_hash)
        try:
            return await owner.peer.link.call(
                'submit',
                SubmitMessage(spec=spec, body_hash=body_hash),
                Answer,
                _SUBMIT_TIMEOUT_S,
            )
        except NotSentError:
            return not_run_answer(request_id, refusals.OWNER_UNREACHABLE)
        except LinkError:
            return _unreachable_answer(request_id)

    async def _wait_once(
        self,
        request_id: str,
        team: str,
        timeout_s: float,
    ) -> Answer:
        owner = self._owner(request_id)
        if owner is None:
            return _unreachable_answer(request_id)
        if not isinstance(owner, RemoteOwner):
            return await owner.wait(request_id, team, timeout_s)
        try:
            return await owner.peer.link.call(
                'wait',
                WaitMessage(
                    request_id=request_id,
                    team=team,
                    timeout_s=timeout_s,
                ),
                Answer,
                timeout_s + _CALL_TIMEOUT_S,
            )
        except LinkError:
            return _unreachable_answer(request_id)

    def _owner(self, request_id: str) -> Owner | RemoteOwner | None:
        parsed = RequestId.parse(request_id)
        local: Owner | None = None
        if parsed.domain == self._domain:
            local = self.owners.get(parsed.partition)
        # A local owner may have lost its claim without knowing it yet, so an
        # owner of a higher epoch takes precedence.
        min_epoch = 0 if local is None else local.claim.epoch + 1
        peer = self._peers.owner_of(
            parsed.domain,
            parsed.partition,
            min_epoch,
        )
        return local if peer is None else RemoteOwner(peer)

    async def _cancel_at(
        self,
        ids: tuple[str, ...],
        team: str,
    ) -> tuple[Answer, ...]:
        owner = self._owner(ids[0])
        if owner is None:
            return tuple(_unreachable_answer(request_id) for request_id in ids)
        if not isinstance(owner, RemoteOwner):
            return owner.cancel(ids, team)
        try:
            reply = await owner.peer.link.call(
                'cancel',
                CancelMessage(request_ids=ids, team=team),
                ListReply,
                _CALL_TIMEOUT_S,
            )
        except LinkError:
            return tuple(_unreachable_answer(request_id) for request_id in ids)
        return reply.answers

    def _candidates(self) -> list[tuple[Peer | None, OwnedPartition]]:
        found: list[tuple[Peer | None, OwnedPartition]] = [
            (None, owner.load()) for owner in self.owners.values()
        ]
        found.extend(self._peers.owners())
        return found

    def _rank(
        self,
        owned: OwnedPartition,
        resources: Resources,
    ) -> tuple[bool, bool, int]:
        distance = 0 if owned.domain == self._domain else _LOCAL_PREFERENCE
        return (
            not resources.fits_in(owned.largest),
            not resources.fits_in(owned.free),
            owned.waiting_count + distance,
        )


class RemoteOwner:
    """Owner that runs in another daemon."""

    def __init__(self, peer: Peer) -> None:
        """Refer to the daemon ``peer``."""
        self.peer = peer


def _unreachable_answer(request_id: str) -> Answer:
    return Answer(
        request_id=request_id,
        state=RequestState.unknown,
        reason='owner_unreachable',
        remedy='ask again for this request id; it may have run',
        can_retry=True,
        retry_after_s=1,
    )
