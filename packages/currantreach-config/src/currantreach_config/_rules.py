"""Ranges and patterns of configuration fields."""

from __future__ import annotations

from typing import Any, Final

import attrs

from currantreach_types import Resources

__all__ = (
    'ADDRESS',
    'HASH_HEX',
    'NAME',
    'SALT_HEX',
    'URL',
    'Rule',
    'rule',
    'rule_of',
)

# Names become parts of store keys and request ids, which limits them to
# 40 characters without dots, slashes and underscores.
NAME: Final = '[a-z0-9][a-z0-9-]{0,39}'
SALT_HEX: Final = '[0-9a-f]{32}'
HASH_HEX: Final = '[0-9a-f]{64}'
URL: Final = r'https?://[^\s/?#]+(/[^\s?#]*)?'
ADDRESS: Final = r'(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}'

# Keeps sums of such amounts over the fleet within 64 bits.
_MAX_AMOUNT: Final = 1_000_000_000_000
_RULE_KEY: Final = 'rule'


@attrs.frozen(slots=True, kw_only=True)
class Rule:
    """Allowed values of a field.

    :ivar ge: smallest allowed number.
    :ivar gt: number that must be exceeded.
    :ivar le: largest allowed number.
    :ivar pattern: regular expression that matches the whole string.
    :ivar is_base_only: whether the field can be set only in the base file.
    """

    ge: float | None = None
    gt: float | None = None
    le: float = _MAX_AMOUNT
    pattern: str = ''
    is_base_only: bool = False

    def allows(self, amount: float) -> bool:
        """Tell whether a number is in the range."""
        if self.gt is not None and amount <= self.gt:
            return False
        if self.ge is not None and amount < self.ge:
            return False
        return amount <= self.le

    def range_text(self) -> str:
        """Return the range as text."""
        if self.gt is not None:
            return f'above {_plain(self.gt)}, at most {_plain(self.le)}'
        if self.ge is not None:
            return f'{_plain(self.ge)} to {_plain(self.le)}'
        return ''


_AMOUNT_RULE: Final = Rule(ge=0)


def rule(**limits: Any) -> dict[str, Rule]:
    """Return the metadata of a field with these limits."""
    return {_RULE_KEY: Rule(**limits)}


def rule_of(owner: type, field: attrs.Attribute[Any]) -> Rule:
    """Return the rule of a field of ``owner``."""
    if owner is Resources:
        return _AMOUNT_RULE
    found = field.metadata.get(_RULE_KEY)
    return found if isinstance(found, Rule) else Rule()


def _plain(amount: float) -> str:
    return str(int(amount)) if amount == int(amount) else str(amount)
