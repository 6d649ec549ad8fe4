"""Commands on jobs."""

from __future__ import annotations

import asyncio
import secrets
import sys
from typing import TYPE_CHECKING, Any, TypeVar

import click
import msgspec

from currantstage.cmd._exit import ExitStatus
from currantstage.cmd._job_report import read_spans, render_report
from currantstage.cmd._job_timeline import read_timeline, render_timeline
from currantstage.protocol.jobs import CallRefusal
from currantstage.state import QueueId
from currantstage.state.jobs import JobId, is_job_id
from currantstage.transport import JobCallError, JobClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantstage.protocol.jobs import JobAnswer

F = TypeVar("F", bound="Callable[..., Any]")

#: Bytes of an id that the command chooses.
JOB_ID_BYTES = 8


def _job_options(command: F) -> F:
    """Add the options that say which daemon is called, and with which key."""
    server = click.option(
        "--server",
        envvar="CURRANTSTAGE_SERVER",
        required=True,
        help="http://IP:port of a daemon.",
    )
    key = click.option(
        "--key",
        envvar="CURRANTSTAGE_KEY",
        default="",
        help="The team's key; not needed on a queue that is open to all.",
    )
    as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    return server(key(as_json(command)))


def _check_id(_: click.Context, __: click.Parameter, value: str | None) -> str | None:
    if value is not None and not is_job_id(value):
        raise click.BadParameter("a job's id has 16 hexadecimal digits")
    return value


@click.group()
def job() -> None:
    """Submit, show and cancel jobs."""


@job.command()
@click.argument("queue")
@click.argument("body", type=click.File("rb"))
@click.option("--id", "job_id", callback=_check_id, help="By default a new one.")
@_job_options
def submit(
    queue: str, body: Any, job_id: str | None, server: str, key: str, as_json: bool
) -> None:
    """Submit the job in the JSON file BODY to QUEUE, and print its id.

    The call may be repeated with the same id; it remains one job.

    Example: currantstage job submit complaints job.json --key KEY
    """
    chosen = JobId(job_id or secrets.token_hex(JOB_ID_BYTES))
    text = body.read()
    answer = _call(server, key, lambda c: c.submit(QueueId(queue), chosen, text))
    _finish(answer, chosen, as_json)


@job.command()
@click.argument("queue")
@click.argument("job_id", metavar="JOB", callback=_check_id)
@_job_options
def show(queue: str, job_id: str, server: str, key: str, as_json: bool) -> None:
    """Print how far JOB of QUEUE is.

    Example: currantstage job show complaints 5c0e7a21d94b36f8
    """
    answer = _call(server, key, lambda c: c.show(QueueId(queue), JobId(job_id)))
    _finish(answer, answer.state.value if answer.state else "", as_json)


@job.command()
@click.argument("queue")
@click.argument("job_id", metavar="JOB", callback=_check_id)
@_job_options
def cancel(queue: str, job_id: str, server: str, key: str, as_json: bool) -> None:
    """Cancel JOB of QUEUE.

    Example: currantstage job cancel complaints 5c0e7a21d94b36f8
    """
    answer = _call(server, key, lambda c: c.cancel(QueueId(queue), JobId(job_id)))
    _finish(answer, "cancelled", as_json)


@job.command()
@click.argument("queue")
@_job_options
def waiting(queue: str, server: str, key: str, as_json: bool) -> None:
    """Print how many jobs of QUEUE have begun no task.

    Example: currantstage job waiting complaints
    """
    answer = _call(server, key, lambda c: c.count_waiting(QueueId(queue)))
    _finish(answer, str(answer.waiting), as_json)


@job.command()
@click.argument("job_id", metavar="JOB", callback=_check_id)
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def explain(job_id: str, logs: tuple[Any, ...]) -> None:
    """Print what the LOGS of the daemons say of JOB, in order of time.

    Example: currantstage job explain 5c0e7a21d94b36f8 entry-*.log
    """
    lines = (line for log in logs for line in log)
    timeline = read_timeline(lines, job_id)
    click.echo(render_timeline(timeline))
    sys.exit(ExitStatus.OK if timeline else ExitStatus.REFUSED)


@job.command()
@click.option(
    "--by",
    "group_by",
    type=click.Choice(("queue", "team")),
    default="queue",
    show_default=True,
    help="What the jobs are grouped by.",
)
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def report(group_by: str, logs: tuple[Any, ...]) -> None:
    """Print from the LOGS of the daemons where the time of jobs went.

    Example: currantstage job report --by team entry-*.log
    """
    jobs = read_spans(line for log in logs for line in log)
    if not jobs:
        click.echo("no job was accepted according to the logs", err=True)
        sys.exit(ExitStatus.REFUSED)
    click.echo(render_report(jobs, group_by))


def _call(
    server: str, key: str, ask: Callable[[JobClient], Awaitable[JobAnswer]]
) -> JobAnswer:
    async def run() -> JobAnswer:
        async with JobClient(server, key) as client:
            return await ask(client)

    try:
        return asyncio.run(run())
    except JobCallError as error:
        click.echo(str(error), err=True)
        sys.exit(ExitStatus.UNAVAILABLE)


def _finish(answer: JobAnswer, text: str, as_json: bool) -> None:
    """Print an answer and exit with what it means."""
    if as_json:
        click.echo(msgspec.json.encode(answer).decode())
    elif answer.refusal is None:
        click.echo(text)
    else:
        click.echo(f"refused: {answer.refusal.value}", err=True)
    if answer.refusal in (CallRefusal.UNAVAILABLE, CallRefusal.IN_DOUBT):
        sys.exit(ExitStatus.UNAVAILABLE)
    sys.exit(ExitStatus.REFUSED if answer.refusal else ExitStatus.OK)
