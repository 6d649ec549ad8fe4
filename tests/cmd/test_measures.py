"""Tests of the report on buffer, moves, roll-out and shares."""

from __future__ import annotations

import asyncio

import aiohttp
import uvloop

from currantstage.cmd import gather_measures, render_measures
from currantstage.protocol import KEY_HEADER, NoteState
from currantstage.standin import OPERATOR_KEY, LoopbackCluster
from currantstage.state import NoteId
from currantstage.transport import OperatorClient

TIMEOUT_S = 60
SLOTS = 16


def test_waiting_teams_are_reported_and_only_members_are_queried():
    async def check():
        async with (
            asyncio.timeout(TIMEOUT_S),
            LoopbackCluster() as cluster,
            OperatorClient(cluster.urls[0], OPERATOR_KEY) as operator,
            aiohttp.ClientSession() as caller,
        ):
            report = await operator.submit_note(cluster.note)
            while report.state is NoteState.COMMITTED:
                await asyncio.sleep(0.02)
                report = await operator.note_status(NoteId("first-note"))
            for backend in cluster.backends.values():
                backend.duration_s = 1.0
            posts = [
                asyncio.create_task(
                    caller.post(
                        f"{cluster.urls[0]}/v1/queues/parcels",
                        headers={KEY_HEADER: "north-1.north-secret"},
                    )
                )
                for _ in range(SLOTS + 8)
            ]
            found = await gather_measures(operator, OPERATOR_KEY)
            while not found.shares:
                found = await gather_measures(operator, OPERATOR_KEY)
            assert {each.team for each in found.shares} == {"north"}
            assert len(found.answered) == 3
            assert "parcels" in render_measures(found)
            await asyncio.gather(*posts)
            await cluster.daemons[2].close()
            found = await gather_measures(operator, OPERATOR_KEY)
            assert len(found.answered) == 2

    uvloop.run(check())
