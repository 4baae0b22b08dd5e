"""Store over HTTP."""

from __future__ import annotations

import collections
import types
from typing import TYPE_CHECKING
from urllib.parse import quote

from currantreach_platform._channel import (
    Call,
    Channel,
    NoAnswerError,
    NotSentError,
    Reply,
)
from currantreach_platform._store import KeyValue, Store, WatchResult
from currantreach_types import decode_json, decode_packed, encode_json
from currantreach_types.errors import (
    ConflictError,
    LostAnswerError,
    MalformedMessageError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ('HttpStore',)

_CALL_KINDS = (
    'get',
    'list',
    'put',
    'delete',
    'grant_lease',
    'renew_lease',
    'revoke_lease',
    'watch',
)
_ABSENT = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_SERVER_ERROR = 500
_CLIENT_ERROR = 400
_REVISION_HEADER = 'X-Revision'
_MS_PER_S = 1000


class HttpStore(Store):
    """Client of the store's published HTTP format.

    Values travel as raw bytes: as the whole body of one key, and as binary
    strings of a MessagePack :class:`WatchResult` in lists and watches. The
    header ``X-Revision`` carries the revision of a key.
    """

    def __init__(
        self,
        url: str,
        client_name: str = '',
        deadline_s: float = 1,
    ) -> None:
        """Prepare the connections; must be called in a running event loop.

        :param url: base address of the store.
        :param client_name: name sent in the header ``X-Client``.
        :param deadline_s: total time of one call; a watch may also wait.
        """
        self._call_counts = collections.Counter(dict.fromkeys(_CALL_KINDS, 0))
        self._channel = Channel(url, deadline_s, {'X-Client': client_name})

    @property
    def call_counts(self) -> Mapping[str, int]:
        """Return the number of calls of each kind so far."""
        return types.MappingProxyType(self._call_counts)

    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or nothing if it is absent."""
        reply = await self._call('get', Call(method='GET', path=_path(key)))
        if reply.status == _ABSENT:
            return None
        return KeyValue(key=key, stored=reply.body, revision=_revision(reply))

    async def list_prefix(self, prefix: str) -> WatchResult:
        """Return all keys below a prefix and the revision of the reading."""
        call = Call(method='GET', path='/v1/kv', query={'prefix': prefix})
        return _changes(await self._call('list', call))

    async def put(
        self,
        key: str,
        stored: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Write a key if its revision is the expected one.

        :raises ConflictError: if the key has another revision or the lease
            has expired.
        """
        query = {'expected_revision': str(expected_revision)}
        if lease_id:
            query['lease'] = lease_id
        reply = await self._call(
            'put',
            Call(method='PUT', path=_path(key), query=query, body=stored),
        )
        return _revision(reply)

    async def delete(self, key: str, expected_revision: int) -> None:
        """Remove a key if its revision is the expected one."""
        query = {'expected_revision': str(expected_revision)}
        call = Call(method='DELETE', path=_path(key), query=query)
        await self._call('delete', call)

    async def grant_lease(self, ttl_s: float) -> str:
        """Create a lease and return its id."""
        ttl_ms = round(ttl_s * _MS_PER_S)
        reply = await self._call(
            'grant_lease',
            Call(
                method='POST',
                path='/v1/leases',
                body=encode_json({'ttl_ms': ttl_ms}),
            ),
        )
        try:
            return decode_json(reply.body, dict[str, str])['lease_id']
        except (MalformedMessageError, KeyError) as exc:
            raise _unreadable(exc) from exc

    async def renew_lease(self, lease_id: str) -> None:
        """Extend a lease by its time to live."""
        path = f'/v1/leases/{quote(lease_id)}/renew'
        reply = await self._call('renew_lease', Call(method='POST', path=path))
        if reply.status == _ABSENT:
            raise ConflictError('the lease has expired; grant a new one', 0)

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and remove its keys; an expired one is no error."""
        path = f'/v1/leases/{quote(lease_id)}'
        await self._call('revoke_lease', Call(method='DELETE', path=path))

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout_s: float,
    ) -> WatchResult:
        """Wait for changes below a prefix."""
        query = {
            'prefix': prefix,
            'after_revision': str(after_revision),
            'timeout_ms': str(round(timeout_s * _MS_PER_S)),
        }
        call = Call(
            method='GET',
            path='/v1/watch',
            query=query,
            wait_s=timeout_s,
        )
        return _changes(await self._call('watch', call))

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()

    async def _call(self, kind: str, call: Call) -> Reply:
        self._call_counts[kind] += 1
        try:
            reply = await self._channel.call(call)
        except NotSentError as unsent:
            raise StoreUnavailableError(
                f'store {kind}: {unsent}; nothing was sent, retry later',
            ) from unsent
        except NoAnswerError as lost:
            raise LostAnswerError(
                f'store {kind}: {lost}; read the key again before a retry',
            ) from lost
        _check_status(kind, reply)
        return reply


def _path(key: str) -> str:
    return f'/v1/kv/{quote(key)}'


def _check_status(kind: str, reply: Reply) -> None:
    status = reply.status
    if status < _CLIENT_ERROR or status == _ABSENT:
        return
    if status == _CONFLICT:
        raise ConflictError(
            f'store {kind}: another revision won; read the key again',
            _revision(reply),
        )
    if status < _SERVER_ERROR or status == _UNAVAILABLE:
        raise StoreUnavailableError(
            f'store {kind}: refused with status {status}; '
            'check the call or retry later',
        )
    raise LostAnswerError(
        f'store {kind}: failed with status {status}; '
        'read the key again before a retry',
    )


def _revision(reply: Reply) -> int:
    try:
        return int(reply.headers[_REVISION_HEADER])
    except (KeyError, ValueError) as exc:
        raise _unreadable(exc) from exc


def _changes(reply: Reply) -> WatchResult:
    try:
        return decode_packed(reply.body, WatchResult)
    except MalformedMessageError as exc:
        raise _unreadable(exc) from exc


def _unreadable(exc: Exception) -> LostAnswerError:
    return LostAnswerError(
        f'unreadable answer of the store ({exc!r}); check its version',
    )
