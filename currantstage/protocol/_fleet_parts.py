"""Split a fleet into frames, for peers that can't reach the object store."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct

from currantstage.protocol._errors import DecodeError
from currantstage.state import FIRST_GENERATION, Fleet, Generation
from currantstage.util import UndecodableError, decode_msgpack

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Maximum size of the part of a fleet in one frame, in bytes.
MAX_PART_BYTES = 48 * 1024
#: Maximum size of a decompressed fleet, in bytes.
MAX_FLEET_BYTES = 16 * 1024 * 1024


class FleetPart(Struct, frozen=True, kw_only=True, tag="fleet-part"):
    """One part of an encoded and compressed fleet.

    Parameters
    ----------
    generation : Generation
    index, count : int
        Position of the part, and the number of parts.
    content : bytes
    """

    generation: Generation
    index: int
    count: int
    content: bytes


def split_fleet(fleet: Fleet) -> Iterable[FleetPart]:
    """Yield the parts of `fleet`."""
    body = zlib.compress(msgspec.msgpack.encode(fleet))
    starts = range(0, len(body), MAX_PART_BYTES)
    for index, start in enumerate(starts):
        yield FleetPart(
            generation=fleet.generation,
            index=index,
            count=len(starts),
            content=body[start : start + MAX_PART_BYTES],
        )


class FleetAssembler:
    """Reassembles the newest fleet from parts that arrive in any order."""

    def __init__(self) -> None:
        self._generation = FIRST_GENERATION
        self._parts: dict[int, bytes] = {}

    def add(self, part: FleetPart) -> Fleet | None:
        """Return the fleet once all parts have arrived; raises `DecodeError`."""
        if part.generation < self._generation:
            return None
        if part.generation > self._generation:
            self._generation = part.generation
            self._parts = {}
        self._parts[part.index] = part.content
        if any(index not in self._parts for index in range(part.count)):
            return None
        body = b"".join(self._parts[index] for index in range(part.count))
        self._parts = {}
        return _decode_fleet(body)


def _decode_fleet(body: bytes) -> Fleet:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(body, MAX_FLEET_BYTES)
        return decode_msgpack(content, Fleet)
    except (zlib.error, UndecodableError) as error:
        raise DecodeError(str(error)) from error
