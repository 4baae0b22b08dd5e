"""Authenticated links between daemons."""

from __future__ import annotations
