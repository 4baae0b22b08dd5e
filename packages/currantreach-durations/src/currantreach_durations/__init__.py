"""Durations of tasks and speeds of workers, learned from finished runs."""

from __future__ import annotations

from currantreach_durations._limits import ModelLimits
from currantreach_durations._model import DurationModel
from currantreach_durations._records import (
    DurationRecord,
    QueueRecord,
    TeamRecord,
)
from currantreach_durations._work import Estimate, FinishedRun, Work

__all__ = (
    'DurationModel',
    'DurationRecord',
    'Estimate',
    'FinishedRun',
    'ModelLimits',
    'QueueRecord',
    'TeamRecord',
    'Work',
)
