"""Errors of requests that exceed a limit."""

from __future__ import annotations

from typing import Final

from currantreach_types.errors import CurrantreachError

__all__ = (
    'BODY_TOO_LARGE',
    'CALLER_MEMORY',
    'FRAMING_TOO_LARGE',
    'HEADERS_TOO_LARGE',
    'RequestRefusedError',
)

#: The body is larger than the configuration permits.
BODY_TOO_LARGE: Final = 'body_too_large'
#: The requests of all callers hold too many bytes.
CALLER_MEMORY: Final = 'caller_memory'
#: The chunks of a body take too many bytes for what they contain.
FRAMING_TOO_LARGE: Final = 'framing_too_large'
#: The headers are larger than the configuration permits.
HEADERS_TOO_LARGE: Final = 'headers_too_large'


class RequestRefusedError(CurrantreachError):
    """A request exceeds a limit, and nothing of it has run.

    :ivar reason: one of the reasons of this module.
    """

    def __init__(self, reason: str) -> None:
        """Name the reason and the remedy."""
        super().__init__(f'{reason}; send a smaller request or retry later')
        self.reason = reason
