"""Accepted configurations reach every host within seconds and never revert."""

import asyncio

import pytest
from testkit import DEPLOYMENT, Fleet, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

CONVERGED = "every host to have the newest configuration"


def ratio_patch(ratio):
    """Return a patch that changes only the retry ratio."""
    return {"deployments": {"letter-models": {"retry_ratio": ratio}}}


async def config_number(host):
    return (await host.status())["config_number"]


async def config_document(host):
    return (await host.admin("GET", "/config")).json


async def retry_ratio_of(host):
    document = (await config_document(host))["document"]
    return document["deployments"]["letter-models"]["retry_ratio"]


async def wait_for_number(hosts, number):
    async def all_have_number():
        return [await config_number(host) for host in hosts] == [number] * len(hosts)

    await wait_until(all_have_number, CONVERGED)


class ConfigNumberMonitor:
    """Records each host's configuration numbers and checks that none decreases."""

    def __init__(self, hosts):
        self.seen = {host.name: [] for host in hosts}
        self._hosts = hosts
        self._task = None

    def start(self):
        self._task = asyncio.create_task(self._poll())

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        for name, numbers in self.seen.items():
            assert numbers == sorted(numbers), (name, numbers)

    async def _poll(self):
        while True:
            for host in self._hosts:
                numbers = self.seen[host.name]
                number = await config_number(host)
                if not numbers or numbers[-1] != number:
                    numbers.append(number)
            await asyncio.sleep(0.01)


def test_concurrent_patches_lose_no_change():
    """Guards against silently overwritten configuration changes.

    Six operators submit patches against the same number through three hosts at the
    same time, and submit them again after a refusal that reports what changed. If the
    last write won, the other changes would be lost.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=3, engines=1)
            monitor = ConfigNumberMonitor(hosts)
            monitor.start()

            async def operator(index):
                host = hosts[index % 3]
                tenant = f"tenant-{index}"
                weights = {"tenant_weights": {tenant: index + 1}}
                patch = {"deployments": {"letter-models": weights}}
                base, refusals = 1, 0
                while True:
                    response = await host.patch(base, patch, f"patch-{index}")
                    if response.status == 200:
                        return response.json["number"], refusals
                    assert response.status == 409, response
                    assert response.error["code"] == "outdated"
                    assert response.json["changed_since"]
                    assert response.json["number"] > base
                    base = response.json["number"]
                    refusals += 1

            results = await asyncio.gather(*(operator(index) for index in range(6)))
            numbers = sorted(number for number, _ in results)
            assert numbers == [2, 3, 4, 5, 6, 7]
            assert sum(refusals for _, refusals in results) >= 5
            await wait_for_number(hosts, 7)
            await monitor.stop()
            documents = [await config_document(host) for host in hosts]
            assert documents[0] == documents[1] == documents[2]
            section = documents[0]["document"]["deployments"]["letter-models"]
            weights = section["tenant_weights"]
            assert weights == {f"tenant-{index}": index + 1 for index in range(6)}

    asyncio.run(run())


def test_repeated_patch_after_a_lost_response_applies_once():
    """Guards against applying one patch twice, or refusing an accepted one.

    The write of the configuration head takes effect but its response is lost. The
    operator repeats the patch through another host, after a further patch. A repeat
    has to be recognised by its id, or it looks outdated or new.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            await fleet.platform.control(lose_answers=1, lose_kind="config")
            first = await hosts[0].patch(1, ratio_patch(0.2), "patch-a")
            assert first.status == 200, first
            assert first.json["number"] == 2
            await wait_for_number(hosts, 2)
            second = await hosts[1].patch(2, ratio_patch(0.3), "patch-b")
            assert second.json["number"] == 3
            again = await hosts[1].patch(1, ratio_patch(0.2), "patch-a")
            assert again.status == 200, again
            assert again.json["number"] == 2
            await wait_for_number(hosts, 3)
            assert await retry_ratio_of(hosts[0]) == 0.3

    asyncio.run(run())


