"""Read and parse JSON documents."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final, NoReturn

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from currantreach_config._faults import FileFindings

__all__ = ('DOCUMENT_LIMIT_BYTES', 'parse_document', 'read_document')

# The platform's store holds values of up to 1 MB.
DOCUMENT_LIMIT_BYTES: Final = 1_000_000
_ROOT: Final = '$'
# Not None, which is the content of the valid document ``null``.
_FAILED: Final = object()


class _DuplicateNameError(ValueError):
    """An object has two members of the same name."""


def read_document(path: Path, findings: FileFindings) -> bytes | None:
    """Return the content of a file, or ``None`` after adding a fault."""
    try:
        with path.open('rb') as document:
            return document.read(DOCUMENT_LIMIT_BYTES + 1)
    except OSError as exc:
        findings.report(
            _ROOT,
            f'the file cannot be read ({exc.strerror})',
            'name a readable JSON file',
        )
    return None


def parse_document(
    body: bytes,
    findings: FileFindings,
) -> dict[str, Any] | None:
    """Return the JSON object of a file, or ``None`` after adding a fault."""
    if len(body) > DOCUMENT_LIMIT_BYTES:
        findings.report(
            _ROOT,
            'the file is larger than 1 MB',
            'make it smaller; the store holds at most 1 MB per value',
        )
        return None
    parsed = _parse(body, findings)
    if parsed is _FAILED:
        return None
    if isinstance(parsed, dict):
        return parsed
    findings.report_value(
        _ROOT,
        parsed,
        'the file does not contain a JSON object',
        'put all fields into one object',
    )
    return None


def _parse(body: bytes, findings: FileFindings) -> Any:
    try:
        return json.loads(
            body.decode(),
            object_pairs_hook=_reject_duplicates,
            parse_constant=_reject_constant,
        )
    except json.JSONDecodeError as exc:
        findings.report(
            f'line {exc.lineno} column {exc.colno}',
            f'the file is not JSON or is truncated ({exc.msg})',
            'correct the syntax or copy the file again',
        )
    except (ValueError, RecursionError) as exc:
        findings.report(
            _ROOT,
            f'the file cannot be read as JSON ({exc})',
            'write plain JSON in UTF-8',
        )
    return _FAILED


def _reject_duplicates(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for name, member in pairs:
        if name in members:
            raise _DuplicateNameError(f'duplicate member {name!r}')
        members[name] = member
    return members


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not a JSON number')
