"""The error value that calls to the platform return."""

from typing import NamedTuple

from gypsumusher_objects.types import VersionedValue

CONFLICT = "conflict"
UNAVAILABLE = "unavailable"
THROTTLED = "throttled"
BUDGET = "budget"
INVALID = "invalid"


class PlatformError(NamedTuple):
    """A call that did not succeed, with the call and the address that was used.

    Parameters
    ----------
    kind : str
        ``conflict`` (the object has another version), ``unavailable`` (no usable
        response), ``throttled`` (the platform's rate limit), ``budget`` (this host's
        own call budget or back-off) or ``invalid`` (the platform will never accept
        this call).
    step : str
        The call, as ``METHOD path``.
    peer : str
        Base URL of the platform's address that was called.
    sent : bool
        Whether a write may have taken effect. False guarantees that either no byte
        reached the platform or the platform itself reported that nothing changed.
    stored : VersionedValue or None
        On a conflict, the state of the stored object; None if it does not exist.
    retry_after_s : float or None
        Seconds to wait before the next attempt, if known.
    detail : str
        Description of the failure, for the log.
    """

    kind: str
    step: str
    peer: str
    sent: bool
    stored: VersionedValue | None = None
    retry_after_s: float | None = None
    detail: str = ""
