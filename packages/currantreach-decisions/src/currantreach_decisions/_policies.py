"""Policies of queues and their registration."""

from __future__ import annotations

import abc
import itertools
import math
from typing import TYPE_CHECKING

from currantreach_decisions._shares import dominant_share
from currantreach_decisions._spread import Spread
from currantreach_types import PolicyKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from currantreach_decisions._lanes import Waiting
    from currantreach_decisions._ledger import WorkerRoom
    from currantreach_decisions._pool import Pool
    from currantreach_types import Resources, TaskSpec

__all__ = (
    'BatchPolicy',
    'GangPolicy',
    'PolicyRegistry',
    'PromptPolicy',
    'QueuePolicy',
    'ServicePolicy',
    'default_policies',
)

_PROBE_COUNT = 24
# A request without deadline is ordered as if it had to start in this time.
_PATIENCE_S = 600


class QueuePolicy(abc.ABC):
    """What distinguishes one kind of queue.

    :cvar rank: policies of a lower rank are served first.
    :cvar uses_reserve: whether it may take the room kept for prompt work.
    :cvar is_preemptible: whether its tasks may be told to checkpoint.
    :cvar is_fair: whether teams are served by share, not by deadline.
    """

    rank: int
    uses_reserve = False
    is_preemptible = False
    is_fair = True

    def order_key(self, waiting: Waiting) -> float:
        """Return the place of a request among others of its team."""
        patience_s = waiting.submitted_s + _PATIENCE_S
        if waiting.start_by_s is None:
            return patience_s
        return min(waiting.start_by_s, patience_s)

    def candidates(self, pool: Pool, size: Resources) -> Iterator[WorkerRoom]:
        """Yield some workers that fit; all are tried if none is allowed."""
        return pool.tight(size, _PROBE_COUNT)

    @abc.abstractmethod
    def best(
        self,
        rooms: Iterable[WorkerRoom],
        spec: TaskSpec,
        size: Resources,
    ) -> WorkerRoom | None:
        """Return the best of the workers that fit and are allowed."""


class PromptPolicy(QueuePolicy):
    """Earliest deadline first, with a reserve, on any worker that fits."""

    rank = 1
    uses_reserve = True
    is_fair = False

    def order_key(self, waiting: Waiting) -> float:
        """Return the latest start."""
        if waiting.start_by_s is None:
            return waiting.submitted_s + _PATIENCE_S
        return waiting.start_by_s

    def best(
        self,
        rooms: Iterable[WorkerRoom],
        spec: TaskSpec,
        size: Resources,
    ) -> WorkerRoom | None:
        """Return the first worker."""
        return next(iter(rooms), None)


class BatchPolicy(QueuePolicy):
    """Packing by the shape of free capacity."""

    rank = 4
    is_preemptible = True

    def best(
        self,
        rooms: Iterable[WorkerRoom],
        spec: TaskSpec,
        size: Resources,
    ) -> WorkerRoom | None:
        """Return the worker on which the least room is left unusable."""
        found = tuple(itertools.islice(rooms, _PROBE_COUNT))
        if len(found) < 2:
            return found[0] if found else None
        return min(found, key=lambda room: _left_over(room, size))


class GangPolicy(BatchPolicy):
    """All tasks of a request start together or none does."""

    rank = 3
    is_preemptible = False


class ServicePolicy(QueuePolicy):
    """Spreading over racks, then over workers."""

    rank = 2

    def __init__(self, spread: Spread) -> None:
        """Spread by what ``spread`` counts."""
        self._spread = spread

    def candidates(self, pool: Pool, size: Resources) -> Iterator[WorkerRoom]:
        """Yield workers with much room."""
        return pool.roomy(size, _PROBE_COUNT)

    def best(
        self,
        rooms: Iterable[WorkerRoom],
        spec: TaskSpec,
        size: Resources,
    ) -> WorkerRoom | None:
        """Return the worker with the fewest tasks of the service nearby."""
        found = itertools.islice(rooms, _PROBE_COUNT)
        return min(
            found,
            key=lambda room: self._spread.nearby(spec, room),
            default=None,
        )


class PolicyRegistry:
    """Policies by kind; each kind is registered explicitly.

    :ivar spread: where the tasks of services run.
    """

    def __init__(self) -> None:
        """Start without policies."""
        self.spread = Spread()
        self._policies: dict[PolicyKind, QueuePolicy] = {}

    def register(self, kind: PolicyKind, policy: QueuePolicy) -> None:
        """Let a policy decide for the queues of a kind."""
        self._policies[kind] = policy

    def policy(self, kind: PolicyKind) -> QueuePolicy:
        """Return the policy of a kind.

        :raises KeyError: if none is registered.
        """
        return self._policies[kind]

    def is_fair(self, rank: int) -> bool:
        """Tell whether the policies of a rank serve teams by share."""
        return all(
            policy.is_fair
            for policy in self._policies.values()
            if policy.rank == rank
        )

    def ranks(self) -> list[int]:
        """Return all ranks in the order in which they are served."""
        return sorted({policy.rank for policy in self._policies.values()})


def default_policies() -> PolicyRegistry:
    """Return the policies of this package."""
    registry = PolicyRegistry()
    registry.register(PolicyKind.prompt, PromptPolicy())
    registry.register(PolicyKind.service, ServicePolicy(registry.spread))
    registry.register(PolicyKind.gang, GangPolicy())
    registry.register(PolicyKind.batch, BatchPolicy())
    return registry


def _left_over(room: WorkerRoom, size: Resources) -> float:
    """Return how much of the largest free part the smallest leaves unusable.

    Free memory without processors or slots is worth little, so that the
    worker is preferred whose free parts stay even. Taking the last of a
    worker comes first, and accelerators that are not asked for last.
    """
    capacity = room.host.capacity
    left = room.free - size
    largest = dominant_share(left, capacity)
    smallest = min(
        left.slot_count / max(capacity.slot_count, 1),
        left.cpu_milli / max(capacity.cpu_milli, 1),
        left.memory_mib / max(capacity.memory_mib, 1),
    )
    waste = 2 * largest - smallest
    if room.free.accelerator_count and not size.accelerator_count:
        waste += math.e
    return waste
