"""Creation of partition owners from the services of a daemon."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from currantreach_config import ConfigRecord, DaemonSettings, LimitsConfig
from currantreach_daemon._owner import Owner
from currantreach_daemon._owner_state import OwnerContext
from currantreach_daemon._quotas import Quotas
from currantreach_decisions import IndexedScheduler
from currantreach_platform import Store, WorkerClient
from currantreach_state import Allotments, Journal
from currantreach_telemetry import Metrics
from currantreach_types import Clock

if TYPE_CHECKING:
    from currantreach_state import Claim

__all__ = ('OwnerFactory',)


@attrs.frozen(slots=True, kw_only=True)
class OwnerFactory:
    """Creates owners with the services that all owners of a daemon share.

    :ivar read_config: returns the configuration in force.
    :ivar claim_valid_until_s: returns the time after which no task may be
        started.
    """

    settings: DaemonSettings
    clock: Clock
    store: Store
    workers: WorkerClient
    metrics: Metrics
    read_config: Callable[[], ConfigRecord | None]
    claim_valid_until_s: Callable[[], float]

    def make(self, claim: Claim, is_vote_complete: bool) -> Owner:
        """Return a new owner for a claim.

        :param is_vote_complete: whether every registered daemon voted for
            the takeover, so that no predecessor still renews task leases.
        """
        context = self._context(claim, is_vote_complete)
        owner = Owner(claim, context)
        owner.quotas = Quotas(
            Allotments(
                self.store,
                self.clock,
                f'{claim.domain}.{claim.partition}',
                self._partition_keys(),
                claim.epoch,
            ),
            context.scheduler,
            self.read_config,
            owner.preempt_excess,
            owner.has_limits,
            owner.unadopted_capacity,
        )
        return owner

    def _context(self, claim: Claim, is_vote_complete: bool) -> OwnerContext:
        record = self.read_config()
        limits = LimitsConfig() if record is None else record.cell.limits
        queues = () if record is None else record.cell.queues
        settings = self.settings
        unadopted_wait_s = settings.task_lease_s + settings.session_ttl_s
        if not is_vote_complete:
            unadopted_wait_s = limits.outage_limit_s
        return OwnerContext(
            clock=self.clock,
            scheduler=IndexedScheduler(
                {queue.name: queue.queue_limit for queue in queues},
            ),
            journal=Journal(
                self.store,
                self.clock,
                claim.domain,
                claim.partition,
                claim.epoch,
            ),
            workers=self.workers,
            metrics=self.metrics,
            claim_valid_until_s=self.claim_valid_until_s,
            task_lease_s=settings.task_lease_s,
            result_retention_s=limits.result_retention_s,
            unadopted_wait_s=unadopted_wait_s,
            retry_budget_ratio=limits.retry_budget_ratio,
        )

    def _partition_keys(self) -> list[str]:
        return [
            f'{domain}.{partition}'
            for domain in self.settings.domains
            for partition in range(self.settings.partition_count)
        ]
