"""Retry budget for failed tasks."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from currantreach_types import Clock

__all__ = ('RetryBudget', 'retry_delay_s')

# Up to this count, tokens are also refilled over time, so that a team with
# few requests can still retry occasionally.
_REFILL_LIMIT_COUNT = 5
_TOKEN_REFILL_S = 20
# Limits the burst of retries after a long time without failures.
_MAX_TOKEN_COUNT = 100
_FIRST_DELAY_S = 0.25
_MAX_DELAY_S = 10
_MAX_DOUBLINGS = 6
_HASH_RANGE = 0x100000000


@attrs.define(slots=True)
class _TokenBucket:
    token_count: float
    refilled_s: float


class RetryBudget:
    """Token bucket of retries for each team.

    :param ratio: retries that each new request adds to the budget.
    """

    def __init__(self, clock: Clock, ratio: float) -> None:
        """Start with a full refill for each team."""
        self._clock = clock
        self._ratio = ratio
        self._buckets: dict[str, _TokenBucket] = {}

    def count_request(self, team: str) -> None:
        """Add the retries that a new request allows."""
        bucket = self._bucket(team)
        bucket.token_count = min(
            bucket.token_count + self._ratio, _MAX_TOKEN_COUNT
        )

    def try_spend(self, team: str) -> bool:
        """Spend one retry; return ``False`` if the budget is exhausted."""
        bucket = self._bucket(team)
        if bucket.token_count < 1:
            return False
        bucket.token_count -= 1
        return True

    def _bucket(self, team: str) -> _TokenBucket:
        now_s = self._clock.now_s()
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = _TokenBucket(_REFILL_LIMIT_COUNT, now_s)
            self._buckets[team] = bucket
        if bucket.token_count < _REFILL_LIMIT_COUNT:
            refill_count = (now_s - bucket.refilled_s) / _TOKEN_REFILL_S
            bucket.token_count = min(
                bucket.token_count + refill_count,
                _REFILL_LIMIT_COUNT,
            )
        bucket.refilled_s = now_s
        return bucket


def retry_delay_s(request_id: str, retry_count: int) -> float:
    """Return the exponential backoff of a retry, with jitter by request."""
    seed = zlib.crc32(f'{request_id}/{retry_count}'.encode())
    jitter = 0.5 + seed / _HASH_RANGE
    delay_s = _FIRST_DELAY_S * (1 << min(retry_count, _MAX_DOUBLINGS)) * jitter
    return min(delay_s, _MAX_DELAY_S)
