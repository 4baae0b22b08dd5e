"""HTTP client for the store."""

from __future__ import annotations

import collections
import types
from typing import TYPE_CHECKING
from urllib.parse import quote

from currantreach_platform._channel import Channel
from currantreach_platform._exchange import (
    HttpRequest,
    HttpResponse,
    NoResponseError,
    NotSentError,
)
from currantreach_platform._store import KeyValue, Store, WatchResult
from currantreach_types import decode_json, decode_msgpack, encode_json
from currantreach_types.errors import (
    ConflictError,
    MalformedMessageError,
    OutcomeUnknownError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ('HttpStore',)

_OPERATIONS = (
    'get',
    'list',
    'put',
    'delete',
    'grant_lease',
    'renew_lease',
    'revoke_lease',
    'watch',
)
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_SERVER_ERROR = 500
_CLIENT_ERROR = 400
_REVISION_HEADER = 'X-Revision'
_MS_PER_S = 1000


class HttpStore(Store):
    """Client for the published HTTP interface of the store.

    Values are transferred as raw bytes: a single value is the whole body,
    lists and watches contain values as binary strings of a MessagePack
    :class:`WatchResult`. The header ``X-Revision`` contains the revision of a
    key.
    """

    def __init__(
        self,
        url: str,
        client_name: str = '',
        timeout_s: float = 1,
    ) -> None:
        """Create the connection pool; requires a running event loop.

        :param url: base URL of the store.
        :param client_name: value of the header ``X-Client``.
        :param timeout_s: time limit of a request; a watch adds its own.
        """
        self._call_counts = collections.Counter(dict.fromkeys(_OPERATIONS, 0))
        self._channel = Channel(url, timeout_s, {'X-Client': client_name})

    @property
    def call_counts(self) -> Mapping[str, int]:
        """Return the number of requests so far by operation."""
        return types.MappingProxyType(self._call_counts)

    async def get(self, key: str) -> KeyValue | None:
        """Return a key, or ``None`` if it does not exist."""
        response = await self._send(
            'get', HttpRequest(method='GET', path=_key_path(key))
        )
        if response.status == _NOT_FOUND:
            return None
        return KeyValue(
            key=key, stored=response.body, revision=_revision_of(response)
        )

    async def list_prefix(self, prefix: str) -> WatchResult:
        """Return all keys with a prefix and the store revision of the read."""
        request = HttpRequest(
            method='GET', path='/v1/kv', query={'prefix': prefix}
        )
        return _decode_changes(await self._send('list', request))

    async def put(
        self,
        key: str,
        stored: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Write a key if it has the expected revision.

        :raises ConflictError: if the key has another revision or the lease
            has expired.
        """
        query = {'expected_revision': str(expected_revision)}
        if lease_id:
            query['lease'] = lease_id
        response = await self._send(
            'put',
            HttpRequest(
                method='PUT', path=_key_path(key), query=query, body=stored
            ),
        )
        return _revision_of(response)

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if it has the expected revision."""
        query = {'expected_revision': str(expected_revision)}
        request = HttpRequest(method='DELETE', path=_key_path(key), query=query)
        await self._send('delete', request)

    async def grant_lease(self, ttl_s: float) -> str:
        """Create a lease and return its ID."""
        ttl_ms = round(ttl_s * _MS_PER_S)
        response = await self._send(
            'grant_lease',
            HttpRequest(
                method='POST',
                path='/v1/leases',
                body=encode_json({'ttl_ms': ttl_ms}),
            ),
        )
        try:
            return decode_json(response.body, dict[str, str])['lease_id']
        except (MalformedMessageError, KeyError) as exc:
            raise _malformed_response(exc) from exc

    async def renew_lease(self, lease_id: str) -> None:
        """Extend a lease by its time to live."""
        path = f'/v1/leases/{quote(lease_id)}/renew'
        response = await self._send(
            'renew_lease', HttpRequest(method='POST', path=path)
        )
        if response.status == _NOT_FOUND:
            raise ConflictError('the lease has expired; grant a new one', 0)

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease and delete its keys; ignore an expired lease."""
        path = f'/v1/leases/{quote(lease_id)}'
        await self._send(
            'revoke_lease', HttpRequest(method='DELETE', path=path)
        )

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout_s: float,
    ) -> WatchResult:
        """Wait for changes to the keys with a prefix."""
        query = {
            'prefix': prefix,
            'after_revision': str(after_revision),
            'timeout_ms': str(round(timeout_s * _MS_PER_S)),
        }
        request = HttpRequest(
            method='GET',
            path='/v1/watch',
            query=query,
            wait_s=timeout_s,
        )
        return _decode_changes(await self._send('watch', request))

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()

    async def _send(self, operation: str, request: HttpRequest) -> HttpResponse:
        self._call_counts[operation] += 1
        try:
            response = await self._channel.send(request)
        except NotSentError as unsent:
            raise StoreUnavailableError(
                f'store {operation}: {unsent}; nothing was sent, retry later',
            ) from unsent
        except NoResponseError as unanswered:
            raise OutcomeUnknownError(
                f'store {operation}: {unanswered}; read the key, then retry',
            ) from unanswered
        _check_status(operation, response)
        return response


def _key_path(key: str) -> str:
    return f'/v1/kv/{quote(key)}'


def _check_status(operation: str, response: HttpResponse) -> None:
    status = response.status
    if status < _CLIENT_ERROR or status == _NOT_FOUND:
        return
    if status == _CONFLICT:
        raise ConflictError(
            f'store {operation}: revision mismatch; read the key again',
            _revision_of(response),
        )
    if status < _SERVER_ERROR or status == _UNAVAILABLE:
        raise StoreUnavailableError(
            f'store {operation}: rejected with status {status}; '
            'check the request or retry later',
        )
    raise OutcomeUnknownError(
        f'store {operation}: failed with status {status}; '
        'read the key, then retry',
    )


def _revision_of(response: HttpResponse) -> int:
    try:
        return int(response.headers[_REVISION_HEADER])
    except (KeyError, ValueError) as exc:
        raise _malformed_response(exc) from exc


def _decode_changes(response: HttpResponse) -> WatchResult:
    try:
        return decode_msgpack(response.body, WatchResult)
    except MalformedMessageError as exc:
        raise _malformed_response(exc) from exc


def _malformed_response(exc: Exception) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        f'malformed response from the store ({exc!r}); check its version',
    )
