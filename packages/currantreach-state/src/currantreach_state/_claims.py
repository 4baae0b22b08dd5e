"""Claims of daemons on partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_state._session import is_session_gone
from currantreach_types import decode_json, encode_json
from currantreach_types.errors import (
    ConflictError,
    LostAnswerError,
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
    :ivar epoch: increases with each change of owner or session.
    :ivar revision: store revision of the record.
    """

    domain: str
    partition: int
    owner: str
    session_id: str
    epoch: int
    revision: int = 0

    def is_same_term(self, other: Claim) -> bool:
        """Tell whether both are the same term of the same session."""
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
        """Tell whether a claim is of the present session of this daemon."""
        return (
            claim.owner == self._daemon_id
            and claim.session_id == self._session.session_id
        )

    async def read(self, partition: int) -> Claim | None:
        """Read the claim on a partition, if there was ever one."""
        current = await self._store.get(self._key(partition))
        if current is None:
            return None
        claim = decode_json(current.stored, Claim)
        return attrs.evolve(claim, revision=current.revision)

    async def is_claimable(self, claim: Claim) -> bool:
        """Tell whether the owner's session ended or was this daemon's own."""
        if claim.owner == self._daemon_id:
            return True
        return await is_session_gone(
            self._store,
            claim.domain,
            claim.owner,
            claim.session_id,
        )

    async def acquire(self, partition: int, seen: Claim | None) -> Claim:
        """Claim a partition.

        A claim of another daemon needs its consent round first, see
        :class:`TakeoverRule`.

        :param seen: the claim that was read before the consent round.
        :returns: the new claim. It is written anew even if the partition was
            handed to this daemon or a handing over failed, because the write
            of the handing over may still be on its way.
        :raises ConflictError: if the partition is or was just claimed.
        :raises StaleEpochError: if the session of this daemon is closed.
        :raises PlatformError: if the outcome is not known; read it again.
        """
        session_id = self._session.session_id
        if not session_id:
            raise StaleEpochError('the session is closed; open it first')
        if seen is not None:
            if not await self.is_claimable(seen):
                raise ConflictError(
                    f'{seen.owner} holds {partition}; wait for its session',
                    seen.revision,
                )
        wanted = Claim(
            domain=self._domain,
            partition=partition,
            owner=self._daemon_id,
            session_id=session_id,
            epoch=1 if seen is None else seen.epoch + 1,
        )
        return await self._write(wanted, 0 if seen is None else seen.revision)

    async def transfer(
        self,
        claim: Claim,
        successor_id: str,
        successor_session: str,
    ) -> Claim:
        """Give a claim to a live daemon of the domain.

        The caller must have stopped starting tasks of the partition: once
        this is called, the successor may own it even if an error is raised.

        :raises ConflictError: if the claim is no longer this daemon's.
        :raises PlatformError: if the outcome is not known; read it again.
        """
        wanted = attrs.evolve(
            claim,
            owner=successor_id,
            session_id=successor_session,
            epoch=claim.epoch + 1,
        )
        return await self._write(wanted, claim.revision)

    def _key(self, partition: int) -> str:
        return f'claims/{self._domain}/{partition}'

    async def _write(self, wanted: Claim, expected_revision: int) -> Claim:
        try:
            revision = await self._store.put(
                self._key(wanted.partition),
                encode_json(attrs.evolve(wanted, revision=0)),
                expected_revision,
            )
        except LostAnswerError:
            return await self._settle(wanted, expected_revision)
        return attrs.evolve(wanted, revision=revision)

    async def _settle(self, wanted: Claim, expected_revision: int) -> Claim:
        try:
            current = await self.read(wanted.partition)
        except PlatformError as exc:
            raise LostAnswerError('claim not settled; read it again') from exc
        if current is None or current.revision == expected_revision:
            raise LostAnswerError('claim not written yet; read it again')
        if not current.is_same_term(wanted):
            raise ConflictError(
                f'{current.owner} took {wanted.partition}; read it again',
                current.revision,
            )
        return current
