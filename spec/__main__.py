"""Check the specifications: ``python -m spec [--traces]``."""

from __future__ import annotations

import sys

import click

from spec import check_all


@click.command()
@click.option("--traces", is_flag=True, help="Print each counterexample in full.")
def main(traces: bool) -> None:
    """Prove every invariant, and show a counterexample for each removed guard."""
    is_good = True
    for line, is_expected in check_all(traces):
        is_good = is_good and is_expected
        click.echo(line)
    sys.exit(0 if is_good else 1)


main()
