"""Faults that the store stand-in can be told to show."""

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
_CHECK_STEP_S = 1


class Outage(enum.StrEnum):
    """Ways in which a call has no effect."""

    none = 'none'
    close = 'close'
    refuse = 'refuse'


@attrs.define(slots=True, kw_only=True)
class StoreFault:
    """One fault.

    :ivar delay_ms: added to each call, half of it before the effect.
    :ivar outage: ``close`` closes connections, ``refuse`` answers 503.
    :ivar hang: calls are held without effect until the fault ends, and then
        closed.
    :ivar lost_answer_count: next writes that take effect unanswered.
    :ivar lost_answer_kinds: kinds of these writes, such as ``put``; empty
        for all, including lease calls.
    :ivar clients: names of the clients concerned; empty for all.
    """

    delay_ms: int = 0
    outage: Outage = Outage.none
    hang: bool = False
    lost_answer_count: int = 0
    lost_answer_kinds: tuple[str, ...] = ()
    clients: tuple[str, ...] = ()

    def concerns(self, client: str) -> bool:
        """Tell whether the fault is shown to this client."""
        return not self.clients or client in self.clients

    def loses_answers(self, kind: str) -> bool:
        """Tell whether the answer to a write of this kind is lost."""
        if self.lost_answer_count <= 0:
            return False
        return not self.lost_answer_kinds or kind in self.lost_answer_kinds


class StoreFaults:
    """The faults in force."""

    def __init__(self) -> None:
        """Start without faults."""
        self._faults: tuple[StoreFault, ...] = ()
        self._changed = asyncio.Event()

    def replace(self, body: bytes) -> None:
        """Take a JSON object, or list of them, in place of all faults.

        :raises MalformedMessageError: if the body is no fault.
        """
        if body.lstrip().startswith(b'['):
            faults = tuple(decode_json(body, list[StoreFault]))
        else:
            faults = (decode_json(body, StoreFault),)
        self._faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    def outage(self, request: web.Request) -> Outage:
        """Return the outage that the caller sees."""
        for fault in self._concerning(request):
            if fault.outage != Outage.none:
                return fault.outage
        return Outage.none

    async def hold(self, request: web.Request) -> bool:
        """Wait while the caller sees no answer; tell whether it waited."""
        has_waited = False
        while self._is_held(request):
            has_waited = True
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), _CHECK_STEP_S)
        return has_waited

    async def delay(self, request: web.Request) -> None:
        """Wait half of the delay."""
        delay_ms = sum(fault.delay_ms for fault in self._concerning(request))
        if delay_ms:
            await asyncio.sleep(delay_ms * _HALF / _MS_PER_S)

    def take_lost_answer(self, request: web.Request, kind: str) -> bool:
        """Tell whether the answer to this write is to be lost."""
        for fault in self._concerning(request):
            if fault.loses_answers(kind):
                fault.lost_answer_count -= 1
                return True
        return False

    def _is_held(self, request: web.Request) -> bool:
        # Calls that the client gave up are not kept for the whole hang.
        if request.transport is None:
            return False
        return any(fault.hang for fault in self._concerning(request))

    def _concerning(self, request: web.Request) -> list[StoreFault]:
        client = request.headers.get('X-Client', '')
        return [fault for fault in self._faults if fault.concerns(client)]
