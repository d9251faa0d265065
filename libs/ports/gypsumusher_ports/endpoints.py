"""One endpoint as it announces itself."""

from typing import NamedTuple

__all__ = ["EndpointRecord"]


class EndpointRecord(NamedTuple):
    """What an endpoint says of itself.

    Attributes
    ----------
    endpoint_id : str
        Its id; a restarted endpoint may come back under the same one.
    started_ms : int
        Unix time of its start. With the id it names one incarnation.
    service : str
        Service that it belongs to.
    address : str
        ``ip:port``.
    zone : str
        Its availability zone.
    slots : int
        Requests that it runs at once.
    is_draining : bool
        Whether it is draining.
    warmup_left_s : float
        For how much longer it is slow after its start, in seconds.
    stage : {"prefill", "decode"} or None
        Which part of a generation it does; None for a plain service.
    heartbeat_count : int
        Grows with each renewal of its entry; an entry with a lower one is older.
    """

    endpoint_id: str
    started_ms: int
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    warmup_left_s: float
    stage: str | None
    heartbeat_count: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start: what a restarted endpoint doesn't share with its past."""
        return (self.endpoint_id, self.started_ms)
