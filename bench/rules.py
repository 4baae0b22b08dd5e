"""Switch off single rules of the decisions, to measure their effect."""

from __future__ import annotations

import types

from currantreach_decisions import (
    _estimates,
    _health,
    _policies,
    _preemption,
    _reservation,
    _reserve,
)

__all__ = ('RULES', 'switch_off')


def _nothing(*unused: object) -> None:
    """Do nothing instead of a rule."""


def _always(*unused: object) -> bool:
    """Allow everything."""
    return True


def _no_victims(*unused: object) -> list[object]:
    """Preempt nothing."""
    return []


def _declared(_, spec):
    """Use the declared size."""
    return spec.resources


def _reserved_for_holder(reservation, room, waiting, *unused: object) -> bool:
    """Keep a reserved worker for its holder alone."""
    if waiting is reservation.holder:
        return True
    return room.registration.name not in reservation._workers


RULES = types.MappingProxyType(
    {
        'reserve': (_reserve.PromptReserve, 'allows', _always),
        'reservation': (_reservation.Reservation, 'hold', _nothing),
        'backfill': (
            _reservation.Reservation,
            'allows',
            _reserved_for_holder,
        ),
        'preemption': (_preemption.Preemptor, 'preempt_for', _no_victims),
        'estimates': (_estimates.Estimator, 'size', _declared),
        'quarantine': (_health.Health, 'failed', _nothing),
        'packing': (
            _policies.BatchPolicy,
            'best',
            _policies.PromptPolicy.best,
        ),
    },
)


def switch_off(rule: str) -> None:
    """Replace a rule by doing nothing, in this process."""
    owner, name, replacement = RULES[rule]
    setattr(owner, name, replacement)
