"""Records of what a duration model has learned."""

from __future__ import annotations

import math

import attrs

__all__ = ('DurationRecord', 'QueueRecord', 'TeamRecord', 'is_within')

# A declared duration that is off by more than this factor (e to the power of 7)
# is none.
_MAX_LOG = 7
_MAX_RUNS = 200
_MAX_VARIANCE = 4


@attrs.frozen(slots=True, kw_only=True)
class QueueRecord:
    """What was learned of a queue; the values are natural logarithms.

    :ivar runs: runs with a declared duration.
    :ivar ratio_log: ratio of actual to declared durations.
    :ivar undeclared_runs: runs without a declared duration.
    :ivar length_log: their durations in seconds.
    """

    queue: str
    runs: float = 0
    ratio_log: float = 0
    undeclared_runs: float = 0
    length_log: float = 0
    total_variance: float = 0
    noise_variance: float = 0

    @property
    def is_valid(self) -> bool:
        """Tell whether all values are within their bounds."""
        bounds = (
            (self.runs, 0, _MAX_RUNS),
            (self.undeclared_runs, 0, _MAX_RUNS),
            (self.ratio_log, -_MAX_LOG, _MAX_LOG),
            (self.length_log, -_MAX_LOG, 2 * _MAX_LOG),
            (self.total_variance, 0, _MAX_VARIANCE),
            (self.noise_variance, 0, _MAX_VARIANCE),
        )
        return all(is_within(*bound) for bound in bounds)


@attrs.frozen(slots=True, kw_only=True)
class TeamRecord:
    """Ratio of actual to declared durations of a team in a queue."""

    queue: str
    team: str
    runs: float
    ratio_log: float

    @property
    def is_valid(self) -> bool:
        """Tell whether all values are within their bounds."""
        return is_within(self.runs, 0, _MAX_RUNS) and is_within(
            self.ratio_log, -_MAX_LOG, _MAX_LOG
        )


@attrs.frozen(slots=True, kw_only=True)
class DurationRecord:
    """What a duration model has learned.

    :ivar slowdowns: factors of the workers that differ from the usual one.
    """

    queues: tuple[QueueRecord, ...] = ()
    teams: tuple[TeamRecord, ...] = ()
    slowdowns: dict[str, float] = attrs.field(factory=dict)


def is_within(found: float, least: float, most: float) -> bool:
    """Tell whether a number is finite and between two others."""
    return math.isfinite(found) and least <= found <= most
