"""Naive scheduler with a shortcut that does not change its decisions."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from currantreach_decisions import NaiveScheduler
from currantreach_types import Resources

if TYPE_CHECKING:
    from currantreach_decisions import Decisions
    from currantreach_types import TaskSpec

__all__ = ('QuickNaiveScheduler',)


class QuickNaiveScheduler(NaiveScheduler):
    """Naive scheduler that skips the scan if no worker can fit the size.

    A replay with the plain scheduler took 344 s (agency, load 1.5, seed 1).
    The running times of this class are not those of the plain scheduler.
    """

    def __init__(self) -> None:
        """Start with an empty fleet."""
        super().__init__()
        self._max_free: Resources | None = None

    def decide(self, now_s: float) -> Decisions:
        """Allocate free resources to waiting tasks."""
        self._max_free = None
        return super().decide(now_s)

    def _find(self, spec: TaskSpec) -> list[str]:
        """Return a worker for each task, or an empty list."""
        if self._max_free is None:
            free = [worker.free for worker in self._ledger.workers.values()]
            self._max_free = functools.reduce(Resources.elementwise_max, free)
        if not spec.resources.fits_in(self._max_free):
            return []
        found = super()._find(spec)
        if found:
            self._max_free = None
        return found
