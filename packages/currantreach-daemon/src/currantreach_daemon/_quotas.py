"""Team limits of one partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from currantreach_decisions import TeamQuota
from currantreach_telemetry import log_warning
from currantreach_types import Resources
from currantreach_types.errors import OutcomeUnknownError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantreach_config import ConfigRecord, TeamConfig
    from currantreach_decisions import Scheduler
    from currantreach_state import Allotments

__all__ = ('Quotas',)

_REFRESH_INTERVAL_S = 0.25
_POLL_TIMEOUT_S = 10
_PARTITION_WEIGHT = 1


@attrs.frozen(slots=True, kw_only=True)
class _RefreshInputs:
    """Inputs of a refresh of one team's allotment.

    :ivar used: resources of tasks that run or may run.
    :ivar is_unadopted_known: whether the workers of the partition are known.
    :ivar version: see :meth:`Allotments.version`.
    """

    limit_revision: int
    used: Resources
    demand: Resources
    is_unadopted_known: bool
    version: tuple[int, bool]


class Quotas:
    """Refreshes the allotments and sets the quotas of the scheduler from them.

    :param preempt_excess: called with a team and the resources by which it
        exceeds its allotment.
    :param has_limits: set when all teams have an allotment.
    :param unadopted_capacity: returns the capacity of workers on which tasks
        of a predecessor may run undetected; ``None`` if no worker is known.
    """

    def __init__(
        self,
        allotments: Allotments,
        scheduler: Scheduler,
        read_config: Callable[[], ConfigRecord | None],
        preempt_excess: Callable[[str, Resources], None],
        has_limits: asyncio.Event,
        unadopted_capacity: Callable[[], Resources | None],
    ) -> None:
        """Start without allotments."""
        self.revision = 0
        self._allotments = allotments
        self._scheduler = scheduler
        self._read_config = read_config
        self._preempt = preempt_excess
        self._has_limits = has_limits
        self._unadopted_capacity = unadopted_capacity
        self._applied_inputs: dict[str, _RefreshInputs] = {}
        self._team_quotas: dict[str, TeamQuota] = {}

    async def run(self) -> None:
        """Watch and refresh the allotments until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch())
            group.create_task(self._run_refresh())

    def granted(self, team: str) -> Resources:
        """Return the allotment of a team."""
        return self._allotments.granted(team)

    async def _watch(self) -> None:
        while True:
            try:
                await self._allotments.poll(_POLL_TIMEOUT_S)
            except (StoreUnavailableError, OutcomeUnknownError) as exc:
                log_warning('allotment_poll_failed', error=exc)
                await asyncio.sleep(_REFRESH_INTERVAL_S)

    async def _run_refresh(self) -> None:
        while True:
            record = self._read_config()
            if record is not None:
                await self._refresh(record)
            await asyncio.sleep(_REFRESH_INTERVAL_S)

    async def _refresh(self, record: ConfigRecord) -> None:
        """Refresh the allotment of each team whose inputs have changed."""
        unadopted = self._unadopted_capacity()
        inputs = self._inputs(record, unadopted)
        changed = [
            team
            for team in record.cell.teams
            if self._applied_inputs.get(team.name) != inputs[team.name]
        ]
        for team in changed:
            try:
                await self._refresh_team(team, inputs[team.name])
            except (StoreUnavailableError, OutcomeUnknownError) as exc:
                log_warning('allotment_failed', team=team.name, error=exc)
                # The quotas of this round were not set, so all of its teams
                # have to be refreshed again.
                for unfinished in changed:
                    self._applied_inputs.pop(unfinished.name, None)
                return
        if changed or not self._has_limits.is_set():
            self._set_team_quotas(record, changed, unadopted)
        self._has_limits.set()
        self._preempt_excess(record, changed)

    def _inputs(
        self,
        record: ConfigRecord,
        unadopted: Resources | None,
    ) -> dict[str, _RefreshInputs]:
        usage = self._scheduler.usage()
        demand = self._scheduler.demand()
        return {
            team.name: _RefreshInputs(
                limit_revision=record.revision,
                # Workers that were not adopted count as fully used, so that
                # the resources of their tasks do not go to another partition.
                used=usage.get(team.name, Resources())
                + (unadopted or Resources()),
                demand=demand.get(team.name, Resources()),
                is_unadopted_known=unadopted is not None,
                version=self._allotments.version(team.name),
            )
            for team in record.cell.teams
        }

    async def _refresh_team(
        self, team: TeamConfig, inputs: _RefreshInputs
    ) -> None:
        await self._allotments.refresh(
            team.name,
            team.upper_limit,
            inputs.limit_revision,
            inputs.used,
            inputs.demand,
            _PARTITION_WEIGHT,
        )
        version = self._allotments.version(team.name)
        if version == inputs.version and version[1]:
            self._applied_inputs[team.name] = inputs
        else:
            self._applied_inputs.pop(team.name, None)

    def _set_team_quotas(
        self,
        record: ConfigRecord,
        changed: Sequence[TeamConfig],
        unadopted: Resources | None,
    ) -> None:
        for team in changed:
            self._team_quotas[team.name] = TeamQuota(
                share=team.share,
                allotment=self._usable_allotment(team.name, unadopted),
            )
        self._scheduler.set_teams(
            {
                team.name: self._team_quotas[team.name]
                for team in record.cell.teams
            },
        )

    def _usable_allotment(
        self, team: str, unadopted: Resources | None
    ) -> Resources:
        """Return the allotment less what unadopted workers may be using."""
        if unadopted is None:
            return Resources()
        return (self.granted(team) - unadopted).elementwise_max(Resources())

    def _preempt_excess(
        self,
        record: ConfigRecord,
        changed: Sequence[TeamConfig],
    ) -> None:
        usage = self._scheduler.usage()
        for team in changed:
            excess = self._allotments.excess(
                team.name,
                usage.get(team.name, Resources()),
            )
            if excess != Resources():
                self._preempt(team.name, excess)
                self._applied_inputs.pop(team.name, None)
        if self.revision < record.revision and self._is_in_force(record):
            self.revision = record.revision

    def _is_in_force(self, record: ConfigRecord) -> bool:
        return all(
            self._allotments.is_in_force(team.name, record.revision)
            for team in record.cell.teams
        )
