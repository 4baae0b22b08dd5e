"""Event loop and clock whose time passes without waiting."""

from __future__ import annotations

import asyncio
import selectors

from currantreach_types import Clock

__all__ = ('LoopClock', 'VirtualLoop')

_START_S = 1000


class _JumpingSelector(selectors.DefaultSelector):
    """Selector that moves a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = _START_S

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose sleeps end at once, in the right order."""

    def __init__(self) -> None:
        """Start at a time that is not 0."""
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumping.now_s


class LoopClock(Clock):
    """Clock that shows the virtual time of a loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Follow a loop."""
        self.loop = loop

    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.time()
