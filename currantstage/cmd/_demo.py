"""The ``demo`` command: a complete fleet on loopback in one process."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
import click
import uvloop

from currantstage.cmd._exit import ExitStatus
from currantstage.errors import CurrantstageError
from currantstage.protocol import KEY_HEADER, OUTCOME_HEADER, NoteState
from currantstage.standin import OPERATOR_KEY, LoopbackCluster
from currantstage.state import NoteId
from currantstage.transport import OperatorClient
from currantstage.util import catch_stop_signals

#: Maximum time until a note is in force on all entry VMs, in seconds.
ACCEPT_TIMEOUT_S = 20.0
_POLL_S = 0.05
_WITHDRAWAL_NOTE = "[note]\nid = withdraw-south\n[withdraw key south-1]\n"


class DemoError(CurrantstageError):
    """A step of the demo did not have the expected result."""


@click.command()
@click.option(
    "--keep", is_flag=True, help="Keep the fleet running until SIGINT or SIGTERM."
)
def demo(keep: bool) -> None:
    """Run a fleet on loopback: submit a note, send requests, withdraw a key.

    Example: currantstage demo --keep
    """
    try:
        uvloop.run(_run(keep))
    except CurrantstageError as error:
        click.echo(f"demo failed: {error}", err=True)
        sys.exit(ExitStatus.REFUSED)


async def _run(is_kept: bool) -> None:
    async with (
        LoopbackCluster() as cluster,
        OperatorClient(cluster.urls[0], OPERATOR_KEY) as operator,
        aiohttp.ClientSession() as caller,
    ):
        click.echo(f"{len(cluster.daemons)} entry VMs in 3 data centres are serving")
        await _submit(operator, cluster.note, NoteId("first-note"))
        for url in cluster.urls:
            await _expect(caller, url, "parcels", "north-1.north-secret", 200)
            await _expect(caller, url, "parcels", "south-1.south-secret", 200)
            await _expect(caller, url, "enquiries", None, 200)
        await _submit(operator, _WITHDRAWAL_NOTE, NoteId("withdraw-south"))
        for url in cluster.urls:
            await _expect(caller, url, "parcels", "south-1.south-secret", 403)
            await _expect(caller, url, "parcels", "north-1.north-secret", 200)
        ran = {name: len(each.bodies) for name, each in cluster.backends.items()}
        click.echo(f"requests run by backend servers: {ran}")
        click.echo("the demo passed")
        if is_kept:
            await _wait_for_signal(cluster)


async def _wait_for_signal(cluster: LoopbackCluster) -> None:
    """Print how to connect to the fleet and keep it running until a stop signal."""
    stopped = catch_stop_signals()
    click.echo(f"export CURRANTSTAGE_SERVER={cluster.urls[0]}")
    click.echo(f"export CURRANTSTAGE_OPERATOR_KEY={OPERATOR_KEY}")
    await stopped.wait()


async def _submit(operator: OperatorClient, text: str, note_id: NoteId) -> None:
    report = await operator.submit_note(text)
    async with asyncio.timeout(ACCEPT_TIMEOUT_S):
        while report.state is NoteState.COMMITTED:
            await asyncio.sleep(_POLL_S)
            report = await operator.note_status(note_id)
    if report.state is not NoteState.ACCEPTED:
        raise DemoError(f"note {note_id}: {report.state.value} {report.faults}")
    click.echo(f"note {note_id} accepted as generation {report.generation}")


async def _expect(
    caller: aiohttp.ClientSession, url: str, queue: str, key: str | None, status: int
) -> None:
    headers = {} if key is None else {KEY_HEADER: key}
    body = b"change of address 42"
    async with caller.post(
        f"{url}/v1/queues/{queue}", data=body, headers=headers
    ) as response:
        answer = await response.read()
    outcome = response.headers[OUTCOME_HEADER]
    click.echo(f"{queue} with key {key and key.split('.')[0]}: {outcome}, {answer!r}")
    if response.status != status or (status == 200 and not answer.endswith(body)):
        raise DemoError(f"expected {status}, got {response.status}")
