"""Heartbeats with all peers and what is known of each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from currantreach_config import ConfigRecord
from currantreach_daemon._log import log_detail
from currantreach_daemon._messages import (
    ConfigMessage,
    Heartbeat,
    OwnedPartition,
    TextReply,
)
from currantreach_links import PeerLink
from currantreach_types import decode_json
from currantreach_types.errors import LinkError, MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from currantreach_state import ConfigKeeper
    from currantreach_types import Clock

__all__ = ('Peer', 'PeerTable')


@attrs.define(slots=True, kw_only=True)
class Peer:
    """A peer and its last heartbeat.

    :ivar link: link to the peer.
    :ivar heartbeat: its last heartbeat.
    :ivar heard_s: when the last heartbeat arrived.
    :ivar outage_s: when the question was sent whose answer said that the
        peer has no store contact, 0 if it has.
    """

    peer_id: str
    domain: str
    link: PeerLink
    heartbeat: Heartbeat | None = None
    heard_s: float = float('-inf')
    outage_s: float = 0


class PeerTable:
    """All peers of this daemon.

    :param own_heartbeat: returns the heartbeat of this daemon.
    :param interval_s: time between heartbeats.
    :param timeout_s: a peer that was silent for so long is unreachable.
    """

    def __init__(
        self,
        peers: Mapping[str, Peer],
        keeper: ConfigKeeper,
        clock: Clock,
        own_heartbeat: Callable[[], Heartbeat],
        interval_s: float,
        timeout_s: float,
    ) -> None:
        """Start without any heartbeat."""
        self.peers = peers
        self._keeper = keeper
        self._clock = clock
        self._own_heartbeat = own_heartbeat
        self._interval_s = interval_s
        self._timeout_s = timeout_s

    async def follow(self, peer: Peer) -> None:
        """Exchange heartbeats with one peer for ever."""
        while True:
            try:
                await self._exchange(peer)
            except (LinkError, MalformedMessageError) as exc:
                log_detail(
                    'heartbeat_failed',
                    peer=peer.peer_id,
                    error=exc,
                )
            await asyncio.sleep(self._interval_s)

    def note(self, heartbeat: Heartbeat) -> None:
        """Note a heartbeat that a peer sent by itself."""
        peer = self.peers.get(heartbeat.daemon_id)
        if peer is not None:
            peer.heartbeat = heartbeat
            peer.heard_s = self._clock.now_s()

    def reachable(self) -> tuple[Peer, ...]:
        """Return the peers that were heard lately."""
        since_s = self._clock.now_s() - self._timeout_s
        return tuple(
            peer for peer in self.peers.values() if peer.heard_s >= since_s
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
        least_epoch: int = 0,
    ) -> Peer | None:
        """Return the reachable peer with the highest epoch of a partition.

        :param least_epoch: lower epochs do not count.
        """
        found: tuple[int, Peer] | None = None
        for peer, owned in self.owners():
            if (owned.domain, owned.partition) != (domain, partition):
                continue
            if owned.epoch < least_epoch:
                continue
            if found is None or owned.epoch > found[0]:
                found = (owned.epoch, peer)
        return None if found is None else found[1]

    async def _exchange(self, peer: Peer) -> None:
        sent_s = self._clock.now_s()
        reply = await peer.link.call(
            'heartbeat',
            self._own_heartbeat(),
            Heartbeat,
            self._timeout_s,
        )
        self.note(reply)
        peer.outage_s = 0 if reply.has_store else sent_s
        if reply.config_revision > self._keeper.revision:
            await self._fetch_config(peer)
        self._keeper.note_peer_proof(
            reply.config_revision,
            reply.config_age_s,
            sent_s,
        )
        self._note_outage(reply.config_revision)

    def _note_outage(self, revision: int) -> None:
        if self._own_heartbeat().has_store or revision != self._keeper.revision:
            return
        for peer in self.peers.values():
            beat = peer.heartbeat
            if not peer.outage_s or beat is None:
                return
            if beat.config_revision != revision:
                return
        rounds = [peer.outage_s for peer in self.peers.values()]
        self._keeper.note_outage_round(
            revision,
            min(rounds, default=self._clock.now_s()),
        )

    async def _fetch_config(self, peer: Peer) -> None:
        reply = await peer.link.call(
            'fetch_config',
            ConfigMessage(revision=self._keeper.revision),
            TextReply,
            self._timeout_s,
        )
        if reply.text:
            self._keeper.offer(decode_json(reply.text, ConfigRecord))
