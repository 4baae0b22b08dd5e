"""Weighted dominant-resource fairness over teams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_decisions._ledger import Ledger
    from currantreach_types import Resources

__all__ = ('Shares', 'dominant_share')


def dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the largest part of a resource that is taken."""
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
    """How far each team is from its share."""

    def __init__(self, ledger: Ledger) -> None:
        """Measure the teams of a ledger."""
        self._ledger = ledger

    def key(self, team: str) -> float:
        """Return the dominant share divided by the weight of a team."""
        account = self._ledger.team(team)
        taken = dominant_share(account.used, self._ledger.capacity)
        return taken / account.share

    def entitlements(self) -> dict[str, float]:
        """Divide the fleet among the teams that use or want room.

        A team that wants less than its part leaves the rest to the others.
        """
        capacity = self._ledger.capacity
        wants: dict[str, float] = {}
        for name, account in self._ledger.teams.items():
            wanted = dominant_share(account.used + account.wanted, capacity)
            if wanted > 0:
                wants[name] = min(
                    wanted,
                    dominant_share(account.allotment, capacity),
                )
        return _fill(wants, self._weights())

    def over(self, team: str, entitlements: dict[str, float]) -> float:
        """Return how much more than its part of the fleet a team takes."""
        account = self._ledger.team(team)
        taken = dominant_share(account.used, self._ledger.capacity)
        return taken - entitlements.get(team, 0)

    def _weights(self) -> dict[str, float]:
        """Return the weight of each team."""
        teams = self._ledger.teams.items()
        return {name: account.share for name, account in teams}


def _fill(
    wants: dict[str, float],
    weights: dict[str, float],
) -> dict[str, float]:
    """Divide the whole by weight, giving no one more than it wants."""
    parts: dict[str, float] = {}
    left: float = 1
    weight = sum(weights[name] for name in wants)
    for _, name in sorted(
        (wanted / weights[team], team) for team, wanted in wants.items()
    ):
        part = min(wants[name], left * weights[name] / weight)
        parts[name] = part
        left -= part
        weight -= weights[name]
    return parts
