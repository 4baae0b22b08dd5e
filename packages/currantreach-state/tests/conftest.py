"""Fake store shared by the tests of this package."""

from __future__ import annotations

import collections
import contextlib
import itertools
import types

import pytest

from currantreach_platform import KeyValue, Store, WatchResult
from currantreach_types import ManualClock
from currantreach_types.errors import (
    ConflictError,
    OutcomeUnknownError,
    StoreUnavailableError,
)


@types.coroutine
def pause():
    """Yield to the test; return the value that it sends."""
    return (yield)


def run(steps):
    """Run a coroutine that awaits only the fake store to completion."""
    while True:
        try:
            steps.send(None)
        except StopIteration as end:
            return end.value


class FakeStore(Store):
    """Store in memory.

    Each call pauses before and after it takes effect. The fault sent at the
    first pause, or else the next of ``faults``, is one of ``'down'``,
    ``'lost'`` (effect, then an error) or ``'late'`` (error, then the effect
    once :meth:`apply_late_call` is called).
    """

    def __init__(self, clock):
        self.clock = clock
        self.faults = collections.deque()
        self.call_count = 0
        self.late = []
        self._numbers = itertools.count(1)
        self._records = {}
        self._leases = {}

    def peek(self, key):
        """Return a record without a store call, after expiring leases."""
        for lease_id, (expiry_s, _ttl_s) in list(self._leases.items()):
            if self.clock.now_s() >= expiry_s:
                self._end(lease_id)
        return self._records.get(key, (None, ''))[0]

    def apply_late_call(self):
        """Apply the oldest late call."""
        effect, args = self.late.pop(0)
        with contextlib.suppress(ConflictError):
            effect(*args)

    async def get(self, key):
        return await self._call(self.peek, key)

    async def put(self, key, stored, expected_revision, lease_id=''):
        return await self._call(
            self._put, key, stored, expected_revision, lease_id
        )

    async def delete(self, key, expected_revision):
        await self._call(self._delete, key, expected_revision)

    async def grant_lease(self, ttl_s):
        return await self._call(self._grant, ttl_s)

    async def renew_lease(self, lease_id):
        await self._call(self._renew, lease_id)

    async def revoke_lease(self, lease_id):
        await self._call(self._end, lease_id)

    async def list_prefix(self, prefix):
        return await self._call(self._list, prefix)

    async def watch(self, prefix, after_revision, timeout_s):
        return await self._call(self._list, prefix)

    async def close(self):
        """Do nothing."""

    async def _call(self, effect, *args):
        fault = await pause()
        if fault is None and self.faults:
            fault = self.faults.popleft()
        self.call_count += 1
        if fault == 'down':
            raise StoreUnavailableError('injected')
        if fault == 'late':
            self.late.append((effect, args))
            raise OutcomeUnknownError('injected')
        self.peek('')
        outcome = effect(*args)
        await pause()
        if fault == 'lost':
            raise OutcomeUnknownError('injected')
        return outcome

    def _expect(self, key, revision):
        current = self.peek(key)
        found = 0 if current is None else current.revision
        if found != revision:
            raise ConflictError(f'{key} has revision {found}', found)

    def _put(self, key, stored, expected_revision, lease_id):
        self._expect(key, expected_revision)
        if lease_id and lease_id not in self._leases:
            raise ConflictError('lease expired', expected_revision)
        revision = next(self._numbers)
        record = KeyValue(key=key, stored=stored, revision=revision)
        self._records[key] = (record, lease_id)
        return revision

    def _delete(self, key, expected_revision):
        self._expect(key, expected_revision)
        self._records.pop(key, None)

    def _grant(self, ttl_s):
        lease_id = f'lease-{next(self._numbers)}'
        self._leases[lease_id] = (self.clock.now_s() + ttl_s, ttl_s)
        return lease_id

    def _renew(self, lease_id):
        if lease_id not in self._leases:
            raise ConflictError('lease expired', 0)
        ttl_s = self._leases[lease_id][1]
        self._leases[lease_id] = (self.clock.now_s() + ttl_s, ttl_s)

    def _end(self, lease_id):
        self._leases.pop(lease_id, None)
        for key, (_record, attached) in list(self._records.items()):
            if attached == lease_id:
                self._records.pop(key)

    def _list(self, prefix):
        found = [
            self._records[key][0] for key in self._records if prefix in key
        ]
        return WatchResult(revision=next(self._numbers), changed=tuple(found))


@pytest.fixture
def clock():
    """Return a clock that the test advances."""
    return ManualClock(100)


@pytest.fixture
def store(clock):
    """Return an empty fake store on that clock."""
    return FakeStore(clock)


@pytest.fixture
def new_store():
    """Return the class of the fake store, for state machines."""
    return FakeStore


@pytest.fixture
def pausing():
    """Return the function that pauses a simulated process."""
    return pause


@pytest.fixture(name='run')
def run_fixture():
    """Return the function that runs a coroutine on the fake store."""
    return run
