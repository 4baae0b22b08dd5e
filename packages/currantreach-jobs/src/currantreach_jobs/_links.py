"""Links to the other daemons of the cell."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from currantreach_links import PeerLink
from currantreach_types.errors import LinkError

if TYPE_CHECKING:
    from currantreach_jobs._coordinator import Coordinator

__all__ = ('Links',)

# A link that is silent for this long is opened anew.
_PEER_TIMEOUT_S = 1

_Answered = TypeVar('_Answered')


class Links:
    """One link to each daemon, opened when it is first used."""

    def __init__(self, coordinator: Coordinator) -> None:
        """Open nothing yet.

        :ivar secret: secret that all daemons share, empty until it is read.
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

        :raises LinkError: if no reply arrived.
        """
        if not self.secret:
            raise LinkError('the shared secret is not read yet; retry')
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, address, self.secret, _PEER_TIMEOUT_S)
            self._links[address] = link
        return await link.call(method, message, reply_type, timeout_s)

    async def drop_unknown(self) -> None:
        """Close the links to daemons that are gone."""
        known = set(self._coordinator.members.values())
        for address in tuple(self._links):
            if address not in known:
                await self._links.pop(address).close()

    async def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.close()
        self._links.clear()
