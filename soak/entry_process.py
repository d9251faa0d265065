"""Entry hosts of the soak run: real processes, each on its own loopback address."""

import asyncio
import pathlib
import re
import signal
import sys

from account_checks import KEY_BOUND_S, USAGE_LATE_S, USAGE_WINDOW_S
from entry_program import CUT_VARIABLE, LINK_PREFIX, LOSS_PREFIX, START_VARIABLE
from processes import EXIT_TIMEOUT_S, Process, ProcessFailed, free_ports

__all__ = ["START_FILE", "EntryProcess"]

# Hosts begin once this file is in their folder.
START_FILE = "start"

# Pause between two signals of a series.
SIGNAL_INTERVAL_S = 0.003
# Bits of the signals that a host handles, in the status of its process.
_HANDLED_MASK = sum(1 << number - 1 for number in (signal.SIGHUP, signal.SIGTERM))
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
    on_end : callable or None
        Called with the name, the exit status, and whether it was stopped and killed,
        when the end of a process is noticed.
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
        self.on_end = None
        self._is_first_start = is_first_start
        self._text = ""
        self._handles_signals = False
        self._was_stopped = self._was_killed = False
        self._is_end_noted = False

    async def start(self):
        """Start the host if it isn't running, without waiting until it is ready.

        The host can't become ready while the store is unavailable. A stop and a kill of
        one host may overlap, and both restart it: without the check, the first process
        would be leaked and outlive the run.
        """
        if self.is_removed or (self.is_started and self.exit_code() is None):
            return
        self.note_end()
        self._handles_signals = self._is_end_noted = False
        self._was_stopped = self._was_killed = False
        self.start_count += 1
        is_first = self._is_first_start and self.start_count == 1
        is_first_start = "true" if is_first else "false"
        self._text = self._settings.format(is_first_start=is_first_start)
        self._settings_path.write_text(self._text)
        self.spawn()

    def note_end(self):
        """Report the end of the host's process, if it has ended since its start.

        Returns
        -------
        bool
            Whether it has ended though it was neither stopped nor killed.
        """
        if not self.is_started or self._is_end_noted or self.exit_code() is None:
            return False
        self._is_end_noted = True
        if self.on_end is not None:
            process = f"{self.name}/{self.start_count}"
            status = self.exit_code()
            self.on_end(process, status, self._was_stopped, self._was_killed)
        return not (self._was_stopped or self._was_killed)

    def terminate(self):
        """Send SIGTERM, which asks for a planned stop."""
        self._was_stopped = self._was_stopped or self.exit_code() is None
        super().terminate()

    def kill(self):
        """Send SIGKILL and wait for the exit."""
        self._was_killed = self._was_killed or self.exit_code() is None
        super().kill()

    async def terminate_and_wait(self):
        """Stop the host once it can handle the signal; return its exit code."""
        await self.until_signals_handled()
        return await super().terminate_and_wait()

    async def until_signals_handled(self):
        """Wait until the process has handlers for its signals, or has ended.

        A new process can have none until its interpreter runs.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + EXIT_TIMEOUT_S
        while not self._handles_signals and self.exit_code() is None:
            caught = re.search(r"SigCgt:\s*(\w+)", self._read_status())
            if caught is not None and int(caught[1], 16) & _HANDLED_MASK == (
                _HANDLED_MASK
            ):
                self._handles_signals = True
                continue
            if loop.time() > until_s:
                raise ProcessFailed(f"{self.name} has no signal handlers")
            await asyncio.sleep(SIGNAL_INTERVAL_S)

    def _read_status(self):
        """Return the status of the process; it is there until the exit is read."""
        return pathlib.Path(f"/proc/{self.pid}/status").read_text()

    async def reload_repeatedly(self):
        """Rewrite the settings and send SIGHUP, over all processes, until cancelled."""
        while True:
            await self.until_signals_handled()
            self._rewrite_settings()
            self.send_signal(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_INTERVAL_S)

    def _rewrite_settings(self):
        """Write the settings again, in two steps between which the host may read."""
        half = len(self._text) // 2
        with open(self._settings_path, "w") as file:
            file.write(self._text[:half])
            file.flush()
            file.write(self._text[half:])

    def remove(self):
        """Kill the host for good; later starts do nothing."""
        self.is_removed = True
        self.destroy()
        self.note_end()

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

    async def reload_settings(self):
        """Make the host read its settings again, by SIGHUP."""
        await self.until_signals_handled()
        self.send_signal(signal.SIGHUP)
