"""HTTP side of the worker stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from currantreach_standins._fleet_worker import (
    FleetWorker,
    StaleEpochError,
    WorkerFault,
)
from currantreach_standins._replies import (
    drop_connection,
    json_reply,
    query_number,
    read_json,
)
from currantreach_types import StartOrder

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from currantreach_standins._fleet import Fleet

    _Answering = Callable[[FleetWorker, web.Request], Awaitable[web.Response]]

__all__ = ('workers_app',)

_MS_PER_S = 1000
# Ends that are closer together are handled in one step.
_STEP_S = 0.002
_LONGEST_WAIT_S = 60
_BODY_LIMIT_BYTES = 16777216
_WORKER_PATH = '/v1/workers/{name}'


@attrs.frozen(slots=True, kw_only=True)
class _AdoptOrder:
    epoch: int
    owner: str


@attrs.frozen(slots=True, kw_only=True)
class _StartOrders:
    orders: tuple[StartOrder, ...]


@attrs.frozen(slots=True, kw_only=True)
class _RenewOrder:
    epoch: int
    lease_ms: int


@attrs.frozen(slots=True, kw_only=True)
class _TaskOrder:
    epoch: int
    task_ids: tuple[str, ...]


@attrs.define(slots=True, kw_only=True)
class _FaultOrder(WorkerFault):
    """Faults of the named workers, or of all if none is named."""

    workers: tuple[str, ...] = ()

    def fault(self) -> WorkerFault:
        """Return the faults of one worker."""
        fields = attrs.asdict(self, filter=_is_fault_field)
        return WorkerFault(**fields)


def _is_fault_field(field: attrs.Attribute[object], _: object) -> bool:
    return field.name != 'workers'


class _WorkersApi:
    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def faulty(
        self,
        answer: _Answering,
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Put the faults of the named worker around a handler."""
        return functools.partial(self._call, answer)

    async def adopt(
        self,
        worker: FleetWorker,
        request: web.Request,
    ) -> web.Response:
        """Raise the epoch and return the inventory."""
        order = await read_json(request, _AdoptOrder)
        worker.fence(order.epoch)
        return json_reply(worker.inventory())

    async def start(
        self,
        worker: FleetWorker,
        request: web.Request,
    ) -> web.Response:
        """Start tasks."""
        body = await read_json(request, _StartOrders)
        outcomes = [worker.start(order) for order in body.orders]
        if worker.fault.lost_start_answers > 0:
            worker.fault.lost_start_answers -= 1
            return drop_connection(request)
        return json_reply(
            {'clock_ms': worker.clock_ms(), 'outcomes': outcomes},
        )

    async def renew(
        self,
        worker: FleetWorker,
        request: web.Request,
    ) -> web.Response:
        """Renew the leases and return the inventory."""
        order = await read_json(request, _RenewOrder)
        worker.fence(order.epoch)
        worker.renew(order.lease_ms)
        return json_reply(worker.inventory())

    async def command(
        self,
        name: str,
        worker: FleetWorker,
        request: web.Request,
    ) -> web.Response:
        """Stop, checkpoint, throttle or retire tasks."""
        order = await read_json(request, _TaskOrder)
        worker.fence(order.epoch)
        commands = {
            'stop': worker.stop,
            'checkpoint': worker.checkpoint,
            'throttle': worker.throttle,
            'retire': worker.retire,
        }
        commands[name](order.task_ids)
        return json_reply({'clock_ms': worker.clock_ms()})

    async def events(
        self,
        worker: FleetWorker,
        request: web.Request,
    ) -> web.Response:
        """Wait for changes after a sequence number."""
        after_sequence = query_number(request, 'after')
        events = worker.events(after_sequence)
        if not events.tasks:
            woken = asyncio.get_running_loop().create_future()
            worker.feed.add_waiter(woken)
            timeout_s = query_number(request, 'timeout_ms') / _MS_PER_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(woken, timeout_s)
            if not await _is_reachable(worker, request):
                return drop_connection(request)
            events = worker.events(after_sequence)
        return json_reply(events)

    async def log(self, _: web.Request) -> web.Response:
        """Return the log of starts, ends and breaches."""
        return web.Response(
            body=self._fleet.log.read(),
            content_type='application/x-ndjson',
        )

    async def peaks(self, _: web.Request) -> web.Response:
        """Return capacity, peak use and breaches of each worker."""
        return json_reply(
            {
                worker.name: {
                    'capacity': worker.capacity,
                    'peak': worker.peak,
                    'breach_count': worker.breach_count,
                }
                for worker in self._fleet.workers.values()
            },
        )

    async def inject(self, request: web.Request) -> web.Response:
        """Replace the faults of the named workers."""
        order = await read_json(request, _FaultOrder)
        for name in order.workers or self._fleet.workers:
            self._worker(name).inject(order.fault())
        return json_reply({})

    async def _call(
        self,
        answer: _Answering,
        request: web.Request,
    ) -> web.Response:
        worker = self._worker(request.match_info['name'])
        # The body is read first, so that the effect cannot be interrupted.
        await request.read()
        if worker.fault.delay_ms:
            await asyncio.sleep(worker.fault.delay_ms / _MS_PER_S)
        if not await _is_reachable(worker, request):
            return drop_connection(request)
        self._fleet.run_due()
        try:
            return await answer(worker, request)
        except StaleEpochError:
            return json_reply(
                {'clock_ms': worker.clock_ms()},
                HTTPStatus.CONFLICT,
            )

    def _worker(self, name: str) -> FleetWorker:
        worker = self._fleet.workers.get(name)
        if worker is None:
            raise web.HTTPNotFound(text=f'no worker {name}')
        return worker


