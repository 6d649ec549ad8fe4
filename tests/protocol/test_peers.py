"""Tests of authenticating and decoding frames between entry VMs."""

from __future__ import annotations

import pytest

from currantstage.protocol import (
    MAX_FRAME_BYTES,
    DecodeError,
    Heartbeat,
    PeerFrame,
    decode_frame,
    encode_frame,
)
from currantstage.state import EntryVmId, Generation, IncarnationId

FRAME = PeerFrame(
    sender=EntryVmId("a"),
    incarnation=IncarnationId("1"),
    receiver=EntryVmId("b"),
    message=Heartbeat(generation=Generation(3)),
)


def test_frame_round_trips():
    assert decode_frame(encode_frame(FRAME, b"secret"), b"secret") == FRAME


@pytest.mark.parametrize("position", [0, 31, 32, -1])
def test_modified_frame_is_refused(position):
    data = bytearray(encode_frame(FRAME, b"secret"))
    data[position] ^= 1
    with pytest.raises(DecodeError):
        decode_frame(bytes(data), b"secret")


@pytest.mark.parametrize("data", [b"", b"x" * 31, b"x" * (MAX_FRAME_BYTES + 1)])
def test_invalid_frame_is_refused(data):
    with pytest.raises(DecodeError):
        decode_frame(data, b"secret")
