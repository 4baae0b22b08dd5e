"""HTTP helpers shared by the stand-ins."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

from aiohttp import web

from currantreach_types import decode_json, encode_json
from currantreach_types.errors import MalformedMessageError

__all__ = ('drop_connection', 'json_reply', 'query_int', 'read_json')

_Body = TypeVar('_Body')


def json_reply(message: object, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=encode_json(message),
        status=status,
        content_type='application/json',
    )


def drop_connection(request: web.Request) -> web.Response:
    """Abort the connection, so that the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)


def query_int(request: web.Request, name: str) -> int:
    """Read an integer from the query string.

    :raises web.HTTPBadRequest: if it is missing or not an integer.
    """
    try:
        return int(request.query[name])
    except (KeyError, ValueError) as exc:
        raise web.HTTPBadRequest(
            text=f'query parameter {name} must be an integer'
        ) from exc


async def read_json(request: web.Request, body_type: type[_Body]) -> _Body:
    """Decode the JSON body.
    :raises web.HTTPBadRequest: if the body does not match ``body_type``.
    """
    body = await request.read()
    try:
        return decode_json(body, body_type)
    except MalformedMessageError as exc:
        raise web.HTTPBadRequest(text=str(exc)) from exc
