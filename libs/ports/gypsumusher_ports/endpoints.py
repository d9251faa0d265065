"""The entry by which an endpoint registers itself."""

from typing import NamedTuple

__all__ = ["EndpointRecord"]


class EndpointRecord(NamedTuple):
    """State of an endpoint, as its own entry in the store gives it.

    Attributes
    ----------
    endpoint_id : str
        Id of the endpoint; an endpoint may have the same id after a restart.
    started_ms : int
        Start time in Unix milliseconds. Id and start identify one incarnation.
    service : str
        Service to which the endpoint belongs.
    address : str
        ``ip:port`` of the endpoint.
    zone : str
        Availability zone of the endpoint.
    slots : int
        Number of requests that the endpoint runs at once.
    is_draining : bool
        Whether the endpoint is shutting down and takes no new requests.
    warmup_left_s : float
        Remaining time for which the endpoint is slow after its start, in seconds.
    stage : {"prefill", "decode"} or None
        Stage of generation that an engine runs; None for an endpoint without models.
    heartbeat_count : int
        Number of times that the endpoint has renewed its entry; of two entries of one
        incarnation, the one with the lower count is older.
    is_reclaimable : bool
        Whether the platform may take the endpoint away at any time.
    software_version : str
        Version of the endpoint's software; empty if its entry has none.
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
    is_reclaimable: bool = False
    software_version: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start time, which together differ after each restart."""
        return (self.endpoint_id, self.started_ms)

    @property
    def process_key(self) -> tuple[tuple[str, int], str]:
        """Incarnation and address, for what is known of one process."""
        return (self.incarnation, self.address)
