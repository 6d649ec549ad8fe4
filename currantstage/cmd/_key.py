"""Commands for callers' keys."""

from __future__ import annotations

import secrets
import sys

import click
import msgspec
from msgspec import Struct

from currantstage.cmd._exit import ExitStatus
from currantstage.coordination.notes import is_identifier
from currantstage.coordination.requests import digest_secret

#: Random bytes of a generated secret and of a salt.
SECRET_BYTES = 24
SALT_BYTES = 8
#: Minimum length of a secret from standard input, in characters.
MIN_SECRET_CHARACTERS = 16


class GeneratedKey(Struct, frozen=True, kw_only=True):
    """A generated key; its section of the release note holds all but `presented`.

    Parameters
    ----------
    key_id, team, salt, digest : str
    presented : str
        Value that callers send; it is printed once and not stored.
    """

    key_id: str
    team: str
    salt: str
    digest: str
    presented: str


@click.group()
def key() -> None:
    """Generate and show callers' keys."""


@key.command()
@click.argument("key_id")
@click.option("--team", required=True, help="The team that the key belongs to.")
@click.option(
    "--secret-stdin",
    is_flag=True,
    help="Read the secret from standard input instead of generating it.",
)
@click.option("--json", "as_json", is_flag=True, help="Print everything as JSON.")
def make(key_id: str, team: str, secret_stdin: bool, as_json: bool) -> None:
    """Generate the key KEY_ID and print its section of a release note.

    The secret is printed once, on standard error, and is not stored.

    Example: currantstage key make north-2 --team north >> next-note.ini
    """
    if not (is_identifier(key_id) and is_identifier(team)):
        click.echo("KEY_ID and team: letters, digits, '-' and '_' only", err=True)
        sys.exit(ExitStatus.USAGE)
    secret = _read_secret() if secret_stdin else secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    made = GeneratedKey(
        key_id=key_id,
        team=team,
        salt=salt,
        digest=digest_secret(salt, secret),
        presented=f"{key_id}.{secret}",
    )
    if as_json:
        click.echo(msgspec.json.encode(made).decode())
        return
    click.echo(f"[add key {key_id}]\nteam = {team}\nsalt = {salt}")
    click.echo(f"digest = {made.digest}")
    click.echo(f"callers present: {made.presented}", err=True)


def _read_secret() -> str:
    secret = sys.stdin.readline().rstrip("\n")
    if len(secret) < MIN_SECRET_CHARACTERS:
        click.echo(f"the secret needs {MIN_SECRET_CHARACTERS} characters", err=True)
        sys.exit(ExitStatus.USAGE)
    return secret
