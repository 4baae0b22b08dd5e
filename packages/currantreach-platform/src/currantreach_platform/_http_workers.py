"""HTTP client for workers."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import attrs

from currantreach_platform._channel import Channel
from currantreach_platform._exchange import (
    HttpRequest,
    NoResponseError,
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
# A channel takes about 5 KB of memory. Hosts are replaced every day, so the
# least recently used channels are closed beyond this limit.
_CHANNEL_LIMIT = 1500

_Response = TypeVar('_Response')


@attrs.frozen(slots=True, kw_only=True)
class _StartResponse:
    """Response to a start."""

    clock_ms: int
    outcomes: tuple[StartResult, ...]


@attrs.frozen(slots=True, kw_only=True)
class _EmptyResponse:
    """Response to an operation without a result."""

    clock_ms: int


class HttpWorkerClient(WorkerClient):
    """Client for the published HTTP interface of workers."""

    def __init__(
        self,
        timeout_s: float = 2,
        channel_limit: int = _CHANNEL_LIMIT,
    ) -> None:
        """Create a client without connections.

        :param timeout_s: time limit of a request; ``events`` adds its own.
        :param channel_limit: number of workers with open connections.
        """
        self._timeout_s = timeout_s
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
        """Fence a worker with an epoch and read its inventory."""
        body = {'epoch': epoch, 'owner': owner}
        return await self._post(worker, 'adopt', body, Inventory)

    async def start(
        self,
        worker: WorkerInfo,
        orders: Sequence[StartOrder],
    ) -> tuple[StartResult, ...]:
        """Start tasks; the outcomes are in the order of ``orders``."""
        body = {'orders': list(orders)}
        response = await self._post(worker, 'start', body, _StartResponse)
        if [each.task_id for each in response.outcomes] != [
            order.task_id for order in orders
        ]:
            raise WorkerUnavailableError(
                f'worker {worker.name}: the outcomes do not match the orders; '
                'read the inventory',
            )
        return response.outcomes

    async def renew(
        self,
        worker: WorkerInfo,
        epoch: int,
        lease_ms: int,
    ) -> Inventory:
        """Renew the leases of all tasks and read the inventory."""
        body = {'epoch': epoch, 'lease_ms': lease_ms}
        return await self._post(worker, 'renew', body, Inventory)

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
        """Checkpoint and stop tasks, so that a later start resumes them."""
        await self._command(worker, 'checkpoint', epoch, task_ids)

    async def throttle(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Throttle tasks."""
        await self._command(worker, 'throttle', epoch, task_ids)

    async def retire(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Remove ended tasks from the inventory."""
        await self._command(worker, 'retire', epoch, task_ids)

    async def events(
        self,
        worker: WorkerInfo,
        after_sequence: int,
        timeout_s: float,
    ) -> WorkerEvents:
        """Wait for changes to the tasks of a worker."""
        query = {
            'after': str(after_sequence),
            'timeout_ms': str(round(timeout_s * _MS_PER_S)),
        }
        request = HttpRequest(
            method='GET',
            path=_operation_path(worker, 'events'),
            query=query,
            wait_s=timeout_s,
        )
        return await self._send(worker, request, WorkerEvents)

    async def close(self) -> None:
        """Close all connections."""
        channels = tuple(self._channels.values())
        self._channels.clear()
        await asyncio.gather(*(channel.close() for channel in channels))

    async def _command(
        self,
        worker: WorkerInfo,
        operation: str,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        body = {'epoch': epoch, 'task_ids': list(task_ids)}
        await self._post(worker, operation, body, _EmptyResponse)

    async def _post(
        self,
        worker: WorkerInfo,
        operation: str,
        body: object,
        response_type: type[_Response],
    ) -> _Response:
        request = HttpRequest(
            method='POST',
            path=_operation_path(worker, operation),
            body=encode_json(body),
        )
        return await self._send(worker, request, response_type)

    async def _send(
        self,
        worker: WorkerInfo,
        request: HttpRequest,
        response_type: type[_Response],
    ) -> _Response:
        try:
            response = await self._channel(worker).send(request)
        except (NotSentError, NoResponseError) as exc:
            raise WorkerUnavailableError(
                f'worker {worker.name}: {exc}; read the inventory',
            ) from exc
        await self._close_unused_channels()
        _check_status(worker, response.status)
        return _decode(worker, response.body, response_type)

    def _channel(self, worker: WorkerInfo) -> Channel:
        key = (worker.name, worker.url)
        channel = self._channels.get(key)
        if channel is None:
            channel = Channel(worker.url, self._timeout_s)
            self._channels[key] = channel
        self._channels.move_to_end(key)
        return channel

    async def _close_unused_channels(self) -> None:
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


def _operation_path(worker: WorkerInfo, operation: str) -> str:
    return f'/v1/workers/{quote(worker.name, safe="")}/{operation}'


def _check_status(worker: WorkerInfo, status: int) -> None:
    if status == _CONFLICT:
        raise StaleEpochError(
            f'worker {worker.name} was adopted by a higher epoch; '
            'release this partition',
        )
    if status != _OK:
        raise WorkerUnavailableError(
            f'worker {worker.name}: unexpected status {status}; '
            'read the inventory',
        )


def _decode(
    worker: WorkerInfo,
    body: bytes,
    response_type: type[_Response],
) -> _Response:
    try:
        return decode_json(body, response_type)
    except MalformedMessageError as exc:
        raise WorkerUnavailableError(
            f'worker {worker.name}: malformed response: {exc}; '
            'read the inventory',
        ) from exc
