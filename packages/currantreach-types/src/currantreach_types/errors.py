"""Exceptions of all packages; each message says what to do."""

from __future__ import annotations

from currantreach_types._errors import (
    CallRejectedError,
    ConfigurationError,
    ConflictError,
    CurrantreachError,
    HistoryLostError,
    LinkError,
    MalformedMessageError,
    OutcomeUnknownError,
    PlatformError,
    StaleEpochError,
    StoreUnavailableError,
    TransactionConflictError,
    WorkerUnavailableError,
)

__all__ = (
    'CallRejectedError',
    'ConfigurationError',
    'ConflictError',
    'CurrantreachError',
    'HistoryLostError',
    'LinkError',
    'MalformedMessageError',
    'OutcomeUnknownError',
    'PlatformError',
    'StaleEpochError',
    'StoreUnavailableError',
    'TransactionConflictError',
    'WorkerUnavailableError',
)
