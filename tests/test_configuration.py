"""An accepted configuration is in force everywhere within seconds and never reverts."""

import asyncio

import pytest
from testkit import DEPLOYMENT, Fleet, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

SETTLED = "every host to have the newest configuration"


def ratio_patch(ratio):
    """Return a patch that changes one harmless number."""
    return {"deployments": {"letter-models": {"retry_ratio": ratio}}}


async def number_of(host):
    return (await host.status())["config_number"]


async def document_of(host):
    return (await host.admin("GET", "/config")).json


async def ratio_of(host):
    document = (await document_of(host))["document"]
    return document["deployments"]["letter-models"]["retry_ratio"]


async def wait_for_number(hosts, number):
    async def all_have_it():
        return [await number_of(host) for host in hosts] == [number] * len(hosts)

    await wait_until(all_have_it, SETTLED)


class NumberWatch:
    """Notes each host's configuration number; a number that falls is a failure."""

    def __init__(self, hosts):
        self.seen = {host.name: [] for host in hosts}
        self._hosts = hosts
        self._task = None

    def start(self):
        self._task = asyncio.create_task(self._watch())

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        for name, numbers in self.seen.items():
            assert numbers == sorted(numbers), (name, numbers)

    async def _watch(self):
        while True:
            for host in self._hosts:
                numbers = self.seen[host.name]
                number = await number_of(host)
                if not numbers or numbers[-1] != number:
                    numbers.append(number)
            await asyncio.sleep(0.01)


def test_racing_operators():
    """An operator's change would silently disappear.

    Six operators submit patches against the same number through three hosts at the
    same time, and again after being told what changed.
    Cause: the last writer wins.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=3, engines=1)
            watch = NumberWatch(hosts)
            watch.start()

            async def operator(index):
                host = hosts[index % 3]
                tenant = f"tenant-{index}"
                weights = {"tenant_weights": {tenant: index + 1}}
                patch = {"deployments": {"letter-models": weights}}
                base, refusals = 1, 0
                while True:
                    answer = await host.patch(base, patch, f"patch-{index}")
                    if answer.status == 200:
                        return answer.json["number"], refusals
                    assert answer.status == 409, answer
                    assert answer.error["code"] == "outdated"
                    assert answer.json["changed_since"]
                    assert answer.json["number"] > base
                    base = answer.json["number"]
                    refusals += 1

            results = await asyncio.gather(*(operator(index) for index in range(6)))
            numbers = sorted(number for number, _ in results)
            assert numbers == [2, 3, 4, 5, 6, 7]
            assert sum(refusals for _, refusals in results) >= 5
            await wait_for_number(hosts, 7)
            await watch.stop()
            documents = [await document_of(host) for host in hosts]
            assert documents[0] == documents[1] == documents[2]
            section = documents[0]["document"]["deployments"]["letter-models"]
            weights = section["tenant_weights"]
            assert weights == {f"tenant-{index}": index + 1 for index in range(6)}

    asyncio.run(run())


def test_a_lost_answer_to_an_accepted_patch():
    """An operator would apply one patch twice, or believe that it was refused.

    The head's write takes effect and its answer is lost; the operator sends the
    same patch again, through another host, after a third one has moved on.
    Cause: a repeated patch that isn't recognised looks outdated or new.
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
            assert await ratio_of(hosts[0]) == 0.3

    asyncio.run(run())


def test_a_host_cut_off_from_the_platform_but_not_from_its_peers():
    """One host of three would serve by the old configuration for hours.

    It can't reach the platform, and a patch is accepted through another host.
    Cause: only the platform tells of new configurations.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=3, engines=1)
            await fleet.platform.control(cut_clients=["h1"])
            answer = await hosts[1].patch(1, ratio_patch(0.2), "patch-a")
            assert answer.status == 200, answer
            await wait_for_number(hosts, 2)
            assert await ratio_of(hosts[0]) == 0.2
            prompt = "a letter"
            served = await hosts[0].complete(prompt, 8)
            assert served.text == expected_text(prompt, 8)

    asyncio.run(run())


def test_a_host_cut_off_from_the_platform_and_its_peers():
    """One host would go on by a configuration that operators think replaced.

    It reaches neither the platform nor most of the other hosts.
    Cause: it can't know which configuration is in force.
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


