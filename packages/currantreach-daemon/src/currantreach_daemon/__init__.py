"""The currantreach daemon."""

from __future__ import annotations
