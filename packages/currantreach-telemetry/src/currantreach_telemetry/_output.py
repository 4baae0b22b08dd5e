"""Rate-limited, non-blocking output."""

from __future__ import annotations

import io
import os
import time

__all__ = ('NonBlockingOutput',)

# A leader under full load writes a few hundred lines per second.
_MAX_LINES_PER_S = 2000


class NonBlockingOutput(io.TextIOBase):
    """Text output to a file descriptor that drops lines instead of blocking.

    Lines above a rate limit, or written while the buffer of a slow reader is
    full, are dropped and counted. The count is written before the next line
    that succeeds.
    """

    def __init__(self, descriptor: int) -> None:
        """Set the file descriptor to non-blocking mode."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped_count = 0
        self._descriptor = descriptor
        self._current_second = 0
        self._line_count = 0

    def write(self, text: str) -> int:
        """Write or drop a line, and return the length of the text."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._line_count = 0
        self._line_count += 1
        if self._line_count > _MAX_LINES_PER_S:
            self.dropped_count += 1
            return len(text)
        if self.dropped_count:
            notice = f'event=log_lines_dropped count={self.dropped_count}\n'
            if self._try_write(notice):
                self.dropped_count = 0
        if not self._try_write(text):
            self.dropped_count += 1
        return len(text)

    def _try_write(self, text: str) -> bool:
        try:
            os.write(self._descriptor, text.encode(errors='replace'))
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone, so the error cannot be reported either.
            return False
        return True
