"""Runs that a duration model learns from, and its estimates."""

from __future__ import annotations

import math

import attrs

__all__ = ('Estimate', 'FinishedRun', 'Work')


@attrs.frozen(slots=True)
class Work:
    """What is known of a task before it runs.

    :ivar step_id: id that the task shares with its siblings, empty if it has
        none.
    :ivar declared_s: declared duration, 0 if there is none.
    """

    queue: str
    team: str
    step_id: str = ''
    declared_s: float = 0

    @property
    def has_declared(self) -> bool:
        """Tell whether the declared duration can be used."""
        return 0 < self.declared_s < math.inf


@attrs.frozen(slots=True)
class FinishedRun:
    """A run that has ended as done.

    :ivar worker_id: the worker, empty for a run on several workers.
    :ivar run_s: time from its start to its end.
    :ivar ended_at_s: time of its end on the clock of the caller.
    """

    work: Work
    worker_id: str
    run_s: float
    ended_at_s: float


@attrs.frozen(slots=True)
class Estimate:
    """Expected duration of a task on a worker of usual speed.

    :ivar mean_s: mean duration.
    :ivar tail_s: 0.9 quantile of the duration.
    :ivar run_count: finished runs behind it, 0 for a declared duration.
    """

    mean_s: float
    tail_s: float
    run_count: float = 0
