"""HTTP side of the store stand-in."""

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
    query_number,
    read_json,
)
from currantreach_standins._store_faults import Outage, StoreFaults
from currantreach_standins._store_state import (
    Changes,
    LeaseGoneError,
    RevisionError,
    StoreState,
)
from currantreach_types import encode_packed
from currantreach_types.errors import MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from currantreach_types import Clock

    _Answering = Callable[[web.Request], Awaitable[web.Response]]

__all__ = ('store_app',)

_VALUE_LIMIT_BYTES = 1048576
_KEY_PATH = '/v1/kv/{key:.+}'
_EXPIRY_STEP_S = 0.02
_MS_PER_S = 1000
_WRITES = frozenset(
    ('put', 'delete', 'grant_lease', 'renew_lease', 'revoke_lease'),
)


@attrs.frozen(slots=True)
class _LeaseOrder:
    ttl_ms: int


class _StoreApi:
    """Handlers of the published format and of the control calls."""

    def __init__(self, clock: Clock) -> None:
        self.state = StoreState(clock)
        self._faults = StoreFaults()
        self._calls: collections.Counter[str] = collections.Counter()

    def counted(
        self,
        kind: str,
        answer: _Answering,
    ) -> _Answering:
        """Count the calls of a handler and put the faults around it."""
        return functools.partial(self._call, kind, answer)

    async def get(self, request: web.Request) -> web.Response:
        """Return the value of a key."""
        entry = self.state.get(request.match_info['key'])
        if entry is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(body=entry.stored, headers=_revised(entry.revision))

    async def list_prefix(self, request: web.Request) -> web.Response:
        """Return all keys below a prefix."""
        return _packed(self.state.list_prefix(request.query.get('prefix', '')))

    async def put(self, request: web.Request) -> web.Response:
        """Write a key."""
        revision = self.state.put(
            request.match_info['key'],
            await request.read(),
            query_number(request, 'expected_revision'),
            request.query.get('lease', ''),
        )
        return web.Response(headers=_revised(revision))

    async def delete(self, request: web.Request) -> web.Response:
        """Remove a key."""
        expected = query_number(request, 'expected_revision')
        self.state.delete(request.match_info['key'], expected)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Create a lease."""
        order = await read_json(request, _LeaseOrder)
        lease_id = self.state.grant_lease(order.ttl_ms / _MS_PER_S)
        return json_reply({'lease_id': lease_id})

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Extend a lease."""
        self.state.renew_lease(request.match_info['lease'])
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def revoke_lease(self, request: web.Request) -> web.Response:
        """End a lease."""
        self.state.revoke_lease(request.match_info['lease'])
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for changes below a prefix."""
        prefix = request.query.get('prefix', '')
        after_revision = query_number(request, 'after_revision')
        changes = self.state.changes(prefix, after_revision)
        if not (changes.changed or changes.deleted):
            timeout_s = query_number(request, 'timeout_ms') / _MS_PER_S
            await self._wait(prefix, timeout_s)
            changes = self.state.changes(prefix, after_revision)
        return _packed(changes)

    async def stats(self, _: web.Request) -> web.Response:
        """Return the number of calls by kind."""
        return json_reply({'calls': dict(self._calls)})

    async def inject(self, request: web.Request) -> web.Response:
        """Replace the faults."""
        try:
            self._faults.replace(await request.read())
        except MalformedMessageError as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        # Watches that are already waiting see the new faults as well.
        self.state.wake_all()
        return json_reply({})

    async def _wait(self, prefix: str, timeout_s: float) -> None:
        woken = asyncio.get_running_loop().create_future()
        self.state.add_waiter(prefix, woken)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(woken, timeout_s)

    async def _call(
        self,
        kind: str,
        answer: _Answering,
        request: web.Request,
    ) -> web.Response:
        self._calls[kind] += 1
        await self._faults.delay(request)
        refusal = await self._refuse(request)
        if refusal is not None:
            return refusal
        # The body is read first, so that the effect cannot be interrupted.
        await request.read()
        reply = await _answer(answer, request)
        await self._faults.delay(request)
        is_written = kind in _WRITES and reply.status < HTTPStatus.BAD_REQUEST
        if is_written and self._faults.take_lost_answer(request, kind):
            return drop_connection(request)
        # A fault that began during a watch hides its answer.
        if kind == 'watch':
            return await self._refuse(request) or reply
        return reply

    async def _refuse(self, request: web.Request) -> web.Response | None:
        if await self._faults.hold(request):
            return drop_connection(request)
        outage = self._faults.outage(request)
        if outage == Outage.close:
            return drop_connection(request)
        if outage == Outage.refuse:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return None


def store_app(clock: Clock) -> web.Application:
    """Return the store; leases follow the given clock."""
    api = _StoreApi(clock)
    app = web.Application(client_max_size=_VALUE_LIMIT_BYTES)
    app.add_routes(
        [
            web.get('/v1/kv', api.counted('list', api.list_prefix)),
            web.get(_KEY_PATH, api.counted('get', api.get)),
            web.put(_KEY_PATH, api.counted('put', api.put)),
            web.delete(_KEY_PATH, api.counted('delete', api.delete)),
            web.post(
                '/v1/leases',
                api.counted('grant_lease', api.grant_lease),
            ),
            web.post(
                '/v1/leases/{lease}/renew',
                api.counted('renew_lease', api.renew_lease),
            ),
            web.delete(
                '/v1/leases/{lease}',
                api.counted('revoke_lease', api.revoke_lease),
            ),
            web.get('/v1/watch', api.counted('watch', api.watch)),
            web.get('/v1/stats', api.stats),
            web.post('/v1/faults', api.inject),
        ],
    )
    app.cleanup_ctx.append(functools.partial(_expiry, api.state))
    return app


async def _expiry(
    state: StoreState,
    _: web.Application,
) -> AsyncIterator[None]:
    expiring = asyncio.create_task(_expire_forever(state))
    yield
    expiring.cancel()


async def _expire_forever(state: StoreState) -> None:
    while True:
        await asyncio.sleep(_EXPIRY_STEP_S)
        state.expire()


async def _answer(
    answer: _Answering,
    request: web.Request,
) -> web.Response:
    try:
        return await answer(request)
    except RevisionError as exc:
        return web.Response(
            status=HTTPStatus.CONFLICT, headers=_revised(exc.current_revision)
        )
    except LeaseGoneError:
        return web.Response(status=HTTPStatus.NOT_FOUND)


def _revised(revision: int) -> dict[str, str]:
    return {'X-Revision': str(revision)}


def _packed(changes: Changes) -> web.Response:
    return web.Response(
        body=encode_packed(changes),
        content_type='application/msgpack',
    )
