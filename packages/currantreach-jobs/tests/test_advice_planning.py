"""Number of workers in a call to the placement service.

Heavy gangs on a busy fleet asked about 4 to 8 workers in a call of 0.6 s, of
which a quarter were allowed, and repeated the call three or four times before
they had enough workers.
"""

from __future__ import annotations

import functools
import itertools
import random

import pytest
from hypothesis import given, settings, strategies

from currantreach_jobs import AdviceConfig
from currantreach_jobs._advice_planning import (
    MAX_QUERIED,
    planned_count,
    prior_of,
)

FLEET_SIZE = 176
TRIALS = 300
# Fraction of the listed workers that still have their free capacity after a
# call of 0.6 s on a busy fleet.
KEPT_FRACTION = 0.8
# Dearest and cheapest calls of the three queues of the target deployments.
HEAVY = AdviceConfig(fixed_s=0.6, per_worker_s=0.0049, ticket_s=1.5)
HEAVY_SLOW = AdviceConfig(fixed_s=0.34, per_worker_s=0.0086, ticket_s=1.5)
WIDE = AdviceConfig(fixed_s=0.12, per_worker_s=0.0011, ticket_s=1.5)
PROMPT = AdviceConfig(fixed_s=0.009, per_worker_s=0.00013, ticket_s=1.5)


def alike(count, size=FLEET_SIZE):
    """Return the fitting counts of workers that are all alike."""
    return tuple(itertools.repeat(count, size))


def former_count(allowed_fraction, fitting_counts, needed_count):
    """Return the number of workers by the rule before this one.

    It listed 1.6 times the workers of the average need.
    """
    missing = needed_count
    for listed, count in enumerate(fitting_counts):
        if missing <= 0:
            return listed
        missing -= count * allowed_fraction / 1.6
    return min(len(fitting_counts), MAX_QUERIED)


@pytest.mark.parametrize(
    ('advice', 'fraction', 'fitting', 'needed', 'least', 'most'),
    [
        # Heavy gangs: a repeated call costs as much as 122 workers.
        (HEAVY, 0.25, 3, 2, 12, 20),
        (HEAVY, 0.25, 3, 5, 20, 30),
        (HEAVY, 0.25, 3, 9, 28, 40),
        (HEAVY, 0.25, 3, 20, 50, 70),
        (HEAVY, 0.25, 1, 20, 100, 100),
        (HEAVY_SLOW, 0.25, 3, 9, 18, 32),
        # Wide work, which may start in parts.
        (WIDE, 0.45, 9, 25, 9, 16),
        # Short calls stay short.
        (PROMPT, 0.7, 6, 3, 1, 4),
        (PROMPT, 0.7, 3, 3, 1, 4),
        (PROMPT, 0.7, 1, 3, 5, 9),
    ],
)
def test_count_follows_the_cost(advice, fraction, fitting, needed, least, most):
    """A call must list neither so few that it is repeated nor too many."""
    count = planned_count(advice, fraction, alike(fitting), needed)
    assert least <= count <= most


def test_larger_workers_need_a_shorter_call():
    """A worker that fits many tasks must count for all of them."""
    few = planned_count(HEAVY, 0.25, alike(6), 18)
    mixed = planned_count(HEAVY, 0.25, alike(6, 10) + alike(1, 166), 18)
    many = planned_count(HEAVY, 0.25, alike(1), 18)
    assert few < mixed < many


@pytest.mark.parametrize('needed', [0, 1, 7, 300])
def test_count_has_limits(needed):
    """A call lists no more workers than exist and the service accepts."""
    for size in (0, 1, 20, FLEET_SIZE):
        count = planned_count(HEAVY, 0.25, alike(1, size), needed)
        assert 0 <= count <= min(size, MAX_QUERIED)
        assert not count or needed
    assert not planned_count(HEAVY, 0.25, [1], 0)


