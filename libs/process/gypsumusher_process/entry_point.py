"""Entry point of a program, which handles signals before it imports the rest."""

import importlib

__all__ = ["run_main"]


def run_main(module):
    """Run the ``main(signals)`` of a module; return its exit status.

    Parameters
    ----------
    module : str
        Name of the module. It is imported here, since the imports take long, and a
        signal may come meanwhile.
    """
    # By their public names: a wrapper may pass on signals that it has received.
    from gypsumusher_process import ProcessSignals, open_closed_streams

    signals = ProcessSignals()
    signals.start()
    open_closed_streams()
    try:
        return importlib.import_module(module).main(signals)
    finally:
        signals.close()
