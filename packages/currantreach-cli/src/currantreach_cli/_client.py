"""Client of the daemon's HTTP API with bounded retries."""

from __future__ import annotations

import asyncio
import enum
import json
import random
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import attrs

from currantreach_types.errors import CurrantreachError, OutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = (
    'Client',
    'DaemonUnreachableError',
    'Reply',
    'RetryPolicy',
)

_FIRST_ERROR_STATUS: Final = 400


class DaemonUnreachableError(CurrantreachError):
    """No daemon received the call; nothing was changed."""


class _Delivery(enum.Enum):
    """Whether a call without a response may have taken effect."""

    not_sent = 'not_sent'
    unknown = 'unknown'


@attrs.frozen(slots=True)
class Reply:
    """Response of the daemon.

    :ivar status: HTTP status.
    :ivar payload: decoded JSON body.
    :ivar was_lost: whether the response to an earlier attempt was lost.
    """

    status: int
    payload: Any
    was_lost: bool = False

    @property
    def is_error(self) -> bool:
        """Tell whether the daemon refused the call."""
        return self.status >= _FIRST_ERROR_STATUS


@attrs.frozen(slots=True, kw_only=True)
class RetryPolicy:
    """Retry limits of one call.

    :ivar attempt_count: maximum number of attempts.
    :ivar attempt_timeout_s: timeout of each attempt.
    :ivar first_delay_s: upper bound of the first delay; doubled each time.
    """

    attempt_count: int = 5
    attempt_timeout_s: float = 5
    first_delay_s: float = 0.2

    def delays_s(self) -> Iterator[float]:
        """Yield the delays of an exponential backoff with full jitter."""
        for attempt in range(self.attempt_count - 1):
            yield random.uniform(0, self.first_delay_s * 2**attempt)


class Client:
    """Calls one daemon or the load balancer in front of several."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        url: str,
        policy: RetryPolicy,
    ) -> None:
        """Send calls to ``url`` through ``http``."""
        self._http = http
        self._url = url.rstrip('/')
        self._policy = policy

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        is_repeatable: bool = True,
        wait_s: float = 0,
    ) -> Reply:
        """Send a call, with retries until one attempt is answered.

        :param is_repeatable: whether the call is idempotent.
        :param wait_s: time that the daemon may wait before it responds.
        :raises DaemonUnreachableError: if no attempt reached a daemon.
        :raises OutcomeUnknownError: if an attempt may have taken effect.
        """
        was_lost = False
        delays = self._policy.delays_s()
        while True:
            attempt = await self._attempt(method, path, body, wait_s)
            if isinstance(attempt, Reply):
                return attrs.evolve(attempt, was_lost=was_lost)
            was_lost = was_lost or attempt is _Delivery.unknown
            delay_s = next(delays, None)
            if delay_s is None or (was_lost and not is_repeatable):
                raise self._failure(was_lost=was_lost and method != 'GET')
            await asyncio.sleep(delay_s)

    def _failure(self, *, was_lost: bool) -> CurrantreachError:
        if was_lost:
            return OutcomeUnknownError(
                f'no response from {self._url}; the call may or may not have '
                + 'taken effect; check before you repeat it',
            )
        return DaemonUnreachableError(
            f'no daemon answers at {self._url}; check --url and the network',
        )

    async def _attempt(
        self,
        method: str,
        path: str,
        body: object,
        wait_s: float,
    ) -> Reply | _Delivery:
        timeout_s = self._policy.attempt_timeout_s + wait_s
        try:
            async with self._http.request(
                method,
                f'{self._url}{path}',
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                # A redirect would send the key to another server.
                allow_redirects=False,
            ) as response:
                return Reply(response.status, _decode(await response.read()))
        except aiohttp.ClientConnectorError:
            return _Delivery.not_sent
        except (aiohttp.ClientError, TimeoutError):
            return _Delivery.unknown


def _decode(body: bytes) -> Any:
    if not body:
        return {}
    try:
        return json.loads(body)
    except ValueError:
        return {
            'reason': 'not_json',
            'remedy': 'check that --url names a currantreach daemon',
        }
