"""Which jobs of a team are beyond its share while the fleet is full."""

from __future__ import annotations

__all__ = ('TeamRates',)

# A team may send the jobs of this time at once before they count as excess.
_BURST_S = 1


class TeamRates:
    """Compares the jobs that each team sends with its weight.

    The weight of a team is the number of jobs a second that it has a claim
    to. What it sends beyond that waits behind the jobs of the others.
    """

    def __init__(self) -> None:
        """Start with no team ahead of its share."""
        self._next_conforming_s: dict[str, float] = {}

    def record_job(self, team: str, weight: int, at_s: float) -> bool:
        """Note a job of a team; return whether it is beyond the share.

        :param weight: jobs a second that the team has a claim to; a team
            without a weight is never beyond its share.
        """
        if not weight:
            return False
        next_conforming_s = max(self._next_conforming_s.get(team, at_s), at_s)
        if next_conforming_s - at_s > _BURST_S:
            return True
        self._next_conforming_s[team] = next_conforming_s + 1 / weight
        return False

    def teams_over_share(self, at_s: float) -> list[str]:
        """Return the teams whose next job would be beyond their share."""
        return [
            team
            for team, next_conforming_s in self._next_conforming_s.items()
            if next_conforming_s - at_s > _BURST_S
        ]
