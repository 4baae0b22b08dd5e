"""Typed errors; each message names the remedy."""

from __future__ import annotations

__all__ = (
    'ConfigurationError',
    'ConflictError',
    'CurrantreachError',
    'HistoryLostError',
    'LinkError',
    'LostAnswerError',
    'MalformedMessageError',
    'PlatformError',
    'StaleEpochError',
    'StoreUnavailableError',
    'TransactionConflictError',
    'WorkerUnavailableError',
)


class CurrantreachError(Exception):
    """Base class of all errors raised by currantreach."""


class ConfigurationError(CurrantreachError):
    """A configuration or settings file has one or more faults."""


class MalformedMessageError(CurrantreachError):
    """A message cannot be decoded or fails its authentication."""


class LinkError(CurrantreachError):
    """A peer did not answer in time or the link to it is closed."""


class PlatformError(CurrantreachError):
    """Base class of errors of the platform's services."""


class StoreUnavailableError(PlatformError):
    """The store refused or never received the call; nothing was written."""


class CallRejectedError(StoreUnavailableError):
    """The store does not carry out this call, however often it is sent."""


class LostAnswerError(PlatformError):
    """No answer arrived; the call may or may not have taken effect."""


class ConflictError(PlatformError):
    """A compare-and-swap found another revision.

    :ivar current_revision: revision of the key in the store, 0 if absent.
    """

    def __init__(self, message: str, current_revision: int) -> None:
        """Keep the revision that won."""
        super().__init__(message)
        self.current_revision = current_revision


class WorkerUnavailableError(PlatformError):
    """A worker did not answer; what was asked of it is unknown."""


class StaleEpochError(PlatformError):
    """A worker or record is already governed by a higher epoch."""


class TransactionConflictError(PlatformError):
    """A transaction found another revision of at least one key.

    :ivar revisions: present revision of each expected key, 0 if absent.
    """

    def __init__(self, message: str, revisions: dict[str, int]) -> None:
        """Keep the present revisions."""
        super().__init__(message)
        self.revisions = revisions


class HistoryLostError(PlatformError):
    """The store no longer has the changes after a revision; read again."""
