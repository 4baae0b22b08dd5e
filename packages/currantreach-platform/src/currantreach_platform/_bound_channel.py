"""HTTP requests to one address for one of the processes that listen there."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from currantreach_platform._connections import (
    ConnectionEndedError,
    ConnectionPool,
)
from currantreach_platform._exchange import NoResponseError, NotSentError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantreach_platform._connections import Connection
    from currantreach_platform._exchange import HttpRequest, HttpResponse

__all__ = ('BoundChannel', 'OtherProcessError')


class OtherProcessError(Exception):
    """The request was not sent, as the expected process did not answer.

    :ivar response: response of the process that did.
    """

    def __init__(self, response: HttpResponse) -> None:
        """Keep the response to the probe."""
        super().__init__('the expected process did not answer')
        self.response = response


class BoundChannel:
    """Connections to one address, at which a process may replace another one.

    A TCP connection ends with the process that accepted it. A request for one
    process is sent only on a connection on which that process has answered, so
    it reaches no later one, however long it is on its way. There must be no
    proxy between this host and the address.

    A process that closes the connection after each response could be sent
    nothing that way. It gets its requests on new connections, which may reach a
    later process.
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float,
        headers: Mapping[str, str],
        identify: Callable[[HttpResponse], int],
        report_unbound: Callable[[], None],
    ) -> None:
        """Create the channel without connections.

        :param timeout_s: total time limit of a request, with its probe.
        :param headers: headers sent with every request.
        :param identify: returns the label of the process that sent a response,
            0 if the response does not tell.
        :param report_unbound: called before a request for one process is sent
            on a new connection.
        """
        self._timeout_s = timeout_s
        self._identify = identify
        self._report_unbound = report_unbound
        self._pool = ConnectionPool(base_url, headers)

    async def send(self, request: HttpRequest) -> HttpResponse:
        """Send a request to any process.

        :raises NotSentError: if nothing was sent.
        :raises NoResponseError: if no complete response arrived in time.
        """
        expires_at_s = self._expiry_s(request)
        async with self._pool.connection(expires_at_s) as connection:
            return await self._exchange(connection, request, expires_at_s)

    async def send_to(
        self, label: int, request: HttpRequest, probe: HttpRequest
    ) -> HttpResponse:
        """Send a request to one process.

        :param label: label of that process.
        :param probe: request without an effect, which is sent first on a
            connection whose process is not known.
        :raises OtherProcessError: if another process has answered the probe, or
            none that could be identified; the request was not sent.
        :raises NotSentError: if the request was not sent.
        :raises NoResponseError: if no complete response arrived in time.
        """
        expires_at_s = self._expiry_s(request)
        async with self._pool.connection(expires_at_s) as connection:
            if connection.label == label:
                # The process may have closed an idle connection.
                with contextlib.suppress(ConnectionEndedError):
                    return await self._exchange(
                        connection, request, expires_at_s, is_bound=True
                    )
            probed = await self._probe(connection, probe, expires_at_s, label)
            if probed.is_last:
                self._report_unbound()
            return await self._exchange(
                connection, request, expires_at_s, is_bound=not probed.is_last
            )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    def _expiry_s(self, request: HttpRequest) -> float:
        """Return the end of a request on the clock of the event loop."""
        loop = asyncio.get_running_loop()
        return loop.time() + self._timeout_s + request.wait_s

    async def _probe(
        self,
        connection: Connection,
        probe: HttpRequest,
        expires_at_s: float,
        label: int,
    ) -> HttpResponse:
        """Send a probe and return the response of the expected process."""
        # Whatever is known of the connection, the answer to a probe decides.
        connection.label = 0
        try:
            response = await self._exchange(connection, probe, expires_at_s)
        except NoResponseError as unanswered:
            raise NotSentError(
                f'the process is not known: {unanswered}'
            ) from unanswered
        if connection.label != label:
            raise OtherProcessError(response)
        return response

    async def _exchange(
        self,
        connection: Connection,
        request: HttpRequest,
        expires_at_s: float,
        is_bound: bool = False,
    ) -> HttpResponse:
        response = await connection.send(request, expires_at_s, is_bound)
        if not connection.label:
            connection.label = self._identify(response)
        return response
