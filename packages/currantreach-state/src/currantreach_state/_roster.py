"""Roster: the registered daemons of a failure domain."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

import attrs

from currantreach_types import decode_json, encode_json
from currantreach_types.errors import ConflictError, OutcomeUnknownError

if TYPE_CHECKING:
    from currantreach_platform import Store

__all__ = ('Roster', 'RosterMember', 'RosterView')

#: All daemons of a domain may join concurrently, and each round of attempts
#: lets one of them succeed.
_ATTEMPTS: Final = 64


@attrs.frozen(slots=True, kw_only=True)
class RosterMember:
    """Entry of a registered daemon.

    :ivar session_id: session under which it joined.
    :ivar address: address of its peer server.
    :ivar absent_revision: last roster revision that lacks the daemon.
    """

    session_id: str
    address: str
    absent_revision: int = 0


@attrs.frozen(slots=True, kw_only=True)
class RosterView:
    """Snapshot of the roster at one revision.

    :ivar revision: store revision, 0 while no daemon has joined.
    :ivar members: entries by daemon id.
    """

    revision: int = 0
    members: dict[str, RosterMember] = attrs.field(factory=dict)


class Roster:
    """Roster of one failure domain in the store."""

    def __init__(self, store: Store, domain: str) -> None:
        """Use the roster of ``domain``."""
        self._store = store
        self._key = f'roster/{domain}'

    async def members(self) -> RosterView:
        """Read the roster."""
        current = await self._store.get(self._key)
        if current is None:
            return RosterView()
        return RosterView(
            revision=current.revision,
            members=decode_json(current.stored, dict[str, RosterMember]),
        )

    async def join(
        self,
        daemon_id: str,
        session_id: str,
        address: str,
    ) -> RosterView:
        """Register a daemon, replacing a predecessor with the same id.

        The entry keeps the ``absent_revision`` of a predecessor. The daemon
        creates a new :class:`PeerLeaseGrantor` whenever its ``absent_revision``
        changes.

        :raises PlatformError: if the outcome is unknown; call it again.
        """
        entry = RosterMember(session_id=session_id, address=address)
        return await self._update(daemon_id, entry)

    async def leave(
        self,
        daemon_id: str,
        session_id: str | None = None,
    ) -> RosterView:
        """Remove a daemon.

        :param session_id: remove the entry only if it has this session, so
            that a successor with the same id stays registered.
        :raises PlatformError: if the outcome is unknown; call it again.
        """
        return await self._update(daemon_id, None, session_id)

    async def _update(
        self,
        daemon_id: str,
        entry: RosterMember | None,
        only_session_id: str | None = None,
    ) -> RosterView:
        attempts_left = _ATTEMPTS
        while attempts_left:
            # Reading again also shows whether an attempt without an answer
            # took effect.
            view = await self.members()
            known = view.members.get(daemon_id)
            if not _needs_update(known, entry, only_session_id):
                return view
            with contextlib.suppress(ConflictError, OutcomeUnknownError):
                return await self._write(view, daemon_id, entry)
            attempts_left -= 1
        raise OutcomeUnknownError(f'{self._key} is contended; retry')

    async def _write(
        self,
        view: RosterView,
        daemon_id: str,
        entry: RosterMember | None,
    ) -> RosterView:
        members = dict(view.members)
        members.pop(daemon_id, None)
        if entry is not None:
            known = view.members.get(daemon_id)
            members[daemon_id] = attrs.evolve(
                entry,
                absent_revision=_absent_revision(view, known),
            )
        revision = await self._store.put(
            self._key,
            encode_json(members),
            view.revision,
        )
        return RosterView(revision=revision, members=members)


def _needs_update(
    known: RosterMember | None,
    entry: RosterMember | None,
    only_session_id: str | None,
) -> bool:
    if known is None:
        return entry is not None
    if entry is None:
        return only_session_id in {None, known.session_id}
    return attrs.evolve(entry, absent_revision=known.absent_revision) != known


def _absent_revision(view: RosterView, known: RosterMember | None) -> int:
    return view.revision if known is None else known.absent_revision
