"""Authenticated RPC links between daemons."""

from __future__ import annotations

from currantreach_links._errors import NotSentError
from currantreach_links._link import PeerLink
from currantreach_links._server import Handler, PeerServer

__all__ = ('Handler', 'NotSentError', 'PeerLink', 'PeerServer')
