"""Selection of workers for one request."""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING

from currantreach_decisions._ledger import unit_count

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_decisions._backlogs import WaitingRequest
    from currantreach_decisions._fleet import Fleet
    from currantreach_decisions._ledger import WorkerAccount
    from currantreach_decisions._policies import PolicyRegistry
    from currantreach_decisions._reservation import Reservation
    from currantreach_decisions._reserve import PromptReserve
    from currantreach_types import Resources

__all__ = ('Placer',)

# Number of fitting workers to examine when all candidates of the policy are
# reserved for other requests.
_SEARCH_LIMIT = 64
# After this time the holder of the reservation may use the reserve for prompt
# tasks, so that the reserve cannot block a request forever.
_RESERVE_OVERRIDE_S = 60


class Placer:
    """Find workers with free capacity that a request may use."""

    def __init__(
        self,
        fleet: Fleet,
        policies: PolicyRegistry,
        reserve: PromptReserve,
        reservation: Reservation,
    ) -> None:
        """Search ``fleet`` under the given policies."""
        self._fleet = fleet
        self._policies = policies
        self._reserve = reserve
        self._reservation = reservation

    def find(
        self,
        request: WaitingRequest,
        size: Resources,
        freed: Sequence[WorkerAccount] | None,
        now_s: float,
    ) -> list[str]:
        """Return a worker for each task, or an empty list.

        :param freed: the only workers that can fit the request, or None to
            search the whole fleet.
        """
        if request.spec.gang_size > 1:
            return self._find_gang(request, size, now_s)
        spec = request.spec
        policy = self._policies.policy(spec.policy)
        is_allowed = functools.partial(
            self._is_allowed,
            request,
            size,
            now_s,
        )
        if freed is None:
            pool = self._fleet.pool(spec)
            workers = filter(is_allowed, policy.candidates(pool, size))
            best = policy.best(workers, spec, size)
            if best is None:
                fitting = itertools.islice(pool.fitting(size), _SEARCH_LIMIT)
                best = policy.best(filter(is_allowed, fitting), spec, size)
        else:
            workers = filter(
                is_allowed,
                [worker for worker in freed if _fits(worker, request, size)],
            )
            best = policy.best(workers, spec, size)
        return [] if best is None else [best.registration.name]

    def _find_gang(
        self,
        request: WaitingRequest,
        size: Resources,
        now_s: float,
    ) -> list[str]:
        """Return a worker for each task of a gang, or an empty list."""
        found: list[str] = []
        total_lost = 0
        missing = request.spec.gang_size
        may_use_reserve = self._may_use_reserve(request, now_s)
        for worker in self._fleet.pool(request.spec).fitting(size):
            if not self._reservation.allows(worker, request, now_s):
                continue
            count = min(unit_count(worker.free, size), missing)
            units_lost = self._fleet.units_lost(worker, size.scaled_by(count))
            if may_use_reserve or self._reserve.allows(total_lost + units_lost):
                total_lost += units_lost
                missing -= count
                found += itertools.repeat(worker.registration.name, count)
            if not missing:
                return found
        return []

    def _may_use_reserve(self, request: WaitingRequest, now_s: float) -> bool:
        """Tell whether a request may use the reserve for prompt tasks."""
        spec = request.spec
        if spec.is_urgent or self._policies.policy(spec.policy).uses_reserve:
            return True
        if self._reservation.holder is not request:
            return False
        return now_s > request.submitted_at_s + _RESERVE_OVERRIDE_S

    def _is_allowed(
        self,
        request: WaitingRequest,
        size: Resources,
        now_s: float,
        worker: WorkerAccount,
    ) -> bool:
        """Tell whether a worker is not reserved for other requests."""
        if not self._reservation.allows(worker, request, now_s):
            return False
        if self._may_use_reserve(request, now_s):
            return True
        return self._reserve.allows(self._fleet.units_lost(worker, size))


def _fits(
    worker: WorkerAccount,
    request: WaitingRequest,
    size: Resources,
) -> bool:
    """Tell whether a request fits on a worker."""
    if not worker.is_open or not size.fits_in(worker.free):
        return False
    return worker.matches(request.spec.constraints)
