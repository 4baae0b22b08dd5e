"""Ends of background tasks."""

from __future__ import annotations

import asyncio

__all__ = ('failure_of',)


def failure_of(task: asyncio.Future[None]) -> BaseException | None:
    """Return why a finished task has failed, nothing if it returned.

    A cancelled task has failed as well unless its owner has cancelled it, as
    a library may cancel a task that waits for one of its connections.
    """
    if task.cancelled():
        return asyncio.CancelledError('cancelled by a library')
    return task.exception()
