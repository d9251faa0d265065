"""Run the entry host as ``python3 -m gypsumusher_entry``."""

import sys

from gypsumusher_process import ProcessSignals, open_closed_streams


def run():
    """Run the program; return its exit status."""
    signals = ProcessSignals()
    signals.start()
    open_closed_streams()
    try:
        # Imported late, since the imports take long, and a signal may come meanwhile.
        from gypsumusher_entry.cmdline import main

        return main(signals)
    finally:
        signals.close()


sys.exit(run())