def test_a_host_restarted_while_the_platform_is_down():
    """A replaced host would stand idle, or start with an old configuration.

    The platform goes down after a patch; a host is replaced and asks its peers.
    Cause: hosts keep nothing, and the platform doesn't answer.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            answer = await hosts[0].patch(1, ratio_patch(0.2), "patch-a")
            assert answer.status == 200
            await wait_for_number(hosts, 2)
            await fleet.platform.control(outage=True)
            port = int(hosts[0].addresses["peers"].rsplit(":", 1)[1])
            hosts[0].kill()
            lone = await fleet.start_host("h9")
            refused = await lone.complete("a letter", 8)
            assert refused.error["code"] == "not_ready"
            assert refused.error["run"] == "no"
            reborn = await fleet.start_host("h1", peers={"port": port})

            async def has_it():
                return await number_of(reborn) == 2

            await wait_until(has_it, "the restarted host to hear from its peer")
            await fleet.platform.control(outage=False)
            await wait_for_number([reborn, lone, hosts[1]], 2)

    asyncio.run(run())


def test_a_patch_during_an_outage():
    """An operator would be told "accepted" of a patch that nobody keeps.

    The platform is down; the patch is refused in so many words, and nothing of it
    is in force on any host, then or later.
    Cause: a host that takes a patch for itself before the platform has it.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            await fleet.platform.control(outage=True)
            answer = await hosts[0].patch(1, ratio_patch(0.2), "patch-a")
            assert answer.status == 503, answer
            assert answer.error["code"] in {"unavailable", "unknown_outcome"}
            await fleet.platform.control(outage=False)

            async def is_accepted():
                answer = await hosts[1].patch(1, ratio_patch(0.3), "patch-b")
                return answer.status == 200

            await wait_until(is_accepted, "the platform to be back")
            await wait_for_number(hosts, 2)
            for host in hosts:
                assert await ratio_of(host) == 0.3

    asyncio.run(run())


def test_a_late_head_write_never_reverts_a_newer_one():
    """A configuration that was replaced would come back into force.

    A host's head write is held on its way; another operator's patch is accepted
    meanwhile, and then the late write arrives.
    Cause: an unconditional write.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            watch = NumberWatch(hosts)
            watch.start()
            await fleet.platform.control(hang_clients=["h1"], hang_kind="config")
            late = asyncio.create_task(hosts[0].patch(1, ratio_patch(0.2), "patch-a"))

            async def is_held():
                return (await fleet.platform.counters())["held"].get("config", 0)

            await wait_until(is_held, "a held write")
            answer = await hosts[1].patch(1, ratio_patch(0.3), "patch-b")
            assert answer.status == 200
            await fleet.platform.control(hang_clients=[])
            assert (await late).status != 200
            await wait_for_number(hosts, 2)
            for host in hosts:
                assert await ratio_of(host) == 0.3
            await watch.stop()

    asyncio.run(run())


def test_a_platform_that_answers_from_an_old_copy():
    """A configuration that was replaced would come back into force.

    The platform's keepers restore an old copy of the head after two more patches.
    Cause: hosts that take whatever the platform says.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            watch = NumberWatch(hosts)
            watch.start()
            old = (await fleet.platform.read("config", "head"))["value"]
            for number in (1, 2):
                answer = await hosts[0].patch(number, ratio_patch(0.2), f"p{number}")
                assert answer.status == 200, answer
            await wait_for_number(hosts, 3)
            newest = await fleet.platform.read("config", "head")
            await fleet.platform.write("config", "head", old, newest["version"])
            revision = (await fleet.platform.counters())["revision"]
            assert revision > newest["version"]
            watches = await watches_of(fleet, hosts)

            async def have_all_seen_it():
                now = await watches_of(fleet, hosts)
                return all(later > earlier for later, earlier in zip(now, watches))

            await wait_until(have_all_seen_it, "every host to see the old head")
            assert [await number_of(host) for host in hosts] == [3, 3]
            assert await ratio_of(hosts[0]) == 0.2
            await watch.stop()

    asyncio.run(run())


async def watches_of(fleet, hosts):
    """Return how many watches each host has begun; a change ends the present one."""
    calls = (await fleet.platform.counters())["calls"]
    return [calls[host.name]["WATCH"] for host in hosts]


def test_a_bad_patch_names_its_problems_and_changes_nothing():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            for patch in (ratio_patch(7), {"deployments": {"letter-models": 3}}):
                answer = await hosts[0].patch(1, patch, "patch-a")
                assert answer.status == 422, answer
                problem = answer.json["problems"][0]
                assert problem["path"].startswith("deployments.letter-models")
                assert problem["mend"]
            assert await number_of(hosts[0]) == 1

    asyncio.run(run())
