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

# Sums over the fleet of amounts up to this size stay within 64 bits.
_MOST_AMOUNT: Final = 1_000_000_000_000
_RULE_KEY: Final = 'rule'


@attrs.frozen(slots=True, kw_only=True)
class Rule:
    """Allowed values of a field.

    :ivar least: smallest allowed number.
    :ivar above: largest number that is too small.
    :ivar most: largest allowed number.
    :ivar pattern: regular expression that a text matches as a whole.
    :ivar is_base_only: whether overlays may not set the field.
    """

    least: float | None = None
    above: float | None = None
    most: float = _MOST_AMOUNT
    pattern: str = ''
    is_base_only: bool = False

    def allows(self, amount: float) -> bool:
        """Tell whether a number is in the range."""
        if self.above is not None and amount <= self.above:
            return False
        if self.least is not None and amount < self.least:
            return False
        return amount <= self.most

    def range_text(self) -> str:
        """Return the range in words."""
        if self.above is not None:
            return f'above {_plain(self.above)}, at most {_plain(self.most)}'
        if self.least is not None:
            return f'{_plain(self.least)} to {_plain(self.most)}'
        return ''


_AMOUNT_RULE: Final = Rule(least=0)


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
