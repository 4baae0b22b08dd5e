"""Bounds of the connections of callers."""

from __future__ import annotations

from currantreach_http._limiter import ConnectionLimiter, ConnectionLimits

__all__ = ('ConnectionLimiter', 'ConnectionLimits')
