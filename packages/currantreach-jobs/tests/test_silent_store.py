"""Load while the store is silent: many callers, none of which can be served.

Their calls waited behind one write without an answer, each until its deadline
or for an unknown outcome, though they had not been sent.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from currantreach_jobs import Outcome
from currantreach_jobs._key_writer import KeyWriter
from currantreach_types.errors import (
    OutcomeUnknownError,
    StoreUnavailableError,
)

# A slow store takes 0.25 s for a transaction.
SLOW_S = 0.25
# The longest time without an answer that a slow store does not reach.
SILENCE_S = 0.4
CALL_TIMEOUT_S = 0.8


class SilentStore:
    """Store whose answers are lost after the timeout of a call.

    ``lost_pattern`` tells for each call in turn whether its answer is lost.
    """

    max_entries = 32

    def __init__(self):
        self.is_silent = True
        self.lost_pattern = itertools.repeat(False)
        self.delay_s = SLOW_S
        self.sent_keys = []

    async def commit(self, expected, writes, removed=()):
        """Take a transaction."""
        self.sent_keys.extend(write.key for write in writes)
        if self.is_silent or next(self.lost_pattern):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OutcomeUnknownError('no answer')
        await asyncio.sleep(self.delay_s)
        return 1


async def create(writer, key):
    """Create a key; return the outcome and the time that it took."""
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    try:
        outcome = await writer.create(key, b'')
    except (OutcomeUnknownError, StoreUnavailableError) as error:
        outcome = type(error)
    return outcome, loop.time() - started_at_s


async def create_at_rate(writer, count, interval_s):
    """Create a key at regular times; return all outcomes."""
    calls = []
    for number in range(count):
        calls.append(asyncio.ensure_future(create(writer, f'k{number}')))
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*calls)


def test_writes_behind_a_silent_one_are_refused_unsent(run_scenario):
    """A caller behind a write without an answer must hear so at once."""

    async def scenario(*_):
        store = SilentStore()
        writer = KeyWriter(store)
        running = asyncio.ensure_future(writer.run())
        outcomes = await create_at_rate(writer, 32, 0.05)
        running.cancel()
        unknown = [each for each in outcomes if each[0] is OutcomeUnknownError]
        refused = [
            each for each in outcomes if each[0] is StoreUnavailableError
        ]
        # Three transactions are sent before the store counts as silent, with
        # the writes of the first 0.8 s, and one whenever one of them ends.
        assert len(unknown) == len(set(store.sent_keys))
        assert len(unknown) <= 17
        assert len(unknown) + len(refused) == 32
        assert max(waited_s for _, waited_s in refused) <= SILENCE_S
        # Those that come once the silence is known do not wait at all.
        assert sum(waited_s > 0 for _, waited_s in refused) <= 8

    run_scenario(scenario)


@pytest.mark.parametrize(
    'pattern', [(True, False), (True, False, False), (False, True)]
)
def test_single_lost_answers_refuse_no_write(run_scenario, pattern):
    """A store that is alive and loses answers must not count as silent."""

    async def scenario(*_):
        store = SilentStore()
        store.is_silent = False
        store.delay_s = 0.004
        store.lost_pattern = itertools.cycle(pattern)
        writer = KeyWriter(store)
        running = asyncio.ensure_future(writer.run())
        outcomes = await create_at_rate(writer, 60, 0.05)
        running.cancel()
        refused = [
            each for each in outcomes if each[0] is StoreUnavailableError
        ]
        assert not refused

    run_scenario(scenario)


def test_slow_store_refuses_no_write(run_scenario):
    """A store that answers slowly must not be taken for a silent one."""

    async def scenario(*_):
        store = SilentStore()
        store.is_silent = False
        writer = KeyWriter(store)
        running = asyncio.ensure_future(writer.run())
        outcomes = await create_at_rate(writer, 40, 0.02)
        running.cancel()
        assert {outcome for outcome, _ in outcomes} == {True}

    run_scenario(scenario)


def test_repeat_of_a_sent_write_is_not_refused_as_unsent(run_scenario):
    """A refusal says that a job never runs, but the first call may be stored.

    The caller repeats its call while the first one has no answer.
    """

    async def scenario(*_):
        store = SilentStore()
        writer = KeyWriter(store)
        running = asyncio.ensure_future(writer.run())
        first = asyncio.ensure_future(create(writer, 'k0'))
        others = asyncio.ensure_future(create_at_rate(writer, 28, 0.05))
        await asyncio.sleep(1.3)
        repeated, _ = await create(writer, 'k0')
        assert repeated is OutcomeUnknownError
        assert (await create(writer, 'new'))[0] is StoreUnavailableError
        await asyncio.gather(first, others)
        running.cancel()

    run_scenario(scenario)


def test_writes_are_accepted_once_the_store_answers(run_scenario):
    """The end of a silence must be noticed with the next write."""

    async def scenario(*_):
        store = SilentStore()
        writer = KeyWriter(store)
        running = asyncio.ensure_future(writer.run())
        assert (await create(writer, 'first'))[0] is OutcomeUnknownError
        store.is_silent = False
        await asyncio.sleep(0.01)
        assert (await create(writer, 'second'))[0] is True
        running.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize('count', [20])
def test_callers_hear_of_a_silent_store_in_time(run_scenario, job, count):
    """A burst of submissions during a silence must not wait for deadlines."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await asyncio.sleep(3)
        daemon.store.is_silent = True
        loop = asyncio.get_running_loop()
        waits_s = []

        async def submit(number):
            started_at_s = loop.time()
            response = await daemon.submissions.submit(job(f'{number:016x}'))
            waits_s.append(loop.time() - started_at_s)
            return response.outcome

        calls = []
        for number in range(count):
            calls.append(asyncio.ensure_future(submit(number)))
            await asyncio.sleep(0.1)
        outcomes = await asyncio.gather(*calls)
        # Those of three transactions, which are sent within 0.8 s.
        assert outcomes.count(Outcome.UNKNOWN) <= 9
        assert outcomes.count(Outcome.STORE_UNAVAILABLE) >= count - 9
        assert sum(waited_s > SILENCE_S for waited_s in waits_s) <= 9

    run_scenario(scenario)
