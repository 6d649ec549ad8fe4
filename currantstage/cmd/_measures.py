"""The ``report measures`` command."""

from __future__ import annotations

import asyncio
import sys

import click
import msgspec

from currantstage.cmd._exit import ExitStatus
from currantstage.cmd._note import call_server, server_options
from currantstage.cmd._table import render_records
from currantstage.coordination.limits import measure_shares
from currantstage.protocol import LoadReport, MeasuresReport, MissingMember
from currantstage.transport import OperatorCallError, OperatorClient

#: Timeout of the query to one entry VM, in seconds.
ANSWER_TIMEOUT_S = 5.0


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@server_options
def measures(as_json: bool, server: str, operator_key: str) -> None:
    """Report buffer cost, moves, roll-out time and each team's distance from its share.

    Exit status 1 means that an entry VM did not answer, so its loads are missing from
    the shares.

    Example: currantstage report measures --operator-key KEY
    """
    report = call_server(
        server, operator_key, lambda client: gather_measures(client, operator_key)
    )
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
    else:
        click.echo(render_measures(report))
    sys.exit(ExitStatus.REFUSED if report.silent else ExitStatus.OK)


async def gather_measures(client: OperatorClient, operator_key: str) -> MeasuresReport:
    """Query one entry VM for the fleet and every entry VM for its loads.

    Raises `OperatorCallError` if `client` gets no answer.
    """
    status = await client.fleet_status()
    fleet = await client.fleet()
    members = (await client.members()).members
    urls = [f"http://{member.http_address}" for member in members]
    replies = await asyncio.gather(*(_query_loads(url, operator_key) for url in urls))
    answers = [reply for reply in replies if isinstance(reply, LoadReport)]
    loads = [load for answer in answers for load in answer.loads]
    return MeasuresReport(
        generation=status.generation,
        answered=tuple(answer.entry_vm for answer in answers),
        silent=tuple(each for each in replies if isinstance(each, MissingMember)),
        data_centres=status.data_centres,
        waves=status.waves,
        shares=measure_shares(loads, fleet.teams),
    )


def render_measures(report: MeasuresReport) -> str:
    """Format the report as plain tables."""
    parts = [
        f"generation {report.generation}, {len(report.answered)} entry VMs answered",
        *(f"no answer: {each.address} ({each.reason})" for each in report.silent),
        "buffer (spare VMs serve at home; each costs one VM-hour an hour) and moves",
        render_records(report.data_centres),
        "roll-out",
        render_records(report.waves) if report.waves else "no wave",
        "shares on queues where somebody waits",
        render_records(report.shares) if report.shares else "no queue is full",
    ]
    return "\n".join(parts)


async def _query_loads(url: str, key: str) -> LoadReport | MissingMember:
    try:
        async with (
            asyncio.timeout(ANSWER_TIMEOUT_S),
            OperatorClient(url, key) as client,
        ):
            return await client.loads()
    except TimeoutError:
        return MissingMember(address=url, reason=f"no answer in {ANSWER_TIMEOUT_S:g} s")
    except OperatorCallError as error:
        return MissingMember(address=url, reason=str(error))
