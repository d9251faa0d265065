"""What a process is told about its own host at its start."""

from typing import NamedTuple

__all__ = ["Bounds", "HostSettings"]


class Bounds(NamedTuple):
    """The operator's bounds, in seconds where nothing else is said.

    Attributes
    ----------
    drain_s : float
        A leaving endpoint gets no new work after this time.
    configuration_s : float
        A configuration is in force everywhere after this time.
    stop_s : float
        A process that is told to stop is killed after this time.
    stable_window_s : float
        Time after a disruption until the bounds hold again.
    lease_s, resume_margin_s : float
        Least time between orders of two hosts, and after a pause of the sender.
    retry_ratio, retry_slack : float
        Retries that all hosts together may make in a window: a share of the
        requests, and a number on top.
    retry_window_s : float
        The window of the retries.
    directory_ttl_max_s : float
        Longest time that callers keep a list of hosts.
    requires_fence : bool
        Whether engines refuse an order with an old fencing number.
    """

    drain_s: float
    configuration_s: float
    stop_s: float
    stable_window_s: float
    lease_s: float
    resume_margin_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    directory_ttl_max_s: float
    requires_fence: bool


class HostSettings(NamedTuple):
    """Settings of one process.

    Attributes
    ----------
    name, ip, zone, region : str
        The host.
    callers_address, ready_address, directory_address, peers_address : str
        ``ip:port`` of each listener.
    datagram_port : int
        Port for datagrams between hosts, the same on each.
    seeds : tuple of str
        Peers' addresses of a few hosts; they may be down.
    store_address : str
        ``ip:port`` of the platform's store.
    is_first_start : bool
        Whether the whole system starts for the first time.
    cores : float
        Cores that the process may use.
    link_mbps : float
        Bandwidth of the host's link.
    bounds : Bounds
        The operator's bounds.
    """

    name: str
    ip: str
    zone: str
    region: str
    callers_address: str
    ready_address: str
    directory_address: str
    peers_address: str
    datagram_port: int
    seeds: tuple[str, ...]
    store_address: str
    is_first_start: bool
    cores: float
    link_mbps: float
    bounds: Bounds
