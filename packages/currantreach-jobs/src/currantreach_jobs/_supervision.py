"""Failures of background tasks."""

from __future__ import annotations

import asyncio

__all__ = ('failure_of',)


def failure_of(task: asyncio.Future[None]) -> BaseException | None:
    """Return why a finished task failed, or ``None`` if it succeeded.

    A cancelled task counts as failed, since a library may cancel a task that
    waits for one of its connections. Callers ignore tasks that they have
    cancelled themselves.
    """
    if task.cancelled():
        return asyncio.CancelledError('cancelled by a library')
    return task.exception()
