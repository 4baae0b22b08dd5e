"""Warnings about input that is read again and again."""

from __future__ import annotations

from currantreach_telemetry._logs import log_warning

__all__ = ('RepeatedWarnings',)

# Subjects with a remembered cause; above it the oldest is forgotten, so that a
# writer of ever new odd keys takes up a bounded amount of memory.
_MAX_SUBJECTS = 1000


class RepeatedWarnings:
    """Logs a warning once for each subject and cause.

    Odd input of another writer is read again with each heartbeat. Its warning
    is repeated only after its cause has changed or it was readable once.
    """

    def __init__(self) -> None:
        """Create a log without warnings."""
        self._causes: dict[str, str] = {}

    def warn(
        self,
        event: str,
        cause: str,
        subject: str = '',
        **fields: object,
    ) -> None:
        """Log a warning unless it is a repetition.

        :param cause: what is wrong, part of the identity of the warning.
        :param subject: what it is about; each cause of no subject counts by
            itself.
        :param fields: further fields of the log line.
        """
        subject = subject or f'{event} {cause}'
        if self._causes.get(subject) == cause:
            return
        self._causes.pop(subject, None)
        while len(self._causes) >= _MAX_SUBJECTS:
            self._causes.pop(next(iter(self._causes)))
        self._causes[subject] = cause
        log_warning(event, **fields)

    def forget(self, subject: str) -> None:
        """Log the next warning about a subject again."""
        self._causes.pop(subject, None)

    def clear(self) -> None:
        """Log the next warning about each subject again."""
        self._causes.clear()
