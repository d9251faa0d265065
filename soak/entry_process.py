"""Entry hosts of the soak run: real processes, each on its own loopback address."""

import pathlib
import signal
import sys

from account_checks import KEY_BOUND_S, USAGE_LATE_S, USAGE_WINDOW_S
from entry_program import CUT_VARIABLE, LINK_PREFIX, LOSS_PREFIX, START_VARIABLE
from processes import Process, free_ports

__all__ = ["START_FILE", "EntryProcess"]

# Hosts begin once this file is in their folder.
START_FILE = "start"

PROGRAM = pathlib.Path(__file__).with_name("entry_program.py")
SETTINGS = """node = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "region"
port_range = [{peer_port}, {peer_port}]
bootstrap = {is_first_start}

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
# Settings where callers have accounts.
ACCOUNT_SETTINGS = """strict_revoke = true
revoke_ms = {key_bound_ms}
window_s = {window_s}
usage_late_s = {late_s}

[cloud]
addr = "{cloud}"
duties = ["usage"]
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
    retry_limit : RetryLimit
        The operator's limit on repeats.
    source : pathlib.Path or None
        Checkout whose program is run; None runs the one that is installed.
    cloud : str or None
        Address for usage reports; None where callers have no accounts.
    is_first_start : bool
        Whether the host starts together with the whole system.

    Attributes
    ----------
    is_removed : bool
        Whether the host was removed for good.
    ip, zone : str
        Address and availability zone of the host.
    callers, ready, directory, peers : str
        ``ip:port`` of the listeners for callers, for readiness checks, for the
        directory and for peers.
    start_count : int
        How often the host was started; tells its processes apart.
    """

    def __init__(
        self,
        name,
        ip,
        zone,
        store,
        peer_port,
        folder,
        retry_limit,
        source=None,
        cloud=None,
        is_first_start=True,
    ):
        callers_port, ready_port, directory_port = free_ports(
            ip, 3, excluded=(peer_port,)
        )
        self._settings_path = folder / f"{name}.toml"
        self._settings = SETTINGS.format(
            is_first_start="{is_first_start}", name=name, ip=ip, zone=zone,
            store=store, callers_port=callers_port,
            ready_port=ready_port, directory_port=directory_port, peer_port=peer_port,
            retry_ratio=retry_limit.ratio, retry_slack=retry_limit.slack,
            retry_window_s=retry_limit.window_s,
        )  # fmt: skip
        if cloud is not None:
            self._settings += ACCOUNT_SETTINGS.format(
                cloud=cloud,
                key_bound_ms=int(KEY_BOUND_S * 1000),
                window_s=USAGE_WINDOW_S,
                late_s=USAGE_LATE_S,
            )
        self._cut_path = folder / f"{name}.cut"
        self._cut_ips, self._loss_share = (), 0.0
        self._link_modes = {}
        variables = [
            f"GYPSUMUSHER_SETTINGS={self._settings_path}",
            f"{CUT_VARIABLE}={self._cut_path}",
            f"{START_VARIABLE}={folder / START_FILE}",
        ]
        if source is not None:
            libraries = [str(source / "platform"), *map(str, source.glob("libs/*"))]
            variables.append(f"PYTHONPATH={':'.join(libraries)}")
        argv = ["/usr/bin/env", *variables, sys.executable, str(PROGRAM)]
        super().__init__(name, argv, folder / f"{name}.log")
        self.ip, self.zone = ip, zone
        self.ready = f"{ip}:{ready_port}"
        self.callers = f"{ip}:{callers_port}"
        self.directory = f"{ip}:{directory_port}"
        self.peers = f"{ip}:{peer_port}"
        self.start_count = 0
        self.is_removed = False
        self._is_first_start = is_first_start

    async def start(self):
        """Start the host if it isn't running, without waiting until it is ready.

        The host can't become ready while the store is unavailable. A stop and a kill of
        one host may overlap, and both restart it: without the check, the first process
        would be leaked and outlive the run.
        """
        if self.is_removed or (self.is_started and self.exit_code() is None):
            return
        self.start_count += 1
        is_first = self._is_first_start and self.start_count == 1
        is_first_start = "true" if is_first else "false"
        text = self._settings.format(is_first_start=is_first_start)
        self._settings_path.write_text(text)
        self.spawn()

    def remove(self):
        """Kill the host for good; later starts do nothing."""
        self.is_removed = True
        self.destroy()

    def cut_off(self, ips):
        """Cut the host off from the hosts at these addresses, and from no others."""
        self._cut_ips = ips
        self._write_cut_list()

    def set_loss(self, share):
        """Lose a share of the messages that the host sends to the others."""
        self._loss_share = share
        self._write_cut_list()

    def set_links(self, addresses, mode):
        """Disturb the host's own links to some addresses; mode None mends them."""
        for address in addresses:
            self._link_modes[address] = mode
        self._write_cut_list()

    def _write_cut_list(self):
        # Renamed into place, so that the process never reads half of a list.
        path = self._cut_path.with_suffix(".new")
        links = [
            f"{LINK_PREFIX}{address}={mode}"
            for address, mode in self._link_modes.items()
            if mode is not None
        ]
        lines = [f"{LOSS_PREFIX}{self._loss_share}", *links, *self._cut_ips]
        path.write_text("\n".join(lines))
        path.rename(self._cut_path)

    def reload_settings(self):
        """Make the host read its settings again, by SIGHUP."""
        self._signal(signal.SIGHUP)
