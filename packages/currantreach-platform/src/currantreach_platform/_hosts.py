"""Interface to the platform's host list."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_types import WorkerInfo

__all__ = ('HostList',)


class HostList(abc.ABC):
    """List of active and leaving hosts, which lags behind their state."""

    @abc.abstractmethod
    async def workers(self) -> tuple[WorkerInfo, ...]:
        """Return all workers on the list.

        :raises PlatformError: if the list cannot be read.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
