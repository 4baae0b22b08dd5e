"""Check of plain JSON values against attrs classes and their rules."""

from __future__ import annotations

import enum
import functools
import math
import re
import types
import typing

import attrs

from currantreach_config._rules import rule_of
from currantreach_types import Resources

if typing.TYPE_CHECKING:
    from currantreach_config._faults import FileFindings
    from currantreach_config._rules import Rule

__all__ = ('Checker', 'field_types', 'is_explicit')

_IDENTITY: typing.Final = 'name'
_TYPE_NAMES: typing.Final = types.MappingProxyType(
    {
        bool: 'true or false',
        float: 'a finite number',
        int: 'a whole number',
        str: 'a text',
    },
)


@functools.cache
def field_types(owner: type) -> dict[str, typing.Any]:
    """Return the resolved types of the fields of an attrs class."""
    return typing.get_type_hints(owner)


class Checker:
    """Checks the values of one file.

    :ivar is_overlay: whether fields may be left out.
    """

    def __init__(self, findings: FileFindings, *, is_overlay: bool) -> None:
        """Add faults to ``findings``."""
        self._findings = findings
        self.is_overlay = is_overlay

    def check_object(self, raw: typing.Any, owner: type, path: str) -> None:
        """Check an object against an attrs class."""
        if not isinstance(raw, dict):
            self._report_type(path, raw, 'an object')
            return
        fields = attrs.fields_dict(owner)
        for name, member in raw.items():
            if name in fields:
                self._check_field(member, owner, name, f'{path}.{name}')
            else:
                self._findings.report_value(
                    f'{path}.{name}',
                    member,
                    'the field is unknown',
                    'use one of {}'.format(', '.join(sorted(fields))),
                )
        for field in fields.values():
            if field.name not in raw:
                self._check_absent(owner, field, path)

    def _check_absent(
        self,
        owner: type,
        field: attrs.Attribute[typing.Any],
        path: str,
    ) -> None:
        if self.is_overlay and field.name != _IDENTITY:
            return
        if field.default is attrs.NOTHING or is_explicit(owner, field.name):
            self._findings.report(
                f'{path}.{field.name}',
                'the field is missing',
                'add it',
            )

    def _check_field(
        self,
        raw: typing.Any,
        owner: type,
        name: str,
        path: str,
    ) -> None:
        field_rule = rule_of(owner, attrs.fields_dict(owner)[name])
        if self.is_overlay and field_rule.is_base_only:
            self._findings.report_value(
                path,
                raw,
                'an overlay may not set this field',
                'set it in the base file',
            )
            return
        self._check(raw, field_types(owner)[name], field_rule, path)

    def _check(
        self,
        raw: typing.Any,
        kind: typing.Any,
        limits: Rule,
        path: str,
    ) -> None:
        origin = typing.get_origin(kind)
        if origin is None:
            self._check_plain(raw, kind, limits, path)
            return
        inner = typing.get_args(kind)[0]
        if origin is tuple:
            self._check_list(raw, inner, limits, path)
        elif raw is not None:
            self._check(raw, inner, limits, path)

    def _check_plain(
        self,
        raw: typing.Any,
        kind: type,
        limits: Rule,
        path: str,
    ) -> None:
        if attrs.has(kind):
            self.check_object(raw, kind, path)
        elif issubclass(kind, enum.Enum):
            self._check_choice(raw, kind, path)
        elif _is_of(raw, kind):
            self._check_range(raw, limits, path)
        else:
            self._report_type(path, raw, _TYPE_NAMES[kind])

    def _check_range(self, raw: typing.Any, limits: Rule, path: str) -> None:
        if isinstance(raw, str):
            self._check_text(raw, limits, path)
        elif not isinstance(raw, bool) and not limits.allows(raw):
            self._findings.report_value(
                path,
                raw,
                'the number is out of range',
                f'use a number {limits.range_text()}',
            )

    def _check_list(
        self, raw: typing.Any, kind: typing.Any, limits: Rule, path: str
    ) -> None:
        if not isinstance(raw, list):
            self._report_type(path, raw, 'a list')
            return
        for index, entry in enumerate(raw):
            self._check(entry, kind, limits, f'{path}[{index}]')

    def _check_choice(
        self,
        raw: typing.Any,
        kind: type[enum.Enum],
        path: str,
    ) -> None:
        choices = [choice.value for choice in kind]
        if raw not in choices:
            self._findings.report_value(
                path,
                raw,
                'the choice is unknown',
                'use one of {}'.format(', '.join(choices)),
            )

    def _check_text(self, raw: str, limits: Rule, path: str) -> None:
        if limits.pattern and not re.fullmatch(limits.pattern, raw):
            self._findings.report_value(
                path,
                raw,
                'the text has the wrong form',
                f'write it as {limits.pattern}',
            )
        elif not raw.isprintable():
            self._findings.report_value(
                path,
                raw,
                'the text has control characters',
                'remove them',
            )

    def _report_type(self, path: str, raw: typing.Any, expected: str) -> None:
        self._findings.report_value(
            path,
            raw,
            'the value has the wrong type',
            f'write {expected}',
        )


def is_explicit(owner: type, name: str) -> bool:
    """Tell whether a field must be written although it has a default."""
    # A limit left out would be zero and stop the whole team.
    return owner is Resources and name != 'accelerator_count'


def _is_of(raw: object, kind: type) -> bool:
    if isinstance(raw, bool) or kind is bool:
        return isinstance(raw, bool) and kind is bool
    if kind is float and isinstance(raw, float):
        return math.isfinite(raw)
    return isinstance(raw, int if kind is float else kind)
