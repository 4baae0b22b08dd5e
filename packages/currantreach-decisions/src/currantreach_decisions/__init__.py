"""Placement, fair shares and queue policies."""

from __future__ import annotations

from currantreach_decisions._indexed import IndexedScheduler
from currantreach_decisions._naive import NaiveScheduler
from currantreach_decisions._scheduler import (
    Decisions,
    Placement,
    Preemption,
    Scheduler,
    TaskEnd,
    TeamQuota,
)

__all__ = (
    'Decisions',
    'IndexedScheduler',
    'NaiveScheduler',
    'Placement',
    'Preemption',
    'Scheduler',
    'TaskEnd',
    'TeamQuota',
)
