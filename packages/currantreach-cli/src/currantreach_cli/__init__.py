"""The command line for operators and callers."""

from __future__ import annotations
