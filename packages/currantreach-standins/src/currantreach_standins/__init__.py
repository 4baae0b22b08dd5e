"""Stand-ins for the platform, for tests and the demo."""

from __future__ import annotations