def test_scarce_workers_are_all_listed():
    """A fleet with too little capacity must be searched as a whole."""
    assert planned_count(HEAVY, 0.25, alike(3, 20), 20) == 20
    assert planned_count(PROMPT, 0.7, [1, 1], 3) == 2


def test_first_call_of_an_expensive_queue_expects_less():
    """The first calls must suffice before a queue has any answers."""
    careful_fraction, careful_weight = prior_of(HEAVY)
    fraction, weight = prior_of(PROMPT)
    assert careful_fraction < fraction
    assert careful_weight < weight


class Rule:
    """A rule for the size of calls; measures the time until they suffice."""

    def __init__(self, advice, fraction, choose):
        self.advice = advice
        self.fraction = fraction
        self.choose = functools.cache(choose)

    def total_s(self, verdicts, fitting, needed):
        """Return the duration of all calls until the gang has its workers."""
        spent_s = 0
        first = 0
        while needed > 0 and first < len(verdicts):
            rest = alike(fitting, len(verdicts) - first)
            count = self.choose(self.fraction, rest, needed)
            spent_s += self.advice.fixed_s + self.advice.per_worker_s * count
            needed -= fitting * sum(verdicts[first : first + count])
            first += count
        return spent_s


def compare(advice, fraction, kept_fraction, gang, seed):
    """Return the total durations by the planned and by the former rule.

    Both rules get the same random verdicts, and lose the capacity of the same
    workers to other tasks.
    """
    numbers = random.Random(seed)
    planned = Rule(
        advice, fraction, lambda *query: planned_count(advice, *query)
    )
    former = Rule(advice, fraction, former_count)
    totals_s = []
    for _ in range(TRIALS):
        verdicts = [
            numbers.random() < fraction * kept_fraction
            for _ in range(FLEET_SIZE)
        ]
        totals_s.append(
            (planned.total_s(verdicts, *gang), former.total_s(verdicts, *gang))
        )
    return map(sum, zip(*totals_s, strict=True))


@settings(max_examples=40, deadline=None)
@given(
    advice=strategies.sampled_from((HEAVY, HEAVY_SLOW)),
    fitting=strategies.integers(2, 3),
    needed=strategies.integers(2, 20),
    seed=strategies.integers(0, 10**6),
)
def test_gangs_have_their_workers_sooner(advice, fitting, needed, seed):
    """Calls for gangs take less time in total than by the former rule."""
    planned_s, former_s = compare(
        advice, 0.25, KEPT_FRACTION, (fitting, needed), seed
    )
    assert planned_s < 1.03 * former_s


@settings(max_examples=20, deadline=None)
@given(
    fitting=strategies.integers(1, 6),
    needed=strategies.integers(1, 3),
    seed=strategies.integers(0, 10**6),
)
def test_prompt_calls_stay_short(fitting, needed, seed):
    """Calls of a queue with short calls must not become longer in total."""
    planned_s, former_s = compare(PROMPT, 0.7, 1, (fitting, needed), seed)
    assert planned_s < 1.03 * former_s


def test_small_gangs_need_one_call():
    """Three calls in a row for a gang of two tasks must not come back.

    The former rule took it for granted that half of the workers are allowed
    until the queue had answers.
    """
    former = Rule(HEAVY, 0.5, former_count)
    planned = Rule(
        HEAVY, prior_of(HEAVY)[0], lambda *query: planned_count(HEAVY, *query)
    )
    numbers = random.Random(1)
    totals_s = []
    for _ in range(TRIALS):
        verdicts = [numbers.random() < 0.2 for _ in range(FLEET_SIZE)]
        totals_s.append(
            (planned.total_s(verdicts, 3, 2), former.total_s(verdicts, 3, 2))
        )
    planned_s, former_s = map(sum, zip(*totals_s, strict=True))
    assert planned_s < 0.6 * former_s
    assert planned_s < 0.75 * TRIALS
