"""Client that records its requests and the answers to them."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ('Caller', 'SentRequest')

_CALL_TIMEOUT_S = 6
_BACKOFF_S = 0.1
_FINAL_STATES = frozenset(('finished', 'failed', 'not_run'))


@attrs.define(slots=True, kw_only=True)
class SentRequest:
    """A request and the answers that its caller received.

    :ivar is_durable: whether an accepted request must not be lost.
    :ivar request_id: id of the request, empty until one is issued.
    :ivar states: reported states, in order of their arrival.
    :ivar answer: last answer.
    :ivar waited_s: time from the first call to the final answer.
    """

    team: str
    workload: str
    body: dict[str, Any]
    is_durable: bool = False
    request_id: str = ''
    states: list[str] = attrs.field(factory=list)
    answer: dict[str, Any] = attrs.field(factory=dict)
    waited_s: float = 0

    @property
    def state(self) -> str:
        """Return the last reported state, or an empty string."""
        return self.states[-1] if self.states else ''


class Caller:
    """Client that submits requests to daemons and polls for the answers."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: Sequence[str],
        keys: Mapping[str, str],
        seed: int,
    ) -> None:
        """Send each call to a random daemon of ``urls``.

        :param keys: API keys by name of the team.
        :param seed: seed of the random choices.
        """
        self.sent: list[SentRequest] = []
        self._session = session
        self._urls = list(urls)
        self._keys = keys
        self._rng = random.Random(seed)

    async def run(
        self,
        team: str,
        body: dict[str, Any],
        timeout_s: float,
        *,
        is_durable: bool,
    ) -> SentRequest:
        """Submit a request and poll until it has a final answer."""
        sent = SentRequest(
            team=team,
            workload=body['workload'],
            body={'team': team, **body},
            is_durable=is_durable,
        )
        self.sent.append(sent)
        started_at_s = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                await self._submit(sent)
                await self._poll_answer(sent)
        except TimeoutError:
            return sent
        finally:
            sent.waited_s = time.monotonic() - started_at_s
        return sent

    async def _submit(self, sent: SentRequest) -> None:
        while not sent.request_id:
            issued = await self._call(
                sent,
                'POST',
                '/v1/request-ids',
                {
                    'queue': sent.body['queue'],
                    'resources': sent.body['resources'],
                },
            )
            sent.request_id = issued.get('request_id', '')
        attempt = 0
        while sent.state not in {'accepted', 'running', *_FINAL_STATES}:
            attempt += 1
            answer = await self._call(
                sent,
                'POST',
                '/v1/requests',
                {
                    **sent.body,
                    'request_id': sent.request_id,
                    'attempt': attempt,
                },
            )
            self._record_answer(sent, answer)
            if sent.state == 'unknown':
                if not answer.get('can_retry'):
                    return
                await asyncio.sleep(_BACKOFF_S)

    async def _poll_answer(self, sent: SentRequest) -> None:
        path = f'/v1/requests/{sent.request_id}/answer?timeout_ms=4000'
        while sent.state not in _FINAL_STATES:
            answer = await self._call(sent, 'GET', path, None)
            self._record_answer(sent, answer)
            is_final = answer.get('state') == 'unknown'
            if is_final and not answer.get('can_retry'):
                return

    def _record_answer(self, sent: SentRequest, answer: dict[str, Any]) -> None:
        if not answer:
            return
        sent.answer = answer
        sent.states.append(answer['state'])

    async def _call(
        self,
        sent: SentRequest,
        method: str,
        path: str,
        body: dict[str, Any] | None,
    ) -> dict[str, Any]:
        url = self._rng.choice(self._urls)
        headers = {}
        if sent.team in self._keys and sent.body.get('team'):
            headers['Authorization'] = f'Bearer {self._keys[sent.team]}'
        try:
            async with self._session.request(
                method,
                url + path,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
            ) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            await asyncio.sleep(_BACKOFF_S * (1 + self._rng.random()))
            return {}
