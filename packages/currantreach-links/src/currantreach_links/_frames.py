"""Authenticated frames that carry calls and their replies."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, TypeVar

import attrs

from currantreach_links._errors import WrongMacError
from currantreach_types import decode_packed, encode_packed
from currantreach_types.errors import ConfigurationError

if TYPE_CHECKING:
    from typing import Final

__all__ = ('MAX_FRAME_BYTES', 'FrameCodec', 'Reply', 'Request')

#: Twice the largest content, a store value of 1 MB.
MAX_FRAME_BYTES: Final = 2 * 1024 * 1024

_MAC_BYTES: Final = 32
_MIN_SECRET_BYTES: Final = 16

_Envelope = TypeVar('_Envelope', 'Request', 'Reply')


@attrs.frozen(slots=True, kw_only=True)
class Request:
    """A call to a peer.

    :ivar call_id: random id, never used twice.
    :ivar method: name of the handler; empty for a probe of the link.
    :ivar body: packed message for the handler.
    """

    call_id: bytes
    method: str = ''
    body: bytes = b''


@attrs.frozen(slots=True, kw_only=True)
class Reply:
    """The reply to a call.

    :ivar call_id: id of the call.
    :ivar body: packed result of the handler.
    :ivar error_kind: class name of the error, empty for a result.
    :ivar error_text: message of the error.
    :ivar current_revision: revision of a conflict.
    """

    call_id: bytes
    body: bytes = b''
    error_kind: str = ''
    error_text: str = ''
    current_revision: int = 0


class FrameCodec:
    """Turns envelopes into frames with a MAC and back.

    :ivar total_bytes: size of all frames sealed and unsealed so far.
    """

    def __init__(self, secret: bytes) -> None:
        """Derive the key from the secret that all daemons share.

        :raises ConfigurationError: if the secret is too short.
        """
        if len(secret) < _MIN_SECRET_BYTES:
            raise ConfigurationError(
                'the peer secret is too short; '
                + f'set one of at least {_MIN_SECRET_BYTES} bytes',
            )
        self.total_bytes = 0
        self._key = hashlib.blake2b(secret).digest()

    def seal(self, envelope: Request | Reply) -> bytes:
        """Encode an envelope and prepend its MAC."""
        packed = encode_packed(envelope)
        frame = self._mac(packed, type(envelope)) + packed
        self.total_bytes += len(frame)
        return frame

    def unseal(self, frame: bytes, kind: type[_Envelope]) -> _Envelope:
        """Check the MAC of a frame and decode its envelope.

        :raises WrongMacError: if the frame was not sealed with the secret.
        :raises MalformedMessageError: if it is no envelope of this kind.
        """
        self.total_bytes += len(frame)
        packed = frame[_MAC_BYTES:]
        mac = self._mac(packed, kind)
        if not hmac.compare_digest(mac, frame[:_MAC_BYTES]):
            raise WrongMacError(
                'frame with a wrong MAC; give all daemons the same secret',
            )
        return decode_packed(packed, kind)

    def _mac(self, packed: bytes, kind: type[Request | Reply]) -> bytes:
        # The personalisation keeps a request from passing as a reply.
        return hashlib.blake2b(
            packed,
            digest_size=_MAC_BYTES,
            key=self._key,
            person=kind.__name__.encode(),
        ).digest()
