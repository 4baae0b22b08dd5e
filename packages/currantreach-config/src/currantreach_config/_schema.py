"""Validation of JSON values against attrs classes and their rules."""

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
        int: 'an integer',
        str: 'a string',
    },
)


@functools.cache
def field_types(owner: type) -> dict[str, typing.Any]:
    """Return the resolved types of the fields of an attrs class."""
    return typing.get_type_hints(owner)


class Checker:
    """Checks the values of one file.

    :ivar is_overlay: whether fields can be omitted.
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
                'an overlay cannot set this field',
                'set it in the base file',
            )
            return
        self._check(raw, field_types(owner)[name], field_rule, path)

    def _check(
        self,
        raw: typing.Any,
        field_type: typing.Any,
        field_rule: Rule,
        path: str,
    ) -> None:
        origin = typing.get_origin(field_type)
        if origin is None:
            self._check_plain(raw, field_type, field_rule, path)
            return
        inner = typing.get_args(field_type)[0]
        if origin is tuple:
            self._check_list(raw, inner, field_rule, path)
        elif raw is not None:
            self._check(raw, inner, field_rule, path)

    def _check_plain(
        self,
        raw: typing.Any,
        field_type: type,
        field_rule: Rule,
        path: str,
    ) -> None:
        if attrs.has(field_type):
            self.check_object(raw, field_type, path)
        elif issubclass(field_type, enum.Enum):
            self._check_choice(raw, field_type, path)
        elif _has_type(raw, field_type):
            self._check_range(raw, field_rule, path)
        else:
            self._report_type(path, raw, _TYPE_NAMES[field_type])

    def _check_range(
        self,
        raw: typing.Any,
        field_rule: Rule,
        path: str,
    ) -> None:
        if isinstance(raw, str):
            self._check_string(raw, field_rule, path)
        elif not isinstance(raw, bool) and not field_rule.allows(raw):
            self._findings.report_value(
                path,
                raw,
                'the number is out of range',
                f'use a number {field_rule.range_text()}',
            )

    def _check_list(
        self,
        raw: typing.Any,
        field_type: typing.Any,
        field_rule: Rule,
        path: str,
    ) -> None:
        if not isinstance(raw, list):
            self._report_type(path, raw, 'a list')
            return
        for index, entry in enumerate(raw):
            self._check(entry, field_type, field_rule, f'{path}[{index}]')

    def _check_choice(
        self,
        raw: typing.Any,
        field_type: type[enum.Enum],
        path: str,
    ) -> None:
        choices = [choice.value for choice in field_type]
        if raw not in choices:
            self._findings.report_value(
                path,
                raw,
                'the value is not one of the choices',
                'use one of {}'.format(', '.join(choices)),
            )

    def _check_string(self, raw: str, field_rule: Rule, path: str) -> None:
        if field_rule.pattern and not re.fullmatch(field_rule.pattern, raw):
            self._findings.report_value(
                path,
                raw,
                'the string does not match its pattern',
                f'write a string that matches {field_rule.pattern}',
            )
        elif not raw.isprintable():
            self._findings.report_value(
                path,
                raw,
                'the string has control characters',
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
    # An omitted limit would be zero and block all requests of the team.
    return owner is Resources and name != 'accelerator_count'


def _has_type(raw: object, field_type: type) -> bool:
    if isinstance(raw, bool) or field_type is bool:
        return isinstance(raw, bool) and field_type is bool
    if field_type is float and isinstance(raw, float):
        return math.isfinite(raw)
    return isinstance(raw, int if field_type is float else field_type)
