"""Reading of a settings file that may be read while it is being written."""

import time

from gypsumusher_ports import GypsumusherError

__all__ = ["SettingsReload", "load_written_settings"]

# A program that starts waits this long for a file that is complete.
START_TIME_S = 3.0
# A running program serves by its old settings meanwhile, and can wait longer.
RELOAD_TIME_S = 60.0
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0


def _list_pauses(time_s):
    """Return growing pauses between reads, in seconds, that last a time altogether."""
    pauses, pause_s = [], FIRST_PAUSE_S
    while time_s > 0.0:
        pauses.append(min(pause_s, time_s))
        time_s -= pause_s
        pause_s = min(2.0 * pause_s, MAX_PAUSE_S)
    return pauses


def load_written_settings(load, on_error, sleep=time.sleep):
    """Load the settings at a start, again while the file is refused.

    Parameters
    ----------
    load : callable
        Returns the settings or raises `GypsumusherError`.
    on_error : callable
        Called with each error that leads to another try.
    sleep : callable
        ``sleep(pause_s)`` between two tries.

    Returns
    -------
    object
        What ``load`` returned.

    Raises
    ------
    GypsumusherError
        That of the last try.
    """
    for pause_s in _list_pauses(START_TIME_S):
        try:
            return load()
        except GypsumusherError as error:
            on_error(error)
        sleep(pause_s)
    return load()


class SettingsReload:
    """Applies the settings file on request, and what is written to it soon after.

    The request may come before the file is complete. Part of a file can be refused, and
    can also be valid, so it is read again for a while in both cases.

    Parameters
    ----------
    load : callable
        Returns the settings or raises `GypsumusherError`.
    apply : callable
        Called with settings that differ from those read before.
    log : callable
        Log of the process.
    call_later : callable
        ``call_later(delay_s, function)`` of the event loop; returns a handle with
        ``cancel``.
    """

    def __init__(self, load, apply, log, call_later):
        self._load = load
        self._apply = apply
        self._log = log
        self._call_later = call_later
        self._pauses = []
        self._last_read = None
        self._timer = None

    def request(self):
        """Read the file now, and again for a while."""
        self.close()
        self._pauses = _list_pauses(RELOAD_TIME_S)
        self._last_read = None
        self._read()

    def close(self):
        """Read the file no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _read(self):
        """Apply or refuse the content unless it is that of the last time."""
        self._timer = None
        if self._pauses:
            self._timer = self._call_later(self._pauses.pop(0), self._read)
        try:
            read = self._load()
        except GypsumusherError as error:
            if str(error) != self._last_read:
                self._last_read = str(error)
                self._log("error", "settings_refused", error=error)
            elif self._timer is None:
                self._log("error", "settings_refused", error=error, final=True)
            return
        if read != self._last_read:
            self._last_read = read
            self._apply(read)
