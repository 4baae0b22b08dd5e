"""Detection of failing workers and failing jobs."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from currantreach_types import TaskSpec

__all__ = ('Health',)

# If one job in fifty fails, three different requests in a row fail on a
# healthy worker once in 125,000 times.
_WORKER_STREAK = 3
_JOB_STREAK = 3
_JOB_LIMIT = 10000
_JOB_BLOCK_S = 60
_MIN_PROBE_DELAY_S = 10
_MAX_PROBE_DELAY_S = 600


@attrs.define(slots=True, eq=False)
class _WorkerHealth:
    """Failures of a worker since its last success.

    :ivar failed_request_ids: ids of the requests that failed.
    :ivar probe_at_s: time of the next probe while it is quarantined.
    :ivar probe_delay_s: current delay between two probes.
    :ivar is_probing: whether a probe is running.
    """

    failed_request_ids: set[str] = attrs.field(factory=set)
    probe_at_s: float | None = None
    probe_delay_s: float = _MIN_PROBE_DELAY_S
    is_probing: bool = False


@attrs.define(slots=True, eq=False)
class _JobHealth:
    """Failures of a job since its last success.

    :ivar workers: names of the workers on which it failed.
    :ivar failed_runs: request ids and numbers of failed runs, as many as
        matter. Tasks of a gang that fail together on several workers are one
        failed run.
    """

    workers: set[str] = attrs.field(factory=set)
    failed_runs: set[tuple[str, int]] = attrs.field(factory=set)
    failed_at_s: float = 0

    def add(self, worker: str, run: tuple[str, int], now_s: float) -> None:
        """Add the failure of a task."""
        self.workers.add(worker)
        if len(self.failed_runs) < _JOB_STREAK:
            self.failed_runs.add(run)
        self.failed_at_s = now_s

    def has_failed_on_several_workers(self) -> bool:
        """Tell whether the failures are more likely those of the job."""
        return len(self.workers) >= _JOB_STREAK

    def is_bad(self) -> bool:
        """Tell whether the job should not be started for now."""
        if len(self.failed_runs) < _JOB_STREAK:
            return False
        return self.has_failed_on_several_workers()


class Health:
    """Distinguish failing workers from failing jobs.

    A job is identified by its request id and by its team and workload.
    Failures of a job that failed on several workers do not count against a
    worker. The job itself is refused only once several of its runs failed.

    :ivar quarantined: names of workers that receive only probes.
    """

    def __init__(self) -> None:
        """Start with healthy workers and jobs."""
        self.quarantined: set[str] = set()
        self._workers: dict[str, _WorkerHealth] = {}
        self._jobs: collections.OrderedDict[str, _JobHealth]
        self._jobs = collections.OrderedDict()

    def succeeded(self, spec: TaskSpec, worker: str) -> bool:
        """Record a success; return whether it ends a quarantine."""
        for job in _jobs_of(spec):
            self._jobs.pop(job, None)
        self._workers.pop(worker, None)
        if worker in self.quarantined:
            self.quarantined.remove(worker)
            return True
        return False

    def failed(
        self,
        spec: TaskSpec,
        worker: str,
        attempt: int,
        now_s: float,
    ) -> bool:
        """Record a failed task; return whether it starts a quarantine.

        :param attempt: number of the run that the task belongs to.
        """
        if worker in self.quarantined:
            self._extend_quarantine(self._workers[worker], now_s)
            return False
        is_fault_of_job = False
        for name in _jobs_of(spec):
            job = self._jobs.setdefault(name, _JobHealth())
            job.add(worker, (spec.request_id, attempt), now_s)
            if job.has_failed_on_several_workers():
                is_fault_of_job = True
        while len(self._jobs) > _JOB_LIMIT:
            self._jobs.popitem(last=False)
        if is_fault_of_job:
            return False
        health = self._workers.setdefault(worker, _WorkerHealth())
        health.failed_request_ids.add(spec.request_id)
        if len(health.failed_request_ids) < _WORKER_STREAK:
            return False
        self.quarantined.add(worker)
        health.probe_at_s = now_s + health.probe_delay_s
        self._discard_failures(worker)
        return True

    def is_bad_job(self, spec: TaskSpec, now_s: float) -> bool:
        """Tell whether a job recently failed on several healthy workers."""
        for name in _jobs_of(spec):
            job = self._jobs.get(name)
            if job is None or not job.is_bad():
                continue
            if now_s - job.failed_at_s < _JOB_BLOCK_S:
                return True
        return False

    def due_probes(self, now_s: float) -> list[str]:
        """Return the quarantined workers that are due for a probe."""
        return [
            name
            for name in self.quarantined
            if not self._workers[name].is_probing
            and (self._workers[name].probe_at_s or 0) <= now_s
        ]

    def start_probe(self, worker: str) -> None:
        """Record that a task probes a quarantined worker."""
        self._workers[worker].is_probing = True

    def forget(self, worker: str) -> None:
        """Delete the records of a removed worker."""
        self._workers.pop(worker, None)
        self.quarantined.discard(worker)

    def end_probe(self, worker: str) -> None:
        """Record that a probe ended neither in success nor in failure."""
        health = self._workers.get(worker)
        if health is not None:
            health.is_probing = False

    def _extend_quarantine(self, health: _WorkerHealth, now_s: float) -> None:
        """Double the delay until the next probe after a failed one."""
        if health.is_probing:
            health.is_probing = False
            health.probe_delay_s = min(
                2 * health.probe_delay_s,
                _MAX_PROBE_DELAY_S,
            )
            health.probe_at_s = now_s + health.probe_delay_s

    def _discard_failures(self, worker: str) -> None:
        """Discard the job failures seen on a quarantined worker."""
        for job in self._jobs.values():
            job.workers.discard(worker)


def _jobs_of(spec: TaskSpec) -> tuple[str, str]:
    """Return the keys that identify a job."""
    return spec.request_id, f'{spec.team}/{spec.workload}'
