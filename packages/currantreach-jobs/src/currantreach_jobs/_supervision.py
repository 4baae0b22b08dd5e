"""Failures of background tasks, and parts that run again after one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_telemetry import log_warning

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

__all__ = ('failure_of', 'keep_running')

# The first pause is short compared to a leader lease, so that a part that
# renews it can fail once without losing the leadership.
_FIRST_PAUSE_S = 0.05
_PAUSE_FACTOR = 2
_MAX_PAUSE_S = 5
# A part that has run for this long begins with the first pause again.
_SOUND_S = 10


def failure_of(task: asyncio.Future[None]) -> BaseException | None:
    """Return why a finished task failed, or ``None`` if it succeeded.

    A cancelled task counts as failed, since a library may cancel a task that
    waits for one of its connections. Callers ignore tasks that they have
    cancelled themselves.
    """
    if task.cancelled():
        return asyncio.CancelledError('cancelled by a library')
    return task.exception()


async def keep_running(
    name: str,
    run: Callable[[], Coroutine[object, object, None]],
    count_retry: Callable[[str], None],
) -> None:
    """Run a part of a daemon, and run it again whenever it fails.

    The same input may make it fail each time, so the pauses grow up to a
    bound. Whether the daemon may go on without the part is decided by what
    depends on it, such as the lease that it renews.

    :param name: name of the part, for its log line.
    :param run: starts the part; its state has to allow another start.
    :param count_retry: called with the reason of each retry.
    """
    loop = asyncio.get_running_loop()
    pause_s = _FIRST_PAUSE_S
    while True:
        started_at_s = loop.time()
        task = asyncio.ensure_future(run())
        try:
            await asyncio.wait({task})
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
        failure = failure_of(task)
        if failure is None:
            return
        if loop.time() > started_at_s + _SOUND_S:
            pause_s = _FIRST_PAUSE_S
        count_retry('part_failed')
        log_warning(
            'part_failed', part=name, error=repr(failure), pause_s=pause_s
        )
        await asyncio.sleep(pause_s)
        pause_s = min(_MAX_PAUSE_S, pause_s * _PAUSE_FACTOR)
