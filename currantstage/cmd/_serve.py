"""The ``serve`` command: the daemon of an entry VM."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import eliot
import uvloop
from eliot import log_message

from currantstage.application import Daemon, StartError
from currantstage.application.jobs import JobDaemon, is_routine_message
from currantstage.cmd._config import FILE_PATH, load_or_exit
from currantstage.cmd._exit import ExitStatus
from currantstage.config import ConfigError, JobSettings, load_settings
from currantstage.util import (
    LogSink,
    MonotonicClock,
    catch_reload_signal,
    catch_stop_signals,
    wait_for_event,
)

if TYPE_CHECKING:
    from currantstage.config import Settings

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "CURRANTSTAGE_SETTINGS"
#: Interval between checks of the settings file, in seconds.
SETTINGS_CHECK_S = 5.0


@click.command()
@click.option(
    "--config",
    "path",
    type=FILE_PATH,
    required=True,
    envvar=SETTINGS_VARIABLE,
    help=f"Settings file; by default the one that {SETTINGS_VARIABLE} names.",
)
def serve(path: Path) -> None:
    """Serve as an entry VM until SIGTERM or SIGINT, then stop gracefully.

    Logs are JSON lines on standard output. With a section ``store`` in the settings
    file, the daemon schedules jobs on the platform's store.

    Example: currantstage serve --config examples/entry-vm.ini
    """
    settings = load_or_exit(path)
    clock = MonotonicClock()
    eliot.add_destinations(
        LogSink(sys.stdout.fileno(), clock.now_s, is_routine_message)
    )
    try:
        uvloop.run(_serve(path, settings))
    except StartError as error:
        click.echo(f"can't start: {error}", err=True)
        sys.exit(ExitStatus.UNAVAILABLE)


async def _serve(path: Path, settings: Settings | JobSettings) -> None:
    stopped = catch_stop_signals()
    reload = catch_reload_signal()
    daemon: Daemon | JobDaemon
    if isinstance(settings, JobSettings):
        daemon = JobDaemon.from_config(settings)
    else:
        daemon = Daemon.from_config(settings)
    await daemon.start()
    watch_task = asyncio.create_task(_watch_settings(path, settings, daemon, reload))
    await stopped.wait()
    watch_task.cancel()
    await daemon.close()


async def _watch_settings(
    path: Path,
    settings: Settings | JobSettings,
    daemon: Daemon | JobDaemon,
    reload: asyncio.Event,
) -> None:
    """Reload the settings file on SIGHUP, and poll it for changes."""
    while True:
        await wait_for_event(reload, SETTINGS_CHECK_S)
        is_requested = reload.is_set()
        reload.clear()
        try:
            found = load_settings(path)
        except ConfigError as error:
            log_message("currantstage:settings-faulty", faults=error.faults)
            continue
        if found == settings and not is_requested:
            continue
        log_message("currantstage:settings-reloaded", is_changed=found != settings)
        if isinstance(daemon, JobDaemon) and isinstance(found, JobSettings):
            daemon.reload(found)
        settings = found
