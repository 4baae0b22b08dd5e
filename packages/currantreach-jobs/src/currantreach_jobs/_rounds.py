"""Timing of the scheduling rounds of the leader."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from currantreach_telemetry import log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantreach_types import Clock

__all__ = ('SchedulingRounds',)

# Least pause between two scheduling rounds, so that a burst of events costs
# one round.
_MIN_ROUND_S = 0.01
# Idle time after a round, as a multiple of its duration. Rounds on a full fleet
# then take at most a third of the processor time; replies of workers and peers
# wait while a round runs.
_IDLE_FACTOR = 2
# Tickets and pauses expire without an event, so rounds also run on a timer.
_MAX_ROUND_S = 0.1


class SchedulingRounds:
    """Runs scheduling rounds while there is something to schedule.

    A round over all stages of a busy cell is followed by a pause of some 0.05
    s. An urgent job would lose a third of its slack in two such pauses, one
    before its advice call and one before its start, so rounds over the urgent
    stages alone run within the pause.
    """

    def __init__(
        self,
        clock: Clock,
        run_full: Callable[[], None],
        run_urgent: Callable[[], None],
        count_retry: Callable[[str], None],
    ) -> None:
        """Create a loop; :meth:`run` starts it.

        :param run_full: schedules all stages.
        :param run_urgent: schedules the urgent stages only.
        :param count_retry: counts a failed round.
        """
        self._clock = clock
        self._run_full = run_full
        self._run_urgent = run_urgent
        self._count_retry = count_retry
        self._is_requested = asyncio.Event()
        self._is_urgent_requested = asyncio.Event()

    def request(self) -> None:
        """Request a round, as a run may be started or has to be stopped."""
        self._is_requested.set()
        self._is_urgent_requested.set()

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Run rounds until the leadership is over."""
        while not is_over():
            elapsed_s = await self._run_round(self._run_full)
            await self._pause(max(_MIN_ROUND_S, _IDLE_FACTOR * elapsed_s))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_MAX_ROUND_S):
                    await self._is_requested.wait()
            self._is_requested.clear()

    async def _pause(self, pause_s: float) -> None:
        """Run urgent rounds on request until the next full one may begin."""
        self._is_urgent_requested.clear()
        resume_at_s = self._clock.now_s() + pause_s
        # Urgent rounds extend the pause like full ones, by this at most.
        latest_s = resume_at_s + _MAX_ROUND_S
        while self._clock.now_s() + _MIN_ROUND_S < resume_at_s:
            await asyncio.sleep(_MIN_ROUND_S)
            if not await self._is_urgent_requested_until(resume_at_s):
                return
            elapsed_s = await self._run_round(self._run_urgent)
            resume_at_s = min(latest_s, resume_at_s + _IDLE_FACTOR * elapsed_s)
        await asyncio.sleep(max(0, resume_at_s - self._clock.now_s()))

    async def _is_urgent_requested_until(self, deadline_s: float) -> bool:
        """Wait for a request; return whether there was one before a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(deadline_s - self._clock.now_s()):
                await self._is_urgent_requested.wait()
        is_requested = self._is_urgent_requested.is_set()
        self._is_urgent_requested.clear()
        return is_requested

    async def _run_round(self, run: Callable[[], None]) -> float:
        """Run a round and return its duration."""
        started_at_s = self._clock.now_s()
        try:
            run()
        except Exception as error:
            # The leases of the workers are still renewed, and the next
            # leader would read the same jobs.
            self._count_retry('round_failed')
            log_warning('round_failed', error=repr(error))
            await asyncio.sleep(_MAX_ROUND_S)
        return self._clock.now_s() - started_at_s
