"""Rates at which teams submit jobs, compared with their shares."""

from __future__ import annotations

__all__ = ('TeamRates',)

# Burst allowance: a team may submit the jobs of this time at once before
# further ones exceed its share.
_BURST_S = 1


class TeamRates:
    """Meters the jobs that each team submits against its weight.

    The weight of a team is its share in jobs a second. Jobs beyond the share
    wait behind the jobs of the other teams.
    """

    def __init__(self) -> None:
        """Start with no team over its share."""
        self._due_at_s: dict[str, float] = {}

    def record_job(self, team: str, weight: int, at_s: float) -> bool:
        """Count a job of a team; return whether it exceeds the share.

        :param weight: share of the team in jobs a second; a team without a
            weight never exceeds it.
        """
        if not weight:
            return False
        due_at_s = max(self._due_at_s.get(team, at_s), at_s)
        if due_at_s - at_s > _BURST_S:
            return True
        self._due_at_s[team] = due_at_s + 1 / weight
        return False

    def teams_over_share(self, at_s: float) -> list[str]:
        """Return the teams whose next job would exceed their share."""
        return [
            team
            for team, due_at_s in self._due_at_s.items()
            if due_at_s - at_s > _BURST_S
        ]
