"""Log lines and counters of connections that exceed a limit."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('ClosureLog',)

# A crowd of connections gets at most two lines per reason and interval.
_INTERVAL_S: Final = 1


class ClosureLog:
    """Counts closed connections, and logs them together if they are many."""

    def __init__(self, record: Callable[[str], None]) -> None:
        """Create a log without connections.

        :param record: counts a refusal by its reason.
        """
        self._record = record
        self._unlogged_counts: dict[str, int] = {}

    def add(self, reason: str) -> None:
        """Count a closed connection."""
        self._record(reason)
        unlogged_count = self._unlogged_counts.get(reason)
        if unlogged_count is not None:
            self._unlogged_counts[reason] = unlogged_count + 1
            return
        log_event('connection_closed', reason=reason, count=1)
        self._unlogged_counts[reason] = 0
        asyncio.get_running_loop().call_later(
            _INTERVAL_S, self._end_interval, reason
        )

    def _end_interval(self, reason: str) -> None:
        count = self._unlogged_counts.pop(reason)
        if count:
            log_event('connection_closed', reason=reason, count=count)
