"""Decisions that look at all teams, made a few times a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_types import PolicyKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantreach_decisions._estimates import Sizing
    from currantreach_decisions._lanes import Lane, Lanes, Waiting
    from currantreach_decisions._ledger import Ledger
    from currantreach_decisions._policies import PolicyRegistry
    from currantreach_decisions._preemption import Preemptor
    from currantreach_decisions._reservation import Reservation
    from currantreach_decisions._server import Round
    from currantreach_decisions._shares import Shares

__all__ = ('Review',)

_URGENT_RANK = 0
_REVIEW_S = 0.1
# A batch request that waited this long gets a reservation like a gang.
_STARVED_S = 60
# A team below its share waits this long before batch tasks are checkpointed.
_PATIENCE_S = 2
_URGENT_PATIENCE_S = 0.05


class Review:
    """Choose the holder of the reservation and the tasks to preempt."""

    def __init__(
        self,
        ledger: Ledger,
        lanes: Lanes,
        policies: PolicyRegistry,
        shares: Shares,
        sizing: Sizing,
    ) -> None:
        """Look at the lanes of a ledger."""
        self._ledger = ledger
        self._lanes = lanes
        self._policies = policies
        self._shares = shares
        self._sizing = sizing
        self._reviewed_s = float('-inf')

    def is_due(self, now_s: float) -> bool:
        """Tell whether it is time, and count from now on if so."""
        if now_s < self._reviewed_s + _REVIEW_S:
            return False
        self._reviewed_s = now_s
        return True

    def choose_holder(self, reservation: Reservation, now_s: float) -> None:
        """Give the reservation to the request that is owed it."""
        holder = reservation.holder
        if holder is not None and (holder.is_gone or not self._fits(holder)):
            reservation.drop()
            holder = None
        candidates = [
            large for large in self._large(now_s) if self._fits(large)
        ]
        if holder is None and candidates:
            holder = min(
                candidates,
                key=lambda large: self._shares.key(large.spec.team),
            )
        if holder is not None:
            reservation.hold(holder, self._sizing.size(holder), now_s)

    def preempt(self, preempter: Preemptor, outcome: Round) -> None:
        """Checkpoint batch tasks for those who are owed room."""
        now_s = outcome.now_s
        entitlements = self._shares.entitlements()
        for rank in (_URGENT_RANK, *self._policies.ranks()):
            patience_s = _PATIENCE_S if rank else _URGENT_PATIENCE_S
            for lane in self._lanes.of_rank(rank):
                waiting = None
                if not rank or preempter.is_owed(lane.team, entitlements):
                    waiting = _first(lane, now_s - patience_s)
                if waiting is not None:
                    outcome.preemptions += preempter.preempt_for(
                        waiting,
                        self._sizing.size(waiting),
                        entitlements,
                        now_s,
                    )

    def _large(self, now_s: float) -> Iterator[Waiting]:
        """Yield the first gang and the starved batch request of each team."""
        gang = self._policies.policy(PolicyKind.gang).rank
        batch = self._policies.policy(PolicyKind.batch).rank
        for rank, before_s in ((gang, now_s), (batch, now_s - _STARVED_S)):
            for lane in self._lanes.of_rank(rank):
                waiting = _first(lane, before_s)
                if waiting is not None:
                    yield waiting

    def _fits(self, waiting: Waiting) -> bool:
        """Tell whether a request is within the allotment of its team."""
        size = self._sizing.size(waiting)
        account = self._ledger.team(waiting.spec.team)
        return account.admits(size.times(waiting.spec.gang_size))


def _first(lane: Lane, before_s: float) -> Waiting | None:
    """Return the first request of a lane if it is old enough."""
    oldest = lane.oldest()
    if oldest is None or oldest[2].submitted_s > before_s:
        return None
    return oldest[2]
