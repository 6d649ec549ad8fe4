"""The command line's entry point."""

from __future__ import annotations

import click

from currantstage import __version__
from currantstage.cmd._config import config
from currantstage.cmd._demo import demo
from currantstage.cmd._key import key
from currantstage.cmd._note import note
from currantstage.cmd._serve import serve


@click.group()
@click.version_option(__version__, prog_name="currantstage")
def main() -> None:
    """Fleet capacity and maintenance manager."""


main.add_command(serve)
main.add_command(note)
main.add_command(key)
main.add_command(config)
main.add_command(demo)
