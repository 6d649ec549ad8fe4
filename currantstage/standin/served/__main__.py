"""Run real daemons against the served platform: ``python -m``, started by hand."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import click
import eliot

from currantstage.standin.served import ScenarioName, SiteSize, Trial


@click.command()
@click.option(
    "--scenario",
    type=click.Choice([each.value for each in ScenarioName]),
    default=ScenarioName.CALM.value,
    show_default=True,
)
@click.option("--seed", default=1, show_default=True, help="Of all random choices.")
@click.option(
    "--seconds", default=60.0, show_default=True, help="Time in which jobs come."
)
@click.option("--daemons", default=3, show_default=True)
@click.option("--vms", default=8, show_default=True, help="VMs in each pool.")
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder that keeps the daemons' settings and logs.",
)
def main(
    scenario: str, seed: int, seconds: float, daemons: int, vms: int, logs: Path | None
) -> None:
    """Run daemons against the platform of a scenario, and print what was seen.

    The exit status is 1 if anything was found.
    """
    eliot.to_file(sys.stderr)
    with tempfile.TemporaryDirectory() as folder:
        kept = logs or Path(folder)
        kept.mkdir(parents=True, exist_ok=True)
        size = SiteSize(daemons=daemons, vms_per_pool=vms)
        trial = Trial.from_seed(ScenarioName(scenario), seed, seconds, size, kept)
        report = asyncio.run(trial.run())
    click.echo(f"{scenario}, seed {seed}, {seconds:g} s")
    click.echo(report.render())
    sys.exit(1 if report.findings() else 0)


if __name__ == "__main__":
    main()
