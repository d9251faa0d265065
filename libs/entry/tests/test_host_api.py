"""Responses of an entry host to the platform, to peers and to directory clients."""

import aiohttp
from host_harness import HostHarness, run


async def get(host, name, path, method="GET"):
    """Send a request to one of the host's listeners; return status and body."""
    async with aiohttp.ClientSession() as session:
        url = f"http://{host.addresses[name]}{path}"
        async with session.request(method, url) as answer:
            return answer.status, await answer.read()


def test_each_path_is_served_on_its_listener():
    async def scenario():
        async with HostHarness() as host:
            status, body = await get(host, "ready", "/v1/readyz")
            assert (status, body) == (200, b'{"ready": true}')
            status, body = await get(host, "directory", "/v1/resolve?name=x&zone=a")
            assert status == 200
            assert host.addresses["callers"].split(":")[0].encode() in body
            status, _ = await get(host, "peers", "/v1/beliefs?version=1&revision=99")
            assert status == 200

    run(scenario())


def test_invalid_requests_are_rejected():
    async def scenario():
        async with HostHarness() as host:
            assert (await get(host, "ready", "/v1/other"))[0] == 404
            assert (await get(host, "ready", "/v1/readyz", "POST"))[0] == 405
            assert (await get(host, "ready", "/v1/readyz", "HEAD"))[0] == 200
            # A value that isn't a number counts as no known version.
            status, body = await get(host, "peers", "/v1/beliefs?version=-1&revision=x")
            assert status == 200
            assert len(body) > 100

    run(scenario())


def test_metrics_are_served_before_and_after_first_request():
    async def scenario():
        async with HostHarness() as host:
            status, body = await get(host, "ready", "/metrics")
            assert status == 200
            assert b"gypsumusher_configuration_version 1" in body
            await host.ask()
            _, body = await get(host, "ready", "/metrics")
            assert b"gypsumusher_requests_total" in body

    run(scenario())
