"""Weighted dominant resource fairness (DRF) over teams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_decisions._ledger import Ledger
    from currantreach_types import Resources

__all__ = ('Shares', 'dominant_share')


def dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the largest used fraction of any resource."""
    share: float = 0
    if capacity.slot_count > 0:
        share = used.slot_count / capacity.slot_count
    if capacity.cpu_milli > 0:
        share = max(share, used.cpu_milli / capacity.cpu_milli)
    if capacity.memory_mib > 0:
        share = max(share, used.memory_mib / capacity.memory_mib)
    if capacity.accelerator_count > 0:
        accelerators = used.accelerator_count / capacity.accelerator_count
        share = max(share, accelerators)
    return share


class Shares:
    """Fair shares of all teams."""

    def __init__(self, ledger: Ledger) -> None:
        """Compute the shares of the teams in ``ledger``."""
        self._ledger = ledger

    def weighted_share(self, team: str) -> float:
        """Return the dominant share of a team divided by its weight."""
        account = self._ledger.team(team)
        used = dominant_share(account.used, self._ledger.capacity)
        return used / account.share

    def entitlements(self) -> dict[str, float]:
        """Return the fair fraction of the fleet of each active team.

        Only teams with running or waiting tasks take part. What a team does
        not demand is divided among the others.
        """
        capacity = self._ledger.capacity
        demands: dict[str, float] = {}
        for name, account in self._ledger.teams.items():
            demand = dominant_share(account.used + account.demand, capacity)
            if demand > 0:
                demands[name] = min(
                    demand,
                    dominant_share(account.allotment, capacity),
                )
        return _water_fill(demands, self._weights())

    def excess(self, team: str, entitlements: dict[str, float]) -> float:
        """Return how far a team is above its entitlement."""
        account = self._ledger.team(team)
        used = dominant_share(account.used, self._ledger.capacity)
        return used - entitlements.get(team, 0)

    def _weights(self) -> dict[str, float]:
        """Return the weight of each team."""
        teams = self._ledger.teams.items()
        return {name: account.share for name, account in teams}


def _water_fill(
    demands: dict[str, float],
    weights: dict[str, float],
) -> dict[str, float]:
    """Divide the whole by weight, limited by the demands (water-filling)."""
    parts: dict[str, float] = {}
    remaining: float = 1
    weight = sum(weights[name] for name in demands)
    for _, name in sorted(
        (demand / weights[team], team) for team, demand in demands.items()
    ):
        part = min(demands[name], remaining * weights[name] / weight)
        parts[name] = part
        remaining -= part
        weight -= weights[name]
    return parts
