"""Bound on the bytes that the requests of all callers hold."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Final

import attrs

__all__ = ('ByteBudget', 'Holding')

# An ordinary request with its headers is smaller.
_SMALL_BYTES: Final = 16384
# A share of one in eight is left to small requests.
_SMALL_SHARE: Final = 8


@attrs.define(slots=True, eq=False, kw_only=True)
class Holding:
    """Bytes that the requests on one connection hold.

    :ivar number: position in the order in which connections were opened.
    :ivar refuse: refuses what was received; called by the budget after it has
        released these bytes.
    :ivar received_bytes: bytes of requests of which nothing has run.
    :ivar served_bytes: bytes of the request that is being served, which may
        have been stored and is never dropped.
    """

    number: int
    refuse: Callable[[], None]
    received_bytes: int = 0
    served_bytes: int = 0


class ByteBudget:
    """Limits the sum of the bytes of all connections.

    What exceeds the limit is refused, the largest requests first and the newest
    among those of similar size.

    :ivar total_bytes: bytes held by all connections.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget that is not in use."""
        self.total_bytes = 0
        self.limit_bytes = limit_bytes
        self._large_limit_bytes = limit_bytes - limit_bytes // _SMALL_SHARE
        self._numbers = itertools.count(1)
        self._holdings: set[Holding] = set()

    def by_kind(self) -> dict[str, int]:
        """Return the bytes held and their limit, as a metric."""
        return {'held': self.total_bytes, 'limit': self.limit_bytes}

    def open(self, refuse: Callable[[], None]) -> Holding:
        """Return the holding of a new connection."""
        holding = Holding(number=next(self._numbers), refuse=refuse)
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Release everything that a closed connection holds."""
        self.set_bytes(holding, received_bytes=0, served_bytes=0)
        self._holdings.discard(holding)

    def receive(self, holding: Holding, size_bytes: int) -> bool:
        """Add received bytes, and refuse whatever exceeds the limit.

        :returns: whether the bytes of this holding are kept; if not, they are
            released, and its caller has to refuse them.
        """
        received_bytes = holding.received_bytes + size_bytes
        self.set_bytes(holding, received_bytes=received_bytes)
        return self._refuse_excess(holding)

    def serve(self, holding: Holding, size_bytes: int) -> bool:
        """Account for a request that was received and is about to be served.

        :param size_bytes: memory of the decoded request.
        :returns: whether it fits; if not, its caller has to refuse it.
        """
        self.set_bytes(holding, received_bytes=size_bytes)
        if not self._refuse_excess(holding):
            return False
        self.set_bytes(holding, received_bytes=0, served_bytes=size_bytes)
        return True

    def set_bytes(
        self,
        holding: Holding,
        received_bytes: int | None = None,
        served_bytes: int | None = None,
    ) -> None:
        """Replace the bytes of a holding without enforcing the limit.

        Does nothing once the holding is closed: a request may end after its
        connection, and nothing would release bytes that it sets then.
        """
        if holding not in self._holdings:
            return
        if received_bytes is not None:
            self.total_bytes += received_bytes - holding.received_bytes
            holding.received_bytes = received_bytes
        if served_bytes is not None:
            self.total_bytes += served_bytes - holding.served_bytes
            holding.served_bytes = served_bytes

    def _refuse_excess(self, present: Holding) -> bool:
        """Refuse requests until the rest is within the limit.

        :returns: whether the bytes of the present holding are kept.
        """
        # This runs for all received data, so the common case is kept cheap.
        while self.total_bytes > self._large_limit_bytes:
            is_small = present.received_bytes <= _SMALL_BYTES
            if is_small and self.total_bytes <= self.limit_bytes:
                return True
            victim = max(self._holdings, key=_refusal_rank)
            if not victim.received_bytes:
                return True
            self.set_bytes(victim, received_bytes=0)
            if victim is present:
                return False
            victim.refuse()
        return True


def _refusal_rank(holding: Holding) -> tuple[int, int]:
    """Return a key that is largest for the request to refuse first."""
    return holding.received_bytes.bit_length(), holding.number
