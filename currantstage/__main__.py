"""Entry point of the command line for ``python -m currantstage``."""

from __future__ import annotations

from currantstage.cmd import main

if __name__ == "__main__":
    main()
