"""Acquisition of claims, after a vote of the other daemons if needed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_config import WorkerFencing
from currantreach_daemon._messages import TakeoverVoteMessage, TakeoverVoteReply
from currantreach_state import TakeoverVote
from currantreach_telemetry import log_debug
from currantreach_types.errors import CurrantreachError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantreach_config import DaemonSettings
    from currantreach_daemon._peers import Peer
    from currantreach_state import Claim, ClaimStore, Roster, TakeoverRule

__all__ = ('CALL_TIMEOUT_S', 'Takeover')

CALL_TIMEOUT_S = 1


class Takeover:
    """Acquires claims on partitions that have no owner.

    Each claim gets a new epoch: only the owner that issued a request id knows
    the outcome of the request, and the epoch in the id identifies that owner.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        claims: ClaimStore,
        roster: Roster,
        rule: TakeoverRule,
        vote: Callable[[TakeoverVoteMessage], TakeoverVoteReply],
    ) -> None:
        """Act for one daemon.

        :param vote: returns the vote of this daemon.
        """
        self._settings = settings
        self._claims = claims
        self._roster = roster
        self._rule = rule
        self._vote = vote

    async def acquire(
        self,
        partition: int,
        preferred_id: str,
        domain_peers: Sequence[Peer],
    ) -> tuple[Claim, bool] | None:
        """Acquire a claim if it is free and the takeover is safe.

        :param preferred_id: daemon that should acquire the claim.
        :param domain_peers: the other daemons of this failure domain.
        :returns: the claim, and whether every registered daemon voted or no
            vote was needed; ``None`` if the claim was not acquired.
        :raises PlatformError: if the outcome is not known.
        """
        current_claim = await self._claims.read(partition)
        own_id = self._settings.daemon_id
        if current_claim is not None and current_claim.owner == own_id:
            return await self._claims.acquire(partition, current_claim), True
        if preferred_id != own_id:
            return None
        if current_claim is None:
            return await self._claims.acquire(partition, current_claim), True
        if not await self._claims.is_claimable(current_claim):
            return None
        return await self._acquire_from(current_claim, domain_peers)

    async def _acquire_from(
        self,
        current_claim: Claim,
        domain_peers: Sequence[Peer],
    ) -> tuple[Claim, bool] | None:
        votes, is_complete = await self._collect_votes(
            current_claim, domain_peers
        )
        is_fenced = self._settings.worker_fencing == WorkerFencing.enforced
        if not self._rule.allows(
            current_claim.session_id,
            votes,
            is_fenced=is_fenced,
        ):
            return None
        return await self._claims.acquire(
            current_claim.partition, current_claim
        ), is_complete

    async def _collect_votes(
        self,
        current_claim: Claim,
        domain_peers: Sequence[Peer],
    ) -> tuple[list[TakeoverVote], bool]:
        """Return all votes, and whether every registered daemon voted."""
        holder = current_claim.session_id
        self._rule.record_session_end(holder)
        view = await self._roster.members()
        own = self._vote(TakeoverVoteMessage(holder=holder))
        voters = [
            peer
            for peer in domain_peers
            if peer.peer_id in view.members
            and peer.peer_id != current_claim.owner
        ]
        replies = await asyncio.gather(
            *(_request_vote(peer, holder) for peer in voters),
        )
        answered = [reply for reply in replies if reply is not None]
        answered.append(
            TakeoverVote(is_given=own.is_given, was_asked=own.was_asked),
        )
        others = view.members.keys() - {current_claim.owner}
        return answered, len(answered) >= len(others)


async def _request_vote(peer: Peer, holder: str) -> TakeoverVote | None:
    try:
        reply = await peer.link.call(
            # The name of a vote request in the protocol between daemons.
            'consent',
            TakeoverVoteMessage(holder=holder),
            TakeoverVoteReply,
            CALL_TIMEOUT_S,
        )
    except CurrantreachError as exc:
        # An error of a peer must not stop the claim loop of this daemon.
        log_debug('consent_failed', peer=peer.peer_id, error=exc)
        return None
    return TakeoverVote(is_given=reply.is_given, was_asked=reply.was_asked)
