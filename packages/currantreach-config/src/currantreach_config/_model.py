"""Validated configuration shared by all daemons."""

from __future__ import annotations

import enum
from typing import Final

import attrs

from currantreach_config._rules import HASH_HEX, NAME, SALT_HEX, rule
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

_WEEK_S: Final = 604800
_HOUR_S: Final = 3600
_MILLION: Final = 1_000_000
_MAX_CONNECTIONS: Final = 100_000
_HEADER_BYTES: Final = 8192
_MAX_HEADER_BYTES: Final = 65536
_BODY_BYTES: Final = 262144
_QUEUE_LIMIT: Final = 10000
_RETRY_RATIO: Final = 0.2
# Daemons poll the store with a timeout of 2 s; a shorter limit would refuse
# work between two polls. A longer one would break the guarantee that changes
# are in effect everywhere within 14 s.
_MIN_FRESHNESS_S: Final = 3
_MAX_FRESHNESS_S: Final = 14


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
    :ivar hash_hex: SHA-256 of the salt followed by the secret.
    """

    key_id: str = attrs.field(metadata=rule(pattern=NAME))
    team: str
    role: KeyRole
    salt_hex: str = attrs.field(metadata=rule(pattern=SALT_HEX))
    hash_hex: str = attrs.field(metadata=rule(pattern=HASH_HEX))


@attrs.frozen(slots=True, kw_only=True)
class TeamConfig:
    """A team.

    :ivar name: name of the team.
    :ivar share: weight in fair sharing when the fleet is full, above zero.
    :ivar upper_limit: most resources it may use across the fleet.
    :ivar request_limit: maximum number of requests in progress at one entry
        host.
    """

    name: str = attrs.field(metadata=rule(pattern=NAME))
    share: float = attrs.field(metadata=rule(gt=0, le=_MILLION))
    upper_limit: Resources
    request_limit: int = attrs.field(
        default=1000,
        metadata=rule(ge=1, le=_MILLION),
    )


@attrs.frozen(slots=True, kw_only=True)
class QueueConfig:
    """A queue.

    :ivar name: name of the queue.
    :ivar policy: scheduling policy of its requests.
    :ivar teams: teams that may use it; empty for all teams.
    :ivar is_open: whether requests need no key.
    :ivar open_team: team that requests without a key are charged to.
    :ivar queue_limit: maximum number of requests waiting in one partition.
    :ivar default_deadline_s: latest start after submission, for requests
        without a deadline.
    """

    name: str = attrs.field(metadata=rule(pattern=NAME))
    policy: PolicyKind
    teams: tuple[str, ...] = attrs.field(
        default=(),
        metadata=rule(is_base_only=True),
    )
    is_open: bool = attrs.field(
        default=False,
        metadata=rule(is_base_only=True),
    )
    open_team: str = attrs.field(
        default='',
        metadata=rule(is_base_only=True),
    )
    queue_limit: int = attrs.field(
        default=_QUEUE_LIMIT,
        metadata=rule(ge=1, le=_MILLION),
    )
    default_deadline_s: float | None = attrs.field(
        default=None,
        metadata=rule(gt=0, le=_WEEK_S),
    )


@attrs.frozen(slots=True, kw_only=True)
class LimitsConfig:
    """Limits on what callers may send and on retries.

    :ivar body_limit_bytes: largest request body.
    :ivar header_limit_bytes: largest request header.
    :ivar connection_limit: open caller connections of one daemon.
    :ivar retry_budget_ratio: retries allowed per first request of a team.
    :ivar result_retention_s: time that results are kept.
    :ivar config_freshness_s: longest time since a daemon last confirmed that
        its configuration is current.
    :ivar outage_limit_s: longest time that owners work without the store.
    """

    body_limit_bytes: int = attrs.field(
        default=_BODY_BYTES,
        metadata=rule(ge=1024, le=_MILLION),
    )
    header_limit_bytes: int = attrs.field(
        default=_HEADER_BYTES,
        metadata=rule(ge=1024, le=_MAX_HEADER_BYTES),
    )
    connection_limit: int = attrs.field(
        default=1000,
        metadata=rule(ge=1, le=_MAX_CONNECTIONS),
    )
    retry_budget_ratio: float = attrs.field(
        default=_RETRY_RATIO,
        metadata=rule(ge=0, le=1),
    )
    result_retention_s: float = attrs.field(
        default=_HOUR_S,
        metadata=rule(gt=0, le=_WEEK_S),
    )
    config_freshness_s: float = attrs.field(
        default=5,
        metadata=rule(ge=_MIN_FRESHNESS_S, le=_MAX_FRESHNESS_S),
    )
    outage_limit_s: float = attrs.field(
        default=_HOUR_S,
        metadata=rule(gt=0, le=_WEEK_S),
    )


@attrs.frozen(slots=True, kw_only=True)
class CellConfig:
    """Merged base file and overlay.

    :ivar site: name of the site.
    :ivar teams: all teams.
    :ivar queues: all queues.
    :ivar keys: keys that the files grant.
    :ivar limits: limits of the entry hosts.
    """

    site: str = attrs.field(metadata=rule(pattern=NAME))
    teams: tuple[TeamConfig, ...]
    queues: tuple[QueueConfig, ...]
    keys: tuple[KeyRecord, ...] = attrs.field(
        default=(),
        metadata=rule(is_base_only=True),
    )
    limits: LimitsConfig = LimitsConfig()


@attrs.frozen(slots=True, kw_only=True)
class ConfigRecord:
    """Record ``config/current`` of the store.

    :ivar revision: incremented by each accepted change.
    :ivar change_id: id of the change, by which a client finds its own write.
    :ivar author: key id of the operator.
    :ivar cell: the merged files.
    :ivar granted: keys granted in addition to those of the files.
    :ivar withdrawn: ids of withdrawn keys; they stay withdrawn.
    :ivar drained: workers that operators drained.
    """

    revision: int
    change_id: str
    author: str
    cell: CellConfig
    granted: tuple[KeyRecord, ...] = ()
    withdrawn: tuple[str, ...] = ()
    drained: tuple[str, ...] = ()
