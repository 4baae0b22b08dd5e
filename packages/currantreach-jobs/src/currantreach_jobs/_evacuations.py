"""Evacuated failure domains, in whose workers nothing may be started.

The operator requests and ends an evacuation; the source of the configuration
shows which domains are evacuated at present. Runs in progress there continue,
and their leases are renewed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from currantreach_jobs._wait_reasons import WaitReason
from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from currantreach_jobs._clients import ConfigSource
    from currantreach_jobs._progress import Run
    from currantreach_jobs._usage import WorkerState
    from currantreach_types import Clock

__all__ = ('Evacuations', 'evacuated_services')


class Evacuations:
    """Tells the leader where nothing may be started."""

    def __init__(
        self, workers: Mapping[str, WorkerState], clock: Clock
    ) -> None:
        """Start without a source, which means without evacuations."""
        self._workers = workers
        self._clock = clock
        self._source: ConfigSource | None = None
        self._max_view_age_s = math.inf
        self._known_domains: frozenset[str] = frozenset()

    @property
    def domains(self) -> frozenset[str]:
        """Return the domains that are evacuated at present."""
        if self._source is None:
            return frozenset()
        return self._source.evacuated_domains

    def follow(self, source: ConfigSource, max_view_age_s: float) -> None:
        """Follow the evacuated domains of a source.

        :param max_view_age_s: age of the source's view above which nothing may
            be started, as a new evacuation might be learned of too late.
        """
        self._source = source
        self._max_view_age_s = max_view_age_s

    def is_view_current(self) -> bool:
        """Tell whether all evacuations that already bind are known."""
        if self._source is None:
            return True
        age_s = self._clock.now_s() - self._source.evacuations_read_at_s
        return age_s <= self._max_view_age_s

    def update(self) -> None:
        """Mark the workers of evacuated domains, and log each change."""
        domains = self.domains
        for worker in self._workers.values():
            worker.is_evacuated = worker.report.failure_domain in domains
        for begun in sorted(domains - self._known_domains):
            _log_change('evacuation_begun', begun, self._workers)
        for ended in sorted(self._known_domains - domains):
            _log_change('evacuation_ended', ended, self._workers)
        self._known_domains = domains

    def obstacle_to_start(self, run: Run) -> WaitReason | None:
        """Return why the start order of a run must not be sent now, if so.

        This reads the view of the source itself, as an evacuation may have
        begun after the round in which the run was placed. The members of a gang
        start together, so a member in an evacuated domain stops all of them.
        """
        if not self.is_view_current():
            return WaitReason.EVACUATIONS_UNKNOWN
        domains = self.domains
        if not domains:
            return None
        placed = {run.worker_id}
        if run.stage.step.is_gang:
            placed.update(
                task.run.worker_id
                for task in run.stage.tasks
                if task.run is not None
            )
        for worker_id in placed & self._workers.keys():
            if self._workers[worker_id].report.failure_domain in domains:
                return WaitReason.EVACUATED
        return None


def evacuated_services(workers: Collection[WorkerState]) -> frozenset[str]:
    """Return the services that have workers only in evacuated domains.

    A worker that is draining or that the platform no longer lists is about to
    leave, so it does not count as a remaining one.
    """
    evacuated = {
        worker.report.service for worker in workers if worker.is_evacuated
    }
    remaining = {
        worker.report.service for worker in workers if worker.is_in_service
    }
    return frozenset(evacuated - remaining)


def _log_change(
    event: str, domain: str, workers: Mapping[str, WorkerState]
) -> None:
    """Log a change; no workers suggest that the domain is misspelled."""
    inside = [
        worker
        for worker in workers.values()
        if worker.report.failure_domain == domain
    ]
    log_event(
        event,
        domain=domain,
        workers=len(inside),
        runs=sum(len(worker.runs) for worker in inside),
    )