async def _is_reachable(worker: FleetWorker, request: web.Request) -> bool:
    """Wait while the worker is frozen; tell whether it answers at all."""
    while worker.fault.freeze:
        # A poll that the client gave up has no effect to wait for.
        if request.method == 'GET' and request.transport is None:
            return False
        woken = asyncio.get_running_loop().create_future()
        worker.feed.add_waiter(woken)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(woken, 1)
    return not worker.fault.dead


def workers_app(fleet: Fleet) -> web.Application:
    """Return the workers of a fleet."""
    api = _WorkersApi(fleet)
    app = web.Application(client_max_size=_BODY_LIMIT_BYTES)
    commands = [
        web.post(
            f'{_WORKER_PATH}/{name}',
            api.faulty(functools.partial(api.command, name)),
        )
        for name in ('stop', 'checkpoint', 'throttle', 'retire')
    ]
    app.add_routes(
        [
            web.post(f'{_WORKER_PATH}/adopt', api.faulty(api.adopt)),
            web.post(f'{_WORKER_PATH}/start', api.faulty(api.start)),
            web.post(f'{_WORKER_PATH}/renew', api.faulty(api.renew)),
            web.get(f'{_WORKER_PATH}/events', api.faulty(api.events)),
            web.get('/v1/log', api.log),
            web.get('/v1/peaks', api.peaks),
            web.post('/v1/faults', api.inject),
            *commands,
        ],
    )
    app.cleanup_ctx.append(functools.partial(_timer, fleet))
    return app


async def _timer(fleet: Fleet, _: web.Application) -> AsyncIterator[None]:
    earlier = asyncio.Event()
    fleet.on_due = earlier.set
    running = asyncio.create_task(_run_forever(fleet, earlier))
    yield
    running.cancel()


async def _run_forever(fleet: Fleet, earlier: asyncio.Event) -> None:
    while True:
        earlier.clear()
        wait_s = fleet.next_due_s() - fleet.clock.now_s()
        wait_s = min(max(wait_s, 0), _LONGEST_WAIT_S)
        with contextlib.suppress(TimeoutError):
            # A change that comes before the awaited one ends the wait.
            async with asyncio.timeout(wait_s):
                await earlier.wait()
        await asyncio.sleep(_STEP_S)
        fleet.run_due()
