"""The command line."""

from __future__ import annotations

from currantstage.cmd._exit import ExitStatus
from currantstage.cmd._main import main

__all__ = ["ExitStatus", "main"]
