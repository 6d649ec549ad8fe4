"""Tests of the commands that show the fleet, against daemons on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import sys

import uvloop

from currantstage.protocol import NoteState
from currantstage.standin import OPERATOR_KEY, LoopbackCluster
from currantstage.state import NoteId
from currantstage.transport import OperatorClient

WAVE = """
[note]
id = wave
[add wave spring]
pools = parcels-a, parcels-b, parcels-c
period_s = 86400
"""


async def run(url, *arguments):
    """Run a command as a process; return its exit status and output."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "currantstage", *arguments),
        env={
            **os.environ,
            "CURRANTSTAGE_SERVER": url,
            "CURRANTSTAGE_OPERATOR_KEY": OPERATOR_KEY,
        },
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def submit(operator, text, name):
    report = await operator.submit_note(text)
    while report.state is NoteState.COMMITTED:
        await asyncio.sleep(0.02)
        report = await operator.note_status(NoteId(name))
    assert report.state is NoteState.ACCEPTED


def test_fleet_state_is_shown_and_a_wave_completes():
    async def check():
        async with (
            asyncio.timeout(90),
            LoopbackCluster() as cluster,
            OperatorClient(cluster.urls[0], OPERATOR_KEY) as operator,
        ):
            url = cluster.urls[0]
            await submit(operator, cluster.note, "first-note")
            await submit(operator, WAVE, "wave")
            while True:
                status = await operator.fleet_status()
                if status.waves[0].round and not status.waves[0].left:
                    break
                assert all(each.unavailable <= 1 for each in status.pools)
                await asyncio.sleep(0.1)
            assert len(cluster.platform.content.reboots) == 6
            status, output = await run(url, "fleet", "show")
            assert status == 0
            assert "parcels-a" in output
            status, output = await run(url, "vm", "show", "a1", "--json")
            assert (status, json.loads(output)[0]["state"]) == (0, "serving")
            status, output = await run(url, "wave", "show")
            assert (status, "spring" in output) == (0, True)
            status, output = await run(url, "key", "show")
            assert (status, "north-1" in output) == (0, True)
            digests = [key.digest for key in (await operator.fleet()).keys.values()]
            assert not any(digest in output for digest in digests)
            status, output = await run(url, "pool", "show", "ghost")
            assert status == 1
            status, output = await run("http://127.0.0.1:1", "team", "show")
            assert status == 3

    uvloop.run(check())
