"""Real daemons during and after an outage of the platform."""

from __future__ import annotations

import asyncio

import aiohttp
import uvloop

from currantstage.protocol import KEY_HEADER, NoteState
from currantstage.standin import OPERATOR_KEY, LoopbackCluster, PlatformMode
from currantstage.state import NoteId
from currantstage.transport import OperatorClient

KEY = "north-1.north-secret"


async def accept_first_note(cluster):
    text = cluster.note.replace("[note]", "[note]\nconfig_lease_s = 2")
    async with OperatorClient(cluster.urls[0], OPERATOR_KEY) as operator:
        report = await operator.submit_note(text)
        while report.state is NoteState.COMMITTED:
            await asyncio.sleep(0.02)
            report = await operator.note_status(NoteId("first-note"))


async def post_request(caller, url, queue, key=None):
    headers = {} if key is None else {KEY_HEADER: key}
    async with caller.post(
        f"{url}/v1/queues/{queue}", data=b"x", headers=headers
    ) as response:
        return response.status, await response.text()


async def wait_for_status(caller, url, status):
    answer = await post_request(caller, url, "parcels", KEY)
    while answer[0] != status:
        await asyncio.sleep(0.05)
        answer = await post_request(caller, url, "parcels", KEY)
    return answer[1]


def test_an_outage_longer_than_the_lease_stops_keyed_requests_only():
    async def check():
        async with LoopbackCluster() as cluster, aiohttp.ClientSession() as caller:
            await accept_first_note(cluster)
            url = cluster.urls[0]
            await wait_for_status(caller, url, 200)
            cluster.platform.mode = PlatformMode.DOWN
            text = await wait_for_status(caller, url, 503)
            assert "config-lease-lapsed" in text
            assert (await post_request(caller, url, "enquiries"))[0] == 200
            assert (await post_request(caller, url, "enquiries", KEY))[0] == 200
            cluster.platform.mode = PlatformMode.UP
            await wait_for_status(caller, url, 200)

    uvloop.run(check())
