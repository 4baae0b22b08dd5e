"""State of the cell, as shown to operators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from currantreach_daemon._messages import (
    PartitionsMessage,
    PartitionsReply,
    WorkerView,
)
from currantreach_types import Resources
from currantreach_types.errors import LinkError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantreach_config import DaemonSettings
    from currantreach_daemon._messages import Heartbeat
    from currantreach_daemon._owner import Owner
    from currantreach_daemon._peers import Peer, PeerTable
    from currantreach_state import ConfigStore

__all__ = ('Overview',)

_CALL_TIMEOUT_S = 2


class Overview:
    """Collects the state of this daemon and of its reachable peers."""

    def __init__(
        self,
        settings: DaemonSettings,
        config_store: ConfigStore,
        peers: PeerTable,
        owners: Mapping[int, Owner],
        own_heartbeat: Callable[[], Heartbeat],
    ) -> None:
        """Read the state from the components of one daemon."""
        self._settings = settings
        self._config_store = config_store
        self._peers = peers
        self._owners = owners
        self._own_heartbeat = own_heartbeat

    def in_force(self) -> dict[str, int]:
        """Return the lowest revision in force in each failure domain.

        Only reachable daemons count, since an unreachable one refuses calls
        with keys when its configuration becomes stale. A failure domain
        without reachable daemons is omitted.
        """
        revisions: dict[str, int] = {}
        for beat in self._heartbeats():
            lowest = revisions.get(beat.domain, beat.config_revision)
            revisions[beat.domain] = min(lowest, beat.config_revision)
        return revisions

    def missing(self, revision: int) -> list[str]:
        """Return the failure domains where a revision is not in force."""
        in_force = self.in_force()
        return [
            domain
            for domain in self._settings.domains
            if in_force.get(domain, 0) < revision
        ]

    def status(self) -> dict[str, Any]:
        """Return each daemon with its claims, revision and freshness."""
        beats = self._heartbeats()
        reachable = {beat.daemon_id for beat in beats}
        return {
            'daemons': [msgspec.to_builtins(beat) for beat in beats],
            'unreachable': sorted(self._peers.peers.keys() - reachable),
            'in_force': self.in_force(),
            'limits_in_force': self._limits_in_force(),
        }

    def partitions(self) -> PartitionsReply:
        """Return the state of the partitions that this daemon owns."""
        usage: dict[str, Resources] = {}
        granted: dict[str, Resources] = {}
        for owner in self._owners.values():
            _add(usage, owner.usage())
            _add(granted, owner.allotments())
        return PartitionsReply(
            workers=self._workers(),
            usage=usage,
            granted=granted,
        )

    async def workers(self) -> list[WorkerView]:
        """Return the workers of all reachable failure domains."""
        parts = await self._all_partitions()
        return [worker for part in parts for worker in part.workers]

    async def teams(self) -> list[dict[str, Any]]:
        """Return the teams with their usage in all reachable domains."""
        record = self._config_store.record
        if record is None:
            return []
        usage: dict[str, Resources] = {}
        granted: dict[str, Resources] = {}
        for part in await self._all_partitions():
            _add(usage, part.usage)
            _add(granted, part.granted)
        return [
            {
                'name': team.name,
                'share': team.share,
                'upper_limit': team.upper_limit,
                'allotment': granted.get(team.name, Resources()),
                'usage': usage.get(team.name, Resources()),
            }
            for team in record.cell.teams
        ]

    def _workers(self) -> tuple[WorkerView, ...]:
        return tuple(
            WorkerView(
                name=registration.name,
                failure_domain=registration.failure_domain,
                rack=registration.rack,
                state=registration.state,
                is_connected=owner.workers.is_connected(registration.name),
                is_open=owner.workers.is_open(registration.name),
            )
            for owner in self._owners.values()
            for registration in owner.workers.registrations.values()
        )

    async def _all_partitions(self) -> list[PartitionsReply]:
        replies = await asyncio.gather(
            *(_request_partitions(peer) for peer in self._peers.reachable()),
        )
        return [
            self.partitions(),
            *(reply for reply in replies if reply is not None),
        ]

    def _heartbeats(self) -> list[Heartbeat]:
        beats = [self._own_heartbeat()]
        beats.extend(
            peer.heartbeat
            for peer in self._peers.reachable()
            if peer.heartbeat is not None
        )
        return beats

    def _limits_in_force(self) -> dict[str, int]:
        limits: dict[str, int] = {}
        for beat in self._heartbeats():
            limits.update(beat.limits)
        return limits


async def _request_partitions(peer: Peer) -> PartitionsReply | None:
    try:
        return await peer.link.call(
            'partitions',
            PartitionsMessage(),
            PartitionsReply,
            _CALL_TIMEOUT_S,
        )
    except LinkError:
        return None


def _add(
    totals: dict[str, Resources],
    parts: Mapping[str, Resources],
) -> None:
    for team, amount in parts.items():
        totals[team] = totals.get(team, Resources()) + amount
