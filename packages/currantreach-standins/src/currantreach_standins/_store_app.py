"""HTTP API of the store stand-in."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import functools
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from currantreach_standins._replies import (
    drop_connection,
    json_reply,
    query_int,
    read_json,
)
from currantreach_standins._store_faults import Outage, StoreFaults
from currantreach_standins._store_state import (
    Changes,
    LeaseNotFoundError,
    RevisionConflictError,
    StoreState,
)
from currantreach_types import encode_msgpack
from currantreach_types.errors import MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from currantreach_types import Clock

    _Endpoint = Callable[[web.Request], Awaitable[web.Response]]

__all__ = ('store_app',)

_VALUE_LIMIT_BYTES = 1048576
_KEY_PATH = '/v1/kv/{key:.+}'
_EXPIRY_INTERVAL_S = 0.02
_MS_PER_S = 1000
_WRITE_KINDS = frozenset(
    ('put', 'delete', 'grant_lease', 'renew_lease', 'revoke_lease'),
)


@attrs.frozen(slots=True)
class _LeaseOrder:
    ttl_ms: int


class _StoreApi:
    """Handlers of the platform's store API and of the control API."""

    def __init__(self, clock: Clock) -> None:
        self.state = StoreState(clock)
        self._faults = StoreFaults()
        self._calls: collections.Counter[str] = collections.Counter()

    def with_faults(
        self,
        kind: str,
        endpoint: _Endpoint,
    ) -> _Endpoint:
        """Wrap a handler to count its calls and inject the faults."""
        return functools.partial(self._serve_call, kind, endpoint)

    async def get(self, request: web.Request) -> web.Response:
        """Return the value of a key."""
        entry = self.state.get(request.match_info['key'])
        if entry is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(
            body=entry.stored, headers=_revision_header(entry.revision)
        )

    async def list_prefix(self, request: web.Request) -> web.Response:
        """Return all keys with a prefix."""
        return _packed_reply(
            self.state.list_prefix(request.query.get('prefix', ''))
        )

    async def put(self, request: web.Request) -> web.Response:
        """Write a key."""
        revision = self.state.put(
            request.match_info['key'],
            await request.read(),
            query_int(request, 'expected_revision'),
            request.query.get('lease', ''),
        )
        return web.Response(headers=_revision_header(revision))

    async def delete(self, request: web.Request) -> web.Response:
        """Delete a key."""
        expected = query_int(request, 'expected_revision')
        self.state.delete(request.match_info['key'], expected)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Create a lease."""
        order = await read_json(request, _LeaseOrder)
        lease_id = self.state.grant_lease(order.ttl_ms / _MS_PER_S)
        return json_reply({'lease_id': lease_id})

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        self.state.renew_lease(request.match_info['lease'])
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def revoke_lease(self, request: web.Request) -> web.Response:
        """Revoke a lease."""
        self.state.revoke_lease(request.match_info['lease'])
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def watch(self, request: web.Request) -> web.Response:
        """Long-poll for changes of keys with a prefix."""
        prefix = request.query.get('prefix', '')
        after_revision = query_int(request, 'after_revision')
        changes = self.state.changes(prefix, after_revision)
        if not (changes.changed or changes.deleted):
            timeout_s = query_int(request, 'timeout_ms') / _MS_PER_S
            await self._wait(prefix, timeout_s)
            changes = self.state.changes(prefix, after_revision)
        return _packed_reply(changes)

    async def stats(self, _: web.Request) -> web.Response:
        """Return the number of calls by kind."""
        return json_reply({'calls': dict(self._calls)})

    async def replace_faults(self, request: web.Request) -> web.Response:
        """Replace the injected faults."""
        try:
            self._faults.replace(await request.read())
        except MalformedMessageError as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        # The new faults also apply to watches that are already waiting.
        self.state.wake_all()
        return json_reply({})

    async def _wait(self, prefix: str, timeout_s: float) -> None:
        woken = asyncio.get_running_loop().create_future()
        self.state.add_waiter(prefix, woken)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(woken, timeout_s)

    async def _serve_call(
        self,
        kind: str,
        endpoint: _Endpoint,
        request: web.Request,
    ) -> web.Response:
        self._calls[kind] += 1
        await self._faults.delay(request)
        refusal = await self._find_refusal(request)
        if refusal is not None:
            return refusal
        # The body is read before the handler runs, so that a lost connection
        # cannot interrupt the effect.
        await request.read()
        reply = await _reply_or_error(endpoint, request)
        await self._faults.delay(request)
        is_written = (
            kind in _WRITE_KINDS and reply.status < HTTPStatus.BAD_REQUEST
        )
        if is_written and self._faults.consume_lost_answer(request, kind):
            return drop_connection(request)
        # A fault that was injected during a watch suppresses its answer.
        if kind == 'watch':
            return await self._find_refusal(request) or reply
        return reply

    async def _find_refusal(self, request: web.Request) -> web.Response | None:
        if await self._faults.wait_out_hang(request):
            return drop_connection(request)
        outage = self._faults.outage(request)
        if outage == Outage.close:
            return drop_connection(request)
        if outage == Outage.refuse:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return None


def store_app(clock: Clock) -> web.Application:
    """Create the store app; the given clock drives the leases."""
    api = _StoreApi(clock)
    app = web.Application(client_max_size=_VALUE_LIMIT_BYTES)
    app.add_routes(
        [
            web.get('/v1/kv', api.with_faults('list', api.list_prefix)),
            web.get(_KEY_PATH, api.with_faults('get', api.get)),
            web.put(_KEY_PATH, api.with_faults('put', api.put)),
            web.delete(_KEY_PATH, api.with_faults('delete', api.delete)),
            web.post(
                '/v1/leases',
                api.with_faults('grant_lease', api.grant_lease),
            ),
            web.post(
                '/v1/leases/{lease}/renew',
                api.with_faults('renew_lease', api.renew_lease),
            ),
            web.delete(
                '/v1/leases/{lease}',
                api.with_faults('revoke_lease', api.revoke_lease),
            ),
            web.get('/v1/watch', api.with_faults('watch', api.watch)),
            web.get('/v1/stats', api.stats),
            web.post('/v1/faults', api.replace_faults),
        ],
    )
    app.cleanup_ctx.append(functools.partial(_lease_expiry, api.state))
    return app


async def _lease_expiry(
    state: StoreState,
    _: web.Application,
) -> AsyncIterator[None]:
    expiring = asyncio.create_task(_expire_forever(state))
    yield
    expiring.cancel()


async def _expire_forever(state: StoreState) -> None:
    while True:
        await asyncio.sleep(_EXPIRY_INTERVAL_S)
        state.expire_leases()


async def _reply_or_error(
    endpoint: _Endpoint,
    request: web.Request,
) -> web.Response:
    try:
        return await endpoint(request)
    except RevisionConflictError as exc:
        return web.Response(
            status=HTTPStatus.CONFLICT,
            headers=_revision_header(exc.current_revision),
        )
    except LeaseNotFoundError:
        return web.Response(status=HTTPStatus.NOT_FOUND)


def _revision_header(revision: int) -> dict[str, str]:
    return {'X-Revision': str(revision)}


def _packed_reply(changes: Changes) -> web.Response:
    return web.Response(
        body=encode_msgpack(changes),
        content_type='application/msgpack',
    )
