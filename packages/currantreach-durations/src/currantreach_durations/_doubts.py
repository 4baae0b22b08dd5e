"""Runs that took far longer than expected and are not yet confirmed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from currantreach_durations._bounded import Average, BoundedStates
from currantreach_durations._lengths import MAX_NAME_LENGTH

if TYPE_CHECKING:
    from currantreach_durations._work import Work

__all__ = ('DoubtfulRuns',)

# Two runs agree within this factor, three times the spread of the difference
# of two runs of different steps.
_AGREEMENT = 7
# A ratio beyond this one has no declared duration: it is that of a run of 12
# days to a declared millisecond.
_MAX_RATIO = 1e9


class DoubtfulRuns:
    """The last run of each team in a queue if it took far too long.

    Two of them in a row that agree show that the expectation is wrong; a single
    one was measured wrongly, for example because a host was suspended.
    """

    def __init__(self, max_doubts: int) -> None:
        """Start without runs."""
        self._ratio_logs: BoundedStates[tuple[str, str], Average]
        self._ratio_logs = BoundedStates(max_doubts, Average)

    def confirm(self, work: Work, run_log: float) -> bool:
        """Note a doubtful run; tell whether the one before agrees with it."""
        key = (work.queue, work.team)
        if max(map(len, key)) > MAX_NAME_LENGTH:
            return False
        ratio_log = run_log
        if work.has_declared:
            ratio_log -= math.log(work.declared_s)
        if ratio_log > math.log(_MAX_RATIO):
            return False
        earlier = self._ratio_logs.use(key)
        is_known = earlier.run_count > 0
        difference_log = abs(ratio_log - earlier.mean)
        earlier.add(ratio_log, 1)
        return is_known and difference_log <= math.log(_AGREEMENT)

    def clear(self, work: Work) -> None:
        """Drop the doubtful run before one of a plausible duration."""
        self._ratio_logs.discard((work.queue, work.team))
