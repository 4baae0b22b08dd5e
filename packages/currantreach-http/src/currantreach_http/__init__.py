"""Limits on the connections of callers."""

from __future__ import annotations

from currantreach_http._bodies import BodyReader, WholeBodyReader
from currantreach_http._budget import ByteBudget
from currantreach_http._closures import ClosureLog
from currantreach_http._connection import (
    CallerConnection,
    GuardedServer,
    LimitedBodyReader,
    ReceiveContext,
    RequestLimits,
)
from currantreach_http._errors import (
    BODY_TOO_LARGE,
    CALLER_MEMORY,
    FRAMING_TOO_LARGE,
    HEADERS_TOO_LARGE,
    RequestRefusedError,
)
from currantreach_http._limiter import ConnectionLimiter, ConnectionLimits
from currantreach_http._turns import ReadTurns, TurnTaker

__all__ = (
    'BODY_TOO_LARGE',
    'CALLER_MEMORY',
    'FRAMING_TOO_LARGE',
    'HEADERS_TOO_LARGE',
    'BodyReader',
    'ByteBudget',
    'CallerConnection',
    'ClosureLog',
    'ConnectionLimiter',
    'ConnectionLimits',
    'GuardedServer',
    'LimitedBodyReader',
    'ReadTurns',
    'ReceiveContext',
    'RequestLimits',
    'RequestRefusedError',
    'TurnTaker',
    'WholeBodyReader',
)
