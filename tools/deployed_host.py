"""Entry hosts as real processes, by the deploy file's command and real settings."""

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tomllib

from processes import free_ports

__all__ = ["GRACE_S", "DeployedHost", "occupy"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE_FOLDERS = [ROOT / "platform", *sorted((ROOT / "libs").iterdir())]
LISTENERS = ("front", "ready", "control", "directory")
POLL_S = 0.002
EXIT_TIMEOUT_S = 30.0
LOG_TIMEOUT_S = 40.0
GRACE_S = 8.0
SETTINGS = """node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "control", "directory"]
ip = "{ip}"
zone = "suwon-a"
region = "gyeonggi"
port_range = [{datagrams}, {datagrams}]
seeds = ["{ip}:{control}"]
bootstrap = true
heartbeat_ms = 1200
[zones]
suwon-a = "gyeonggi"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = {max_fds}
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = {grace_s}
config_ms = 2000
retry_ratio = 0.2
budget_window_s = 10
retry_slack = 54
require_fence = false
lease_ms = 3000
thaw_ms = 300
ttl_max_s = 5
[platform_store]
addr = "{store}"
"""


class DeployedHost:
    """One process of an entry host.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the settings file and of the log.
    store : str
        Address of the store.
    modules : dict of str to str
        Source of modules that the process imports in place of others, by name.
    """

    def __init__(self, folder, store, modules=None, ip="127.0.0.1", max_fds=4100):
        self.ip = ip
        self.process = None
        self.settings_path = folder / "node.toml"
        self.log_path = folder / "host.log"
        names = (*LISTENERS, "metrics", "datagrams")
        self.ports = dict(zip(names, free_ports(ip, len(names))))
        self.settings = SETTINGS.format(
            name="front-1", ip=ip, store=store, grace_s=GRACE_S, max_fds=max_fds,
            **self.ports,
        )  # fmt: skip
        self.settings_path.write_text(self.settings)
        self._modules = folder / "modules"
        self._modules.mkdir(exist_ok=True)
        for name, source in (modules or {}).items():
            (self._modules / f"{name}.py").write_text(source)

    def start(self, **options):
        """Start the process; options are those of `subprocess.Popen`."""
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        command = roles["entry"]["run"].split()
        assert command[0] == "python3"
        command[0] = sys.executable
        command[-1] = str(self.ports["metrics"])
        folders = [self._modules, *PACKAGE_FOLDERS, *sys.path]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = os.pathsep.join(map(str, folders))
        environment["GYPSUMUSHER_SETTINGS"] = str(self.settings_path)
        with open(self.log_path, "ab") as log:
            streams = {"stdin": subprocess.DEVNULL, "stdout": log, "stderr": log}
            self.process = subprocess.Popen(
                command, env=environment, **{**streams, **options}
            )

    def log_text(self):
        """Return all that the process has written."""
        return self.log_path.read_text(errors="replace")

    async def until_logged(self, text):
        """Wait until the log holds a text; fail with the log when it doesn't come."""
        until_s = asyncio.get_running_loop().time() + LOG_TIMEOUT_S
        while text not in self.log_text():
            assert self.process.poll() is None, (self.process.poll(), self.log_text())
            assert asyncio.get_running_loop().time() < until_s, self.log_text()
            await asyncio.sleep(POLL_S)

    async def until_listening(self, name):
        """Wait until the process accepts connections at a listener."""
        while not await self.is_listening(name):
            assert self.process.poll() is None, (self.process.poll(), self.log_text())
            await asyncio.sleep(POLL_S)

    async def is_listening(self, name):
        """Return whether the process accepts connections at a listener."""
        try:
            _, writer = await asyncio.open_connection(self.ip, self.ports[name])
        except OSError:
            return False
        writer.close()
        return True

    async def until_ended(self):
        """Wait for the end of the process; return its exit status."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + EXIT_TIMEOUT_S
        while self.process.poll() is None:
            assert loop.time() < until_s, self.log_text()
            await asyncio.sleep(POLL_S)
        return self.process.returncode

    async def stop(self):
        """Stop the process as planned; return its exit status."""
        self.process.send_signal(signal.SIGTERM)
        return await self.until_ended()

    def destroy(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def occupy(ip, port, kind=socket.SOCK_STREAM):
    """Return a socket that holds an address, as another process does."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.bind((ip, port))
    if kind == socket.SOCK_STREAM:
        sock.listen(1)
    return sock
