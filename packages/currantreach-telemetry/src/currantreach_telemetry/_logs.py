"""Log lines of key=value pairs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from collections.abc import Mapping
    from io import TextIOBase

__all__ = ('configure_logging', 'log_debug', 'log_event', 'log_warning')

_LOGGER = logbook.Logger('currantreach')
_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name}'
    ' {record.message}'
)


def configure_logging(level: str, stream: TextIOBase | None = None) -> None:
    """Send all events from ``level`` upwards to a stream.

    :param stream: standard error if it is left out.
    """
    log_stream = logbook.StreamHandler(
        stream or sys.stderr,
        level=level.upper(),
        format_string=_FORMAT,
    )
    log_stream.push_application()


def log_event(event: str, **fields: object) -> None:
    """Write one line for an event."""
    _LOGGER.info('{}', _line(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Write one line for an event that an operator may have to act on."""
    _LOGGER.warning('{}', _line(event, fields))


def log_debug(event: str, **fields: object) -> None:
    """Write one line for an event that is only of use to developers."""
    _LOGGER.debug('{}', _line(event, fields))


def _line(event: str, fields: Mapping[str, object]) -> str:
    pairs = [f'event={event}']
    pairs.extend(f'{name}={_quoted(field)}' for name, field in fields.items())
    return ' '.join(pairs)


def _quoted(field: object) -> str:
    text = str(field)
    if text and not any(char.isspace() or char in '="' for char in text):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    one_line = escaped.replace('\n', r'\n').replace('\r', r'\r')
    return f'"{one_line}"'
