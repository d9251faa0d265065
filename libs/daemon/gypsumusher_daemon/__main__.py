"""Run the daemon as ``gypsumusherd`` or ``python -m gypsumusher_daemon``."""

import sys

from gypsumusher_process import run_main

__all__ = ["run"]


def run():
    """Run the program; return its exit status."""
    return run_main("gypsumusher_daemon.cmdline")


if __name__ == "__main__":
    sys.exit(run())
