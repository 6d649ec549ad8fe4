"""Tests of the sockets between entry VMs."""

from __future__ import annotations

import asyncio

import uvloop

from currantstage.standin import find_free_ports
from currantstage.state import EntryVmId
from currantstage.transport import PeerSockets
from tests.jobs.captured_log import captured_log

TIMEOUT_S = 60
ROUNDS = 30
FRAMES_PER_ROUND = 50


def test_frame_that_can_not_be_handled_does_not_end_the_receipt():
    """A daemon heard nothing of its peers any more."""

    async def receive_two():
        sender_port, receiver_port = find_free_ports(2)
        receiver_id = EntryVmId("receiver")
        received = []
        is_complete = asyncio.Event()

        def handle(frame: bytes) -> None:
            received.append(frame)
            if len(received) == 1:
                raise ValueError("wrong")
            is_complete.set()

        sender = PeerSockets(f"127.0.0.1:{sender_port}", lambda frame: None)
        receiver = PeerSockets(f"127.0.0.1:{receiver_port}", handle)
        await sender.start()
        await receiver.start()
        sender.connect(receiver_id, f"127.0.0.1:{receiver_port}")
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while not is_complete.is_set():
                    sender.send(receiver_id, b"frame")
                    await asyncio.sleep(0.01)
        finally:
            await sender.close()
            await receiver.close()

    with captured_log() as log:
        uvloop.run(receive_two())
    assert [line["reason"] for line in log.lines("task-failed")] == [
        "ValueError('wrong')"
    ]


def test_close_returns_while_frames_arrive():
    """Guards against a `close` that never returns.

    The library may report a cancelled receive as an error of its own, on which the
    receive loop must not continue.
    """

    async def close_repeatedly():
        sender_port, receiver_port = find_free_ports(2)
        receiver_id = EntryVmId("receiver")
        sender = PeerSockets(f"127.0.0.1:{sender_port}", lambda frame: None)
        await sender.start()
        sender.connect(receiver_id, f"127.0.0.1:{receiver_port}")
        for _ in range(ROUNDS):
            arrived = asyncio.Event()
            receiver = PeerSockets(
                f"127.0.0.1:{receiver_port}", lambda _, event=arrived: event.set()
            )
            await receiver.start()
            while not arrived.is_set():
                sender.send(receiver_id, b"first")
                await asyncio.sleep(0.01)
            for _ in range(FRAMES_PER_ROUND):
                sender.send(receiver_id, b"frame")
            await asyncio.sleep(0)
            await receiver.close()
        await sender.close()

    async def run_with_timeout():
        async with asyncio.timeout(TIMEOUT_S):
            await close_repeatedly()

    uvloop.run(run_with_timeout())
