"""Authentication of operators in the administration API."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from currantreach_daemon._replies import answer_response, authorization_of
from currantreach_daemon._requests import not_run_answer
from currantreach_types import Refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    from currantreach_daemon._admission import AdmissionController

    _Call = Callable[[web.Request], Awaitable[web.Response]]
    _OperatorCall = Callable[[web.Request, str], Awaitable[web.Response]]

__all__ = ('for_operator',)


def for_operator(
    admission: AdmissionController,
) -> Callable[[_OperatorCall], _Call]:
    """Return a decorator that authenticates operators.

    It passes the key id of the operator to the handler.
    """
    return functools.partial(_require_operator, admission)


def _require_operator(
    admission: AdmissionController, call: _OperatorCall
) -> _Call:
    return functools.partial(_call_if_operator, admission, call)


async def _call_if_operator(
    admission: AdmissionController,
    call: _OperatorCall,
    request: web.Request,
) -> web.Response:
    found = admission.authenticate_operator(authorization_of(request))
    if isinstance(found, Refusal):
        return answer_response(not_run_answer('', found))
    return await call(request, found.key_id)
