"""Tests of the processor time that received data may take at once.

Bodies in chunks of one byte kept the event loop busy for seconds.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_http import ReadTurns, TurnTaker

# Time of one turn, see ReadTurns.
TURN_S = 0.005


@attrs.define(eq=False)
class ProcessorClock:
    """Processor time that connections advance."""

    now_s: float = 0

    def __call__(self):
        """Return the time used so far."""
        return self.now_s


@attrs.define(eq=False, slots=False)
class Connection(TurnTaker):
    """Connection whose data takes a fixed time."""

    name: str
    clock: ProcessorClock
    cost_s: float
    order: list

    def take_turn(self):
        """Use up processor time."""
        self.clock.now_s += self.cost_s
        self.order.append(self.name)


@pytest.fixture
def clock():
    """Return a clock of processor time."""
    return ProcessorClock()


@pytest.fixture
def order():
    """Return the names of connections in the order of their turns."""
    return []


@pytest.fixture
def make_connection(clock, order):
    """Return a function that creates a connection."""
    return lambda name, cost_s: Connection(name, clock, cost_s, order)


@pytest.fixture
async def turns(clock):
    """Return turns without waiting connections."""
    return ReadTurns(clock)


async def wait_for_turns(order, count):
    """Wait until so many turns were taken."""
    async with asyncio.timeout(10):
        while len(order) < count:
            await asyncio.sleep(0.001)


async def test_expensive_data_waits(turns, make_connection, order):
    """Another connection and the rest of the process must have their turn."""
    assert turns.process(make_connection('first', TURN_S))
    assert not turns.process(make_connection('second', TURN_S))
    assert not turns.process(make_connection('third', TURN_S))
    await asyncio.sleep(0)
    assert order == ['first']
    await wait_for_turns(order, 3)


async def test_usual_data_does_not_wait(turns, make_connection, order):
    """Requests of calm callers were delayed."""
    for number in range(10):
        assert turns.process(make_connection(number, TURN_S / 100))
    assert len(order) == 10


async def test_cheapest_request_goes_first(turns, make_connection, order):
    """An ordinary request must not wait behind expensive ones."""
    expensive = make_connection('expensive', TURN_S)
    turns.process(expensive)
    turns.process(expensive)
    turns.process(make_connection('ordinary', 0))
    await wait_for_turns(order, 3)
    assert order == ['expensive', 'ordinary', 'expensive']
