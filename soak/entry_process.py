"""Entry hosts of the soak run: real processes, each on its own loopback address."""

import signal
import sys

from checks import RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S
from processes import Process, free_ports

__all__ = ["EntryProcess"]

SETTINGS = """node = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "region"
port_range = [{peer_port}, {peer_port}]
bootstrap = false

[listen]
front = "{ip}:{callers_port}"
ready = "{ip}:{ready_port}"
directory = "{ip}:{directory_port}"
control = "{ip}:{peer_port}"

[platform_store]
addr = "{store}"

[bounds]
drain_ms = 2000
config_ms = 2000
grace_s = 6
stable_window_ms = 3000
ttl_max_s = 2
retry_ratio = {retry_ratio}
retry_slack = {retry_slack}
budget_window_s = {retry_window_s}
"""


class EntryProcess(Process):
    """One entry host, which can be restarted as a new process on the same addresses.

    Parameters
    ----------
    name, ip, zone : str
        Name, address (one of 127.0.0.0/8) and availability zone of the host.
    store : str
        Address at which the host reaches the platform store.
    peer_port : int
        Port for the peer protocol, the same on every host.
    folder : pathlib.Path
        Folder for the settings file and the log file.

    Attributes
    ----------
    callers, directory, peers : str
        ``ip:port`` of the listeners for callers, for the directory and for peers.
    start_count : int
        How often the host was started; tells its processes apart.
    """

    def __init__(self, name, ip, zone, store, peer_port, folder):
        callers_port, ready_port, directory_port = free_ports(ip, 3)
        path = folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name, ip=ip, zone=zone, store=store, callers_port=callers_port,
            ready_port=ready_port, directory_port=directory_port, peer_port=peer_port,
            retry_ratio=RETRY_RATIO, retry_slack=RETRY_SLACK,
            retry_window_s=RETRY_WINDOW_S,
        )  # fmt: skip
        path.write_text(text)
        variable = f"GYPSUMUSHER_SETTINGS={path}"
        argv = ["/usr/bin/env", variable, sys.executable, "-m", "gypsumusher_entry"]
        super().__init__(name, argv, folder / f"{name}.log")
        self.callers = f"{ip}:{callers_port}"
        self.directory = f"{ip}:{directory_port}"
        self.peers = f"{ip}:{peer_port}"
        self.start_count = 0

    async def start(self):
        """Start the host if it isn't running, without waiting until it is ready.

        The host can't become ready while the store is unavailable. A stop and a kill of
        one host may overlap, and both restart it: without the check, the first process
        would be leaked and outlive the run.
        """
        if self.is_started and self.exit_code() is None:
            return
        self.start_count += 1
        self.spawn()

    def reload_settings(self):
        """Make the host read its settings again, by SIGHUP."""
        self._signal(signal.SIGHUP)
