"""HTTP API of the worker stand-in."""

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
    query_int,
    read_json,
)
from currantreach_types import StartOrder

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from currantreach_standins._fleet import Fleet

    _Endpoint = Callable[[FleetWorker, web.Request], Awaitable[web.Response]]

__all__ = ('workers_app',)

_MS_PER_S = 1000
# Changes that are due within this time of each other are applied together.
_BATCH_INTERVAL_S = 0.002
_MAX_WAIT_S = 60
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
    """Fault of the named workers, or of all workers if none is named."""

    workers: tuple[str, ...] = ()

    def worker_fault(self) -> WorkerFault:
        """Return the fault to inject into each worker."""
        fields = attrs.asdict(self, filter=_is_fault_field)
        return WorkerFault(**fields)


def _is_fault_field(field: attrs.Attribute[object], _: object) -> bool:
    return field.name != 'workers'


class _WorkersApi:
    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def with_faults(
        self,
        endpoint: _Endpoint,
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Wrap a handler to inject the faults of the addressed worker."""
        return functools.partial(self._serve_call, endpoint)

    async def adopt(
        self,
        worker: FleetWorker,
        request: web.Request,
    ) -> web.Response:
        """Fence the worker with a new epoch and return its inventory."""
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
        """Renew the task leases and return the inventory."""
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
        """Long-poll for events after a sequence number."""
        after_sequence = query_int(request, 'after')
        events = worker.events(after_sequence)
        if not events.tasks:
            woken = asyncio.get_running_loop().create_future()
            worker.event_log.add_waiter(woken)
            timeout_s = query_int(request, 'timeout_ms') / _MS_PER_S
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
        """Return capacity, peak usage and breach count of each worker."""
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

    async def replace_faults(self, request: web.Request) -> web.Response:
        """Replace the faults of the named workers."""
        order = await read_json(request, _FaultOrder)
        for name in order.workers or self._fleet.workers:
            self._worker(name).replace_fault(order.worker_fault())
        return json_reply({})

    async def _serve_call(
        self,
        endpoint: _Endpoint,
        request: web.Request,
    ) -> web.Response:
        worker = self._worker(request.match_info['name'])
        # The body is read before the handler runs, so that a lost connection
        # cannot interrupt the effect.
        await request.read()
        if worker.fault.delay_ms:
            await asyncio.sleep(worker.fault.delay_ms / _MS_PER_S)
        is_silent = worker.fault.freeze or worker.fault.dead
        if is_silent and endpoint == self.start:
            await _log_held_starts(worker, request)
        if not await _is_reachable(worker, request):
            return drop_connection(request)
        self._fleet.run_due()
        try:
            return await endpoint(worker, request)
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


async def _log_held_starts(worker: FleetWorker, request: web.Request) -> None:
    """Log the starts that a frozen or dead worker receives.

    It does not answer them, so that their owner cannot know their effect.
    """
    body = await read_json(request, _StartOrders)
    for order in body.orders:
        worker.log_held(order)


async def _is_reachable(worker: FleetWorker, request: web.Request) -> bool:
    """Wait while the worker is frozen; tell whether it is alive then."""
    while worker.fault.freeze:
        # A poll has no side effect, so an abandoned one need not wait.
        if request.method == 'GET' and request.transport is None:
            return False
        woken = asyncio.get_running_loop().create_future()
        worker.event_log.add_waiter(woken)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(woken, 1)
    return not worker.fault.dead


def workers_app(fleet: Fleet) -> web.Application:
    """Create the app that serves the workers of a fleet."""
    api = _WorkersApi(fleet)
    app = web.Application(client_max_size=_BODY_LIMIT_BYTES)
    commands = [
        web.post(
            f'{_WORKER_PATH}/{name}',
            api.with_faults(functools.partial(api.command, name)),
        )
        for name in ('stop', 'checkpoint', 'throttle', 'retire')
    ]
    app.add_routes(
        [
            web.post(f'{_WORKER_PATH}/adopt', api.with_faults(api.adopt)),
            web.post(f'{_WORKER_PATH}/start', api.with_faults(api.start)),
            web.post(f'{_WORKER_PATH}/renew', api.with_faults(api.renew)),
            web.get(f'{_WORKER_PATH}/events', api.with_faults(api.events)),
            web.get('/v1/log', api.log),
            web.get('/v1/peaks', api.peaks),
            web.post('/v1/faults', api.replace_faults),
            *commands,
        ],
    )
    app.cleanup_ctx.append(functools.partial(_task_timer, fleet))
    return app


async def _task_timer(fleet: Fleet, _: web.Application) -> AsyncIterator[None]:
    earlier_due = asyncio.Event()
    fleet.on_earlier_due = earlier_due.set
    running = asyncio.create_task(_run_due_forever(fleet, earlier_due))
    yield
    running.cancel()


async def _run_due_forever(fleet: Fleet, earlier_due: asyncio.Event) -> None:
    while True:
        earlier_due.clear()
        wait_s = fleet.next_due_at_s() - fleet.clock.now_s()
        wait_s = min(max(wait_s, 0), _MAX_WAIT_S)
        with contextlib.suppress(TimeoutError):
            # A newly scheduled change that is due earlier ends the wait.
            async with asyncio.timeout(wait_s):
                await earlier_due.wait()
        await asyncio.sleep(_BATCH_INTERVAL_S)
        fleet.run_due()
