"""Commands for release notes."""

from __future__ import annotations

import asyncio
import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click
import msgspec
import uvloop

from currantstage.cmd._config import FILE_PATH
from currantstage.cmd._exit import ExitStatus
from currantstage.protocol import (
    NoteDiff,
    NoteReport,
    NoteState,
    NoteSyntaxError,
    parse_note,
)
from currantstage.state import NoteId
from currantstage.transport import (
    OperatorCallError,
    OperatorClient,
    OperatorRefusedError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantstage.state import ReleaseNote

T = TypeVar("T")
F = TypeVar("F", bound="Callable[..., Any]")

#: Interval between queries of a note's progress, in seconds.
PROGRESS_POLL_S = 0.25


def server_options(command: F) -> F:
    """Add the options for the entry VM's address and the operators' key."""
    server = click.option(
        "--server",
        envvar="CURRANTSTAGE_SERVER",
        default="http://127.0.0.1:8080",
        show_default=True,
        help="Address of an entry VM.",
    )
    key = click.option(
        "--operator-key",
        envvar="CURRANTSTAGE_OPERATOR_KEY",
        required=True,
        help="The operators' key.",
    )
    return server(key(command))


def call_server(
    server: str, key: str, call: Callable[[OperatorClient], Awaitable[T]]
) -> T:
    """Return the result of `call`; if the call fails, print the reason and exit."""

    async def connect_and_call() -> T:
        async with OperatorClient(server, key) as client:
            return await call(client)

    try:
        return uvloop.run(connect_and_call())
    except OperatorCallError as error:
        click.echo(f"no answer: {error}", err=True)
        sys.exit(ExitStatus.UNAVAILABLE)


@click.group()
def note() -> None:
    """Check, submit and follow release notes."""


@note.command()
@click.argument("path", type=FILE_PATH)
@click.option(
    "--server", help="Check against the fleet in force, read from this entry VM."
)
@click.option(
    "--operator-key",
    envvar="CURRANTSTAGE_OPERATOR_KEY",
    default="",
    help="The operators' key, needed with --server.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def check(path: Path, server: str | None, operator_key: str, as_json: bool) -> None:
    """Print every fault of the release note at PATH without submitting it.

    Without --server, only the note's text is checked. Exit status 0 means no fault, 1
    faults against the fleet, 2 a file that cannot be read or parsed.

    Example: currantstage note check first-note.ini --server http://127.0.0.1:8080
    """
    text = _read_or_exit(path)
    parsed = _parse_or_exit(text, path)
    if server is None:
        report = NoteReport(state=NoteState.VALID)
    else:
        report = call_server(
            server, operator_key, lambda client: client.check_note(text)
        )
    if not as_json:
        click.echo(f"{path}: note {parsed.note_id}: {_format_report(report)}")
    _exit_with_report(report, as_json)


@note.command()
@click.argument("path", type=FILE_PATH)
@click.option(
    "--wait-s", default=60.0, show_default=True, help="Longest wait, in seconds."
)
@click.option("--json", "as_json", is_flag=True, help="Print the last report as JSON.")
@server_options
def submit(
    path: Path, wait_s: float, as_json: bool, server: str, operator_key: str
) -> None:
    """Submit the release note at PATH and wait until it is in force everywhere.

    Exit status 0 means accepted, 1 refused or not accepted within the wait.

    Example: currantstage note submit first-note.ini --operator-key KEY
    """
    text = _read_or_exit(path)
    parsed = _parse_or_exit(text, path)
    follow = partial(_submit_and_follow, text, parsed.note_id, wait_s, not as_json)
    _exit_with_report(call_server(server, operator_key, follow), as_json)


@note.command()
@click.argument("note_id")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@server_options
def status(note_id: str, as_json: bool, server: str, operator_key: str) -> None:
    """Print the progress of the note NOTE_ID and the entry VMs that lack it.

    Example: currantstage note status first-note --operator-key KEY
    """
    report = call_server(
        server, operator_key, lambda client: client.note_status(NoteId(note_id))
    )
    if not as_json:
        click.echo(_format_report(report))
    _exit_with_report(report, as_json)


@note.command()
@click.argument("note_id", required=False)
@click.option("--diff", "as_diff", is_flag=True, help="Print what the note changed.")
@click.option("--json", "as_json", is_flag=True, help="Print the changes as JSON.")
@server_options
def show(
    note_id: str | None, as_diff: bool, as_json: bool, server: str, operator_key: str
) -> None:
    """Print as JSON the fleet in force, or what one note changed.

    With --diff, the changes of NOTE_ID are printed, or those of the newest note.

    Example: currantstage note show --diff second-note --operator-key KEY
    """
    if as_diff or note_id is not None:
        selected_id = None if note_id is None else NoteId(note_id)
        diff = call_server(
            server, operator_key, lambda client: client.note_diff(selected_id)
        )
        click.echo(msgspec.json.encode(diff) if as_json else _format_diff(diff))
        return
    fleet = call_server(server, operator_key, lambda client: client.fleet())
    click.echo(msgspec.json.format(msgspec.json.encode(fleet)).decode())


async def _submit_and_follow(
    text: str, note_id: NoteId, wait_s: float, is_verbose: bool, client: OperatorClient
) -> NoteReport:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + wait_s
    # Submission is idempotent by the note's id, so it may be repeated after a lost
    # answer.
    report = await _retry_until(lambda: client.submit_note(text), deadline_s)
    printed = ""
    while True:
        if is_verbose and _format_report(report) != printed:
            printed = _format_report(report)
            click.echo(printed)
        if report.state is not NoteState.COMMITTED or loop.time() > deadline_s:
            return report
        await asyncio.sleep(PROGRESS_POLL_S)
        report = await _retry_until(lambda: client.note_status(note_id), deadline_s)


async def _retry_until(call: Callable[[], Awaitable[T]], deadline_s: float) -> T:
    """Retry a call that gets no answer until `deadline_s` on the loop's clock."""
    loop = asyncio.get_running_loop()
    while True:
        try:
            return await call()
        except OperatorRefusedError:
            raise
        except OperatorCallError:
            if loop.time() > deadline_s:
                raise
        await asyncio.sleep(PROGRESS_POLL_S)


def _format_report(report: NoteReport) -> str:
    text = report.state.value
    if report.generation is not None:
        text += f", generation {report.generation}"
    if report.waiting_for:
        text += f", waiting for {', '.join(report.waiting_for)}"
    if report.waiting_for and report.longest_wait_s is not None:
        text += f" (at most {report.longest_wait_s:.0f} s)"
    if report.waiting_for_teams:
        text += f", teams above their limit: {', '.join(report.waiting_for_teams)}"
    return "\n".join((text, *(f"  {fault}" for fault in report.faults)))


def _format_diff(diff: NoteDiff) -> str:
    changes = diff.changes
    lines = [f"note {changes.note_id}, generation {changes.generation}"]
    before_s, after_s = changes.config_lease_s
    if before_s != after_s:
        lines.append(f"config_lease_s: {before_s:g} -> {after_s:g}")
    current_item = None
    for change in changes.changes:
        if change.item != current_item:
            current_item = change.item
            lines.append(f"[{change.item}]")
        if change.name:
            before = f"{change.before} -> " if change.before else ""
            lines.append(f"  {change.name}: {before}{change.after}")
    return "\n".join(lines)


def _exit_with_report(report: NoteReport, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
    is_success = report.state in (NoteState.ACCEPTED, NoteState.VALID)
    sys.exit(ExitStatus.OK if is_success else ExitStatus.REFUSED)


def _read_or_exit(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(ExitStatus.USAGE)


def _parse_or_exit(text: str, path: Path) -> ReleaseNote:
    try:
        return parse_note(text)
    except NoteSyntaxError as error:
        for fault in error.faults:
            click.echo(f"{path}: {fault}", err=True)
        sys.exit(ExitStatus.USAGE)
