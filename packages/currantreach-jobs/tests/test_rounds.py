"""Scheduling rounds: urgent ones within the pauses between full ones."""

from __future__ import annotations

import asyncio

import pytest

from currantreach_jobs._rounds import SchedulingRounds
from testbed.virtual_time import LoopClock, VirtualLoop

# Duration of a round over all stages of a busy cell.
_FULL_S = 0.03
# Duration of a round over a few urgent stages.
_URGENT_S = 0.002


class Scheduling:
    """Rounds of known durations on virtual time, and when they began."""

    def __init__(self, loop):
        self.loop = loop
        self.retries = []
        self.full_s = []
        self.urgent_s = []
        self.urgent_error = None
        self.duration_s = {'full': _FULL_S, 'urgent': _URGENT_S}
        self.rounds = SchedulingRounds(
            LoopClock(loop), self.run_full, self.run_urgent, self.retries.append
        )

    def run_full(self):
        self.full_s.append(self.loop.time())
        self.loop.time_selector.now_s += self.duration_s['full']

    def run_urgent(self):
        self.urgent_s.append(self.loop.time())
        self.loop.time_selector.now_s += self.duration_s['urgent']
        if self.urgent_error is not None:
            raise self.urgent_error

    async def request_each(self, interval_s):
        while True:
            self.rounds.request()
            await asyncio.sleep(interval_s)


@pytest.fixture
def run_rounds():
    """Return a function that runs rounds for some seconds of virtual time."""

    def run(for_s, requests, prepare=None):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            loop = runner.get_loop()
            scheduling = Scheduling(loop)
            if prepare is not None:
                prepare(scheduling)
            end_s = loop.time() + for_s

            async def scenario():
                requesting = asyncio.create_task(requests(scheduling))
                await scheduling.rounds.run(lambda: loop.time() >= end_s)
                requesting.cancel()

            runner.run(scenario())
        return scheduling

    return run


def test_urgent_round_does_not_wait_for_the_next_full_one(run_rounds):
    """A prompt job that arrives in a pause must not wait until it ends.

    On a full fleet a round took 0.02 to 0.03 s and the pause after it twice as
    long. A prompt job waited for the end of one pause before its advice call
    and of another one before its start, 0.2 to 0.3 s at the median in all, of
    a slack of 0.25 s and half of its length.
    """
    requested_s = []

    async def request_once(scheduling):
        while not scheduling.full_s:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.015)
        requested_s.append(scheduling.loop.time())
        scheduling.rounds.request()

    scheduling = run_rounds(0.3, request_once)
    assert scheduling.urgent_s[0] - requested_s[0] < 0.012
    assert scheduling.full_s[1] - scheduling.full_s[0] >= 3 * _FULL_S


def test_urgent_rounds_do_not_starve_full_ones(run_rounds):
    """Requests without a pause must not delay the full rounds without bound."""
    scheduling = run_rounds(5, lambda each: each.request_each(0.001))
    gaps_s = [
        later - earlier
        for earlier, later in zip(
            scheduling.full_s, scheduling.full_s[1:], strict=False
        )
    ]
    # The pause, what urgent rounds extend it by at most, and one of each.
    assert max(gaps_s) < 3 * _FULL_S + 0.1 + 0.02
    assert scheduling.urgent_s


def test_rounds_leave_most_of_the_processor_time_to_others(run_rounds):
    """Rounds of both kinds must not take the time of leases and replies."""
    scheduling = run_rounds(5, lambda each: each.request_each(0.001))
    busy_s = (
        len(scheduling.full_s) * _FULL_S + len(scheduling.urgent_s) * _URGENT_S
    )
    assert busy_s < 0.4 * 5


def test_failed_urgent_round_does_not_end_the_rounds(run_rounds):
    """An error in an urgent round must not end the leadership."""

    def fail(scheduling):
        scheduling.urgent_error = ValueError('odd stage')

    scheduling = run_rounds(2, lambda each: each.request_each(0.02), fail)
    assert 'round_failed' in scheduling.retries
    assert len(scheduling.full_s) > 3


def test_short_rounds_have_no_urgent_ones_between_them(run_rounds):
    """An idle cell, whose rounds are short, is served by full rounds alone."""

    def shorten(scheduling):
        scheduling.duration_s['full'] = 0.001

    scheduling = run_rounds(1, lambda each: each.request_each(0.02), shorten)
    assert not scheduling.urgent_s
    assert len(scheduling.full_s) > 40
