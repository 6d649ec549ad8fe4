"""The command line's entry point."""

from __future__ import annotations

import click

from currantstage import __version__
from currantstage.cmd._config import config
from currantstage.cmd._demo import demo
from currantstage.cmd._job import job
from currantstage.cmd._key import key
from currantstage.cmd._note import note
from currantstage.cmd._report import report
from currantstage.cmd._serve import serve
from currantstage.cmd._show import fleet, pool, show_key, team, vm, wave


@click.group()
@click.version_option(__version__, prog_name="currantstage")
def main() -> None:
    """Fleet capacity and maintenance manager."""


main.add_command(serve)
main.add_command(note)
main.add_command(job)
key.add_command(show_key)
main.add_command(report)
main.add_command(key)
main.add_command(fleet)
main.add_command(pool)
main.add_command(vm)
main.add_command(team)
main.add_command(wave)
main.add_command(config)
main.add_command(demo)
