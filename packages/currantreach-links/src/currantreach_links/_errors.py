"""Errors of links and their serialised form."""

from __future__ import annotations

from typing import Final

from currantreach_types import errors

__all__ = ('BUSY', 'NotSentError', 'WrongMacError', 'build_error', 'error_kind')

#: Error kind of a request that the peer rejected without handling it.
BUSY: Final = 'busy'


class NotSentError(errors.LinkError):
    """The peer did not handle the call."""


class WrongMacError(errors.MalformedMessageError):
    """A frame was corrupted or authenticated with another secret."""


def error_kind(error: errors.CurrantreachError) -> str:
    """Return the name of the closest base class that peers know."""
    names = (parent.__name__ for parent in type(error).__mro__)
    return next(name for name in names if name in errors.__all__)


def build_error(
    kind: str,
    text: str,
    current_revision: int,
) -> errors.CurrantreachError:
    """Build the exception for an error reply."""
    if kind == BUSY:
        return NotSentError(text)
    if kind == errors.ConflictError.__name__:
        return errors.ConflictError(text, current_revision)
    if kind in errors.__all__:
        error: errors.CurrantreachError = getattr(errors, kind)(text)
        return error
    return errors.CurrantreachError(text)
