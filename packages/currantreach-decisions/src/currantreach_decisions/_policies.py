"""Queue policies and their registry."""

from __future__ import annotations

import abc
import itertools
import math
from typing import TYPE_CHECKING

from currantreach_decisions._shares import dominant_share
from currantreach_decisions._topology_spread import TopologySpread
from currantreach_types import PolicyKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from currantreach_decisions._backlogs import WaitingRequest
    from currantreach_decisions._ledger import WorkerAccount
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

_CANDIDATE_COUNT = 24
# A request without a deadline is ordered as if it had to start within this
# time.
_DEFAULT_START_WITHIN_S = 600


class QueuePolicy(abc.ABC):
    """Ordering and placement rules of one kind of queue.

    :cvar rank: policies of a lower rank are served first.
    :cvar uses_reserve: whether tasks may use the capacity reserved for
        prompt tasks.
    :cvar is_preemptible: whether its tasks may be preempted.
    :cvar is_fair: whether teams are ordered by share instead of deadline.
    """

    rank: int
    uses_reserve = False
    is_preemptible = False
    is_fair = True

    def order_key(self, request: WaitingRequest) -> float:
        """Return the sort key of a request among those of its team."""
        default_start_by_s = request.submitted_at_s + _DEFAULT_START_WITHIN_S
        if request.start_by_s is None:
            return default_start_by_s
        return min(request.start_by_s, default_start_by_s)

    def candidates(
        self,
        pool: Pool,
        size: Resources,
    ) -> Iterator[WorkerAccount]:
        """Yield some workers that fit.

        The caller searches all workers if it may use none of these.
        """
        return pool.best_fit(size, _CANDIDATE_COUNT)

    @abc.abstractmethod
    def best(
        self,
        workers: Iterable[WorkerAccount],
        spec: TaskSpec,
        size: Resources,
    ) -> WorkerAccount | None:
        """Return the best of the workers that fit and may be used."""


class PromptPolicy(QueuePolicy):
    """Earliest deadline first, on any worker and from the reserve as well."""

    rank = 1
    uses_reserve = True
    is_fair = False

    def order_key(self, request: WaitingRequest) -> float:
        """Return the latest start, or a default if there is none."""
        if request.start_by_s is None:
            return request.submitted_at_s + _DEFAULT_START_WITHIN_S
        return request.start_by_s

    def best(
        self,
        workers: Iterable[WorkerAccount],
        spec: TaskSpec,
        size: Resources,
    ) -> WorkerAccount | None:
        """Return the first worker."""
        return next(iter(workers), None)


class BatchPolicy(QueuePolicy):
    """Bin packing that avoids fragmented free capacity."""

    rank = 4
    is_preemptible = True

    def best(
        self,
        workers: Iterable[WorkerAccount],
        spec: TaskSpec,
        size: Resources,
    ) -> WorkerAccount | None:
        """Return the worker with the least fragmentation afterwards."""
        found = tuple(itertools.islice(workers, _CANDIDATE_COUNT))
        if len(found) < 2:
            return found[0] if found else None
        return min(found, key=lambda worker: _fragmentation(worker, size))


class GangPolicy(BatchPolicy):
    """Gang scheduling: all tasks of a request start together or none."""

    rank = 3
    is_preemptible = False


class ServicePolicy(QueuePolicy):
    """Spread the tasks of a service over racks, then over workers."""

    rank = 2

    def __init__(self, topology_spread: TopologySpread) -> None:
        """Spread by the counts of ``topology_spread``."""
        self._topology_spread = topology_spread

    def candidates(
        self,
        pool: Pool,
        size: Resources,
    ) -> Iterator[WorkerAccount]:
        """Yield some of the workers with the most free processor time."""
        return pool.worst_fit(size, _CANDIDATE_COUNT)

    def best(
        self,
        workers: Iterable[WorkerAccount],
        spec: TaskSpec,
        size: Resources,
    ) -> WorkerAccount | None:
        """Return the worker whose rack has the fewest tasks of the service.

        Ties are broken by the tasks on the worker, then by free processor
        time.
        """
        found = itertools.islice(workers, _CANDIDATE_COUNT)
        return min(
            found,
            key=lambda worker: self._topology_spread.placement_key(
                spec,
                worker,
            ),
            default=None,
        )


class PolicyRegistry:
    """Policies by kind; each kind is registered explicitly.

    :ivar topology_spread: counts of service tasks by rack and worker.
    """

    def __init__(self) -> None:
        """Start without policies."""
        self.topology_spread = TopologySpread()
        self._policies: dict[PolicyKind, QueuePolicy] = {}

    def register(self, kind: PolicyKind, policy: QueuePolicy) -> None:
        """Register the policy for the queues of a kind."""
        self._policies[kind] = policy

    def policy(self, kind: PolicyKind) -> QueuePolicy:
        """Return the policy of a kind.

        :raises KeyError: if none is registered.
        """
        return self._policies[kind]

    def is_fair(self, rank: int) -> bool:
        """Tell whether the policies of a rank order teams by share."""
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
    registry.register(
        PolicyKind.service,
        ServicePolicy(registry.topology_spread),
    )
    registry.register(PolicyKind.gang, GangPolicy())
    registry.register(PolicyKind.batch, BatchPolicy())
    return registry


def _fragmentation(worker: WorkerAccount, size: Resources) -> float:
    """Return the fragmentation of a worker after placing a task.

    Free memory without free processors or slots is of little use, so the
    score compares the largest and the smallest free fraction and prefers
    workers whose free capacity stays balanced. A worker that is filled
    completely scores best, and one with accelerators that the task does not
    need scores worst.
    """
    capacity = worker.registration.capacity
    remaining = worker.free - size
    largest = dominant_share(remaining, capacity)
    smallest = min(
        remaining.slot_count / max(capacity.slot_count, 1),
        remaining.cpu_milli / max(capacity.cpu_milli, 1),
        remaining.memory_mib / max(capacity.memory_mib, 1),
    )
    waste = 2 * largest - smallest
    if worker.free.accelerator_count and not size.accelerator_count:
        waste += math.e
    return waste
