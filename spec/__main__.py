"""Check the specifications: ``python -m spec [--traces]``."""

from __future__ import annotations

import sys

import click

from spec import check_all


@click.command()
@click.option("--traces", is_flag=True, help="Print each counterexample in full.")
def main(traces: bool) -> None:
    """Prove every invariant, and find a counterexample for each removed guard."""
    are_all_expected = True
    for line, is_expected in check_all(traces):
        are_all_expected = are_all_expected and is_expected
        click.echo(line)
    sys.exit(0 if are_all_expected else 1)


main()
