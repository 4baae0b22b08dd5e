"""Exit codes and output of the commands as text or JSON."""

from __future__ import annotations

import enum
import json
import sys
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_cli._client import Reply

__all__ = ('ExitCode', 'exit_code_of', 'print_error', 'print_payload')

_INDENT: Final = '  '
# Columns of a wide terminal; longer rows would wrap and be unreadable.
_WIDTH: Final = 120
_EMPTY: Final[tuple[object, ...]] = (None, [], {})
_CONFLICT: Final = 'conflict'
_KEY_STATUSES: Final = frozenset((401, 403))
_REFUSED_STATES: Final = frozenset(('not_run', 'failed'))


class ExitCode(enum.IntEnum):
    """Exit codes for scripts."""

    done = 0
    refused = 1
    usage = 2
    unreachable = 3
    unknown = 4
    conflict = 5


def exit_code_of(reply: Reply) -> ExitCode:
    """Return the exit code of a reply."""
    fields = reply.payload if isinstance(reply.payload, dict) else {}
    if fields.get('reason') == _CONFLICT:
        return ExitCode.conflict
    if fields.get('faults'):
        return ExitCode.usage
    state = fields.get('state')
    is_about_request = bool(fields.get('request_id'))
    if reply.status in _KEY_STATUSES and not is_about_request:
        return ExitCode.refused
    if state == 'unknown':
        return ExitCode.unknown
    if reply.is_error or state in _REFUSED_STATES:
        return ExitCode.refused
    return ExitCode.done


def print_payload(payload: Any, output: str) -> None:
    """Print a payload as JSON or text."""
    if output == 'json':
        text = json.dumps(payload, indent=2)
    else:
        text = '\n'.join(_format_lines(payload))
    sys.stdout.write(f'{text}\n')


def print_error(message: str, output: str) -> None:
    """Print an error as text to stderr, or as JSON to stdout."""
    if output == 'json':
        print_payload({'error': message}, output)
    else:
        sys.stderr.write(f'{message}\n')


def _format_lines(payload: Any) -> list[str]:
    if isinstance(payload, dict):
        return _object_lines(payload)
    if isinstance(payload, list):
        return _list_lines(payload)
    return [_format_member(payload)]


def _object_lines(fields: Mapping[str, Any]) -> list[str]:
    lines = []
    for name, member in fields.items():
        if isinstance(member, dict | list) and member:
            lines.append(f'{name}:')
            lines.extend(f'{_INDENT}{line}' for line in _format_lines(member))
        elif name not in {'can_retry', 'retry_after_s'}:
            lines.append(f'{name}: {_format_member(member)}')
    if fields.get('reason') and 'can_retry' in fields:
        lines.append(_retry_line(fields))
    return lines


def _retry_line(fields: Mapping[str, Any]) -> str:
    if not fields['can_retry']:
        return 'retry: no'
    delay_s = fields.get('retry_after_s', 0)
    return f'retry: yes, after {delay_s} s'


def _list_lines(listed: Sequence[Any]) -> list[str]:
    if not all(isinstance(entry, dict) for entry in listed):
        return [_format_member(entry) for entry in listed]
    if _has_nested(listed):
        return _blocks(listed)
    # A dict keeps the order in which the columns are first seen.
    columns = list({name: None for entry in listed for name in entry})
    rows = [columns]
    rows.extend(
        [_format_member(entry.get(name)) for name in columns]
        for entry in listed
    )
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    if sum(widths) + len(_INDENT) * len(widths) > _WIDTH:
        return _blocks(listed)
    return [_aligned(row, widths) for row in rows]


def _has_nested(listed: Sequence[Mapping[str, Any]]) -> bool:
    return any(
        isinstance(member, dict | list) and member
        for entry in listed
        for member in entry.values()
    )


def _blocks(listed: Sequence[Mapping[str, Any]]) -> list[str]:
    """Return one field per line, for rows that exceed the width."""
    lines: list[str] = []
    for entry in listed:
        first, *rest = _object_lines(entry) or ['-']
        lines.append(f'- {first}')
        lines.extend(f'{_INDENT}{line}' for line in rest)
    return lines


def _aligned(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = zip(row, widths, strict=True)
    padded = (text.ljust(width) for text, width in cells)
    return _INDENT.join(padded).rstrip()


def _format_member(member: Any) -> str:
    if isinstance(member, str):
        # Escape sequences in a task's output must not reach the terminal.
        return ''.join(map(_printable, member))
    return '-' if member in _EMPTY else json.dumps(member)


def _printable(char: str) -> str:
    return char if char.isprintable() else repr(char)[1:-1]
