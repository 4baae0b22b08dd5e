"""Gauges of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantreach_daemon._messages import Heartbeat
    from currantreach_daemon._owner import Owner
    from currantreach_telemetry import Metrics

__all__ = ('register_gauges',)

_PARTITION = 'partition'


def register_gauges(
    metrics: Metrics,
    owners: Mapping[int, Owner],
    store_calls: Mapping[str, int],
    heartbeat: Callable[[], Heartbeat],
    peer_bytes: Callable[[], int],
) -> None:
    """Register all gauges of a daemon with its metrics."""
    metrics.add_gauge(
        'currantreach_waiting_requests',
        lambda: {
            str(number): owner.waiting_count()
            for number, owner in owners.items()
        },
        _PARTITION,
    )
    metrics.add_gauge(
        'currantreach_claim_epoch',
        lambda: {
            str(number): owner.claim.epoch for number, owner in owners.items()
        },
        _PARTITION,
    )
    metrics.add_gauge(
        'currantreach_config_age_seconds',
        lambda: {'config': heartbeat().config_age_s},
        'record',
    )
    metrics.add_gauge(
        'currantreach_peer_bytes',
        lambda: {'both': peer_bytes()},
        'direction',
    )
    metrics.add_gauge(
        'currantreach_store_calls',
        lambda: dict(store_calls),
        'kind',
    )
    metrics.add_gauge(
        'currantreach_allotment_slots',
        lambda: _allotted_slots(owners),
        'team',
    )


def _allotted_slots(owners: Mapping[int, Owner]) -> dict[str, float]:
    slots: dict[str, float] = {}
    for owner in owners.values():
        for team, granted in owner.allotments().items():
            slots[team] = slots.get(team, 0) + granted.slot_count
    return slots
