"""Number of workers in a call to the placement service."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_jobs._model import AdviceConfig

__all__ = ('MAX_QUERIED', 'planned_count', 'prior_of')

# The placement service accepts at most this many workers in one call.
MAX_QUERIED = 100
# Capacities are counted in units of which at most about this many are needed,
# so that planning a call takes well under a millisecond for any step.
_MAX_UNITS = 50
# Listing further workers cannot shorten the expected time by more than this
# fraction of a repeated call.
_NEGLIGIBLE_PROBABILITY = 0.0001
# A repeated call lists this many times the workers of its average need, as the
# capacity that it finds varies, too.
_REPEAT_MARGIN = 1.6
# Time constant with which other tasks take the free capacity of a listed worker
# while the call is in flight. A call of 0.6 s loses a fifth of it, the margin
# that is used for workers that are known to be allowed.
_CAPACITY_LOSS_S = 2.7
# A repeated call of this duration delays a stage by more than an urgent job
# has to spare.
_EXPENSIVE_CALL_S = 0.05
# Expected fraction of allowed workers of a queue without answers, and the
# number of answers it counts as. A fraction that is too high makes the first
# calls list too few workers; those of an expensive queue have to be repeated.
_PRIOR = (0.5, 20)
_CAREFUL_PRIOR = (0.25, 8)


def prior_of(advice: AdviceConfig | None) -> tuple[float, int]:
    """Return the fraction of allowed workers to expect without answers.

    :returns: the fraction and the number of answers that it counts as.
    """
    if advice is None or advice.fixed_s < _EXPENSIVE_CALL_S:
        return _PRIOR
    return _CAREFUL_PRIOR


def planned_count(
    advice: AdviceConfig,
    allowed_fraction: float,
    fitting_counts: Sequence[int],
    needed_count: int,
) -> int:
    """Return how many workers to list in a call.

    It minimises the expected time until the allowed workers suffice: the
    duration of this call, and that of another one for the tasks that it leaves
    without a worker. Each worker is allowed independently of the others, so
    the capacity on the allowed ones varies between calls. The longer the call,
    the more listed workers have lost their free capacity when it is answered.

    :param fitting_counts: how many tasks fit on each worker, in the order in
        which they would be listed.
    :param needed_count: number of tasks to find workers for.
    :returns: length of the prefix to list; all workers if they are not
        expected to suffice.
    """
    counts = fitting_counts[:MAX_QUERIED]
    if needed_count <= 0 or not counts:
        return 0
    usable_fraction = allowed_fraction * math.exp(
        -advice.fixed_s / _CAPACITY_LOSS_S
    )
    if usable_fraction * sum(counts) <= needed_count:
        return len(counts)
    unit = math.ceil(needed_count / _MAX_UNITS)
    units = [max(1, round(count / unit)) for count in counts]
    return _best_prefix(
        advice, usable_fraction, units, math.ceil(needed_count / unit)
    )


def _best_prefix(
    advice: AdviceConfig,
    usable_fraction: float,
    counts: Sequence[int],
    needed_count: int,
) -> int:
    """Return the length of the prefix with the shortest expected time."""
    # Workers that a repeated call lists for each of its tasks.
    per_task = _REPEAT_MARGIN * len(counts) / sum(counts) / usable_fraction
    # Probability of each number of tasks that are still without a worker.
    missing = {needed_count: 1.0}
    expected_s: list[float] = []
    for listed, count in enumerate(counts, start=1):
        missing = _after_verdict(missing, usable_fraction, count)
        repeat_probability = sum(missing.values())
        expected_s.append(
            advice.fixed_s * (1 + repeat_probability)
            + advice.per_worker_s * (listed + per_task * _mean(missing)),
        )
        if repeat_probability < _NEGLIGIBLE_PROBABILITY:
            break
    return 1 + expected_s.index(min(expected_s))


def _after_verdict(
    missing: dict[int, float],
    usable_fraction: float,
    count: int,
) -> dict[int, float]:
    """Return the probabilities of the missing tasks after one more worker."""
    found: collections.defaultdict[int, float] = collections.defaultdict(float)
    for left, probability in missing.items():
        found[left] += probability * (1 - usable_fraction)
        if left > count:
            found[left - count] += probability * usable_fraction
    return found


def _mean(missing: dict[int, float]) -> float:
    """Return the expected number of missing tasks."""
    return sum(left * probability for left, probability in missing.items())
