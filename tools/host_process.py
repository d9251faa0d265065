"""The program of an entry host under low limits, with a store and endpoints."""

import contextlib
import sys

import aiohttp
from platform_samples import sample_endpoint_entry
from processes import Process, free_ports
from testkit import wait_until

from gypsumusher_standins.object_store_server import ObjectStoreServer

__all__ = ["LISTENERS", "HostProcess", "running_host"]

SETTINGS = """node = "host-1"
ip = "127.0.0.1"
zone = "zone-a"
port_range = [{datagrams}, {datagrams}]

[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
control = "127.0.0.1:{peers}"

[platform_store]
addr = "{store}"

[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
"""
LISTENERS = ("callers", "ready", "directory", "peers", "metrics")


class HostProcess(Process):
    """The program of an entry host.

    Parameters
    ----------
    store : str
        Address of the store.
    folder : pathlib.Path
        Folder of its settings and its log.
    memory_mb, max_fds : int
        Limits in its settings.
    """

    def __init__(self, store, folder, memory_mb, max_fds):
        names = (*LISTENERS, "datagrams")
        ports = dict(zip(names, free_ports("127.0.0.1", len(names))))
        self.addresses_by_name = {
            name: ("127.0.0.1", port) for name, port in ports.items()
        }
        path = folder / "host.toml"
        path.write_text(
            SETTINGS.format(store=store, memory_mb=memory_mb, max_fds=max_fds, **ports)
        )
        argv = ["/usr/bin/env", f"GYPSUMUSHER_SETTINGS={path}", sys.executable]
        argv += ["-m", "gypsumusher_entry", "--metrics-port", str(ports["metrics"])]
        super().__init__("host-1", argv, folder / "host.log")

    async def request(self, listener, path):
        """Return the status of one ordinary request on a connection of its own."""
        ip, port = self.addresses_by_name[listener]
        headers = {"Host": "shop.example", "X-Gypsumusher-Request-Id": "ordinary"}
        async with aiohttp.ClientSession(headers=headers) as session:
            async with session.get(f"http://{ip}:{port}{path}") as response:
                await response.read()
                return response.status

    async def serves(self):
        """Return whether an ordinary request on the first route is answered."""
        try:
            return await self.request("callers", "/0/x") == 200
        except aiohttp.ClientError:
            return False


@contextlib.asynccontextmanager
async def running_host(folder, endpoints, configuration, memory_mb, max_fds):
    """Run a host that serves from scripted endpoints.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of its settings and its log.
    endpoints : list of ScriptedEndpoint
        The endpoint of each service: of ``svc``, ``svc-1`` and so on.
    configuration : dict
        The configuration in the store; its first route leads to ``svc``.
    memory_mb, max_fds : int
        Limits in the host's settings.
    """
    store = ObjectStoreServer()
    address = await store.start()
    store.put("config", "main", configuration)
    for number, endpoint in enumerate(endpoints):
        service = f"svc-{number}" if number else "svc"
        entry = sample_endpoint_entry(await endpoint.start(), service=service)
        store.put("servers", f"e-{number}", entry)
    host = HostProcess(address, folder, memory_mb, max_fds)
    try:
        host.spawn()
        await wait_until(host.serves, "host serves")
        yield host
    finally:
        host.destroy()
        for endpoint in endpoints:
            await endpoint.close()
        await store.close()
