"""Team limits and worker slots across real daemons."""

from __future__ import annotations

import asyncio
from string import Template

import aiohttp
import pytest
import uvloop

from currantstage.protocol import KEY_HEADER, NoteState
from currantstage.standin import OPERATOR_KEY, LoopbackCluster
from currantstage.state import NoteId
from currantstage.transport import OperatorClient

REQUESTS = 12
CHANGE = Template(
    "[note]\nid = tight\n[change team south]\nupper_limit_slots = $limit\n"
    "[withdraw vm a1]\n[withdraw vm a2]\n[add vm only]\npool = parcels-a\n"
    "rack = a-r1\naddress = $address\nslots = $slots\n"
)


async def submit(operator, text, note_id):
    report = await operator.submit_note(text)
    while report.state is NoteState.COMMITTED:
        await asyncio.sleep(0.02)
        report = await operator.note_status(NoteId(note_id))
    assert report.state is NoteState.ACCEPTED


async def post(caller, url, number):
    headers = {KEY_HEADER: "south-1.south-secret"}
    async with caller.post(
        f"{url}/v1/queues/parcels", data=str(number).encode(), headers=headers
    ) as response:
        await response.read()
        return response.status


async def post_until_served(caller, url, number):
    while await post(caller, url, number) != 200:
        await asyncio.sleep(0.02)


@pytest.mark.parametrize(("limit", "slots"), [(1, 8), (3, 8), (24, 1)])
def test_two_entry_vms_together_stay_within_limit_and_slots(limit, slots):
    async def check():
        async with (
            LoopbackCluster(daemons_per_data_centre=2) as cluster,
            OperatorClient(cluster.urls[0], OPERATOR_KEY) as operator,
            aiohttp.ClientSession() as caller,
        ):
            await submit(operator, cluster.note, "first-note")
            address = f"127.0.0.1:{cluster.backend_ports[0]}"
            change = CHANGE.substitute(limit=limit, slots=slots, address=address)
            await submit(operator, change, "tight")
            backend = cluster.backends["a1"]
            backend.duration_s = 0.01
            urls = [cluster.urls[0], cluster.urls[3]]
            await asyncio.gather(
                *(
                    post_until_served(caller, urls[number % 2], number)
                    for number in range(REQUESTS)
                )
            )
            assert len(backend.bodies) == REQUESTS
            async with caller.get(f"{urls[0]}/metrics") as response:
                text = await response.text()
            assert 'currantstage_allotment_used_slots{team="south"} 0.0' in text
            assert 'currantstage_allotment_held_slots{team="south"}' in text
            assert backend.peak_running <= min(limit, slots)

    uvloop.run(check())
