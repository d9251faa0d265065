"""Run the daemon as ``gypsumusherd`` or ``python -m gypsumusher_daemon``."""

import sys

from gypsumusher_process import ProcessSignals, open_closed_streams

__all__ = ["run"]


def run():
    """Run the program; return its exit status."""
    signals = ProcessSignals()
    signals.start()
    open_closed_streams()
    try:
        # Imported late, since the imports take long, and a signal may come meanwhile.
        from gypsumusher_daemon.cmdline import main

        return main(signals)
    finally:
        signals.close()


if __name__ == "__main__":
    sys.exit(run())
