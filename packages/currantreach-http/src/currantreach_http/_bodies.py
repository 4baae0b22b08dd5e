"""Reading of request bodies."""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

__all__ = ('BodyReader', 'WholeBodyReader')


class BodyReader(abc.ABC):
    """Reads the body of a request."""

    @abc.abstractmethod
    async def read(self, request: web.BaseRequest, timeout_s: float) -> bytes:
        """Return the whole body.

        :raises TimeoutError: if the body does not arrive in time.
        """


class WholeBodyReader(BodyReader):
    """Leaves the limit on the size to aiohttp."""

    async def read(self, request: web.BaseRequest, timeout_s: float) -> bytes:
        """Return the whole body."""
        async with asyncio.timeout(timeout_s):
            return await request.read()
