"""Handlers of calls from peers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, TypeVar

from currantreach_daemon._heartbeats import (
    HEARTBEAT_WIRE,
    HeartbeatWire,
    pack_heartbeat,
    unpack_heartbeat,
)
from currantreach_daemon._messages import (
    CancelMessage,
    ConfigMessage,
    IdMessage,
    IdReply,
    ListMessage,
    ListReply,
    PartitionsMessage,
    PartitionsReply,
    PeerLeaseMessage,
    SubmitMessage,
    TakeoverVoteMessage,
    TextReply,
    WaitMessage,
)
from currantreach_daemon._requests import not_run_answer
from currantreach_types import (
    Answer,
    RequestId,
    RequestState,
    decode_msgpack,
    encode_json,
    encode_msgpack,
    refusals,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from currantreach_daemon._membership import Membership
    from currantreach_daemon._overview import Overview
    from currantreach_daemon._owner import Owner
    from currantreach_daemon._peers import PeerTable
    from currantreach_links import Handler
    from currantreach_state import ConfigStore

__all__ = ('PeerApi',)

_Message = TypeVar('_Message')


class PeerApi:
    """Serves the calls of peers with the owners and the membership."""

    def __init__(
        self,
        membership: Membership,
        peers: PeerTable,
        config_store: ConfigStore,
        overview: Overview,
    ) -> None:
        """Serve the calls to one daemon."""
        self._membership = membership
        self._peers = peers
        self._config_store = config_store
        self._overview = overview

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers by method name."""
        return {
            'heartbeat': _answering(HEARTBEAT_WIRE, self._heartbeat),
            'issue_id': _answering(IdMessage, self._issue_id),
            'submit': _answering(SubmitMessage, self._submit),
            'wait': _answering(WaitMessage, self._wait),
            'cancel': _answering(CancelMessage, self._cancel),
            'list': _answering(ListMessage, self._list),
            'explain': _answering(WaitMessage, self._explain),
            'partitions': _answering(PartitionsMessage, self._partitions),
            'promise': _answering(PeerLeaseMessage, self._promise),
            'consent': _answering(TakeoverVoteMessage, self._consent),
            'fetch_config': _answering(ConfigMessage, self._fetch_config),
        }

    async def _heartbeat(self, message: HeartbeatWire) -> HeartbeatWire:
        return pack_heartbeat(
            self._peers.receive_heartbeat(unpack_heartbeat(message))
        )

    async def _issue_id(self, message: IdMessage) -> IdReply:
        owner = self._membership.owners.get(message.partition)
        if owner is None or owner.claim.domain != message.domain:
            return IdReply(request_id='')
        return IdReply(request_id=owner.issue_id())

    async def _submit(self, message: SubmitMessage) -> Answer:
        request_id = message.spec.request_id
        owner = self._owner(request_id)
        if owner is None:
            return not_run_answer(request_id, refusals.NO_OWNER)
        return await owner.submit(message.spec, message.body_hash)

    async def _wait(self, message: WaitMessage) -> Answer:
        owner = self._owner(message.request_id)
        if owner is None:
            return _no_owner_answer(message.request_id)
        return await owner.wait(
            message.request_id,
            message.team,
            message.timeout_s,
        )

    async def _cancel(self, message: CancelMessage) -> ListReply:
        owner = self._owner(message.request_ids[0])
        if owner is None:
            answers = [
                _no_owner_answer(request_id)
                for request_id in message.request_ids
            ]
            return ListReply(answers=tuple(answers))
        return ListReply(
            answers=owner.cancel(message.request_ids, message.team),
        )

    async def _list(self, message: ListMessage) -> ListReply:
        owner = self._membership.owners.get(message.partition)
        if owner is None or owner.claim.domain != message.domain:
            return ListReply(answers=())
        return ListReply(answers=owner.answers(message.team))

    async def _explain(self, message: WaitMessage) -> TextReply:
        owner = self._owner(message.request_id)
        if owner is None:
            return TextReply(text='')
        return TextReply(text=owner.explain(message.request_id))

    async def _partitions(
        self,
        _message: PartitionsMessage,
    ) -> PartitionsReply:
        return self._overview.partitions()

    async def _promise(self, message: PeerLeaseMessage) -> object:
        return self._membership.promise(message)

    async def _consent(self, message: TakeoverVoteMessage) -> object:
        return self._membership.consent(message)

    async def _fetch_config(self, message: ConfigMessage) -> TextReply:
        record = self._config_store.record
        if record is None or record.revision <= message.revision:
            return TextReply(text='')
        return TextReply(text=encode_json(record).decode())

    def _owner(self, request_id: str) -> Owner | None:
        parsed = RequestId.parse(request_id)
        owner = self._membership.owners.get(parsed.partition)
        if owner is None or owner.claim.domain != parsed.domain:
            return None
        return owner


def _answering(
    kind: type[_Message],
    call: Callable[[_Message], Awaitable[object]],
) -> Handler:
    return functools.partial(_answer, kind, call)


async def _answer(
    kind: type[_Message],
    call: Callable[[_Message], Awaitable[object]],
    body: bytes,
    /,
) -> bytes:
    return encode_msgpack(await call(decode_msgpack(body, kind)))


def _no_owner_answer(request_id: str) -> Answer:
    return Answer(
        request_id=request_id,
        state=RequestState.unknown,
        reason=refusals.NO_OWNER.reason,
        remedy='ask again for this request id; it may have run',
        can_retry=True,
        retry_after_s=refusals.NO_OWNER.retry_after_s,
    )
