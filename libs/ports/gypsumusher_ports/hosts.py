"""Settings that a process reads at its start."""

from typing import NamedTuple

__all__ = ["Bounds", "HostSettings"]


class Bounds(NamedTuple):
    """Time and retry limits that the operator sets.

    Attributes
    ----------
    drain_s : float
        Time after which a draining endpoint must get no new work, in seconds.
    configuration_s : float
        Time after which all hosts must apply a new configuration, in seconds.
    stop_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    stable_window_s : float
        Time after a disruption until the other limits hold again, in seconds.
    lease_s : float
        Least time between the orders of two hosts, in seconds.
    resume_margin_s : float
        Time added to ``lease_s`` for an order that its sender's own pause delayed, in
        seconds.
    retry_ratio, retry_slack : float
        Retries that all hosts together may make in a window: this fraction of the
        requests, plus this number.
    retry_window_s : float
        Length of that window, in seconds.
    directory_ttl_max_s : float
        Longest time for which a caller may keep a list of hosts, in seconds.
    requires_fence : bool
        Whether engines refuse an order with an outdated fencing number.
    key_withdrawal_s : float or None
        Time after which no host may start a request with a key that was taken away, in
        seconds; None when only hosts that hear of the withdrawal have to.
    usage_window_s, usage_late_s : float
        Length of the windows in which usage is reported, and time after the end of a
        window at which its report is due, in seconds.
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
    key_withdrawal_s: float | None = None
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0


class HostSettings(NamedTuple):
    """Settings of one process.

    Attributes
    ----------
    name, ip, zone, region : str
        Name and location of the host.
    callers_address, ready_address, directory_address, peers_address : str
        ``ip:port`` on which the host listens for callers, readiness checks, directory
        queries and other hosts.
    datagram_port : int
        Port for datagrams between hosts, the same on all hosts.
    seeds : tuple of str
        Addresses (as in ``peers_address``) of a few hosts to contact first; these hosts
        may be down.
    store_address : str
        ``ip:port`` of the platform's store.
    is_first_start : bool
        Whether the whole system starts for the first time.
    cores : float
        CPU capacity that the process may use, in cores of the usual speed.
    link_mbps : float
        Bandwidth of the host's network link, in Mbit/s.
    bounds : Bounds
        The operator's limits.
    cloud_address : str or None
        ``ip:port`` at which the platform accepts usage reports and orders for
        endpoints; None without any duties.
    duties : frozenset of str
        What this system has to call there: ``usage``, ``scale``.
    memory_bytes : int
        Memory that the process may use, in bytes.
    max_descriptors : int
        Sockets that the process may have open.
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
    cloud_address: str | None = None
    duties: frozenset[str] = frozenset()
    memory_bytes: int = 300_000_000
    max_descriptors: int = 3900
