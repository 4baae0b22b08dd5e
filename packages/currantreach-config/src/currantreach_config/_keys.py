"""API keys of teams and operators."""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from typing import TYPE_CHECKING, Final

import attrs

from currantreach_config._model import KeyRecord, KeyRole
from currantreach_config._rules import NAME
from currantreach_types.refusals import (
    KEY_MISSING,
    KEY_UNKNOWN,
    KEY_WITHDRAWN,
    Refusal,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantreach_config._model import ConfigRecord

__all__ = ('KeyRing', 'active_keys', 'new_key', 'new_key_with_id')

_SECRET_BYTES: Final = 32
_SALT_BYTES: Final = 16
_ID_BYTES: Final = 8
_SECRET_CHARS: Final = 43
# 32 bytes are 43 characters of Base64; the upper bound limits the time that
# the check of an overlong token takes.
_TOKEN_PATTERN: Final = re.compile(
    f'crk_(?P<key_id>{NAME})_(?P<secret>[A-Za-z0-9_-]{{43,128}})',
)
_DUMMY_SECRET: Final = '-' * _SECRET_CHARS


@attrs.frozen(slots=True)
class _StoredKey:
    record: KeyRecord
    salt: bytes
    digest: bytes


def new_key(team: str, role: KeyRole) -> tuple[str, KeyRecord]:
    """Return a new token and the record to store.

    :param team: team of a caller key, empty for an operator key.
    """
    return new_key_with_id(secrets.token_hex(_ID_BYTES), team, role)


def new_key_with_id(
    key_id: str,
    team: str,
    role: KeyRole,
) -> tuple[str, KeyRecord]:
    """Return a token with this id and the record to store."""
    secret = secrets.token_urlsafe(_SECRET_BYTES)
    salt = secrets.token_bytes(_SALT_BYTES)
    record = KeyRecord(
        key_id=key_id,
        team=team,
        role=role,
        salt_hex=salt.hex(),
        hash_hex=_digest(salt, secret).hex(),
    )
    return f'crk_{key_id}_{secret}', record


def active_keys(record: ConfigRecord) -> Iterator[KeyRecord]:
    """Yield the keys of a record that are not withdrawn."""
    withdrawn = frozenset(record.withdrawn)
    for key in (*record.cell.keys, *record.granted):
        if key.key_id not in withdrawn:
            yield key


class KeyRing:
    """Checks tokens against the keys of one configuration record."""

    def __init__(self, record: ConfigRecord) -> None:
        """Index the keys of ``record``."""
        teams = {team.name for team in record.cell.teams}
        self._withdrawn = frozenset(record.withdrawn)
        self._stored_keys = {
            key.key_id: _decode_key(key)
            for key in active_keys(record)
            if key.role is KeyRole.operator or key.team in teams
        }
        # An unknown id is compared with this key, which no token matches, so
        # that the time taken does not reveal which ids exist.
        self._dummy_key = _StoredKey(
            KeyRecord(
                key_id='',
                team='',
                role=KeyRole.caller,
                salt_hex='',
                hash_hex='',
            ),
            secrets.token_bytes(_SALT_BYTES),
            secrets.token_bytes(hashlib.sha256().digest_size),
        )

    def authenticate(self, token: str | None) -> KeyRecord | Refusal:
        """Return the key that the token belongs to, or a refusal."""
        if not token:
            return KEY_MISSING
        match = _TOKEN_PATTERN.fullmatch(token)
        key_id = match['key_id'] if match else ''
        stored = self._stored_keys.get(key_id, self._dummy_key)
        secret = match['secret'] if match else _DUMMY_SECRET
        is_equal = hmac.compare_digest(
            _digest(stored.salt, secret),
            stored.digest,
        )
        if key_id in self._withdrawn:
            return KEY_WITHDRAWN
        if is_equal and stored is not self._dummy_key:
            return stored.record
        return KEY_UNKNOWN


def _decode_key(key: KeyRecord) -> _StoredKey:
    return _StoredKey(
        key,
        bytes.fromhex(key.salt_hex),
        bytes.fromhex(key.hash_hex),
    )


def _digest(salt: bytes, secret: str) -> bytes:
    return hashlib.sha256(salt + secret.encode()).digest()
