"""Decoding of messages that other programs write."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from currantstage.errors import CurrantstageError

_MessageT = TypeVar("_MessageT")


class UndecodableError(CurrantstageError):
    """Bytes that are no message of the expected type."""


def decode_json(value: bytes | str, message_type: type[_MessageT]) -> _MessageT:
    """Decode JSON text; raises `UndecodableError` whatever the text contains.

    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    >>> decode_json(b"[" * 100_000, list[int])
    Traceback (most recent call last):
    currantstage.util._decoding.UndecodableError: ...
    """
    try:
        return msgspec.json.decode(value, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UndecodableError(str(error)) from error


def decode_msgpack(value: bytes, message_type: type[_MessageT]) -> _MessageT:
    """Decode MessagePack; raises `UndecodableError` whatever the bytes contain."""
    try:
        return msgspec.msgpack.decode(value, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UndecodableError(str(error)) from error
