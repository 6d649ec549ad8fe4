"""Commands that report on the quality of the service."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
import uvloop

from currantstage.cmd._burn_gathering import gather_burn
from currantstage.cmd._burn_page import render_page
from currantstage.cmd._burn_table import render_table
from currantstage.cmd._config import FILE_PATH
from currantstage.cmd._exit import ExitStatus
from currantstage.cmd._measures import measures
from currantstage.coordination.requests import Alert
from currantstage.transport import OperatorCallError


@click.group()
def report() -> None:
    """Report on the service's objectives."""


report.add_command(measures)


@report.command()
@click.option(
    "--server",
    "servers",
    multiple=True,
    envvar="CURRANTSTAGE_SERVER",
    default=("http://127.0.0.1:8080",),
    show_default=True,
    help="Address of an entry VM; repeat it to name several.",
)
@click.option(
    "--operator-key",
    envvar="CURRANTSTAGE_OPERATOR_KEY",
    required=True,
    help="The operators' key.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@click.option(
    "--html",
    "page",
    type=FILE_PATH,
    help="Also write a self-contained HTML page to this path.",
)
def burn(
    servers: tuple[str, ...], operator_key: str, as_json: bool, page: Path | None
) -> None:
    """Report how fast each queue and team uses up its error budget.

    Every entry VM with a row in the table is queried, and those that do not answer are
    listed. Exit status 0 means that no budget burns fast enough to page.

    Example: currantstage report burn --operator-key KEY --html burn.html
    """
    try:
        found = uvloop.run(gather_burn(servers, operator_key))
    except OperatorCallError as error:
        click.echo(f"no answer: {error}", err=True)
        sys.exit(ExitStatus.UNAVAILABLE)
    if page is not None:
        page.write_text(render_page(found), encoding="utf-8")
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
    else:
        click.echo(render_table(found))
    is_paged = any(each.alert is Alert.PAGE for each in found.budgets)
    sys.exit(ExitStatus.REFUSED if is_paged else ExitStatus.OK)
