"""Choice of the workers for one request."""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING

from currantreach_decisions._ledger import unit_count

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_decisions._fleet import Fleet
    from currantreach_decisions._lanes import Waiting
    from currantreach_decisions._ledger import WorkerRoom
    from currantreach_decisions._policies import PolicyRegistry
    from currantreach_decisions._reservation import Reservation
    from currantreach_decisions._reserve import PromptReserve
    from currantreach_types import Resources

__all__ = ('Placer',)

# Workers that fit but are kept for others are passed over up to this number.
_PASSED_OVER = 64
# A holder that waited this long may use the room kept for prompt work, so
# that the reserve cannot keep a request away for ever.
_OVERRIDE_S = 60


class Placer:
    """Find workers with room that a request may use."""

    def __init__(
        self,
        fleet: Fleet,
        policies: PolicyRegistry,
        reserve: PromptReserve,
        reservation: Reservation,
    ) -> None:
        """Search a fleet under the given policies."""
        self._fleet = fleet
        self._policies = policies
        self._reserve = reserve
        self._reservation = reservation

    def find(
        self,
        waiting: Waiting,
        size: Resources,
        grown: Sequence[WorkerRoom] | None,
        now_s: float,
    ) -> list[str]:
        """Return a worker for each task, or nothing.

        :param grown: the only workers that can have room, if known.
        """
        if waiting.spec.gang_size > 1:
            return self._fill(waiting, size, now_s)
        spec = waiting.spec
        policy = self._policies.policy(spec.policy)
        is_allowed = functools.partial(
            self._is_allowed,
            waiting,
            size,
            now_s,
        )
        if grown is None:
            pool = self._fleet.pool(spec)
            rooms = filter(is_allowed, policy.candidates(pool, size))
            best = policy.best(rooms, spec, size)
            if best is None:
                fitting = itertools.islice(pool.fitting(size), _PASSED_OVER)
                best = policy.best(filter(is_allowed, fitting), spec, size)
        else:
            rooms = filter(
                is_allowed,
                [room for room in grown if _fits(room, waiting, size)],
            )
            best = policy.best(rooms, spec, size)
        return [] if best is None else [best.host.name]

    def _fill(
        self,
        waiting: Waiting,
        size: Resources,
        now_s: float,
    ) -> list[str]:
        """Return a worker for each task of a gang, or nothing."""
        found: list[str] = []
        lost = 0
        missing = waiting.spec.gang_size
        has_override = self._overrides(waiting, now_s)
        for room in self._fleet.pool(waiting.spec).fitting(size):
            if not self._reservation.allows(room, waiting, now_s):
                continue
            count = min(unit_count(room.free, size), missing)
            losing = self._fleet.units_lost(room, size.times(count))
            if has_override or self._reserve.allows(lost + losing):
                lost += losing
                missing -= count
                found += itertools.repeat(room.host.name, count)
            if not missing:
                return found
        return []

    def _overrides(self, waiting: Waiting, now_s: float) -> bool:
        """Tell whether a request may use the room kept for prompt work."""
        spec = waiting.spec
        if spec.is_urgent or self._policies.policy(spec.policy).uses_reserve:
            return True
        if self._reservation.holder is not waiting:
            return False
        return now_s > waiting.submitted_s + _OVERRIDE_S

    def _is_allowed(
        self,
        waiting: Waiting,
        size: Resources,
        now_s: float,
        room: WorkerRoom,
    ) -> bool:
        """Tell whether room on a worker is not kept for others."""
        if not self._reservation.allows(room, waiting, now_s):
            return False
        if self._overrides(waiting, now_s):
            return True
        return self._reserve.allows(self._fleet.units_lost(room, size))


def _fits(room: WorkerRoom, waiting: Waiting, size: Resources) -> bool:
    """Tell whether a request fits on a worker."""
    if not room.is_open or not size.fits_in(room.free):
        return False
    return room.matches(waiting.spec.constraints)
