"""Authentication and admission control for the calls of callers."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING

import attrs

from currantreach_config import (
    KeyRecord,
    KeyRing,
    KeyRole,
    QueueConfig,
    TeamConfig,
)
from currantreach_types import Refusal, refusals

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantreach_config import CellConfig
    from currantreach_state import ConfigStore
    from currantreach_types import Clock

__all__ = ('AdmissionController', 'AdmittedSubmission')

_BEARER = 'Bearer '


@attrs.frozen(slots=True, kw_only=True)
class AdmittedSubmission:
    """Team and queue of a submission that was admitted."""

    team: TeamConfig
    queue: QueueConfig


class AdmissionController:
    """Checks keys, teams, queues and the concurrent calls of a team."""

    def __init__(self, config_store: ConfigStore, clock: Clock) -> None:
        """Check calls against the configuration in force."""
        self.is_stopping = False
        self.stopping = asyncio.Event()
        self._config_store = config_store
        self._clock = clock
        self._cached_key_ring: tuple[int, KeyRing] | None = None
        self._in_progress: collections.Counter[str] = collections.Counter()

    def cell(self) -> CellConfig | None:
        """Return the configuration in force, or ``None`` if none is known."""
        record = self._config_store.record
        return None if record is None else record.cell

    def stop(self) -> None:
        """Refuse new submissions and wake the calls that wait for answers."""
        self.is_stopping = True
        self.stopping.set()

    def in_progress_count(self) -> int:
        """Return the number of calls in progress."""
        return self._in_progress.total()

    @contextlib.contextmanager
    def track_call(self, team: str) -> Iterator[None]:
        """Count a call in progress for a team."""
        self._in_progress[team] += 1
        try:
            yield
        finally:
            self._in_progress[team] -= 1

    def admit(
        self,
        authorization: str,
        team: str,
        queue: str,
    ) -> AdmittedSubmission | Refusal:
        """Admit a submission, or return why it is refused."""
        cell = self.cell()
        if self.is_stopping:
            return refusals.STOPPING
        if cell is None:
            return refusals.CONFIGURATION_STALE
        queues = {candidate.name: candidate for candidate in cell.queues}
        if queue not in queues:
            return refusals.QUEUE_UNKNOWN
        chosen = queues[queue]
        charged = self._charged_team(authorization, team, chosen)
        if isinstance(charged, Refusal):
            return charged
        return self._admit_team(cell, charged, chosen)

    def authenticate(self, authorization: str) -> KeyRecord | Refusal:
        """Return the key record of a call, or why the call is refused."""
        if not authorization.startswith(_BEARER):
            return refusals.KEY_MISSING
        ring = self._key_ring()
        if ring is None:
            return refusals.CONFIGURATION_STALE
        return ring.authenticate(authorization.removeprefix(_BEARER))

    def authenticate_operator(self, authorization: str) -> KeyRecord | Refusal:
        """Return the key record of an operator, or why it is refused."""
        found = self.authenticate(authorization)
        if isinstance(found, Refusal):
            return found
        if found.role != KeyRole.operator:
            return refusals.KEY_OTHER_TEAM
        return found

    def _charged_team(
        self,
        authorization: str,
        team: str,
        queue: QueueConfig,
    ) -> str | Refusal:
        if queue.is_open and not authorization:
            return queue.open_team
        found = self.authenticate(authorization)
        if isinstance(found, Refusal):
            return found
        if not self._config_store.is_fresh(self._clock.now_s()):
            return refusals.CONFIGURATION_STALE
        if found.role != KeyRole.caller or found.team != team:
            return refusals.KEY_OTHER_TEAM
        if queue.teams and team not in queue.teams:
            return refusals.QUEUE_NOT_OPEN
        return team

    def _admit_team(
        self,
        cell: CellConfig,
        name: str,
        queue: QueueConfig,
    ) -> AdmittedSubmission | Refusal:
        teams = {team.name: team for team in cell.teams}
        if name not in teams:
            return refusals.TEAM_UNKNOWN
        team = teams[name]
        if self._in_progress[name] >= team.request_limit:
            return refusals.TEAM_RATE
        return AdmittedSubmission(team=team, queue=queue)

    def _key_ring(self) -> KeyRing | None:
        record = self._config_store.record
        if record is None:
            return None
        if (
            self._cached_key_ring is None
            or self._cached_key_ring[0] != record.revision
        ):
            self._cached_key_ring = (record.revision, KeyRing(record))
        return self._cached_key_ring[1]
