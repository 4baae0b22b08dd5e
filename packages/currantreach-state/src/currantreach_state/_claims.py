"""Claims of daemons on partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_state._session import has_session_ended
from currantreach_types import decode_json, encode_json
from currantreach_types.errors import (
    ConflictError,
    OutcomeUnknownError,
    PlatformError,
    StaleEpochError,
)

if TYPE_CHECKING:
    from currantreach_platform import Store
    from currantreach_state._session import Session

__all__ = ('Claim', 'ClaimStore')


@attrs.frozen(slots=True, kw_only=True)
class Claim:
    """Ownership of a partition.

    :ivar domain: failure domain of the partition.
    :ivar partition: number of the partition.
    :ivar owner: id of the owning daemon.
    :ivar session_id: session of the owner.
    :ivar epoch: fencing token; increases with each change of owner or
        session.
    :ivar revision: store revision of the record.
    """

    domain: str
    partition: int
    owner: str
    session_id: str
    epoch: int
    revision: int = 0

    def is_same_term(self, other: Claim) -> bool:
        """Tell whether both claims are equal apart from the revision."""
        return attrs.evolve(self, revision=other.revision) == other


class ClaimStore:
    """Reads and writes the claims of one failure domain."""

    def __init__(
        self,
        store: Store,
        domain: str,
        daemon_id: str,
        session: Session,
    ) -> None:
        """Act for the daemon ``daemon_id`` under its session."""
        self._store = store
        self._domain = domain
        self._daemon_id = daemon_id
        self._session = session

    def is_current(self, claim: Claim) -> bool:
        """Tell whether a claim belongs to the current session."""
        return (
            claim.owner == self._daemon_id
            and claim.session_id == self._session.session_id
        )

    async def read(self, partition: int) -> Claim | None:
        """Return the claim on a partition, or None if it was never claimed."""
        current = await self._store.get(self._key(partition))
        if current is None:
            return None
        claim = decode_json(current.stored, Claim)
        return attrs.evolve(claim, revision=current.revision)

    async def is_claimable(self, claim: Claim) -> bool:
        """Tell whether a claim is this daemon's or its session has ended."""
        if claim.owner == self._daemon_id:
            return True
        return await has_session_ended(
            self._store,
            claim.domain,
            claim.owner,
            claim.session_id,
        )

    async def acquire(
        self, partition: int, current_claim: Claim | None
    ) -> Claim:
        """Claim a partition.

        Taking over a claim of another daemon requires a vote first, see
        :class:`TakeoverRule`.

        :param current_claim: the claim that was read before the vote.
        :returns: the new claim. It is written even if the partition was
            transferred to this daemon or a transfer by this daemon failed,
            because the write of the transfer may still be in flight.
        :raises ConflictError: if another daemon has claimed the partition.
        :raises StaleEpochError: if the session of this daemon is closed.
        :raises PlatformError: if the outcome is unknown; read the claim
            again.
        """
        session_id = self._session.session_id
        if not session_id:
            raise StaleEpochError('the session is closed; open it first')
        if current_claim is not None:
            if not await self.is_claimable(current_claim):
                raise ConflictError(
                    f'{current_claim.owner} owns partition {partition}; '
                    'retry when its session has ended',
                    current_claim.revision,
                )
        new_claim = Claim(
            domain=self._domain,
            partition=partition,
            owner=self._daemon_id,
            session_id=session_id,
            epoch=1 if current_claim is None else current_claim.epoch + 1,
        )
        return await self._write(
            new_claim,
            0 if current_claim is None else current_claim.revision,
        )

    async def transfer(
        self,
        claim: Claim,
        successor_id: str,
        successor_session: str,
    ) -> Claim:
        """Transfer a claim to a live daemon of the domain.

        The caller must have stopped starting tasks of the partition before,
        because the successor may own it even if an error is raised.

        :raises ConflictError: if this daemon no longer owns the claim.
        :raises PlatformError: if the outcome is unknown; read the claim
            again.
        """
        new_claim = attrs.evolve(
            claim,
            owner=successor_id,
            session_id=successor_session,
            epoch=claim.epoch + 1,
        )
        return await self._write(new_claim, claim.revision)

    def _key(self, partition: int) -> str:
        return f'claims/{self._domain}/{partition}'

    async def _write(self, new_claim: Claim, expected_revision: int) -> Claim:
        try:
            revision = await self._store.put(
                self._key(new_claim.partition),
                encode_json(attrs.evolve(new_claim, revision=0)),
                expected_revision,
            )
        except OutcomeUnknownError:
            return await self._resolve_lost_answer(new_claim, expected_revision)
        return attrs.evolve(new_claim, revision=revision)

    async def _resolve_lost_answer(
        self,
        new_claim: Claim,
        expected_revision: int,
    ) -> Claim:
        try:
            current = await self.read(new_claim.partition)
        except PlatformError as exc:
            raise OutcomeUnknownError(
                'it is unknown whether the claim was written; read it again',
            ) from exc
        if current is None or current.revision == expected_revision:
            raise OutcomeUnknownError(
                'the claim is not written yet; read it again',
            )
        if not current.is_same_term(new_claim):
            raise ConflictError(
                f'{current.owner} claimed partition '
                f'{new_claim.partition} first; read the claim again',
                current.revision,
            )
        return current
