"""Periodic decisions that compare all teams.

Several times a second, a review chooses the request that holds the reservation
of workers, and the batch tasks to preempt for urgent requests and for teams
below their share.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_types import PolicyKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantreach_decisions._backlogs import (
        Backlogs,
        TeamBacklog,
        WaitingRequest,
    )
    from currantreach_decisions._dispatcher import Round
    from currantreach_decisions._estimates import TaskSizer
    from currantreach_decisions._ledger import Ledger
    from currantreach_decisions._policies import PolicyRegistry
    from currantreach_decisions._preemption import Preemptor
    from currantreach_decisions._reservation import Reservation
    from currantreach_decisions._shares import Shares

__all__ = ('PeriodicReview',)

_URGENT_RANK = 0
_REVIEW_INTERVAL_S = 0.1
# A batch request that has waited this long may get the reservation like a
# gang.
_STARVED_S = 60
# A request of a team below its share waits this long before batch tasks are
# preempted for it.
_SHARE_WAIT_S = 2
_URGENT_WAIT_S = 0.05


class PeriodicReview:
    """Chooses the holder of the reservation, and tasks to preempt."""

    def __init__(
        self,
        ledger: Ledger,
        backlogs: Backlogs,
        policies: PolicyRegistry,
        shares: Shares,
        task_sizer: TaskSizer,
    ) -> None:
        """Review the backlogs of one partition."""
        self._ledger = ledger
        self._backlogs = backlogs
        self._policies = policies
        self._shares = shares
        self._task_sizer = task_sizer
        self._reviewed_s = float('-inf')

    def start_if_due(self, now_s: float) -> bool:
        """Start a review if the interval has passed; return whether it did."""
        if now_s < self._reviewed_s + _REVIEW_INTERVAL_S:
            return False
        self._reviewed_s = now_s
        return True

    def choose_holder(self, reservation: Reservation, now_s: float) -> None:
        """Keep the holder of the reservation, or choose a new one.

        The request of the team with the lowest share comes first.
        """
        holder = reservation.holder
        if holder is not None and (
            holder.is_removed or not self._is_within_allotment(holder)
        ):
            reservation.clear()
            holder = None
        candidates = [
            candidate
            for candidate in self._reservation_candidates(now_s)
            if self._is_within_allotment(candidate)
        ]
        if holder is None and candidates:
            holder = min(
                candidates,
                key=lambda candidate: self._shares.weighted_share(
                    candidate.spec.team
                ),
            )
        if holder is not None:
            reservation.hold(holder, self._task_sizer.size(holder), now_s)

    def preempt(self, preemptor: Preemptor, current_round: Round) -> None:
        """Preempt batch tasks for urgent requests and teams below share.

        :param current_round: receives the preemptions.
        """
        now_s = current_round.now_s
        entitlements = self._shares.entitlements()
        for rank in (_URGENT_RANK, *self._policies.ranks()):
            wait_s = _SHARE_WAIT_S if rank else _URGENT_WAIT_S
            for backlog in self._backlogs.of_rank(rank):
                request = None
                if not rank or preemptor.is_below_share(
                    backlog.team,
                    entitlements,
                ):
                    request = _head_before(backlog, now_s - wait_s)
                if request is not None:
                    current_round.preemptions += preemptor.preempt_for(
                        request,
                        self._task_sizer.size(request),
                        entitlements,
                        now_s,
                    )

    def _reservation_candidates(self, now_s: float) -> Iterator[WaitingRequest]:
        """Yield the first gang and starved batch request of each team."""
        gang = self._policies.policy(PolicyKind.gang).rank
        batch = self._policies.policy(PolicyKind.batch).rank
        for rank, before_s in ((gang, now_s), (batch, now_s - _STARVED_S)):
            for backlog in self._backlogs.of_rank(rank):
                request = _head_before(backlog, before_s)
                if request is not None:
                    yield request

    def _is_within_allotment(self, request: WaitingRequest) -> bool:
        """Tell whether a request stays within the allotment of its team."""
        size = self._task_sizer.size(request)
        account = self._ledger.team(request.spec.team)
        return account.admits(size.scaled_by(request.spec.gang_size))


def _head_before(
    backlog: TeamBacklog,
    before_s: float,
) -> WaitingRequest | None:
    """Return the first request of a backlog if it was submitted by then."""
    head = backlog.head()
    if head is None or head[2].submitted_at_s > before_s:
        return None
    return head[2]
