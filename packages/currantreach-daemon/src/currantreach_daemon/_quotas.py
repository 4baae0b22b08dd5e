"""Team limits of one partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_daemon._log import log_problem
from currantreach_decisions import TeamTerms
from currantreach_types import Resources
from currantreach_types.errors import LostAnswerError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantreach_config import ConfigRecord
    from currantreach_decisions import Scheduler
    from currantreach_state import Allotments

__all__ = ('Quotas',)

_REFRESH_INTERVAL_S = 0.25
_POLL_TIMEOUT_S = 10
_PARTITION_WEIGHT = 1


class Quotas:
    """Keeps the scheduler's team terms in line with the allotments.

    :param shed: called with a team and the room it has to give back.
    :param has_limits: set once all teams have an allotment.
    :param unread_capacity: returns the room of workers on which tasks of a
        predecessor may run unseen; nothing if no worker is known yet.
    """

    def __init__(
        self,
        allotments: Allotments,
        scheduler: Scheduler,
        read_config: Callable[[], ConfigRecord | None],
        shed: Callable[[str, Resources], None],
        has_limits: asyncio.Event,
        unread_capacity: Callable[[], Resources | None],
    ) -> None:
        """Start without any allotment."""
        self.revision = 0
        self._allotments = allotments
        self._scheduler = scheduler
        self._read_config = read_config
        self._shed = shed
        self._has_limits = has_limits
        self._unread_capacity = unread_capacity

    async def keep(self) -> None:
        """Refresh the allotments for ever."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            group.create_task(self._refresh_rounds())

    def granted(self, team: str) -> Resources:
        """Return the allotment of a team."""
        return self._allotments.granted(team)

    async def _follow(self) -> None:
        while True:
            try:
                await self._allotments.poll(_POLL_TIMEOUT_S)
            except (StoreUnavailableError, LostAnswerError) as exc:
                log_problem('allotment_poll_failed', error=exc)
                await asyncio.sleep(_REFRESH_INTERVAL_S)

    async def _refresh_rounds(self) -> None:
        while True:
            record = self._read_config()
            if record is not None:
                await self._refresh(record)
            await asyncio.sleep(_REFRESH_INTERVAL_S)

    async def _refresh(self, record: ConfigRecord) -> None:
        usage = self._scheduler.usage()
        demand = self._scheduler.demand()
        unread = self._unread_capacity() or Resources()
        for team in record.cell.teams:
            # Tasks that were not seen yet count too, so that their room is
            # not given to another partition.
            used = usage.get(team.name, Resources()) + unread
            try:
                await self._allotments.refresh(
                    team.name,
                    team.upper_limit,
                    record.revision,
                    used,
                    demand.get(team.name, Resources()),
                    _PARTITION_WEIGHT,
                )
            except (StoreUnavailableError, LostAnswerError) as exc:
                log_problem(
                    'allotment_failed',
                    team=team.name,
                    error=exc,
                )
                return
        self._set_terms(record)
        self._has_limits.set()
        self._shed_excess(record)

    def _set_terms(self, record: ConfigRecord) -> None:
        unread = self._unread_capacity()
        self._scheduler.set_teams(
            {
                team.name: TeamTerms(
                    share=team.share,
                    allotment=self._usable(team.name, unread),
                )
                for team in record.cell.teams
            },
        )

    def _usable(self, team: str, unread: Resources | None) -> Resources:
        """Return what a team may use besides the tasks not seen yet."""
        if unread is None:
            return Resources()
        return (self.granted(team) - unread).at_least(Resources())

    def _shed_excess(self, record: ConfigRecord) -> None:
        usage = self._scheduler.usage()
        is_in_force = True
        for team in record.cell.teams:
            excess = self._allotments.excess(
                team.name,
                usage.get(team.name, Resources()),
            )
            if excess != Resources():
                self._shed(team.name, excess)
            is_in_force = is_in_force and self._allotments.is_in_force(
                team.name,
                record.revision,
            )
        if is_in_force:
            self.revision = record.revision
