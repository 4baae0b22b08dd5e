"""Logging and metrics of a process."""

from __future__ import annotations

from currantreach_telemetry._bounded import BoundedOutput
from currantreach_telemetry._logs import (
    log_detail,
    log_event,
    log_problem,
    open_log,
)
from currantreach_telemetry._metrics import Metrics

__all__ = (
    'BoundedOutput',
    'Metrics',
    'log_detail',
    'log_event',
    'log_problem',
    'open_log',
)
