"""Signals of a process, handled from before its imports until its end."""

# What `signal` wraps: its other imports take a third of the time before the handlers.
import _signal as signal

__all__ = ["ProcessSignals"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Handles SIGHUP, SIGTERM and SIGINT for the whole life of a process.

    An event loop has handlers only while it runs. Before and after, the default action
    of these signals ends the process. Signals that come before `attach` are remembered
    and delivered by it; after `close` they have no effect.
    """

    def __init__(self):
        self._is_stop_requested = self._is_reload_requested = False
        self._loop = None
        self._reload = self._stop = None

    def start(self):
        """Install the handlers, in the main thread."""
        signal.signal(signal.SIGHUP, self._on_reload)
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_stop)

    def attach(self, loop, reload, stop):
        """Deliver signals within an event loop, also those that have come before.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            The loop; `detach` comes before it is closed.
        reload, stop : callable
            Called without arguments on SIGHUP, and on SIGTERM and SIGINT.
        """
        self._reload, self._stop = reload, stop
        self._loop = loop
        self._schedule()

    def detach(self):
        """Only remember signals from now on."""
        self._loop = None

    def close(self):
        """Ignore the signals until the process has ended.

        The interpreter resets handlers to the default action before it exits, but not
        signals that are ignored.
        """
        for number in (signal.SIGHUP, *STOP_SIGNALS):
            signal.signal(number, signal.SIG_IGN)

    def _on_reload(self, number, frame):
        self._is_reload_requested = True
        self._schedule()

    def _on_stop(self, number, frame):
        self._is_stop_requested = True
        self._schedule()

    def _schedule(self):
        """Have the loop deliver what was received; it may wait for input."""
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self._deliver)

    def _deliver(self):
        """Call back for the signals that were received since the last time."""
        if self._is_stop_requested:
            self._stop()
        if self._is_reload_requested:
            self._is_reload_requested = False
            self._reload()
