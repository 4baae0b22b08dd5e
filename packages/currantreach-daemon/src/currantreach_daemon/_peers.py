"""Heartbeats with all peers, and the last known state of each."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import attrs

from currantreach_config import ConfigRecord
from currantreach_daemon._heartbeats import (
    HEARTBEAT_WIRE,
    pack_heartbeat,
    unpack_heartbeat,
)
from currantreach_daemon._messages import (
    ConfigMessage,
    Heartbeat,
    OwnedPartition,
    TextReply,
)
from currantreach_links import PeerLink
from currantreach_state import OutageReport
from currantreach_telemetry import log_debug
from currantreach_types import decode_json
from currantreach_types.errors import CurrantreachError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from currantreach_config import DaemonSettings
    from currantreach_state import ConfigStore
    from currantreach_types import Clock

__all__ = ('Peer', 'PeerTable')

# A daemon may use 4 KB/s for control messages. Heartbeats within the failure
# domain and across failure domains get a quarter each; the rest is for
# announcements, peer leases and retries.
_BUDGET_BYTES_PER_S = 1000
_EXCHANGE_BYTES = 400
_MISSED_EXCHANGES = 3
_NEVER_S = float('-inf')


@attrs.define(slots=True, kw_only=True, eq=False)
class Peer:
    """A peer and its last heartbeat.

    :ivar link: link to the peer.
    :ivar interval_s: time between two heartbeats.
    :ivar heartbeat: last heartbeat of the peer.
    :ivar last_heartbeat_s: when the last heartbeat arrived.
    :ivar outage_s: when the heartbeat was sent whose reply said that the
        peer has no store contact, 0 if it has.
    :ivar sent_revision: configuration revision last sent to the peer.
    :ivar send_now: set when a heartbeat should be sent to the peer at once.
    """

    peer_id: str
    domain: str
    link: PeerLink
    interval_s: float = 0
    heartbeat: Heartbeat | None = None
    last_heartbeat_s: float = _NEVER_S
    outage_s: float = 0
    sent_revision: int = 0
    send_now: asyncio.Event = attrs.field(factory=asyncio.Event)


class PeerTable:
    """All peers of this daemon.

    The reply to a heartbeat is the heartbeat of the other daemon, so in normal
    operation only the daemon with the smaller id of a pair sends them.

    :param own_heartbeat: returns the heartbeat of this daemon.
    """

    def __init__(
        self,
        peers: Mapping[str, Peer],
        settings: DaemonSettings,
        config_store: ConfigStore,
        clock: Clock,
        own_heartbeat: Callable[[], Heartbeat],
    ) -> None:
        """Start without heartbeats of the peers."""
        self.peers = peers
        self._settings = settings
        self._config_store = config_store
        self._clock = clock
        self._own_heartbeat = own_heartbeat
        self._set_intervals()

    async def run_heartbeats(self, peer: Peer) -> None:
        """Exchange heartbeats with one peer until cancelled."""
        while True:
            if self._is_due(peer):
                peer.send_now.clear()
                await self._try_exchange(peer)
            await self._pause(peer)

    def announce(self) -> None:
        """Send a heartbeat to all peers at once, after a change."""
        for peer in self.peers.values():
            peer.send_now.set()

    def announce_revision(self) -> None:
        """Send the revision at once to all peers that do not have it.

        The call that applies a change waits until each failure domain
        reports the new revision.
        """
        for peer in self.peers.values():
            if peer.sent_revision < self._config_store.revision:
                peer.send_now.set()

    def receive_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Record the heartbeat of a peer and return that of this daemon."""
        self.record_heartbeat(heartbeat)
        own = self._own_heartbeat()
        peer = self.peers.get(heartbeat.daemon_id)
        if peer is not None:
            peer.sent_revision = own.config_revision
        return own

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat of a peer."""
        peer = self.peers.get(heartbeat.daemon_id)
        if peer is not None:
            peer.heartbeat = heartbeat
            peer.last_heartbeat_s = self._clock.now_s()

    def reachable(self) -> tuple[Peer, ...]:
        """Return the peers whose last heartbeat has not timed out."""
        now_s = self._clock.now_s()
        return tuple(
            peer
            for peer in self.peers.values()
            if now_s - peer.last_heartbeat_s <= self._timeout_s(peer)
        )

    def owners(self) -> Iterator[tuple[Peer, OwnedPartition]]:
        """Iterate over the partitions that reachable peers own."""
        for peer in self.reachable():
            if peer.heartbeat is not None and not peer.heartbeat.is_leaving:
                for owned in peer.heartbeat.owned:
                    yield peer, owned

    def owner_of(
        self,
        domain: str,
        partition: int,
        min_epoch: int = 0,
    ) -> Peer | None:
        """Return the reachable peer with the highest epoch of a partition.

        :param min_epoch: owners of lower epochs are ignored.
        """
        found: tuple[int, Peer] | None = None
        for peer, owned in self.owners():
            if (owned.domain, owned.partition) != (domain, partition):
                continue
            if owned.epoch < min_epoch:
                continue
            if found is None or owned.epoch > found[0]:
                found = (owned.epoch, peer)
        return None if found is None else found[1]

    def _set_intervals(self) -> None:
        domain = self._settings.failure_domain
        local_count = sum(peer.domain == domain for peer in self.peers.values())
        for peer in self.peers.values():
            count = local_count
            if peer.domain != domain:
                count = len(self.peers) - local_count
            peer.interval_s = max(
                self._settings.heartbeat_interval_s,
                count * _EXCHANGE_BYTES / _BUDGET_BYTES_PER_S,
            )

    def _timeout_s(self, peer: Peer) -> float:
        return max(
            self._settings.peer_timeout_s,
            _MISSED_EXCHANGES * peer.interval_s,
        )

    def _is_due(self, peer: Peer) -> bool:
        if peer.send_now.is_set() or not self._own_heartbeat().has_store:
            return True
        is_first = self._settings.daemon_id < peer.peer_id
        silence_s = self._clock.now_s() - peer.last_heartbeat_s
        return is_first or silence_s > 2 * peer.interval_s

    async def _pause(self, peer: Peer) -> None:
        pause_s = peer.interval_s
        if not self._own_heartbeat().has_store:
            # Without the store, only heartbeats confirm that the configuration
            # is fresh.
            pause_s = self._settings.heartbeat_interval_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await peer.send_now.wait()

    async def _try_exchange(self, peer: Peer) -> None:
        try:
            await self._exchange(peer)
        except CurrantreachError as exc:
            peer.last_heartbeat_s = _NEVER_S
            log_debug('heartbeat_failed', peer=peer.peer_id, error=exc)

    async def _exchange(self, peer: Peer) -> None:
        sent_s = self._clock.now_s()
        own = self._own_heartbeat()
        wire = await peer.link.call(
            'heartbeat',
            pack_heartbeat(own),
            HEARTBEAT_WIRE,
            self._settings.peer_timeout_s,
        )
        reply = unpack_heartbeat(wire)
        self.record_heartbeat(reply)
        peer.sent_revision = own.config_revision
        peer.outage_s = 0 if reply.has_store else sent_s
        if reply.config_revision > self._config_store.revision:
            await self._fetch_config(peer)
        if reply.config_revision == self._config_store.revision:
            self._config_store.confirm_by_peer(
                reply.config_revision,
                reply.config_age_s,
                sent_s,
            )
        self._record_outage()

    def _record_outage(self) -> None:
        """Pass on the outage reports of all daemons, with the oldest time."""
        if any(not peer.outage_s for peer in self.peers.values()):
            return
        beats = [self._own_heartbeat()]
        beats.extend(
            peer.heartbeat
            for peer in self.peers.values()
            if peer.heartbeat is not None
        )
        outage_times_s = [peer.outage_s for peer in self.peers.values()]
        self._config_store.confirm_by_outage_round(
            {self._settings.daemon_id, *self.peers},
            {beat.daemon_id: _outage_report(beat) for beat in beats},
            min(outage_times_s, default=self._clock.now_s()),
        )

    async def _fetch_config(self, peer: Peer) -> None:
        reply = await peer.link.call(
            'fetch_config',
            ConfigMessage(revision=self._config_store.revision),
            TextReply,
            self._settings.peer_timeout_s,
        )
        if reply.text:
            self._config_store.update_if_newer(
                decode_json(reply.text, ConfigRecord)
            )


def _outage_report(beat: Heartbeat) -> OutageReport:
    return OutageReport(
        revision=beat.config_revision,
        has_store_contact=beat.has_store,
        has_unsettled_write=beat.has_unsettled_write,
    )
