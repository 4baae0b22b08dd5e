"""Workers over HTTP."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import attrs

from currantreach_platform._channel import (
    Call,
    Channel,
    NoAnswerError,
    NotSentError,
)
from currantreach_platform._workers import WorkerClient
from currantreach_types import (
    Inventory,
    StartResult,
    WorkerEvents,
    decode_json,
    encode_json,
)
from currantreach_types.errors import (
    MalformedMessageError,
    StaleEpochError,
    WorkerUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_types import StartOrder, WorkerInfo

__all__ = ('HttpWorkerClient',)

_OK = 200
_CONFLICT = 409
_MS_PER_S = 1000
# Each channel takes about 5 KB; hosts are replaced every day, so channels
# of workers that are no longer used are closed.
_CHANNEL_LIMIT = 1500

_Answer = TypeVar('_Answer')


@attrs.frozen(slots=True, kw_only=True)
class _Started:
    """Answer to a start."""

    clock_ms: int
    outcomes: tuple[StartResult, ...]


@attrs.frozen(slots=True, kw_only=True)
class _Done:
    """Answer to a call that returns nothing."""

    clock_ms: int


class HttpWorkerClient(WorkerClient):
    """Client of the workers' published HTTP format."""

    def __init__(
        self,
        deadline_s: float = 2,
        channel_limit: int = _CHANNEL_LIMIT,
    ) -> None:
        """Prepare the client.

        :param deadline_s: total time of one call; ``events`` may also wait.
        :param channel_limit: workers to which connections are kept.
        """
        self._deadline_s = deadline_s
        self._channel_limit = channel_limit
        self._channels: collections.OrderedDict[
            tuple[str, str],
            Channel,
        ] = collections.OrderedDict()

    async def adopt(
        self,
        worker: WorkerInfo,
        epoch: int,
        owner: str,
    ) -> Inventory:
        """Fence the worker with an epoch and read its inventory."""
        order = {'epoch': epoch, 'owner': owner}
        return await self._post(worker, 'adopt', order, Inventory)

    async def start(
        self,
        worker: WorkerInfo,
        orders: Sequence[StartOrder],
    ) -> tuple[StartResult, ...]:
        """Start tasks; the outcomes are in the order of the orders."""
        sent = {'orders': list(orders)}
        answer = await self._post(worker, 'start', sent, _Started)
        if [each.task_id for each in answer.outcomes] != [
            order.task_id for order in orders
        ]:
            raise WorkerUnavailableError(
                f'worker {worker.name}: outcomes do not match the orders; '
                'read the inventory',
            )
        return answer.outcomes

    async def renew(
        self,
        worker: WorkerInfo,
        epoch: int,
        lease_ms: int,
    ) -> Inventory:
        """Renew the leases of all tasks and read the inventory."""
        order = {'epoch': epoch, 'lease_ms': lease_ms}
        return await self._post(worker, 'renew', order, Inventory)

    async def stop(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Stop tasks."""
        await self._command(worker, 'stop', epoch, task_ids)

    async def checkpoint(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Stop tasks so that a later start resumes them."""
        await self._command(worker, 'checkpoint', epoch, task_ids)

    async def throttle(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Slow tasks down."""
        await self._command(worker, 'throttle', epoch, task_ids)

    async def retire(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Forget ended tasks."""
        await self._command(worker, 'retire', epoch, task_ids)

    async def events(
        self,
        worker: WorkerInfo,
        after_sequence: int,
        timeout_s: float,
    ) -> WorkerEvents:
        """Wait for changes of the worker's tasks."""
        query = {
            'after': str(after_sequence),
            'timeout_ms': str(round(timeout_s * _MS_PER_S)),
        }
        call = Call(
            method='GET',
            path=_path(worker, 'events'),
            query=query,
            wait_s=timeout_s,
        )
        return await self._call(worker, call, WorkerEvents)

    async def close(self) -> None:
        """Close all connections."""
        channels = tuple(self._channels.values())
        self._channels.clear()
        await asyncio.gather(*(channel.close() for channel in channels))

    async def _command(
        self,
        worker: WorkerInfo,
        name: str,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        order = {'epoch': epoch, 'task_ids': list(task_ids)}
        await self._post(worker, name, order, _Done)

    async def _post(
        self,
        worker: WorkerInfo,
        name: str,
        order: object,
        kind: type[_Answer],
    ) -> _Answer:
        call = Call(
            method='POST',
            path=_path(worker, name),
            body=encode_json(order),
        )
        return await self._call(worker, call, kind)

    async def _call(
        self,
        worker: WorkerInfo,
        call: Call,
        kind: type[_Answer],
    ) -> _Answer:
        try:
            reply = await self._channel(worker).call(call)
        except (NotSentError, NoAnswerError) as exc:
            raise WorkerUnavailableError(
                f'worker {worker.name}: {exc}; read the inventory',
            ) from exc
        await self._close_unused()
        _check_status(worker, reply.status)
        return _decode(worker, reply.body, kind)

    def _channel(self, worker: WorkerInfo) -> Channel:
        key = (worker.name, worker.url)
        channel = self._channels.get(key)
        if channel is None:
            channel = Channel(worker.url, self._deadline_s)
            self._channels[key] = channel
        self._channels.move_to_end(key)
        return channel

    async def _close_unused(self) -> None:
        excess = len(self._channels) - self._channel_limit
        if excess <= 0:
            return
        unused = [
            key
            for key, channel in self._channels.items()
            if channel.in_flight == 0
        ]
        closing = [self._channels.pop(key) for key in unused[:excess]]
        await asyncio.gather(*(channel.close() for channel in closing))


def _path(worker: WorkerInfo, name: str) -> str:
    return f'/v1/workers/{quote(worker.name, safe="")}/{name}'


def _check_status(worker: WorkerInfo, status: int) -> None:
    if status == _CONFLICT:
        raise StaleEpochError(
            f'worker {worker.name} is governed by a higher epoch; '
            'give up this partition',
        )
    if status != _OK:
        raise WorkerUnavailableError(
            f'worker {worker.name}: status {status}; read the inventory',
        )


def _decode(
    worker: WorkerInfo,
    body: bytes,
    kind: type[_Answer],
) -> _Answer:
    try:
        return decode_json(body, kind)
    except MalformedMessageError as exc:
        raise WorkerUnavailableError(
            f'worker {worker.name}: unreadable answer: {exc}; '
            'read the inventory',
        ) from exc
