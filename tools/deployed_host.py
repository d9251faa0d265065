"""Entry hosts as real processes, by the deploy file's command and real settings."""

import asyncio
import contextlib
import os
import pathlib
import socket
import sys
import tomllib

from platform_samples import (
    IDEMPOTENT_ROUTE,
    sample_configuration,
    sample_endpoint_entry,
)
from processes import Process, free_ports

from gypsumusher_standins.object_store_server import ObjectStoreServer

__all__ = ["GRACE_S", "DeployedHost", "deployed_host", "occupy"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE_FOLDERS = [ROOT / "platform", *sorted((ROOT / "libs").iterdir())]
LISTENERS = ("front", "ready", "control", "directory")
POLL_S = 0.002
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


class DeployedHost(Process):
    """One process of an entry host.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the settings file and of the log.
    store : str
        Address of the store.
    modules : dict of str to str
        Source of modules that the process imports in place of others, by name.
    ip : str
        Address of all its listeners.
    max_fds : int
        Limit in its settings.
    """

    def __init__(self, folder, store, modules=None, ip="127.0.0.1", max_fds=4100):
        self.ip = ip
        self.settings_path = folder / "node.toml"
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
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        command = roles["entry"]["run"].split()
        assert command[0] == "python3"
        command[0] = sys.executable
        command[-1] = str(self.ports["metrics"])
        super().__init__("front-1", command, folder / "host.log")

    def spawn(self, **options):
        """Start the process, with as little of the environment as the platform."""
        folders = [self._modules, *PACKAGE_FOLDERS, *sys.path]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = os.pathsep.join(map(str, folders))
        environment["GYPSUMUSHER_SETTINGS"] = str(self.settings_path)
        super().spawn(**{"env": environment, **options})

    async def until_logged(self, text):
        """Wait until the log holds a text; fail with the log when it doesn't come."""
        until_s = asyncio.get_running_loop().time() + LOG_TIMEOUT_S
        while text not in self.log_text():
            assert self.exit_code() is None, (self.exit_code(), self.log_text())
            assert asyncio.get_running_loop().time() < until_s, self.log_text()
            await asyncio.sleep(POLL_S)

    async def until_listening(self, name):
        """Wait until the process accepts connections at a listener."""
        while not await self.is_listening(name):
            assert self.exit_code() is None, (self.exit_code(), self.log_text())
            await asyncio.sleep(POLL_S)

    async def is_listening(self, name):
        """Return whether the process accepts connections at a listener."""
        try:
            _, writer = await asyncio.open_connection(self.ip, self.ports[name])
        except OSError:
            return False
        writer.close()
        return True


@contextlib.asynccontextmanager
async def deployed_host(folder, has_configuration=True, **options):
    """Return a host that isn't started yet, with a store.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of its settings and its log.
    has_configuration : bool
        Whether the store has a configuration and the entry of an endpoint.
    **options
        Those of `DeployedHost`.
    """
    store = ObjectStoreServer()
    address = await store.start()
    if has_configuration:
        store.put("config", "main", sample_configuration(1, IDEMPOTENT_ROUTE))
        store.put("servers", "e-0", sample_endpoint_entry("127.0.0.1:9"))
    process = DeployedHost(folder, address, **options)
    process.store = store
    try:
        yield process
    finally:
        process.destroy()
        await store.close()


def occupy(ip, port, kind=socket.SOCK_STREAM):
    """Return a socket that holds an address, as another process does."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.bind((ip, port))
    if kind == socket.SOCK_STREAM:
        sock.listen(1)
    return sock
