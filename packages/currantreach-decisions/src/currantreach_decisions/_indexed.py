"""Scheduler with indexed free capacity, shares and queue policies."""

from __future__ import annotations

from currantreach_decisions._naive import NaiveScheduler

__all__ = ('IndexedScheduler',)


class IndexedScheduler(NaiveScheduler):
    """Scheduler of the owner."""
