"""Budget for the retries of failed tasks."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from currantreach_types import Clock

__all__ = ('RetryBudget', 'retry_delay_s')

# A team with few requests may still retry now and then.
_FLOOR_COUNT = 5
_FLOOR_REFILL_S = 20
# Bounds the burst of retries after a long time without failures.
_MOST_COUNT = 100
_FIRST_DELAY_S = 0.25
_LONGEST_DELAY_S = 10
_DOUBLINGS = 6
_HASH_RANGE = 0x100000000


@attrs.define(slots=True)
class _Account:
    left_count: float
    refilled_s: float


class RetryBudget:
    """Counts first requests and retries of each team.

    :param ratio: retries that each first request adds.
    """

    def __init__(self, clock: Clock, ratio: float) -> None:
        """Start with the floor for each team."""
        self._clock = clock
        self._ratio = ratio
        self._accounts: dict[str, _Account] = {}

    def note_request(self, team: str) -> None:
        """Count a first request."""
        account = self._account(team)
        account.left_count = min(account.left_count + self._ratio, _MOST_COUNT)

    def take(self, team: str) -> bool:
        """Use one retry, unless the budget is spent."""
        account = self._account(team)
        if account.left_count < 1:
            return False
        account.left_count -= 1
        return True

    def _account(self, team: str) -> _Account:
        now_s = self._clock.now_s()
        account = self._accounts.get(team)
        if account is None:
            account = _Account(_FLOOR_COUNT, now_s)
            self._accounts[team] = account
        if account.left_count < _FLOOR_COUNT:
            refill_count = (now_s - account.refilled_s) / _FLOOR_REFILL_S
            account.left_count = min(
                account.left_count + refill_count,
                _FLOOR_COUNT,
            )
        account.refilled_s = now_s
        return account


def retry_delay_s(request_id: str, retry_count: int) -> float:
    """Return a delay that grows with each retry and differs by request."""
    seed = zlib.crc32(f'{request_id}/{retry_count}'.encode())
    jitter = 0.5 + seed / _HASH_RANGE
    grown_s = _FIRST_DELAY_S * (1 << min(retry_count, _DOUBLINGS)) * jitter
    return min(grown_s, _LONGEST_DELAY_S)
