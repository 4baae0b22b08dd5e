"""Faults that can be injected into the store stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING

import attrs

from currantreach_types import decode_json

if TYPE_CHECKING:
    from aiohttp import web

__all__ = ('Outage', 'StoreFault', 'StoreFaults')

_MS_PER_S = 1000
_HALF = 0.5
_CHECK_INTERVAL_S = 1


class Outage(enum.StrEnum):
    """How calls fail without effect."""

    none = 'none'
    close = 'close'
    refuse = 'refuse'


@attrs.define(slots=True, kw_only=True)
class StoreFault:
    """An injected fault.

    :ivar delay_ms: delay added to each call, half of it before the effect.
    :ivar outage: ``close`` closes connections, ``refuse`` answers 503.
    :ivar hang: calls wait without effect until the fault ends, and then
        their connections are closed.
    :ivar lost_answer_count: number of next writes that take effect but are
        not answered.
    :ivar lost_answer_kinds: kinds of these writes, such as ``put``; empty
        for all, including lease calls.
    :ivar clients: names of the affected clients; empty for all.
    """

    delay_ms: int = 0
    outage: Outage = Outage.none
    hang: bool = False
    lost_answer_count: int = 0
    lost_answer_kinds: tuple[str, ...] = ()
    clients: tuple[str, ...] = ()

    def applies_to(self, client: str) -> bool:
        """Tell whether the fault affects a client."""
        return not self.clients or client in self.clients

    def loses_answers(self, kind: str) -> bool:
        """Tell whether the answer to a write of this kind is to be lost."""
        if self.lost_answer_count <= 0:
            return False
        return not self.lost_answer_kinds or kind in self.lost_answer_kinds


class StoreFaults:
    """The faults that are currently injected."""

    def __init__(self) -> None:
        """Start without faults."""
        self._faults: tuple[StoreFault, ...] = ()
        self._changed = asyncio.Event()

    def replace(self, body: bytes) -> None:
        """Replace all faults by a JSON object or a list of them.

        :raises MalformedMessageError: if the body does not describe faults.
        """
        if body.lstrip().startswith(b'['):
            faults = tuple(decode_json(body, list[StoreFault]))
        else:
            faults = (decode_json(body, StoreFault),)
        self._faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    def outage(self, request: web.Request) -> Outage:
        """Return the outage that affects the caller."""
        for fault in self._matching(request):
            if fault.outage != Outage.none:
                return fault.outage
        return Outage.none

    async def wait_out_hang(self, request: web.Request) -> bool:
        """Wait until no hang affects the caller; tell whether one did."""
        has_waited = False
        while self._is_hanging(request):
            has_waited = True
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), _CHECK_INTERVAL_S)
        return has_waited

    async def delay(self, request: web.Request) -> None:
        """Sleep for half of the total delay."""
        delay_ms = sum(fault.delay_ms for fault in self._matching(request))
        if delay_ms:
            await asyncio.sleep(delay_ms * _HALF / _MS_PER_S)

    def consume_lost_answer(self, request: web.Request, kind: str) -> bool:
        """Use up one lost answer, if there is one for this write."""
        for fault in self._matching(request):
            if fault.loses_answers(kind):
                fault.lost_answer_count -= 1
                return True
        return False

    def _is_hanging(self, request: web.Request) -> bool:
        # A call that its client has abandoned must not wait until the hang
        # ends.
        if request.transport is None:
            return False
        return any(fault.hang for fault in self._matching(request))

    def _matching(self, request: web.Request) -> list[StoreFault]:
        client = request.headers.get('X-Client', '')
        return [fault for fault in self._faults if fault.applies_to(client)]
