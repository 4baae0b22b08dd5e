"""Logging and metrics of a process."""

from __future__ import annotations

from currantreach_telemetry._logs import (
    configure_logging,
    log_debug,
    log_event,
    log_warning,
)
from currantreach_telemetry._metrics import Metrics
from currantreach_telemetry._output import NonBlockingOutput
from currantreach_telemetry._repeats import RepeatedWarnings

__all__ = (
    'Metrics',
    'NonBlockingOutput',
    'RepeatedWarnings',
    'configure_logging',
    'log_debug',
    'log_event',
    'log_warning',
)
