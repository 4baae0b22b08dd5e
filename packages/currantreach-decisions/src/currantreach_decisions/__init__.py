"""Placement, fair shares and queue policies."""

from __future__ import annotations

from currantreach_decisions._scheduler import (
    Decisions,
    Placement,
    Preemption,
    Scheduler,
    TaskEnd,
    TeamTerms,
)

__all__ = (
    'Decisions',
    'Placement',
    'Preemption',
    'Scheduler',
    'TaskEnd',
    'TeamTerms',
)
