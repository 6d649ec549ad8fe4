"""Sockets between entry VMs."""

from __future__ import annotations

import asyncio

import uvloop

from currantstage.standin import find_free_ports
from currantstage.state import EntryVmId
from currantstage.transport import PeerSockets

TIMEOUT_S = 60
ROUNDS = 30
FRAMES = 50


def test_closing_while_frames_arrive_always_ends():
    """A cancelled receive that the library turns into an error must not go on."""

    async def check():
        sender_port, receiver_port = find_free_ports(2)
        receiver_name = EntryVmId("receiver")
        sender = PeerSockets(f"127.0.0.1:{sender_port}", lambda frame: None)
        await sender.start()
        sender.connect(receiver_name, f"127.0.0.1:{receiver_port}")
        for _ in range(ROUNDS):
            arrived = asyncio.Event()
            receiver = PeerSockets(
                f"127.0.0.1:{receiver_port}", lambda _, seen=arrived: seen.set()
            )
            await receiver.start()
            while not arrived.is_set():
                sender.send(receiver_name, b"first")
                await asyncio.sleep(0.01)
            for _ in range(FRAMES):
                sender.send(receiver_name, b"frame")
            await asyncio.sleep(0)
            await receiver.close()
        await sender.close()

    async def check_in_time():
        async with asyncio.timeout(TIMEOUT_S):
            await check()

    uvloop.run(check_in_time())
