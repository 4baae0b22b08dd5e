"""Log lines and metrics of a process."""

from __future__ import annotations

from currantreach_telemetry._bounded import BoundedOutput
from currantreach_telemetry._logs import (
    configure_logging,
    log_debug,
    log_event,
    log_warning,
)
from currantreach_telemetry._metrics import Metrics

__all__ = (
    'BoundedOutput',
    'Metrics',
    'configure_logging',
    'log_debug',
    'log_event',
    'log_warning',
)
