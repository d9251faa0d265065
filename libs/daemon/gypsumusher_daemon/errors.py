"""The daemon's exceptions; those that a user can cause derive from GypsumusherError."""

from gypsumusher_ports import GypsumusherError, StartError

__all__ = ["GypsumusherError", "SettingsError", "StartError"]


class SettingsError(GypsumusherError):
    """The settings file is invalid; the message gives each problem and its remedy."""
