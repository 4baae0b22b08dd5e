"""HTTP API of the host list stand-in."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from currantreach_standins._replies import json_reply, read_json
from currantreach_types import HostState, Resources, WorkerInfo

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantreach_types import Clock

__all__ = ('hosts_app',)

_MS_PER_S = 1000


@attrs.frozen(slots=True, kw_only=True)
class _Host:
    """Entry of the host list in the platform's format."""

    name: str
    failure_domain: str
    rack: str
    address: str
    state: HostState
    capacity: Resources
    labels: dict[str, str]
    kind: str = 'worker'


@attrs.frozen(slots=True, kw_only=True)
class _HostChange:
    """Body of ``POST /v1/hosts``.

    :ivar states: new states by host name.
    :ivar removed: names of the hosts to remove.
    :ivar added: hosts to add or replace.
    """

    states: dict[str, HostState] = attrs.field(factory=dict)
    removed: tuple[str, ...] = ()
    added: tuple[WorkerInfo, ...] = ()


@attrs.frozen(slots=True)
class _HostListVersion:
    visible_at_s: float
    workers: tuple[WorkerInfo, ...]


class _HostsApi:
    def __init__(
        self,
        workers: Iterable[WorkerInfo],
        lag_s: float,
        clock: Clock,
    ) -> None:
        self._workers = {worker.name: worker for worker in workers}
        self._lag_s = lag_s
        self._clock = clock
        # The initial list is visible immediately.
        self._visible = tuple(self._workers.values())
        self._pending: collections.deque[_HostListVersion] = collections.deque()

    async def list_hosts(self, _: web.Request) -> web.Response:
        """Return the latest version of the list that is visible."""
        now_s = self._clock.now_s()
        while self._pending and self._pending[0].visible_at_s <= now_s:
            self._visible = self._pending.popleft().workers
        hosts = [_published_host(worker) for worker in self._visible]
        return json_reply({'hosts': hosts})

    async def change_hosts(self, request: web.Request) -> web.Response:
        """Change the list; the change is visible after the lag."""
        change = await read_json(request, _HostChange)
        for worker in change.added:
            self._workers[worker.name] = worker
        unknown = set(change.states).difference(self._workers)
        if unknown:
            raise web.HTTPNotFound(text=f'no such hosts: {sorted(unknown)}')
        for changed, state in change.states.items():
            self._workers[changed] = attrs.evolve(
                self._workers[changed],
                state=state,
            )
        for removed in change.removed:
            self._workers.pop(removed, None)
        visible_at_s = self._clock.now_s() + self._lag_s
        version = _HostListVersion(visible_at_s, tuple(self._workers.values()))
        self._pending.append(version)
        return json_reply({})


def hosts_app(
    workers: Iterable[WorkerInfo],
    lag_ms: int,
    clock: Clock,
) -> web.Application:
    """Create the host list app; changes are visible after ``lag_ms``."""
    api = _HostsApi(workers, lag_ms / _MS_PER_S, clock)
    app = web.Application()
    app.router.add_get('/v1/hosts', api.list_hosts)
    app.router.add_post('/v1/hosts', api.change_hosts)
    return app


def _published_host(worker: WorkerInfo) -> _Host:
    return _Host(
        name=worker.name,
        failure_domain=worker.failure_domain,
        rack=worker.rack,
        address=worker.url,
        state=worker.state,
        capacity=worker.capacity,
        labels=worker.labels,
    )
