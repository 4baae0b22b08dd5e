"""Changes of the configuration record."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from currantreach_config._documents import DOCUMENT_LIMIT_BYTES
from currantreach_config._keys import active_keys
from currantreach_config._model import ConfigRecord, KeyRole
from currantreach_types.errors import ConfigurationError

if TYPE_CHECKING:
    from currantreach_config._model import CellConfig, KeyRecord

__all__ = (
    'drain_worker',
    'grant_key',
    'initial_record',
    'merge_change',
    'withdraw_key',
)


def initial_record(
    cell: CellConfig,
    *,
    change_id: str,
    author: str,
) -> ConfigRecord:
    """Return the first record of a cell."""
    return _validated(
        ConfigRecord(
            revision=1,
            change_id=change_id,
            author=author,
            cell=cell,
        ),
    )


def merge_change(
    record: ConfigRecord,
    cell: CellConfig,
    *,
    change_id: str,
    author: str,
) -> ConfigRecord:
    """Return the record after new files were applied.

    Granted and withdrawn keys are kept; a key of the files whose id is
    withdrawn is omitted.

    :raises ConfigurationError: if the change cannot be accepted.
    """
    withdrawn = frozenset(record.withdrawn)
    keys = tuple(key for key in cell.keys if key.key_id not in withdrawn)
    granted = {key.key_id: key for key in record.granted}
    for key in keys:
        if granted.get(key.key_id, key) != key:
            raise ConfigurationError(
                f'key id {key.key_id} was granted with another secret; '
                + 'use a new key id in the base file',
            )
    return _next_record(
        record,
        attrs.evolve(
            record,
            cell=attrs.evolve(cell, keys=keys),
            change_id=change_id,
            author=author,
        ),
    )


def grant_key(
    record: ConfigRecord,
    key: KeyRecord,
    *,
    change_id: str,
    author: str,
) -> ConfigRecord:
    """Return the record after a key was granted.

    :raises ConfigurationError: if the id is in use or the team is unknown.
    """
    known_ids = {known.key_id for known in active_keys(record)}
    if key.key_id in known_ids or key.key_id in record.withdrawn:
        raise ConfigurationError(
            f'key id {key.key_id} is in use or withdrawn; use a new key id',
        )
    teams = {team.name for team in record.cell.teams}
    if key.role is KeyRole.caller and key.team not in teams:
        raise ConfigurationError(
            f'team {key.team!r} is unknown; use a team of the configuration',
        )
    return _next_record(
        record,
        attrs.evolve(
            record,
            granted=(*record.granted, key),
            change_id=change_id,
            author=author,
        ),
    )


def withdraw_key(
    record: ConfigRecord,
    key_id: str,
    *,
    change_id: str,
    author: str,
) -> ConfigRecord:
    """Return the record after a key was withdrawn.

    :raises ConfigurationError: if the key is unknown or the last operator key.
    """
    known_ids = {key.key_id for key in active_keys(record)}
    if key_id not in known_ids and key_id not in record.withdrawn:
        raise ConfigurationError(
            f'key id {key_id} is unknown; use an id of the key list',
        )
    return _next_record(
        record,
        attrs.evolve(
            record,
            granted=_without(record.granted, key_id),
            cell=attrs.evolve(
                record.cell,
                keys=_without(record.cell.keys, key_id),
            ),
            withdrawn=tuple(sorted({*record.withdrawn, key_id})),
            change_id=change_id,
            author=author,
        ),
    )


def drain_worker(
    record: ConfigRecord,
    worker: str,
    *,
    change_id: str,
    author: str,
) -> ConfigRecord:
    """Return the record after an operator drained a worker."""
    return _next_record(
        record,
        attrs.evolve(
            record,
            drained=tuple(sorted({*record.drained, worker})),
            change_id=change_id,
            author=author,
        ),
    )


def _next_record(record: ConfigRecord, changed: ConfigRecord) -> ConfigRecord:
    if _has_operator(record) and not _has_operator(changed):
        raise ConfigurationError(
            'the change removes the last operator key; '
            + 'grant another operator key first',
        )
    return _validated(attrs.evolve(changed, revision=record.revision + 1))


def _validated(record: ConfigRecord) -> ConfigRecord:
    if len(msgspec.json.encode(record)) > DOCUMENT_LIMIT_BYTES:
        raise ConfigurationError(
            'the configuration record would be larger than 1 MB; '
            + 'remove teams, queues or keys',
        )
    return record


def _has_operator(record: ConfigRecord) -> bool:
    return any(key.role is KeyRole.operator for key in active_keys(record))


def _without(
    keys: tuple[KeyRecord, ...],
    key_id: str,
) -> tuple[KeyRecord, ...]:
    return tuple(key for key in keys if key.key_id != key_id)
