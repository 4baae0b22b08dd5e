"""Shares the processor time for received data among connections."""

from __future__ import annotations

import abc
import asyncio
import heapq
import itertools
import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('ReadTurns', 'TurnTaker')

# Time for received data after which everything else on the event loop has its
# turn. Parsing one piece of data takes up to 2 ms, a usual request 0.1 ms.
_TURN_S: Final = 0.005
# A quarter of the time is for parsing. What handlers do with parsed chunks
# takes about as long again, and half is left to the rest of the process.
_PAUSE_FACTOR: Final = 3
# A garbage collection may fall into a turn.
_MAX_PAUSE_S: Final = 0.1


class TurnTaker(abc.ABC):
    """Connection whose received data waits to be processed.

    :ivar spent_s: processor time for its present request.
    """

    spent_s: float = 0

    @abc.abstractmethod
    def take_turn(self) -> None:
        """Process the data received so far; raises nothing."""


class ReadTurns:
    """Bounds the time in which received data is processed without a break.

    After a break, connections go on in the order of the time that their
    requests have taken, so that an ordinary request waits for no expensive one.
    """

    def __init__(self, clock: Callable[[], float] = time.thread_time) -> None:
        """Create an empty queue.

        :param clock: processor time of this thread, which does not count while
            another process runs.
        """
        self._clock = clock
        self._spent_s: float = 0
        self._spent_at_s: float = 0
        self._is_paused = False
        self._numbers = itertools.count()
        self._waiting: list[tuple[float, int, TurnTaker]] = []

    def process(self, taker: TurnTaker) -> bool:
        """Process the data of a connection now or later.

        Call this once for each connection until its turn has come.

        :returns: whether it was processed now.
        """
        if self._is_paused:
            entry = (taker.spent_s, next(self._numbers), taker)
            heapq.heappush(self._waiting, entry)
            return False
        self._run(taker)
        return True

    def _run(self, taker: TurnTaker) -> None:
        started_s = self._clock()
        taker.take_turn()
        elapsed_s = self._clock() - started_s
        taker.spent_s += elapsed_s
        self._add(elapsed_s)

    def _add(self, elapsed_s: float) -> None:
        """Add time spent, and pause once a turn is used up."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        recovered_s = (now_s - self._spent_at_s) / _PAUSE_FACTOR
        self._spent_s = max(0, self._spent_s - recovered_s) + elapsed_s
        self._spent_at_s = now_s
        if self._spent_s >= _TURN_S:
            self._is_paused = True
            pause_s = min(_MAX_PAUSE_S, self._spent_s * _PAUSE_FACTOR)
            loop.call_later(pause_s, self._resume)

    def _resume(self) -> None:
        self._is_paused = False
        self._spent_s = 0
        while self._waiting and not self._is_paused:
            _, _, taker = heapq.heappop(self._waiting)
            self._run(taker)
