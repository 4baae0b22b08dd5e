"""The command line for operators and callers."""

from __future__ import annotations

from currantreach_cli._main import main, run

__all__ = ('main', 'run')
