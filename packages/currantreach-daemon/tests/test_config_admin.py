"""Tests of the response time of configuration changes."""

from __future__ import annotations

import asyncio
import functools
import json

import attrs
import pytest

from currantreach_config import (
    KeyRole,
    check_documents,
    initial_record,
    new_key,
)
from currantreach_daemon._admission import AdmissionController
from currantreach_daemon._config_admin import ConfigAdmin
from currantreach_daemon._replies import GUARD
from currantreach_state import ConfigStore
from currantreach_types import encode_json
from currantreach_types.errors import OutcomeUnknownError
from testbed.virtual_time import LoopClock

# Clients of operators time out after this time.
OPERATOR_TIMEOUT_S = 10
_TOKEN, _KEY = new_key('', KeyRole.operator)
_BASE = {
    'site': 'site-one',
    'teams': [],
    'queues': [],
    'keys': [json.loads(encode_json(_KEY))],
}


@attrs.define
class FakeRequest:
    """A call of an operator, with the body that the limiter reads."""

    body: dict
    headers: dict = {'Authorization': f'Bearer {_TOKEN}'}

    @property
    def app(self):
        """Return the application with the limiter."""
        return {GUARD: self}

    async def read_body(self, _request):
        """Return the body."""
        return json.dumps(self.body).encode()


class FakeOverview:
    """Overview of a cell in which one failure domain lags behind."""

    def in_force(self):
        return {}

    def missing(self, revision):
        return ['far']


def slow_down(store, delay_s):
    """Delay each call of a store."""
    for name in ('get', 'put', 'list_prefix'):
        called = getattr(store, name)
        setattr(store, name, functools.partial(call_delayed, called, delay_s))


async def call_delayed(called, delay_s, *fields):
    """Call a function after a delay."""
    await asyncio.sleep(delay_s)
    return await called(*fields)


@pytest.fixture
def apply(new_loop, new_store):
    """Return a function that applies a change on top of another one.

    It returns the answer, if it is known, the duration of the call, and the
    revision in the store when the call has had time to take effect.
    """

    async def run_apply(delay_s, **fields):
        clock = LoopClock(asyncio.get_running_loop())
        store = new_store(clock)
        cell = check_documents(json.dumps(_BASE).encode(), [])
        first = initial_record(cell, change_id='first', author='x')
        record = attrs.evolve(first, revision=2, change_id='second')
        await store.put('config/history/000000001', encode_json(first), 0)
        await store.put('config/current', encode_json(record), 0)
        config_store = ConfigStore(store, clock, 1000)
        await config_store.poll()
        slow_down(store, delay_s)
        admin = ConfigAdmin(
            AdmissionController(config_store, clock),
            config_store,
            FakeOverview(),
        )
        routes = {route.path: route.handler for route in admin.routes()}
        began_s = clock.now_s()
        try:
            response = await routes['/v1/admin/config/apply'](
                FakeRequest({'base': _BASE, **fields}),
            )
        except OutcomeUnknownError:
            answer = None
        else:
            answer = json.loads(response.body)
        took_s = clock.now_s() - began_s
        await asyncio.sleep(100)
        stored = json.loads(store.peek('config/current').stored)
        return answer, took_s, stored['revision']

    def run(*args, **fields):
        with asyncio.Runner(loop_factory=new_loop) as runner:
            return runner.run(run_apply(*args, **fields))

    return run


def test_slow_write(apply):
    """Guard against a wait for a domain that adds to a slow write.

    Property: each caller gets the answer to its own request.
    """
    answer, took_s, stored = apply(1, expected_revision=2)
    assert took_s < OPERATOR_TIMEOUT_S
    assert (answer['revision'], answer['missing']) == (3, ['far'])
    assert stored == 3


def test_write_without_end(apply):
    """Guard against a wait as long as the store's, or a lost write.

    Property: each caller gets the answer to its own request.
    """
    answer, took_s, stored = apply(3, expected_revision=2)
    assert took_s < OPERATOR_TIMEOUT_S
    assert answer is None
    assert stored == 3


def test_slow_repeat(apply):
    """Guard against a slow lookup of a repeated call that times out.

    Property: each caller gets the answer to its own request.
    """
    answer, took_s, _stored = apply(3, change_id='first')
    assert took_s < OPERATOR_TIMEOUT_S
    assert answer['revision'] == 1
