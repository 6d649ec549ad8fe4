"""Commands for settings files."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from currantstage.cmd._exit import ExitStatus
from currantstage.config import ConfigError, JobSettings, Settings, load_settings

FILE_PATH = click.Path(path_type=Path, dir_okay=False)


def load_or_exit(path: Path) -> Settings | JobSettings:
    """Load the settings at `path`; on faults, print all of them and exit."""
    try:
        return load_settings(path)
    except ConfigError as error:
        for fault in error.faults:
            click.echo(f"{path}: {fault}", err=True)
        sys.exit(ExitStatus.USAGE)


@click.group()
def config() -> None:
    """Check settings files."""


@config.command()
@click.argument("path", type=FILE_PATH)
@click.option("--json", "as_json", is_flag=True, help="Print the faults as JSON.")
def check(path: Path, as_json: bool) -> None:
    """Check the settings file PATH and print every fault in it.

    Example: currantstage config check examples/entry-vm.ini
    """
    if not as_json:
        load_or_exit(path)
        click.echo(f"{path}: ok")
        return
    faults: tuple[str, ...] = ()
    try:
        load_settings(path)
    except ConfigError as error:
        faults = error.faults
    click.echo(msgspec.json.encode(faults).decode())
    sys.exit(ExitStatus.USAGE if faults else ExitStatus.OK)
