"""Replies that the stand-ins have in common."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

from aiohttp import web

from currantreach_types import decode_json, encode_json
from currantreach_types.errors import MalformedMessageError

__all__ = ('drop_connection', 'json_reply', 'query_number', 'read_json')

_Body = TypeVar('_Body')


def json_reply(message: object, status: int = 200) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=encode_json(message),
        status=status,
        content_type='application/json',
    )


def drop_connection(request: web.Request) -> web.Response:
    """Close the connection so that the returned answer is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)


def query_number(request: web.Request, name: str) -> int:
    """Read a whole number from the query.

    :raises web.HTTPBadRequest: if it is missing or no number.
    """
    try:
        return int(request.query[name])
    except (KeyError, ValueError) as exc:
        raise web.HTTPBadRequest(text=f'{name} must be a number') from exc


async def read_json(request: web.Request, kind: type[_Body]) -> _Body:
    """Read the body.

    :raises web.HTTPBadRequest: if the body does not match ``kind``.
    """
    body = await request.read()
    try:
        return decode_json(body, kind)
    except MalformedMessageError as exc:
        raise web.HTTPBadRequest(text=str(exc)) from exc
