"""Fake store and event loop in virtual time."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import selectors

import pytest

from currantreach_platform import KeyValue, Store, WatchResult
from currantreach_types import ManualClock
from currantreach_types.errors import (
    ConflictError,
    OutcomeUnknownError,
    StoreUnavailableError,
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that advances a manual clock instead of waiting."""

    def __init__(self, clock):
        super().__init__(_VirtualSelector(clock))
        self.time = clock.now_s

    def step(self, awaitable):
        """Run an awaitable to completion."""
        return self.run_until_complete(awaitable)


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('nothing is left to run')
        self._clock.advance(max(timeout, 0))
        return super().select(0)


class FakeStore(Store):
    """Store in memory.

    Each call, or each call of a kind in ``faulty_kinds``, consumes the next of
    ``faults``:
    ``outage``, ``dropped`` (no effect, no answer), ``lost`` (effect, no
    answer), ``late`` (no answer, effect after ``late_s``) or ``slow``
    (effect, answer after ``late_s``).
    """

    def __init__(self, clock):
        self.clock = clock
        self.rows = {}
        self.revision = 0
        self.faults = collections.deque()
        self.faulty_kinds = frozenset()
        self.calls = collections.Counter()
        self.is_down = False
        self.latency_s = 0.002
        self.late_s = 1

    async def get(self, key):
        return await self._call('get', lambda: self.rows.get(key))

    async def list_prefix(self, prefix):
        return await self._call('list', lambda: self._below(prefix))

    async def put(self, key, stored, expected_revision, lease_id=''):
        def effect():
            self._check(key, expected_revision)
            self.rows[key] = KeyValue(
                key=key, stored=stored, revision=self.revision
            )
            return self.revision

        assert len(stored) <= 1_000_000
        return await self._call('put', effect)

    async def delete(self, key, expected_revision):
        def effect():
            self._check(key, expected_revision)
            self.rows.pop(key)

        await self._call('delete', effect)

    async def watch(self, prefix, after_revision, timeout_s):
        end_s = self.clock.now_s() + timeout_s
        while not self._below(prefix, after_revision).changed:
            if self.is_down or self.clock.now_s() >= end_s:
                break
            await asyncio.sleep(0.05)
        return await self._call(
            'watch', lambda: self._below(prefix, after_revision)
        )

    grant_lease = None
    renew_lease = None
    revoke_lease = None

    async def close(self):
        self.rows.clear()

    async def _call(self, kind, effect):
        self.calls[kind] += 1
        is_faulty = not self.faulty_kinds or kind in self.faulty_kinds
        fault = self.faults.popleft() if self.faults and is_faulty else ''
        await asyncio.sleep(self.latency_s)
        if self.is_down or fault == 'outage':
            raise StoreUnavailableError('the fake store is down')
        if fault == 'late':
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._ignore_conflict, effect)
        if fault in {'late', 'dropped'}:
            raise OutcomeUnknownError('no answer')
        answer = effect()
        if fault == 'lost':
            raise OutcomeUnknownError('no answer')
        await asyncio.sleep(self.late_s if fault == 'slow' else 0)
        return answer

    def _ignore_conflict(self, effect):
        with contextlib.suppress(ConflictError):
            effect()

    def _check(self, key, expected_revision):
        found = self.rows.get(key)
        current_revision = found.revision if found else 0
        if current_revision != expected_revision:
            raise ConflictError('another revision', current_revision)
        self.revision += 1

    def _below(self, prefix, after_revision=0):
        changed = tuple(
            row
            for key, row in self.rows.items()
            if key.startswith(prefix) and row.revision > after_revision
        )
        return WatchResult(revision=self.revision, changed=changed)


@pytest.fixture
def make_cell():
    """Return a factory of virtual event loops with a fake store."""
    loops = []

    def make():
        clock = ManualClock(100)
        loop = VirtualLoop(clock)
        loops.append(loop)
        return loop, FakeStore(clock)

    yield make
    for loop in loops:
        if not loop.is_closed():
            loop.close()


@pytest.fixture
def cell(make_cell):
    """Return a virtual event loop and a fake store."""
    return make_cell()
