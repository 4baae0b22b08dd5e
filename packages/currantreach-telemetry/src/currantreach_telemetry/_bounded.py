"""Output that is bounded in volume and never blocks."""

from __future__ import annotations

import io
import os
import time

__all__ = ('BoundedOutput',)

# A leader under full load writes some hundred lines a second.
_LINES_PER_S = 2000


class BoundedOutput(io.TextIOBase):
    """Text output on a descriptor that drops lines rather than wait.

    Lines beyond a bound for each second, and lines that a slow reader leaves
    no room for, are dropped and counted; the count is written with the next
    line that fits.
    """

    def __init__(self, descriptor: int) -> None:
        """Switch the descriptor to non-blocking writes."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped_count = 0
        self._descriptor = descriptor
        self._second = 0
        self._line_count = 0

    def write(self, text: str) -> int:
        """Write a line, or drop it; return the length of the text."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._line_count = 0
        self._line_count += 1
        if self._line_count > _LINES_PER_S:
            self.dropped_count += 1
            return len(text)
        if self.dropped_count:
            notice = f'event=log_lines_dropped count={self.dropped_count}\n'
            if self._send(notice):
                self.dropped_count = 0
        if not self._send(text):
            self.dropped_count += 1
        return len(text)

    def _send(self, text: str) -> bool:
        try:
            os.write(self._descriptor, text.encode(errors='replace'))
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone; nobody is left to be told.
            return False
        return True
