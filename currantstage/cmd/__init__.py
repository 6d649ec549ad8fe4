"""The command line."""

from __future__ import annotations

from currantstage.cmd._exit import ExitStatus
from currantstage.cmd._main import main
from currantstage.cmd._measures import gather_measures, render_measures

__all__ = ["ExitStatus", "gather_measures", "main", "render_measures"]
