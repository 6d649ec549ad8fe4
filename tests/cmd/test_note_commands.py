"""Tests of the note and key commands against daemons on loopback."""

from __future__ import annotations

import asyncio
import json
import sys

import msgspec
import uvloop
from click.testing import CliRunner

from currantstage.cmd import main
from currantstage.coordination.requests import digest_secret
from currantstage.protocol import NoteReport, NoteState
from currantstage.standin import OPERATOR_KEY, LoopbackCluster, PlatformMode

SECOND_NOTE = """
[note]
id = second
[change team north]
share = 3
[withdraw key south-1]
"""


async def run(url, *arguments):
    """Run a command as a process; return its exit status and output."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "currantstage", *arguments),
        env={"CURRANTSTAGE_SERVER": url, "CURRANTSTAGE_OPERATOR_KEY": OPERATOR_KEY},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


def test_a_note_is_checked_submitted_and_shown(tmp_path):
    first, second, bad = (tmp_path / name for name in ("first", "second", "bad"))
    second.write_text(SECOND_NOTE)
    bad.write_text("[note]\nid = bad\n[withdraw team north]\n")

    async def check():
        async with LoopbackCluster() as cluster:
            first.write_text(cluster.note)
            url = cluster.urls[0]
            status, output = await run(url, "note", "submit", str(first))
            assert (status, output.splitlines()[-1]) == (0, "accepted, generation 1")
            status, output = await run(url, "note", "check", str(bad), "--server", url)
            assert (status, "team north does not exist" in output) == (1, True)
            status, output = await run(
                cluster.urls[1], "note", "check", str(second), "--server", url
            )
            assert (status, output.split(": ")[-1]) == (0, "valid, generation 2\n")
            status, output = await run(url, "note", "submit", str(second), "--json")
            report = msgspec.json.decode(output, type=NoteReport)
            assert (status, report.state) == (0, NoteState.ACCEPTED)
            status, output = await run(url, "note", "show", "--diff", "second")
            assert (status, output.splitlines()[1:]) == (
                0,
                [
                    "[change team north]",
                    "  share: 2.0 -> 3.0",
                    "[withdraw key south-1]",
                ],
            )
            cluster.platform.mode = PlatformMode.DOWN
            status, output = await run(url, "note", "status", "second")
            assert (status, "StoreUnreachableError" in output) == (3, True)
            cluster.platform.mode = PlatformMode.UP

    uvloop.run(check())


def test_generated_key_matches_its_secret_and_only_its_digest_is_printed():
    runner = CliRunner()
    secret = "a-secret-of-some-length"
    arguments = ["key", "make", "north-2", "--team", "north"]
    result = runner.invoke(main, [*arguments, "--secret-stdin"], input=f"{secret}\n")
    assert result.exit_code == 0
    values = dict(
        line.split(" = ") for line in result.stdout.splitlines() if " = " in line
    )
    assert digest_secret(values["salt"], secret) == values["digest"]
    assert secret not in result.stdout
    made = json.loads(runner.invoke(main, [*arguments, "--json"]).stdout)
    made_secret = made["presented"].removeprefix("north-2.")
    assert digest_secret(made["salt"], made_secret) == made["digest"]


def test_a_short_secret_is_refused():
    arguments = ["key", "make", "k", "--team", "north", "--secret-stdin"]
    result = CliRunner().invoke(main, arguments, input="short\n")
    assert result.exit_code == 2
