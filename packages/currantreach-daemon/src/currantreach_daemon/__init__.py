"""The currantreach daemon."""

from __future__ import annotations

from currantreach_daemon._main import main

__all__ = ('main',)
