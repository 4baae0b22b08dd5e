"""JSON and MessagePack encoding of attrs classes."""

from __future__ import annotations

from typing import Any, TypeVar, cast

import attrs
import msgspec

from currantreach_types._errors import MalformedMessageError

__all__ = (
    'decode_json',
    'decode_msgpack',
    'decode_strict_json',
    'encode_json',
    'encode_msgpack',
)

_Decoded = TypeVar('_Decoded')


def encode_json(message: object) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(message)


def decode_json(body: bytes | str, message_type: type[_Decoded]) -> _Decoded:
    """Decode JSON into an instance of ``message_type``.

    :raises MalformedMessageError: if the body does not match ``message_type``.
    """
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise MalformedMessageError(f'{exc}; correct this field') from exc


def decode_strict_json(body: bytes, message_type: type[_Decoded]) -> _Decoded:
    """Decode a JSON object and reject unknown fields.

    :raises MalformedMessageError: if the body does not match ``message_type``.
    """
    present = decode_json(body, dict[str, msgspec.Raw])
    known = {field.name for field in attrs.fields(cast('Any', message_type))}
    unknown = sorted(present.keys() - known)
    if unknown:
        raise MalformedMessageError(
            f'unknown fields {unknown}; remove or correct them',
        )
    return decode_json(body, message_type)


def encode_msgpack(message: object) -> bytes:
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_msgpack(body: bytes, message_type: type[_Decoded]) -> _Decoded:
    """Decode MessagePack into an instance of ``message_type``.

    :raises MalformedMessageError: if the body does not match ``message_type``.
    """
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise MalformedMessageError(f'{exc}; correct this field') from exc
