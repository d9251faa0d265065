"""Starts, pauses and kills child processes of tests and of the demo."""

import asyncio
import os
import pathlib
import re
import signal
import socket
import subprocess

# Start of the log line with which a process reports its addresses.
READY_PREFIX = "event=ready"
READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 30.0
POLL_S = 0.01
FIELD = re.compile(r"(\w+)=(\S+)")


class ProcessFailed(Exception):
    """A child process exited early, or did not become ready or exit in time."""


class Process:
    """One child process with its log file.

    Parameters
    ----------
    name : str
        Name of the process in error messages.
    argv : list of str
        Command line.
    log_path : pathlib.Path
        File to which standard output and standard error are appended.
    """

    def __init__(self, name, argv, log_path):
        self.name = name
        self.argv = argv
        self.log_path = log_path
        self.addresses = {}
        self._child = None

    def spawn(self, **options):
        """Start the process without waiting until it is ready.

        Parameters
        ----------
        **options
            Options of `subprocess.Popen` in place of the usual ones.
        """
        with open(self.log_path, "ab") as log:
            usual = {
                "stdin": subprocess.DEVNULL,
                "stdout": log,
                "stderr": subprocess.STDOUT,
                "env": {**os.environ, "PYTHONUNBUFFERED": "1"},
            }
            self._child = subprocess.Popen(self.argv, **{**usual, **options})

    async def start(self):
        """Start the process, wait for its ready line and read the addresses from it."""
        self.spawn()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + READY_TIMEOUT_S
        while not self._read_ready_line():
            if self.exit_code() is not None:
                raise ProcessFailed(
                    f"{self.name} exited before it was ready:\n{self.log_text()}"
                )
            if loop.time() > deadline_s:
                raise ProcessFailed(
                    f"{self.name} not ready within {READY_TIMEOUT_S:g} s:\n"
                    f"{self.log_text()}"
                )
            await asyncio.sleep(POLL_S)

    def _read_ready_line(self):
        for line in self.log_text().splitlines():
            if line.startswith(READY_PREFIX):
                self.addresses = dict(FIELD.findall(line))
                del self.addresses["event"]
                return True
        return False

    @property
    def is_started(self):
        """Whether the process was ever started, running or not."""
        return self._child is not None

    @property
    def pid(self):
        """The process id."""
        return self._child.pid

    def exit_code(self):
        """Return the exit code, or None while the process runs."""
        return self._child.poll()

    def log_text(self):
        """Return everything that the process has written so far."""
        return self.log_path.read_text(errors="replace")

    def kill(self):
        """Send SIGKILL and wait for the exit."""
        self.send_signal(signal.SIGKILL)
        self._child.wait()

    def pause(self):
        """Send SIGSTOP, which pauses the process like a frozen machine."""
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        """Send SIGCONT, which ends a pause."""
        self.send_signal(signal.SIGCONT)

    def terminate(self):
        """Send SIGTERM, which asks for a planned stop."""
        self.send_signal(signal.SIGTERM)

    async def wait_for_exit(self):
        """Wait until the process has exited, and return the exit code."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + EXIT_TIMEOUT_S
        while self.exit_code() is None:
            if loop.time() > deadline_s:
                raise ProcessFailed(
                    f"{self.name} did not exit within {EXIT_TIMEOUT_S:g} s:\n"
                    f"{self.log_text()}"
                )
            await asyncio.sleep(POLL_S)
        return self.exit_code()

    async def terminate_and_wait(self):
        """Send SIGTERM, wait for the exit and return the exit code."""
        self.terminate()
        return await self.wait_for_exit()

    def peak_memory_bytes(self):
        """Return the most memory that the process has had, in bytes."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    def count_descriptors(self):
        """Return how many descriptors the process has open."""
        return len(list(pathlib.Path(f"/proc/{self.pid}/fd").iterdir()))

    def destroy(self):
        """Kill the process if it still runs, paused or not."""
        if self.is_started and self.exit_code() is None:
            self.kill()

    def send_signal(self, number):
        """Send a signal unless the process has exited."""
        if self.exit_code() is None:
            os.kill(self.pid, number)


def free_ports(ip, count, excluded=()):
    """Return ports that are free on an address, for both TCP and UDP.

    Parameters
    ----------
    ip : str
        The address.
    count : int
        Number of ports.
    excluded : collection of int
        Ports that aren't to be returned, such as one that is about to be used.
    """
    ports, sockets = [], []
    while len(ports) < count:
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream.bind((ip, 0))
        sockets.append(stream)
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets.append(datagram)
        port = stream.getsockname()[1]
        if port in excluded:
            continue
        try:
            datagram.bind((ip, port))
        except OSError:
            continue
        ports.append(port)
    for opened in sockets:
        opened.close()
    return ports
