"""State of the cell over HTTP, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from currantreach_daemon._operators import for_operator
from currantreach_daemon._replies import json_response

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_daemon._gate import Gate
    from currantreach_daemon._overview import Overview
    from currantreach_daemon._router import Router

__all__ = ('Admin',)


class Admin:
    """Handlers of the operators' routes that only read."""

    def __init__(self, gate: Gate, overview: Overview, router: Router) -> None:
        """Serve what the overview and the owners know."""
        self._gate = gate
        self._overview = overview
        self._router = router

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Return all routes."""
        guarded = for_operator(self._gate)
        return [
            web.get('/v1/admin/workers', guarded(self.workers)),
            web.get('/v1/admin/teams', guarded(self.teams)),
            web.get('/v1/admin/tasks', guarded(self.tasks)),
            web.get('/v1/admin/tasks/{id}', guarded(self.explain)),
            web.get('/v1/admin/status', guarded(self.status)),
        ]

    async def workers(
        self,
        _request: web.Request,
        _author: str,
    ) -> web.Response:
        """List the workers of all reachable failure domains."""
        return json_response({'workers': await self._overview.workers()})

    async def teams(self, _request: web.Request, _author: str) -> web.Response:
        """List teams with shares, limits, allotments and usage."""
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
        """Say why a request waits."""
        request_id = request.match_info['id']
        answer = await self._router.wait(request_id, '', 0)
        explanation = await self._router.explain(request_id)
        return json_response({'task': answer, 'explanation': explanation})

    async def status(
        self,
        _request: web.Request,
        _author: str,
    ) -> web.Response:
        """Show each daemon, its claims, revision and freshness."""
        return json_response(self._overview.status())
