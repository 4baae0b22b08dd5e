"""Limits on the connections of callers."""

from __future__ import annotations

from currantreach_http._guard import ConnectionGuard, ConnectionLimits

__all__ = ('ConnectionGuard', 'ConnectionLimits')
