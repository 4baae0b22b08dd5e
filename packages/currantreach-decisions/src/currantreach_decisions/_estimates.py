"""Sizes and run times learned from what tasks were seen to use."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from currantreach_decisions._ledger import EMPTY
from currantreach_types import Resources

if TYPE_CHECKING:
    from currantreach_decisions._lanes import Waiting
    from currantreach_decisions._ledger import Ledger
    from currantreach_types import TaskSpec

__all__ = ('Estimator', 'Sizing')

_KIND_LIMIT = 4096
# A size rises by 18 % when it was too small and falls by 2 % otherwise, so
# that it settles where one task in ten uses more.
_RISE = 1.18
_FALL = 0.98
_RUN_WEIGHT = 0.1


@attrs.define(slots=True, eq=False)
class _Kind:
    """What is known of one team's tasks of one workload."""

    size: Resources = EMPTY
    run_s: float = 0


class Estimator:
    """Estimates for each team and workload."""

    def __init__(self) -> None:
        """Start without knowledge."""
        self._kinds: collections.OrderedDict[tuple[str, str], _Kind]
        self._kinds = collections.OrderedDict()

    def size(self, spec: TaskSpec) -> Resources:
        """Return the larger of the declared and the learned size."""
        kind = self._kinds.get((spec.team, spec.workload))
        if kind is None or kind.size is EMPTY:
            return spec.resources
        return spec.resources.at_least(kind.size)

    def run_s(self, spec: TaskSpec) -> float:
        """Return how long a task of this kind runs on average."""
        kind = self._kinds.get((spec.team, spec.workload))
        if kind is None or not kind.run_s:
            return spec.expected_run_s
        return kind.run_s

    def learn_size(self, spec: TaskSpec, observed: Resources) -> None:
        """Learn from the largest use of a task that ended."""
        kind = self._kind(spec)
        if kind.size is EMPTY:
            kind.size = observed
            return
        kind.size = Resources(
            0,
            _follow(kind.size.cpu_milli, observed.cpu_milli),
            _follow(kind.size.memory_mib, observed.memory_mib),
        )

    def learn_run(self, spec: TaskSpec, run_s: float) -> None:
        """Learn from the run time of a finished task."""
        kind = self._kind(spec)
        if not kind.run_s:
            kind.run_s = run_s
        kind.run_s += _RUN_WEIGHT * (run_s - kind.run_s)

    def _kind(self, spec: TaskSpec) -> _Kind:
        """Return the record of a kind, which may be new."""
        key = (spec.team, spec.workload)
        kind = self._kinds.get(key)
        if kind is None:
            kind = _Kind()
            self._kinds[key] = kind
            if len(self._kinds) > _KIND_LIMIT:
                self._kinds.popitem(last=False)
        return kind


class Sizing:
    """Learned sizes within what the fleet and the allotment can hold."""

    def __init__(self, ledger: Ledger, estimator: Estimator) -> None:
        """Use the estimates of ``estimator``."""
        self._ledger = ledger
        self._estimator = estimator

    def size(self, waiting: Waiting) -> Resources:
        """Return the room of each task, at least what is declared.

        An estimate that no worker could hold must not keep a request away.
        """
        spec = waiting.spec
        size = self._estimator.size(spec)
        if size is spec.resources or size == spec.resources:
            return spec.resources
        if self._ledger.can_hold(size, spec):
            return size
        return spec.resources


def _follow(estimate: int, observed: int) -> int:
    """Move an estimate towards the ninth decile of what is observed."""
    if observed > estimate:
        return min(observed, int(estimate * _RISE) + 1)
    return max(observed, int(estimate * _FALL))
