"""HTTP interface to the state of the cell, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from currantreach_daemon._operators import for_operator
from currantreach_daemon._replies import json_response

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_daemon._admission import AdmissionController
    from currantreach_daemon._overview import Overview
    from currantreach_daemon._router import Router

__all__ = ('Admin',)


class Admin:
    """Handlers of the read-only routes for operators."""

    def __init__(
        self, admission: AdmissionController, overview: Overview, router: Router
    ) -> None:
        """Serve the state in the overview and in the owners."""
        self._admission = admission
        self._overview = overview
        self._router = router

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Return all routes."""
        operator_only = for_operator(self._admission)
        return [
            web.get('/v1/admin/workers', operator_only(self.workers)),
            web.get('/v1/admin/teams', operator_only(self.teams)),
            web.get('/v1/admin/tasks', operator_only(self.tasks)),
            web.get('/v1/admin/tasks/{id}', operator_only(self.explain)),
            web.get('/v1/admin/status', operator_only(self.status)),
        ]

    async def workers(
        self,
        _request: web.Request,
        _author: str,
    ) -> web.Response:
        """List the workers of all reachable failure domains."""
        return json_response({'workers': await self._overview.workers()})

    async def teams(self, _request: web.Request, _author: str) -> web.Response:
        """List the teams with their shares, limits, allotments and usage."""
        return json_response({'teams': await self._overview.teams()})

    async def tasks(self, _request: web.Request, _author: str) -> web.Response:
        """List the requests of all teams."""
        answers = await self._router.list_requests('')
        return json_response({'tasks': answers})

    async def explain(
        self,
        request: web.Request,
        _author: str,
    ) -> web.Response:
        """Show the answer to a request, and why it waits."""
        request_id = request.match_info['id']
        answer = await self._router.wait(request_id, '', 0)
        explanation = await self._router.explain(request_id)
        return json_response({'task': answer, 'explanation': explanation})

    async def status(
        self,
        _request: web.Request,
        _author: str,
    ) -> web.Response:
        """Show each daemon with its claims, revision and freshness."""
        return json_response(self._overview.status())
