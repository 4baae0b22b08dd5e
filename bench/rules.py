"""Disable single scheduling rules to measure their effect."""

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

__all__ = ('RULES', 'disable_rule')


def _do_nothing(*unused: object) -> None:
    """Do nothing in place of a rule."""


def _allow_all(*unused: object) -> bool:
    """Allow every placement."""
    return True


def _find_no_victims(*unused: object) -> list[object]:
    """Return no task to preempt."""
    return []


def _declared_size(_, spec):
    """Return the declared size in place of the estimate."""
    return spec.resources


def _allow_holder_only(reservation, worker, request, *unused: object) -> bool:
    """Allow only the holder to use a reserved worker."""
    if request is reservation.holder:
        return True
    return worker.registration.name not in reservation._workers


RULES = types.MappingProxyType(
    {
        'reserve': (_reserve.PromptReserve, 'allows', _allow_all),
        'reservation': (_reservation.Reservation, 'hold', _do_nothing),
        'backfill': (
            _reservation.Reservation,
            'allows',
            _allow_holder_only,
        ),
        'preemption': (_preemption.Preemptor, 'preempt_for', _find_no_victims),
        'estimates': (_estimates.Estimator, 'size', _declared_size),
        'quarantine': (_health.Health, 'failed', _do_nothing),
        'packing': (
            _policies.BatchPolicy,
            'best',
            _policies.PromptPolicy.best,
        ),
    },
)


def disable_rule(rule: str) -> None:
    """Replace the method of a rule in this process."""
    owner, name, replacement = RULES[rule]
    setattr(owner, name, replacement)
