"""The daemon's exceptions: all that a user can cause come from one family."""

__all__ = ["GypsumusherError", "SettingsError", "StartError"]


class GypsumusherError(Exception):
    """Base of every error that a user of the daemon can cause."""


class SettingsError(GypsumusherError):
    """The settings file can't be used; the message names each problem and its mend."""


class StartError(GypsumusherError):
    """The daemon can't start on this host; the message names the step and the mend."""
