"""Workers that fail everything, and jobs that fail everywhere."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from currantreach_types import TaskSpec

__all__ = ('Health',)

# Three different requests in a row fail on a healthy worker once in 125,000
# times when one job in fifty is bad.
_WORKER_STREAK = 3
_JOB_STREAK = 3
_JOB_LIMIT = 10000
_JOB_PAUSE_S = 60
_FIRST_PROBE_S = 10
_LAST_PROBE_S = 600


@attrs.define(slots=True, eq=False)
class _WorkerHealth:
    """Failures of a worker since its last success.

    :ivar probe_at_s: time of the next probe while it is quarantined.
    """

    failed: set[str] = attrs.field(factory=set)
    probe_at_s: float | None = None
    pause_s: float = _FIRST_PROBE_S
    is_probing: bool = False


@attrs.define(slots=True, eq=False)
class _JobHealth:
    """Workers on which a job failed since its last success."""

    workers: set[str] = attrs.field(factory=set)
    failed_at_s: float = 0


class Health:
    """Tell failing workers from failing jobs.

    A job is known by its request id and by its team and workload. Failures
    of a job that failed on several workers do not count against a worker.
    """

    def __init__(self) -> None:
        """Start with healthy workers and jobs."""
        self.quarantined: set[str] = set()
        self._workers: dict[str, _WorkerHealth] = {}
        self._jobs: collections.OrderedDict[str, _JobHealth]
        self._jobs = collections.OrderedDict()

    def succeeded(self, spec: TaskSpec, worker: str) -> bool:
        """Note a success; return whether it ends a quarantine."""
        for job in _jobs_of(spec):
            self._jobs.pop(job, None)
        self._workers.pop(worker, None)
        if worker in self.quarantined:
            self.quarantined.remove(worker)
            return True
        return False

    def failed(self, spec: TaskSpec, worker: str, now_s: float) -> bool:
        """Note a failure; return whether it starts a quarantine."""
        if worker in self.quarantined:
            self._prolong(self._workers[worker], now_s)
            return False
        is_bad_job = False
        for name in _jobs_of(spec):
            job = self._jobs.setdefault(name, _JobHealth())
            job.workers.add(worker)
            job.failed_at_s = now_s
            is_bad_job = is_bad_job or len(job.workers) >= _JOB_STREAK
        while len(self._jobs) > _JOB_LIMIT:
            self._jobs.popitem(last=False)
        if is_bad_job:
            return False
        health = self._workers.setdefault(worker, _WorkerHealth())
        health.failed.add(spec.request_id)
        if len(health.failed) < _WORKER_STREAK:
            return False
        self.quarantined.add(worker)
        health.probe_at_s = now_s + health.pause_s
        self._acquit(worker)
        return True

    def is_bad_job(self, spec: TaskSpec, now_s: float) -> bool:
        """Tell whether a job failed on several healthy workers lately."""
        for name in _jobs_of(spec):
            job = self._jobs.get(name)
            if job is None or len(job.workers) < _JOB_STREAK:
                continue
            if now_s - job.failed_at_s < _JOB_PAUSE_S:
                return True
        return False

    def due_probes(self, now_s: float) -> list[str]:
        """Return the quarantined workers that may run one task."""
        return [
            name
            for name in self.quarantined
            if not self._workers[name].is_probing
            and (self._workers[name].probe_at_s or 0) <= now_s
        ]

    def probe(self, worker: str) -> None:
        """Note that a task probes a worker."""
        self._workers[worker].is_probing = True

    def forget(self, worker: str) -> None:
        """Forget a worker that left."""
        self._workers.pop(worker, None)
        self.quarantined.discard(worker)

    def release(self, worker: str) -> None:
        """Note that a task on a worker ended without a verdict."""
        health = self._workers.get(worker)
        if health is not None:
            health.is_probing = False

    def _prolong(self, health: _WorkerHealth, now_s: float) -> None:
        """Double the time until the next probe after a failed one."""
        if health.is_probing:
            health.is_probing = False
            health.pause_s = min(2 * health.pause_s, _LAST_PROBE_S)
            health.probe_at_s = now_s + health.pause_s

    def _acquit(self, worker: str) -> None:
        """Take back what a quarantined worker says about jobs."""
        for job in self._jobs.values():
            job.workers.discard(worker)


def _jobs_of(spec: TaskSpec) -> tuple[str, str]:
    """Return the names under which a job is known."""
    return spec.request_id, f'{spec.team}/{spec.workload}'
