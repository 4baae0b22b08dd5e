"""Limits of what a duration model keeps and learns from."""

from __future__ import annotations

import attrs

__all__ = ('ModelLimits',)


@attrs.frozen(slots=True, kw_only=True)
class ModelLimits:
    """Limits of a duration model; the defaults take less than 1 MiB.

    :ivar max_queues: queues with learned durations.
    :ivar max_teams: teams in queues.
    :ivar max_steps: steps. Sixty of them end in a second on a large fleet, and
        their siblings within a few seconds.
    :ivar max_workers: workers with learned speeds.
    :ivar max_doubts: teams in queues whose last run took far too long.
    :ivar max_run_s: longest duration to learn from; a longer one was measured
        wrongly.
    """

    max_queues: int = 64
    max_teams: int = 512
    max_steps: int = 768
    max_workers: int = 768
    max_doubts: int = 128
    max_run_s: float = 3600
