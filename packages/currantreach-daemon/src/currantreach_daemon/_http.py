"""HTTP server of a daemon."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from currantreach_config import LimitsConfig
from currantreach_daemon._admin import Admin
from currantreach_daemon._callers import CallerApi
from currantreach_daemon._config_admin import ConfigAdmin
from currantreach_daemon._http_errors import ErrorMiddleware
from currantreach_daemon._replies import GUARD, json_response
from currantreach_http import ConnectionLimiter, ConnectionLimits
from currantreach_types import MonotonicClock

if TYPE_CHECKING:
    from currantreach_daemon._admission import AdmissionController
    from currantreach_daemon._overview import Overview
    from currantreach_daemon._router import Router
    from currantreach_daemon._shedding import LoadShedder
    from currantreach_state import ConfigStore
    from currantreach_telemetry import Metrics

__all__ = ('HttpServer',)

# The store accepts values of up to 1 MB, and configuration files may be as
# large.
_BODY_LIMIT_BYTES = 1_000_000
# Long enough for a body of that size at 2 Mbit/s.
_BODY_TIMEOUT_S = 5


class HttpServer:
    """HTTP application of one daemon, with all its routes."""

    def __init__(
        self,
        admission: AdmissionController,
        config_store: ConfigStore,
        router: Router,
        overview: Overview,
        metrics: Metrics,
        shedder: LoadShedder,
    ) -> None:
        """Create the application; :meth:`start` opens the port."""
        self._admission = admission
        self._config_store = config_store
        self._metrics = metrics
        self._limiter = ConnectionLimiter(self._limits, MonotonicClock())
        self._limiter_task: asyncio.Task[None] | None = None
        self._app = web.Application(
            middlewares=[
                ErrorMiddleware(admission, metrics, shedder, self._limiter).run,
            ],
            client_max_size=_BODY_LIMIT_BYTES,
        )
        self._app[GUARD] = self._limiter
        self._app.add_routes(
            [
                *CallerApi(admission, router, metrics).routes(),
                *ConfigAdmin(admission, config_store, overview).routes(),
                *Admin(admission, overview, router).routes(),
                web.get('/metrics', self._show_metrics),
                web.get('/healthz', self._show_health),
            ],
        )
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on a host and port."""
        limits = LimitsConfig()
        self._runner = web.AppRunner(
            self._app,
            access_log=None,
            max_line_size=limits.header_limit_bytes,
            max_field_size=limits.header_limit_bytes,
        )
        await self._runner.setup()
        if self._runner.server is not None:
            self._limiter.attach(self._runner.server)
            self._limiter_task = asyncio.create_task(self._limiter.run())
        await web.TCPSite(self._runner, host, port).start()

    async def close(self) -> None:
        """Wait for the calls in progress and close the port."""
        if self._limiter_task is not None:
            self._limiter_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def _limits(self) -> ConnectionLimits:
        cell = self._admission.cell()
        limits = LimitsConfig() if cell is None else cell.limits
        return ConnectionLimits(
            max_connections=limits.connection_limit,
            body_timeout_s=_BODY_TIMEOUT_S,
        )

    async def _show_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render(),
            content_type='text/plain',
        )

    async def _show_health(self, _request: web.Request) -> web.Response:
        is_ready = self._config_store.record is not None
        is_ready = is_ready and not self._admission.is_stopping
        return json_response(
            {'is_ready': is_ready, 'revision': self._config_store.revision},
            HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE,
        )