def test_host_without_platform_gets_the_configuration_from_peers():
    """Guards against a host that keeps an outdated configuration.

    One host cannot reach the platform, and a patch is accepted through another host.
    The first host has to get the configuration from its peers.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=3, engines=1)
            await fleet.platform.control(cut_clients=["h1"])
            response = await hosts[1].patch(1, ratio_patch(0.2), "patch-a")
            assert response.status == 200, response
            await wait_for_number(hosts, 2)
            assert await retry_ratio_of(hosts[0]) == 0.2
            prompt = "a letter"
            served = await hosts[0].complete(prompt, 8)
            assert served.text == expected_text(prompt, 8)

    asyncio.run(run())


def test_host_without_platform_and_peers_refuses_requests():
    """Guards against serving with a configuration that has been replaced.

    A host reaches neither the platform nor most of its peers, so it cannot know which
    configuration is in force.
    """

    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            document = {
                "deployments": {"letter-models": DEPLOYMENT},
                "hosts": {"stale_config": "stop", "stale_limit_s": 1.0},
            }
            await fleet.put_config(document)
            await fleet.start_engine("e1")
            hosts = await asyncio.gather(
                *(fleet.start_host(name) for name in ("h1", "h2", "h3"))
            )
            await fleet.wait_until_served(hosts, 1)
            for host in hosts[1:]:
                host.pause()
            await fleet.platform.control(cut_clients=["h1"])

            async def refuses():
                return (await hosts[0].complete("a letter", 8)).status == 503

            await wait_until(refuses, "the cut-off host to refuse")
            refused = await hosts[0].complete("a letter", 8)
            assert refused.error["code"] == "not_ready"
            assert refused.error["run"] == "no"
            assert not await hosts[0].is_ready()
            for host in hosts[1:]:
                host.resume()

            async def serves():
                return (await hosts[0].complete("a letter", 8)).status == 200

            await wait_until(serves, "the host to serve again")

    asyncio.run(run())


def test_host_restarted_during_an_outage_asks_its_peers():
    """Guards against a restarted host that is idle or uses an old configuration.

    The platform goes down after a patch, and a host is restarted. Hosts store nothing
    on disk, so it has to get the configuration from its peers.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            response = await hosts[0].patch(1, ratio_patch(0.2), "patch-a")
            assert response.status == 200
            await wait_for_number(hosts, 2)
            await fleet.platform.control(outage=True)
            port = int(hosts[0].addresses["peers"].rsplit(":", 1)[1])
            hosts[0].kill()
            isolated = await fleet.start_host("h9")
            refused = await isolated.complete("a letter", 8)
            assert refused.error["code"] == "not_ready"
            assert refused.error["run"] == "no"
            restarted = await fleet.start_host("h1", peers={"port": port})

            async def has_number():
                return await config_number(restarted) == 2

            await wait_until(
                has_number, "the restarted host to receive the state of its peer"
            )
            await fleet.platform.control(outage=False)
            await wait_for_number([restarted, isolated, hosts[1]], 2)

    asyncio.run(run())


def test_patch_during_an_outage_is_refused():
    """Guards against accepting a patch that is not stored.

    The platform is down, so the patch has to be refused and must never be in force on
    any host. A host that applied a patch before storing it would break that.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            await fleet.platform.control(outage=True)
            response = await hosts[0].patch(1, ratio_patch(0.2), "patch-a")
            assert response.status == 503, response
            assert response.error["code"] in {"unavailable", "unknown_outcome"}
            await fleet.platform.control(outage=False)

            async def is_accepted():
                response = await hosts[1].patch(1, ratio_patch(0.3), "patch-b")
                return response.status == 200

            await wait_until(is_accepted, "a patch to be accepted after the outage")
            await wait_for_number(hosts, 2)
            for host in hosts:
                assert await retry_ratio_of(host) == 0.3

    asyncio.run(run())


def test_delayed_head_write_reverts_nothing():
    """Guards against a delayed write that reverts a newer configuration.

    A host's write of the head is delayed. Another patch is accepted meanwhile, and
    then the delayed write arrives. An unconditional write would take effect.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            monitor = ConfigNumberMonitor(hosts)
            monitor.start()
            await fleet.platform.control(hang_clients=["h1"], hang_kind="config")
            delayed = asyncio.create_task(
                hosts[0].patch(1, ratio_patch(0.2), "patch-a")
            )

            async def is_held():
                return (await fleet.platform.counters())["held"].get("config", 0)

            await wait_until(is_held, "a held write")
            response = await hosts[1].patch(1, ratio_patch(0.3), "patch-b")
            assert response.status == 200
            await fleet.platform.control(hang_clients=[])
            assert (await delayed).status != 200
            await wait_for_number(hosts, 2)
            for host in hosts:
                assert await retry_ratio_of(host) == 0.3
            await monitor.stop()

    asyncio.run(run())


def test_old_head_restored_on_the_platform_reverts_nothing():
    """Guards against reverting to an older configuration restored on the platform.

    The platform's operators restore an old copy of the head after two more patches.
    Hosts must not apply a number lower than their own.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            monitor = ConfigNumberMonitor(hosts)
            monitor.start()
            old = (await fleet.platform.read("config", "head"))["value"]
            for number in (1, 2):
                response = await hosts[0].patch(number, ratio_patch(0.2), f"p{number}")
                assert response.status == 200, response
            await wait_for_number(hosts, 3)
            newest = await fleet.platform.read("config", "head")
            await fleet.platform.write("config", "head", old, newest["version"])
            revision = (await fleet.platform.counters())["revision"]
            assert revision > newest["version"]
            watches = await count_watches(fleet, hosts)

            async def all_received_it():
                now = await count_watches(fleet, hosts)
                return all(later > earlier for later, earlier in zip(now, watches))

            await wait_until(all_received_it, "every host to see the old head")
            assert [await config_number(host) for host in hosts] == [3, 3]
            assert await retry_ratio_of(hosts[0]) == 0.2
            await monitor.stop()

    asyncio.run(run())


async def count_watches(fleet, hosts):
    """Return how many watches each host has started; each change ends one."""
    calls = (await fleet.platform.counters())["calls"]
    return [calls[host.name]["WATCH"] for host in hosts]


def test_invalid_patch_reports_its_problems_and_changes_nothing():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            for patch in (ratio_patch(7), {"deployments": {"letter-models": 3}}):
                response = await hosts[0].patch(1, patch, "patch-a")
                assert response.status == 422, response
                problem = response.json["problems"][0]
                assert problem["path"].startswith("deployments.letter-models")
                assert problem["mend"]
            assert await config_number(hosts[0]) == 1

    asyncio.run(run())
