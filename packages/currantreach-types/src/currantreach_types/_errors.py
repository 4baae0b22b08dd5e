"""Exceptions; each message says what to do about the error."""

from __future__ import annotations

__all__ = (
    'ConfigurationError',
    'ConflictError',
    'CurrantreachError',
    'HistoryLostError',
    'LinkError',
    'MalformedMessageError',
    'OutcomeUnknownError',
    'PlatformError',
    'StaleEpochError',
    'StoreUnavailableError',
    'TransactionConflictError',
    'WorkerUnavailableError',
)


class CurrantreachError(Exception):
    """Base class of all errors raised by currantreach."""


class ConfigurationError(CurrantreachError):
    """A configuration, a change to it or a setting is invalid."""


class MalformedMessageError(CurrantreachError):
    """A message cannot be decoded or fails its authentication."""


class LinkError(CurrantreachError):
    """A peer did not respond in time or the link to it is closed."""


class PlatformError(CurrantreachError):
    """Base class of errors of the platform's services."""


class StoreUnavailableError(PlatformError):
    """The store rejected or never received the call; nothing was written."""


class CallRejectedError(StoreUnavailableError):
    """The store rejects this call; a retry cannot succeed."""


class OutcomeUnknownError(PlatformError):
    """No response arrived; the call may or may not have taken effect."""


class ConflictError(PlatformError):
    """A compare-and-swap found another revision.

    :ivar current_revision: revision of the key in the store, 0 if absent.
    """

    def __init__(self, message: str, current_revision: int) -> None:
        """Store the revision that was found."""
        super().__init__(message)
        self.current_revision = current_revision


class WorkerUnavailableError(PlatformError):
    """A worker did not respond; the effect of the call is unknown."""


class StaleEpochError(PlatformError):
    """A worker or record has already seen a higher epoch."""


class TransactionConflictError(PlatformError):
    """A transaction found another revision of at least one key.

    :ivar revisions: current revision of each expected key, 0 if absent.
    """

    def __init__(self, message: str, revisions: dict[str, int]) -> None:
        """Store the current revisions."""
        super().__init__(message)
        self.revisions = revisions


class HistoryLostError(PlatformError):
    """The store no longer has the changes after a revision; read anew."""
