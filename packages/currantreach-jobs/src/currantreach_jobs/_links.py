"""Connections to the other daemons of the cell."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from currantreach_links import PeerLink
from currantreach_types.errors import LinkError

if TYPE_CHECKING:
    from currantreach_jobs._coordinator import Coordinator

__all__ = ('Links',)

# A link on which nothing arrives for this long is reconnected.
_PEER_TIMEOUT_S = 1

_Answered = TypeVar('_Answered')


class Links:
    """Links to the other daemons, each opened when it is first used."""

    def __init__(self, coordinator: Coordinator) -> None:
        """Create an empty set of links.

        :ivar secret: shared secret of all daemons, empty until it is read.
        """
        self.secret = b''
        self._coordinator = coordinator
        self._links: dict[str, PeerLink] = {}

    async def call(
        self,
        address: str,
        method: str,
        message: object,
        reply_type: type[_Answered],
        timeout_s: float,
    ) -> _Answered:
        """Call a method of the daemon at an address.

        :raises LinkError: if no reply arrives.
        """
        if not self.secret:
            raise LinkError('the shared secret has not been read yet; retry')
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, address, self.secret, _PEER_TIMEOUT_S)
            self._links[address] = link
        return await link.call(method, message, reply_type, timeout_s)

    async def close_stale(self) -> None:
        """Close the links to daemons that are no longer members."""
        known = set(self._coordinator.members.values())
        for address in tuple(self._links):
            if address not in known:
                await self._links.pop(address).close()

    async def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.close()
        self._links.clear()
