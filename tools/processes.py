"""Child processes of tests and of the demo: started, paused, killed by their id."""

import asyncio
import os
import re
import signal
import socket
import subprocess

READY_PREFIX = "event=ready"
READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 30.0
POLL_S = 0.01
FIELD = re.compile(r"(\w+)=(\S+)")


class ProcessFailed(Exception):
    """A child that ended, or did not become ready, when it should have."""


class Process:
    """One child process with its log file.

    Parameters
    ----------
    name : str
        How messages call it.
    argv : list of str
        Its command line.
    log_path : pathlib.Path
        File that takes its output.
    """

    def __init__(self, name, argv, log_path):
        self.name = name
        self.argv = argv
        self.log_path = log_path
        self.addresses = {}
        self._child = None

    def spawn(self):
        """Start it without waiting for anything."""
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        with open(self.log_path, "ab") as log:
            self._child = subprocess.Popen(
                self.argv,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    async def start(self):
        """Start it and wait for its ready line; the addresses come from there."""
        self.spawn()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_TIMEOUT_S
        while not self._read_ready_line():
            if self.exit_code() is not None:
                raise ProcessFailed(f"{self.name} ended:\n{self.log_text()}")
            if loop.time() > end_s:
                raise ProcessFailed(f"{self.name} isn't ready:\n{self.log_text()}")
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
        """Whether it has been started, whatever has become of it."""
        return self._child is not None

    @property
    def pid(self):
        """The process id."""
        return self._child.pid

    def exit_code(self):
        """Return the exit code, or None while it runs."""
        return self._child.poll()

    def log_text(self):
        """Return everything that it has written so far."""
        return self.log_path.read_text(errors="replace")

    def kill(self):
        """Kill it without any chance to finish."""
        self._signal(signal.SIGKILL)
        self._child.wait()

    def pause(self):
        """Stop it where it stands, as a frozen machine would."""
        self._signal(signal.SIGSTOP)

    def resume(self):
        """Let it go on after a pause."""
        self._signal(signal.SIGCONT)

    def terminate(self):
        """Ask it for a planned stop."""
        self._signal(signal.SIGTERM)

    async def wait_for_exit(self):
        """Wait until it has ended; return its exit code."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + EXIT_TIMEOUT_S
        while self.exit_code() is None:
            if loop.time() > end_s:
                raise ProcessFailed(f"{self.name} doesn't end:\n{self.log_text()}")
            await asyncio.sleep(POLL_S)
        return self.exit_code()

    async def terminate_and_wait(self):
        """Ask it for a planned stop and wait for it; return its exit code."""
        self.terminate()
        return await self.wait_for_exit()

    def destroy(self):
        """Make sure that it has ended, paused or not."""
        if self.is_started and self.exit_code() is None:
            self.kill()

    def _signal(self, number):
        if self.exit_code() is None:
            os.kill(self.pid, number)


def free_ports(ip, count):
    """Return ports that are free on an address, for TCP and for datagrams."""
    found, kept = [], []
    while len(found) < count:
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream.bind((ip, 0))
        kept.append(stream)
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        kept.append(datagram)
        port = stream.getsockname()[1]
        try:
            datagram.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    for each in kept:
        each.close()
    return found
