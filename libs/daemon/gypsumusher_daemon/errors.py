"""The daemon's exceptions: all that a user can cause come from one family."""

from gypsumusher_ports import GypsumusherError, StartError

__all__ = ["GypsumusherError", "SettingsError", "StartError"]


class SettingsError(GypsumusherError):
    """The settings file can't be used; the message names each problem and its mend."""
