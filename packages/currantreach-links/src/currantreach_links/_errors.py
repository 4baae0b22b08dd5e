"""Errors of links and their form on the wire."""

from __future__ import annotations

from typing import Final

from currantreach_types import errors

__all__ = ('BUSY', 'NotSentError', 'WrongMacError', 'error_from', 'error_kind')

#: Error kind of a request that the peer refused without handling it.
BUSY: Final = 'busy'


class NotSentError(errors.LinkError):
    """The peer certainly did not handle the call."""


class WrongMacError(errors.MalformedMessageError):
    """A frame was sealed with another secret or damaged."""


def error_kind(error: errors.CurrantreachError) -> str:
    """Return the name of the nearest class that every daemon knows."""
    names = (parent.__name__ for parent in type(error).__mro__)
    return next(name for name in names if name in errors.__all__)


def error_from(
    kind: str,
    text: str,
    current_revision: int,
) -> errors.CurrantreachError:
    """Rebuild the error of a reply."""
    if kind == BUSY:
        return NotSentError(text)
    if kind == errors.ConflictError.__name__:
        return errors.ConflictError(text, current_revision)
    if kind in errors.__all__:
        error: errors.CurrantreachError = getattr(errors, kind)(text)
        return error
    return errors.CurrantreachError(text)
