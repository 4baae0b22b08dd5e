"""Checked configuration that all daemons share."""

from __future__ import annotations

import enum

import attrs
from currantreach_types import PolicyKind, Resources

__all__ = (
    'CellConfig',
    'ConfigRecord',
    'KeyRecord',
    'KeyRole',
    'LimitsConfig',
    'QueueConfig',
    'TeamConfig',
)


class KeyRole(enum.StrEnum):
    """What the holder of a key may do."""

    caller = 'caller'
    operator = 'operator'


@attrs.frozen(slots=True, kw_only=True)
class KeyRecord:
    """A key as it is stored.

    :ivar key_id: public part of the key.
    :ivar team: team of a caller key, empty for an operator key.
    :ivar role: what the holder may do.
    :ivar salt_hex: random salt.
    :ivar hash_hex: SHA-256 of salt and secret.
    """

    key_id: str
    team: str
    role: KeyRole
    salt_hex: str
    hash_hex: str


@attrs.frozen(slots=True, kw_only=True)
class TeamConfig:
    """A team.

    :ivar name: name of the team.
    :ivar share: weight when the fleet is full, above zero.
    :ivar upper_limit: what it may run across the whole fleet.
    :ivar request_limit: requests in progress at one entry host at most.
    """

    name: str
    share: float
    upper_limit: Resources
    request_limit: int = 1000


@attrs.frozen(slots=True, kw_only=True)
class QueueConfig:
    """A queue.

    :ivar name: name of the queue.
    :ivar policy: policy that decides for its requests.
    :ivar teams: teams that may use it; empty for all teams.
    :ivar is_open: whether requests need no key.
    :ivar open_team: team that requests without a key are charged to.
    :ivar queue_limit: requests waiting in one partition at most.
    :ivar default_deadline_s: latest start of requests that name none.
    """

    name: str
    policy: PolicyKind
    teams: tuple[str, ...] = ()
    is_open: bool = False
    open_team: str = ''
    queue_limit: int = 10000
    default_deadline_s: float | None = None


@attrs.frozen(slots=True, kw_only=True)
class LimitsConfig:
    """Limits on what callers may send and on retries."""

    body_limit_bytes: int = 262144
    header_limit_bytes: int = 8192
    connection_limit: int = 1000
    retry_budget_ratio: float = 0.2
    result_retention_s: float = 3600
    config_freshness_s: float = 5
    outage_limit_s: float = 3600


@attrs.frozen(slots=True, kw_only=True)
class CellConfig:
    """Merged base file and overlay.

    :ivar site: name of the site.
    :ivar teams: all teams.
    :ivar queues: all queues.
    :ivar keys: keys that the files grant.
    :ivar limits: limits of the entry hosts.
    """

    site: str
    teams: tuple[TeamConfig, ...]
    queues: tuple[QueueConfig, ...]
    keys: tuple[KeyRecord, ...] = ()
    limits: LimitsConfig = LimitsConfig()


@attrs.frozen(slots=True, kw_only=True)
class ConfigRecord:
    """Record ``config/current`` of the store.

    :ivar revision: rises by one with each accepted change.
    :ivar change_id: id of the change, to recognise one's own write.
    :ivar author: key id of the operator.
    :ivar cell: the merged files.
    :ivar granted: keys granted after the files.
    :ivar withdrawn: ids of withdrawn keys; they never come back.
    :ivar drained: workers that an operator drains.
    """

    revision: int
    change_id: str
    author: str
    cell: CellConfig
    granted: tuple[KeyRecord, ...] = ()
    withdrawn: tuple[str, ...] = ()
    drained: tuple[str, ...] = ()
