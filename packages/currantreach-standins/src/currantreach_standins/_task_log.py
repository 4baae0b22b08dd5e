"""Log of task starts, ends and capacity breaches for an independent check."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from currantreach_types import encode_json

if TYPE_CHECKING:
    import io
    import pathlib

__all__ = ('TaskLog',)


class TaskLog:
    """Log of JSON lines in a file or in memory.

    Each line has ``event`` (``start``, ``end``, ``breach``, or ``held`` for a
    start that a frozen or dead worker received), ``worker``, ``task_id``,
    ``epoch``, ``wall_s`` and ``phase``, and ``attempt`` unless it was held.
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        """Append to ``path`` if given, else keep the lines in memory."""
        self._path = path
        self._lines: list[bytes] = []
        self._sink: io.FileIO | None = None
        if path is not None:
            # Unbuffered, so that no line is lost when the process is killed.
            self._sink = path.open('ab', buffering=0)

    def add(self, event: str, **fields: object) -> None:
        """Append one line."""
        entry = {'event': event, 'wall_s': time.time(), **fields}
        line = b'%s\n' % encode_json(entry)
        if self._sink is None:
            self._lines.append(line)
        else:
            self._sink.write(line)

    def read(self) -> bytes:
        """Return all lines."""
        if self._path is None:
            return b''.join(self._lines)
        return self._path.read_bytes()
