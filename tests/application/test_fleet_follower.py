"""The fleet duty, drains and their acknowledgement with real daemons on loopback."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import uvloop

from currantstage.protocol import KEY_HEADER, NoteState, decode_rows
from currantstage.standin import OPERATOR_KEY, LoopbackCluster
from currantstage.state import NoteId, VmRow
from currantstage.transport import OperatorClient

MOVE = """
[note]
id = move
[add pool letters-a]
data_centre = a
[change vm a1]
pool = letters-a
[add queue letters]
pools = letters-a
access = open
"""
HEADERS = {KEY_HEADER: "north-1.north-secret"}


async def submit(operator, text, name):
    report = await operator.submit_note(text)
    while report.state is NoteState.COMMITTED:
        await asyncio.sleep(0.02)
        report = await operator.note_status(NoteId(name))
    assert report.state is NoteState.ACCEPTED


def read_vm(cluster, name) -> VmRow | None:
    rows = cluster.platform.content.read(f"vm/{name}")
    if not rows.rows:
        return None
    (row,) = decode_rows(msgspec.json.encode(rows))
    return row.record


def test_a_move_waits_for_the_running_request_and_then_serves_the_new_pool():
    async def check():
        async with (
            asyncio.timeout(60),
            LoopbackCluster() as cluster,
            OperatorClient(cluster.urls[0], OPERATOR_KEY) as operator,
            aiohttp.ClientSession() as caller,
        ):
            await submit(operator, cluster.note, "first-note")
            while read_vm(cluster, "a1") is None:
                await asyncio.sleep(0.05)
            url = cluster.urls[0]
            a1 = cluster.backends["a1"]
            a1.duration_s = 4.0
            running = asyncio.create_task(post_until_runs_on(caller, url, a1))
            while not a1.running:
                await asyncio.sleep(0.02)
            await submit(operator, MOVE, "move")
            while read_vm(cluster, "a1").disruption is None:
                await asyncio.sleep(0.02)
            assert read_vm(cluster, "a1").pool == "parcels-a"
            response = await running
            assert (response.status, await response.read()) == (200, b"a1:x")
            a1.duration_s = 0.0
            while read_vm(cluster, "a1").pool != "letters-a":
                await asyncio.sleep(0.05)
            status = 0
            while status != 200:
                async with caller.post(f"{url}/v1/queues/letters", data=b"y") as reply:
                    status = reply.status
            bodies = len(a1.bodies)
            for _ in range(4):
                async with caller.post(
                    f"{url}/v1/queues/parcels", data=b"z", headers=HEADERS
                ) as reply:
                    assert await reply.read() == b"a2:z"
            assert len(a1.bodies) == bodies

    uvloop.run(check())


async def post_until_runs_on(caller, url, backend):
    while True:
        response = await caller.post(
            f"{url}/v1/queues/parcels", data=b"x", headers=HEADERS
        )
        if backend.bodies:
            return response
