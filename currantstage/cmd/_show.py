"""Commands that show the current state of the fleet."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, TypeVar

import click
import msgspec

from currantstage.cmd._exit import ExitStatus
from currantstage.cmd._note import call_server, server_options
from currantstage.cmd._table import render_records

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from msgspec import Struct

    from currantstage.protocol import FleetStatus

F = TypeVar("F", bound="Callable[..., Any]")

_JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def fleet() -> None:
    """Show a summary of the fleet."""


@click.group()
def pool() -> None:
    """Show pools and their availability budgets."""


@click.group()
def vm() -> None:
    """Show VMs, their pools and their states."""


@click.group()
def team() -> None:
    """Show teams, their shares and upper limits."""


@click.group()
def wave() -> None:
    """Show maintenance waves."""


@fleet.command(name="show")
@_JSON_OPTION
@server_options
def show_fleet(as_json: bool, server: str, operator_key: str) -> None:
    """Show all pools, and the VMs that need an operator's attention.

    Exit status 1 means that a VM is overdue or a budget is overdrawn.

    Example: currantstage fleet show --operator-key KEY
    """
    status = _fetch_status(server, operator_key)
    overdue = [each for each in status.vms if each.is_overdue]
    overdrawn = [
        each.pool for each in status.pools if each.unavailable > each.max_unavailable
    ]
    if as_json:
        click.echo(msgspec.json.encode(status).decode())
    else:
        click.echo(f"generation {status.generation}, {len(status.vms)} VMs")
        click.echo(render_records(status.data_centres))
        click.echo()
        click.echo(render_records(status.pools))
        for each in overdue:
            click.echo(f"overdue: {each.vm} ({each.purpose})")
        for overdrawn_pool in overdrawn:
            click.echo(f"budget overdrawn: {overdrawn_pool}")
    sys.exit(ExitStatus.REFUSED if overdue or overdrawn else ExitStatus.OK)


@pool.command(name="show")
@click.argument("pool_id", required=False)
@_JSON_OPTION
@server_options
def show_pool(
    pool_id: str | None, as_json: bool, server: str, operator_key: str
) -> None:
    """Show the pool POOL_ID, or all pools.

    Example: currantstage pool show parcels-a --operator-key KEY
    """
    pools = _fetch_status(server, operator_key).pools
    _print_and_exit([each for each in pools if pool_id in (None, each.pool)], as_json)


@vm.command(name="show")
@click.argument("vm_id", required=False)
@click.option("--pool", "pool_id", help="Show only VMs of this pool.")
@_JSON_OPTION
@server_options
def show_vm(
    vm_id: str | None,
    pool_id: str | None,
    as_json: bool,
    server: str,
    operator_key: str,
) -> None:
    """Show the VM VM_ID, or all VMs.

    Example: currantstage vm show --pool parcels-a --operator-key KEY
    """
    vms = _fetch_status(server, operator_key).vms
    chosen = [
        each
        for each in vms
        if vm_id in (None, each.vm) and pool_id in (None, each.pool)
    ]
    _print_and_exit(chosen, as_json)


@team.command(name="show")
@click.argument("team_id", required=False)
@_JSON_OPTION
@server_options
def show_team(
    team_id: str | None, as_json: bool, server: str, operator_key: str
) -> None:
    """Show the team TEAM_ID, or all teams.

    Example: currantstage team show north --operator-key KEY
    """
    teams = _fetch_status(server, operator_key).teams
    _print_and_exit([each for each in teams if team_id in (None, each.team)], as_json)


@click.command(name="show")
@click.argument("key_id", required=False)
@_JSON_OPTION
@server_options
def show_key(key_id: str | None, as_json: bool, server: str, operator_key: str) -> None:
    """Show the team of the key KEY_ID, or of all keys, but no digests.

    Example: currantstage key show north-1 --operator-key KEY
    """
    keys = _fetch_status(server, operator_key).keys
    _print_and_exit([each for each in keys if key_id in (None, each.key)], as_json)


@wave.command(name="show")
@click.argument("wave_id", required=False)
@_JSON_OPTION
@server_options
def show_wave(
    wave_id: str | None, as_json: bool, server: str, operator_key: str
) -> None:
    """Show the progress of the wave WAVE_ID, or of all waves.

    Example: currantstage wave show --operator-key KEY
    """
    waves = _fetch_status(server, operator_key).waves
    _print_and_exit([each for each in waves if wave_id in (None, each.wave)], as_json)


def _fetch_status(server: str, operator_key: str) -> FleetStatus:
    return call_server(server, operator_key, lambda client: client.fleet_status())


def _print_and_exit(items: Sequence[Struct], as_json: bool) -> None:
    """Print `items` and exit; the status is `REFUSED` if there are none."""
    if as_json:
        click.echo(msgspec.json.encode(items).decode())
    elif items:
        click.echo(render_records(items))
    else:
        click.echo("nothing of this name", err=True)
    sys.exit(ExitStatus.OK if items else ExitStatus.REFUSED)
