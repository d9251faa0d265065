"""Entry hosts of the soak: real processes, each on an address of its own."""

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
    """One host's process; started again it is another one on the same addresses.

    Parameters
    ----------
    name, ip, zone : str
        The host; its address is one of 127.0.0.0/8.
    store : str
        Address of its way to the store.
    peer_port : int
        Port for what the hosts tell each other, the same on each.
    folder : pathlib.Path
        Where its settings and its log go.

    Attributes
    ----------
    callers, directory, peers : str
        ``ip:port`` of listeners.
    lives : int
        How often it was started.
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
        self.lives = 0

    async def start(self):
        """Start it, unless it runs, without waiting: the store may be away.

        Failure guarded against: a stop and a kill of one host overlap, and both start
        it again. The first process would be forgotten, and live on after the run.
        """
        if self.is_started and self.exit_code() is None:
            return
        self.lives += 1
        self.spawn()

    def hang_up(self):
        """Have it read its settings again."""
        self._signal(signal.SIGHUP)
