"""Wire format of heartbeats.

Field names would take two thirds of a message, so a heartbeat is encoded as a
tuple.
"""

from __future__ import annotations

from typing import TypeAlias, cast

import attrs

from currantreach_daemon._messages import Heartbeat, OwnedPartition
from currantreach_types import Resources

__all__ = (
    'HEARTBEAT_WIRE',
    'HeartbeatWire',
    'pack_heartbeat',
    'unpack_heartbeat',
)

_MS_PER_S = 1000
_AGE_LIMIT_MS = 10**9

_Amounts: TypeAlias = tuple[int, int, int, int, int]
_OwnedWire: TypeAlias = tuple[str, int, int, int, _Amounts, _Amounts]

HeartbeatWire: TypeAlias = tuple[
    str,
    str,
    str,
    int,
    int,
    bool,
    bool,
    tuple[_OwnedWire, ...],
    dict[str, int],
    bool,
]

# The codec expects a type, but for mypy a parametrised tuple is not one.
HEARTBEAT_WIRE = cast('type[HeartbeatWire]', HeartbeatWire)


def pack_heartbeat(beat: Heartbeat) -> HeartbeatWire:
    """Encode a heartbeat as a tuple."""
    age_ms = min(beat.config_age_s * _MS_PER_S, _AGE_LIMIT_MS)
    return (
        beat.daemon_id,
        beat.domain,
        beat.session_id,
        beat.config_revision,
        int(age_ms),
        beat.has_store,
        beat.is_leaving,
        tuple(_owned_to_wire(owned) for owned in beat.owned),
        beat.limits,
        beat.has_unsettled_write,
    )


def unpack_heartbeat(wire: HeartbeatWire) -> Heartbeat:
    """Decode a heartbeat from a tuple."""
    (
        daemon_id,
        domain,
        session_id,
        config_revision,
        age_ms,
        has_store,
        is_leaving,
        owned,
        limits,
        has_unsettled_write,
    ) = wire
    return Heartbeat(
        daemon_id=daemon_id,
        domain=domain,
        session_id=session_id,
        config_revision=config_revision,
        config_age_s=age_ms / _MS_PER_S,
        has_store=has_store,
        is_leaving=is_leaving,
        owned=tuple(_owned_from_wire(part) for part in owned),
        limits=limits,
        has_unsettled_write=has_unsettled_write,
    )


def _owned_to_wire(owned: OwnedPartition) -> _OwnedWire:
    return (
        owned.domain,
        owned.partition,
        owned.epoch,
        owned.waiting_count,
        attrs.astuple(owned.free),
        attrs.astuple(owned.largest),
    )


def _owned_from_wire(wire: _OwnedWire) -> OwnedPartition:
    domain, partition, epoch, waiting_count, free, largest = wire
    return OwnedPartition(
        domain=domain,
        partition=partition,
        epoch=epoch,
        waiting_count=waiting_count,
        free=Resources(*free),
        largest=Resources(*largest),
    )
