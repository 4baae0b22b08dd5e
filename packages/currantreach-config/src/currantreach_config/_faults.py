"""Validation errors (faults) of configuration and settings files."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

from currantreach_types.errors import ConfigurationError

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ('ConfigurationFaultsError', 'Fault', 'Findings')

_MAX_EXCERPT_CHARS: Final = 60
# A file of 1 MB can hold half a million faults; a report of all of them
# would exceed the memory budget of a daemon.
_MAX_FAULTS: Final = 100


@attrs.frozen(slots=True, kw_only=True)
class Fault:
    """A validation error of a file.

    :ivar file_name: name of the file.
    :ivar path: JSON path of the value.
    :ivar shown: start of the value as JSON, empty if it is not shown.
    :ivar problem: what is wrong.
    :ivar remedy: what to do about it.
    """

    file_name: str
    path: str
    shown: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        location = f'{self.file_name}: {self.path}'
        if self.shown:
            location = f'{location} = {self.shown}'
        return f'{location}: {self.problem}; {self.remedy}'


class ConfigurationFaultsError(ConfigurationError):
    """Configuration or settings files are invalid.

    :ivar faults: all faults found.
    """

    def __init__(
        self,
        faults: Sequence[Fault],
        separator: str = '\n',
    ) -> None:
        """Join the faults into one message."""
        super().__init__(separator.join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class Findings:
    """Collects the faults of all files that are checked."""

    def __init__(self) -> None:
        """Start without faults."""
        self._faults: list[Fault] = []

    def add(self, fault: Fault) -> None:
        """Add a fault unless the report is full."""
        if len(self._faults) < _MAX_FAULTS:
            self._faults.append(fault)

    def raise_if_any(self, separator: str = '\n') -> None:
        """Raise the collected faults.

        :raises ConfigurationFaultsError: if there are faults.
        """
        if self._faults:
            raise ConfigurationFaultsError(self._faults, separator)

    def for_file(self, file_name: str) -> FileFindings:
        """Return a collector for the faults of one file."""
        return FileFindings(self, file_name)


@attrs.frozen(slots=True)
class FileFindings:
    """Adds faults of one file."""

    findings: Findings
    file_name: str

    def report(
        self,
        path: str,
        problem: str,
        remedy: str,
        shown: str = '',
    ) -> None:
        """Add a fault; ``shown`` is the excerpt of the value to print."""
        self.findings.add(
            Fault(
                file_name=self.file_name,
                path=path,
                shown=shown,
                problem=problem,
                remedy=remedy,
            ),
        )

    def report_value(
        self,
        path: str,
        raw: object,
        problem: str,
        remedy: str,
    ) -> None:
        """Add a fault with an excerpt of the value, unless it is a secret."""
        shown = '(hidden)' if 'secret' in path else _excerpt(raw)
        self.report(path, problem, remedy, shown)


def _excerpt(raw: object) -> str:
    text = json.dumps(raw)
    if len(text) <= _MAX_EXCERPT_CHARS:
        return text
    prefix = text[:_MAX_EXCERPT_CHARS]
    return f'{prefix}...'
