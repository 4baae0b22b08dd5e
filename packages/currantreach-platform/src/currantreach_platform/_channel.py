"""HTTP requests with a timeout to one address of the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from currantreach_platform._exchange import (
    Attempt,
    NoResponseError,
    exchange,
    open_session,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantreach_platform._exchange import HttpRequest, HttpResponse

__all__ = ('Channel',)

# At most two sessions are open after a timeout, so an address has at most 64
# connections.
_CONNECTIONS_PER_SESSION = 32


class Channel:
    """Connection pool for one address.

    After a timeout, new requests use a new pool, because all idle connections
    of the old one may have become unresponsive at the same time.
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Create the pool; requires a running event loop.

        :param timeout_s: total time limit of a request.
        :param headers: headers sent with every request.
        """
        self.in_flight = 0
        self._base_url = base_url.rstrip('/')
        self._timeout_s = timeout_s
        self._headers = dict(headers or {})
        self._session = self._open_session()
        self._retired_session: aiohttp.ClientSession | None = None

    async def send(self, request: HttpRequest) -> HttpResponse:
        """Send a request and read the complete response.

        :raises NotSentError: if nothing was sent.
        :raises NoResponseError: if no complete response arrived in time.
        """
        session = self._session
        attempt = Attempt(can_retry=request.method == 'GET')
        loop = asyncio.get_running_loop()
        self.in_flight += 1
        try:
            return await exchange(
                session,
                self._base_url,
                request,
                attempt,
                loop.time() + self._timeout_s + request.wait_s,
            )
        except NoResponseError:
            if attempt.is_unanswered:
                await self._replace_session(session)
            raise
        finally:
            self.in_flight -= 1

    async def close(self) -> None:
        """Close all connections."""
        if self._retired_session is not None:
            await self._retired_session.close()
        await self._session.close()

    async def _replace_session(self, session: aiohttp.ClientSession) -> None:
        if session is not self._session:
            return
        retired_session = self._retired_session
        self._retired_session = session
        self._session = self._open_session()
        if retired_session is not None:
            await retired_session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        return open_session(
            _CONNECTIONS_PER_SESSION, self._headers, aiohttp.TraceConfig()
        )
