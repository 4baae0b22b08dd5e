"""Taking of claims, with the consent of the other daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_config import WorkerFencing
from currantreach_daemon._messages import ConsentMessage, ConsentReply
from currantreach_state import Consent
from currantreach_types.errors import LinkError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantreach_config import DaemonSettings
    from currantreach_daemon._peers import Peer
    from currantreach_state import Claim, ClaimKeeper, Roster, TakeoverRule

__all__ = ('CALL_TIMEOUT_S', 'Takeover')

CALL_TIMEOUT_S = 1


class Takeover:
    """Takes claims that nobody holds.

    :ivar ended_epochs: last epoch of each partition whose owner ended here.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        claims: ClaimKeeper,
        roster: Roster,
        rule: TakeoverRule,
        consent: Callable[[ConsentMessage], ConsentReply],
    ) -> None:
        """Act for one daemon.

        :param consent: answers for this daemon.
        """
        self.ended_epochs: dict[int, int] = {}
        self._settings = settings
        self._claims = claims
        self._roster = roster
        self._rule = rule
        self._consent = consent

    async def take(
        self,
        partition: int,
        preferred_id: str,
        local: Sequence[Peer],
    ) -> tuple[Claim, bool] | None:
        """Take a claim if it is free and safe to take.

        :param preferred_id: daemon that should take it if it is free.
        :param local: the other daemons of this failure domain.
        :returns: the claim and whether every registered daemon consented.
        :raises PlatformError: if the outcome is not known.
        """
        seen = await self._claims.read(partition)
        if seen is not None and self._claims.is_current(seen):
            return await self._resume(seen), True
        if seen is not None and not await self._claims.is_released(seen):
            return None
        if preferred_id != self._settings.daemon_id:
            return None
        if seen is None or seen.owner == self._settings.daemon_id:
            return await self._claims.take(partition, seen), True
        return await self._take_over(seen, local)

    async def _take_over(
        self,
        seen: Claim,
        local: Sequence[Peer],
    ) -> tuple[Claim, bool] | None:
        consents, is_complete = await self._consents(seen, local)
        is_fenced = self._settings.worker_fencing == WorkerFencing.enforced
        if not self._rule.allows(
            seen.session_id,
            consents,
            is_fenced=is_fenced,
        ):
            return None
        return await self._claims.take(seen.partition, seen), is_complete

    async def _resume(self, claim: Claim) -> Claim:
        if self.ended_epochs.get(claim.partition) != claim.epoch:
            return claim
        # Ids of an epoch are only known to the owner that issued them, so an
        # owner that ended is followed by one with a higher epoch.
        return await self._claims.hand_over(
            claim,
            self._settings.daemon_id,
            claim.session_id,
        )

    async def _consents(
        self,
        seen: Claim,
        local: Sequence[Peer],
    ) -> tuple[list[Consent], bool]:
        """Return all answers, and whether every registered daemon gave one."""
        holder = seen.session_id
        self._rule.note_gone(holder)
        view = await self._roster.members()
        own = self._consent(ConsentMessage(holder=holder))
        asked = [
            peer
            for peer in local
            if peer.peer_id in view.members and peer.peer_id != seen.owner
        ]
        replies = await asyncio.gather(
            *(_ask_consent(peer, holder) for peer in asked),
        )
        answered = [reply for reply in replies if reply is not None]
        answered.append(
            Consent(is_given=own.is_given, was_asked=own.was_asked),
        )
        others = view.members.keys() - {seen.owner}
        return answered, len(answered) >= len(others)


async def _ask_consent(peer: Peer, holder: str) -> Consent | None:
    try:
        reply = await peer.link.call(
            'consent',
            ConsentMessage(holder=holder),
            ConsentReply,
            CALL_TIMEOUT_S,
        )
    except LinkError:
        return None
    return Consent(is_given=reply.is_given, was_asked=reply.was_asked)
