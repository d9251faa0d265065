"""The family of errors that callers of the libraries can meet."""

from typing import NamedTuple

__all__ = ["DecodeError", "GypsumusherError", "PlatformError", "StartError"]


class GypsumusherError(Exception):
    """Base of all errors that the libraries raise on purpose."""


class StartError(GypsumusherError):
    """A daemon can't start on this host; the message names the step and the mend."""


class DecodeError(GypsumusherError):
    """Something read from outside doesn't have the form that it should have.

    Parameters
    ----------
    step : str
        What was being decoded.
    peer : str
        Whose it is.
    problem : str
        What is wrong with it.
    """

    def __init__(self, step, peer, problem):
        super().__init__(f"step={step} peer={peer} {problem}")
        self.step = step
        self.peer = peer
        self.problem = problem


class PlatformError(NamedTuple):
    """Why a call to the platform's store gave no result.

    Attributes
    ----------
    step, peer : str
        The call, and the address that it went to.
    code : {"absent", "conflict", "history_gone", "refused", "rejected", "unknown"}
        ``refused``: nothing was done. ``unknown``: it may have been done, or may be
        done later. ``rejected``: the call itself is wrong.
    detail : str
        What was seen.
    """

    step: str
    peer: str
    code: str
    detail: str
