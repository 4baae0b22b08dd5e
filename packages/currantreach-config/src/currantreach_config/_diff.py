"""Differences between two configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs
import msgspec

if TYPE_CHECKING:
    from currantreach_config._model import CellConfig

__all__ = ('Change', 'diff')

_SECTIONS: Final = (('teams', 'name'), ('queues', 'name'), ('keys', 'key_id'))
_HASHED: Final = frozenset(('salt_hex', 'hash_hex'))
_HASH_PREFIX_CHARS: Final = 8


@attrs.frozen(slots=True)
class Change:
    """One changed value.

    :ivar path: path of the value; entries of lists by name or key id.
    :ivar old: value before, ``None`` if there was none.
    :ivar new: value after, ``None`` if there is none.
    """

    path: str
    old: Any
    new: Any


def diff(old: CellConfig, new: CellConfig) -> list[Change]:
    """Return all changes from ``old`` to ``new``, sorted by path."""
    before = _flatten(old)
    after = _flatten(new)
    return [
        Change(path, before.get(path), after.get(path))
        for path in sorted({*before, *after})
        if before.get(path) != after.get(path)
    ]


def _flatten(cell: CellConfig) -> dict[str, Any]:
    plain = msgspec.to_builtins(cell)
    flat: dict[str, Any] = {'site': plain['site']}
    _add_members(flat, 'limits', plain['limits'])
    for section, identity in _SECTIONS:
        for entry in plain[section]:
            _add_members(flat, f'{section}[{entry[identity]}]', entry)
    return flat


def _add_members(
    flat: dict[str, Any],
    path: str,
    members: dict[str, Any],
) -> None:
    for name, member in members.items():
        if isinstance(member, dict):
            _add_members(flat, f'{path}.{name}', member)
        elif name in _HASHED:
            # A prefix identifies a hash without printing all of it.
            prefix = member[:_HASH_PREFIX_CHARS]
            flat[f'{path}.{name}'] = f'{prefix}...'
        else:
            flat[f'{path}.{name}'] = member
