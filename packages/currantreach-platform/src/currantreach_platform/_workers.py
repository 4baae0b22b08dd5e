"""Interface to the platform's workers."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_types import (
        Inventory,
        StartOrder,
        StartResult,
        WorkerEvents,
        WorkerInfo,
    )

__all__ = ('WorkerClient',)


class WorkerClient(abc.ABC):
    """Client for workers; every call has a time limit.

    Every method raises
    :class:`~currantreach_types.errors.WorkerUnavailableError` if there was no
    response and :class:`~currantreach_types.errors.StaleEpochError` if a
    higher epoch has adopted the worker.
    """

    @abc.abstractmethod
    async def adopt(
        self,
        worker: WorkerInfo,
        epoch: int,
        owner: str,
    ) -> Inventory:
        """Fence a worker with an epoch and read its inventory."""

    @abc.abstractmethod
    async def start(
        self,
        worker: WorkerInfo,
        orders: Sequence[StartOrder],
    ) -> tuple[StartResult, ...]:
        """Start tasks; the outcomes are in the order of ``orders``."""

    @abc.abstractmethod
    async def renew(
        self,
        worker: WorkerInfo,
        epoch: int,
        lease_ms: int,
    ) -> Inventory:
        """Renew the leases of all tasks and read the inventory."""

    @abc.abstractmethod
    async def stop(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Stop tasks."""

    @abc.abstractmethod
    async def checkpoint(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Checkpoint and stop tasks, so that a later start resumes them."""

    @abc.abstractmethod
    async def throttle(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Throttle tasks."""

    @abc.abstractmethod
    async def retire(
        self,
        worker: WorkerInfo,
        epoch: int,
        task_ids: Sequence[str],
    ) -> None:
        """Remove ended tasks from the inventory."""

    @abc.abstractmethod
    async def events(
        self,
        worker: WorkerInfo,
        after_sequence: int,
        timeout_s: float,
    ) -> WorkerEvents:
        """Wait for changes to the tasks of a worker."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
