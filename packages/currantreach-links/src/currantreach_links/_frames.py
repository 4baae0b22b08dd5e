"""Authenticated frames for requests and replies."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, TypeVar

import attrs

from currantreach_links._errors import WrongMacError
from currantreach_types import decode_msgpack, encode_msgpack
from currantreach_types.errors import ConfigurationError

if TYPE_CHECKING:
    from typing import Final

__all__ = (
    'MAX_FRAME_BYTES',
    'MAX_HELD_BYTES',
    'RECEIVE_QUEUE_LENGTH',
    'SMALL_FRAME_BYTES',
    'FrameCodec',
    'Reply',
    'Request',
)

#: Twice the size of the largest payload, a store value of 1 MB.
MAX_FRAME_BYTES: Final = 2 * 1024 * 1024

#: Calls of one link, or requests of all peers, hold no more bytes in frames.
MAX_HELD_BYTES: Final = 16_000_000

#: Frames such as heartbeats, lease requests and most jobs, which are handled
#: whatever larger ones hold. Their number is limited.
SMALL_FRAME_BYTES: Final = 16384

#: Frames of one connection that wait to be read. Further ones remain at the
#: sender, so this costs no frame; a thousand of the largest take 2 GB.
RECEIVE_QUEUE_LENGTH: Final = 16

_MAC_BYTES: Final = 32
_MIN_SECRET_BYTES: Final = 16

_Message = TypeVar('_Message', 'Request', 'Reply')


@attrs.frozen(slots=True, kw_only=True)
class Request:
    """A call to a peer.

    :ivar call_id: unique ID.
    :ivar method: method name, empty for a probe of the link.
    :ivar body: encoded argument of the method.
    """

    call_id: bytes
    method: str = ''
    body: bytes = b''


@attrs.frozen(slots=True, kw_only=True)
class Reply:
    """The reply to a call.

    :ivar call_id: ID of the call.
    :ivar body: encoded result of the method.
    :ivar error_kind: class name of the error, empty on success.
    :ivar error_text: error message.
    :ivar current_revision: current revision of the key in a conflict.
    """

    call_id: bytes
    body: bytes = b''
    error_kind: str = ''
    error_text: str = ''
    current_revision: int = 0


class FrameCodec:
    """Encodes messages as frames with a MAC, and decodes them.

    :ivar total_bytes: size of all frames encoded and decoded so far.
    """

    def __init__(self, secret: bytes) -> None:
        """Derive the MAC key from the shared secret of all daemons.

        :raises ConfigurationError: if the secret is too short.
        """
        if len(secret) < _MIN_SECRET_BYTES:
            raise ConfigurationError(
                'the peer secret is too short; '
                + f'use at least {_MIN_SECRET_BYTES} bytes',
            )
        self.total_bytes = 0
        self._key = hashlib.blake2b(secret).digest()

    def encode_frame(self, message: Request | Reply) -> bytes:
        """Encode a message and prepend its MAC."""
        packed = encode_msgpack(message)
        frame = self._mac(packed, type(message)) + packed
        self.total_bytes += len(frame)
        return frame

    def decode_frame(
        self, frame: bytes, message_type: type[_Message]
    ) -> _Message:
        """Verify the MAC of a frame and decode its message.

        :raises WrongMacError: if the MAC is invalid.
        :raises MalformedMessageError: if the message has another type.
        """
        self.total_bytes += len(frame)
        packed = frame[_MAC_BYTES:]
        mac = self._mac(packed, message_type)
        if not hmac.compare_digest(mac, frame[:_MAC_BYTES]):
            raise WrongMacError(
                'frame with an invalid MAC; use one secret for all daemons',
            )
        return decode_msgpack(packed, message_type)

    def _mac(self, packed: bytes, message_type: type[Request | Reply]) -> bytes:
        # The personalisation prevents reflecting a request as a reply.
        return hashlib.blake2b(
            packed,
            digest_size=_MAC_BYTES,
            key=self._key,
            person=message_type.__name__.encode(),
        ).digest()
