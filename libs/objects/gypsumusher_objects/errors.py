"""The one error that calls to the platform return."""

from typing import NamedTuple

from gypsumusher_objects.types import VersionedValue

CONFLICT = "conflict"
UNAVAILABLE = "unavailable"
THROTTLED = "throttled"
BUDGET = "budget"
INVALID = "invalid"


class PlatformError(NamedTuple):
    """A call that did not succeed, with the step and the peer where it failed.

    Parameters
    ----------
    kind : str
        ``conflict`` (another version stands), ``unavailable`` (no usable answer),
        ``throttled`` (the platform's limit), ``budget`` (our own limit or back-off)
        or ``invalid`` (the platform will never take this call).
    step : str
        The call, as ``METHOD kind/name``.
    peer : str
        Base URL of the platform's address that was called.
    sent : bool
        Whether a write may have taken effect. False is a promise: either no byte
        reached the platform or the platform itself said that nothing happened.
    stored : VersionedValue or None
        On a conflict, what stands instead; None when the object does not exist.
    retry_after_s : float or None
        Seconds to wait before the next try, when known.
    detail : str
        What was seen, for the log.
    """

    kind: str
    step: str
    peer: str
    sent: bool
    stored: VersionedValue | None = None
    retry_after_s: float | None = None
    detail: str = ""
