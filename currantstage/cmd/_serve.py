"""The ``serve`` command: the daemon of an entry VM."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import eliot
import uvloop

from currantstage.application import Daemon, StartError
from currantstage.cmd._config import PATH, load_or_exit
from currantstage.cmd._exit import ExitStatus
from currantstage.util import catch_stop_signals

if TYPE_CHECKING:
    from currantstage.config import Settings


@click.command()
@click.option("--config", "path", type=PATH, required=True, help="Settings file.")
def serve(path: Path) -> None:
    """Serve as an entry VM until SIGTERM or SIGINT, then stop gracefully.

    Logs are JSON lines on standard output.

    Example: currantstage serve --config examples/entry-vm.ini
    """
    settings = load_or_exit(path)
    eliot.to_file(sys.stdout)
    try:
        uvloop.run(_serve(settings))
    except StartError as error:
        click.echo(f"can't start: {error}", err=True)
        sys.exit(ExitStatus.UNAVAILABLE)


async def _serve(settings: Settings) -> None:
    stopped = catch_stop_signals()
    daemon = Daemon.from_config(settings)
    await daemon.start()
    await stopped.wait()
    await daemon.close()
