"""Claims, journal and allotments kept in the platform store."""

from __future__ import annotations
