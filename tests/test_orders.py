"""An engine never follows two stewards, nor one that has lost its authority."""

import asyncio

import pytest
from proxies import OrderProxy
from testkit import DEPLOYMENT, Fleet, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

# Longer than a lease and its takeover, shorter than the engine's limit of 3 s.
HELD_S = 2.2


async def steward_among(hosts):
    """Wait until one of the hosts holds the deployment's lease; return it."""

    async def find():
        for host in hosts:
            for row in (await host.status())["stewards"]:
                if row["holder"] == host.name:
                    return host
        return None

    return await wait_until(find, "a steward")


async def patch_version(host, version):
    """Put another model version in force through a host."""
    patch = {"deployments": {"letter-models": {"version": version}}}

    async def is_accepted():
        number = (await host.status())["config_number"]
        answer = await host.patch(number, patch, f"version-{version}")
        return answer.status == 200

    await wait_until(is_accepted, f"the patch to version {version}")


async def version_of(fleet, engine):
    """Return the model version that an engine has loaded."""
    async with fleet.session.get(f"http://{engine.address}/load") as answer:
        return (await answer.json())["models"][0]["version"]


async def wait_for_version(fleet, engines, version):
    async def all_have_it():
        versions = [await version_of(fleet, engine) for engine in engines]
        return all(seen == version for seen in versions)

    await wait_until(all_have_it, f"version {version} on every engine")


async def orders_of(engine):
    return (await engine.counters())["orders"]


def assert_no_conflict(orders):
    """Check that terms never fall and no goal was ordered twice in a row."""
    terms = [order["term"] for order in orders]
    assert terms == sorted(terms), orders
    goals = [order["goal"] for order in orders if order["state"] == "done"]
    for earlier, later in zip(goals, goals[1:]):
        assert earlier != later, orders


async def start_behind_proxy(fleet, fencing, order_timeout_s):
    """Start two hosts and one engine whose orders can be held back."""
    await fleet.start_platform()
    section = {
        **DEPLOYMENT,
        "fencing": fencing,
        "order_timeout_s": order_timeout_s,
    }
    await fleet.put_config({"deployments": {"letter-models": section}})
    engine = await fleet.start_engine(
        "e1", fencing=fencing, order_timeout_s=order_timeout_s
    )
    proxy = OrderProxy(engine.address)
    await proxy.start()
    await fleet.platform.set_listed_address("e1", proxy.address)
    hosts = await asyncio.gather(fleet.start_host("h1"), fleet.start_host("h2"))
    await fleet.wait_until_served(hosts, 1)
    return hosts, engine, proxy


async def wait_for_new_order(engine, end_s):
    """Wait until the engine has carried out an order, or until a time."""

    async def is_ordered():
        orders = await orders_of(engine)
        if orders and orders[-1]["state"] == "done":
            return True
        return asyncio.get_running_loop().time() >= end_s

    await wait_until(is_ordered, "the new steward's order")


@pytest.mark.parametrize(
    "fencing, order_timeout_s, is_open_still",
    [("refuses", 60.0, False), ("ignores", 1.0, False), ("ignores", 3.0, True)],
)
def test_steward_paused_between_its_check_and_its_write(
    fencing, order_timeout_s, is_open_still
):
    """An engine would load version 2 after its new steward had ordered version 3.

    A steward checks its lease, connects and is paused; another takes the lease over
    and wants version 3; the first wakes and its order arrives, on a connection that
    the engine has closed by then or still keeps open.
    Cause: a check before the write says nothing of the moment of the write.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engine, proxy = await start_behind_proxy(
                fleet, fencing, order_timeout_s
            )
            first = await steward_among(hosts)
            second = hosts[1] if first is hosts[0] else hosts[0]
            proxy.holds_orders = True
            await patch_version(second, "2")
            await asyncio.wait_for(proxy.held.wait(), 10)
            end_s = asyncio.get_running_loop().time() + HELD_S
            proxy.holds_orders = False
            first.pause()
            assert await orders_of(engine) == []
            await steward_among([second])
            await patch_version(second, "3")
            if is_open_still:
                await wait_for_new_order(engine, end_s)
            else:
                await wait_for_version(fleet, [engine], "3")
            before = await orders_of(engine)
            proxy.released.set()
            first.resume()

            async def both_agree():
                numbers = [(await h.status())["config_number"] for h in hosts]
                return numbers == [3, 3]

            await wait_until(both_agree, "the first steward to be back")
            await wait_for_version(fleet, [engine], "3")
            orders = await orders_of(engine)
            assert_no_conflict(orders)
            if not is_open_still:
                assert orders == before
            await proxy.close()

    asyncio.run(run())


@pytest.mark.parametrize("fencing", ["refuses", "ignores"])
def test_steward_killed_in_the_middle_of_a_rollout(fencing):
    """An engine would be ordered twice, or stay unavailable for ever.

    The steward dies between an order and its end; another one takes over.
    Cause: the new steward doesn't know which orders are on their way.
    """

    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            section = {**DEPLOYMENT, "fencing": fencing, "loads_at_once": 1}
            await fleet.put_config({"deployments": {"letter-models": section}})
            engines = [
                await fleet.start_engine(name, fencing=fencing, model_load_s=0.6)
                for name in ("e1", "e2")
            ]
            hosts = await asyncio.gather(
                *(fleet.start_host(name) for name in ("h1", "h2"))
            )
            await fleet.wait_until_served(hosts, 2)
            first = await steward_among(hosts)
            second = hosts[1] if first is hosts[0] else hosts[0]
            await patch_version(second, "2")

            async def is_ordered():
                return any([await orders_of(engine) for engine in engines])

            await wait_until(is_ordered, "the first order")
            first.kill()
            await wait_for_version(fleet, engines, "2")
            for engine in engines:
                orders = await orders_of(engine)
                assert_no_conflict(orders)
                assert len(orders) == 1

    asyncio.run(run())


def test_lost_answers_to_orders_and_their_intents():
    """An engine would load the same version twice, away for twice the time.

    The answers to an intent's write and to the order itself are lost.
    Cause: a repeat under a new id is a second order to the engine.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            await steward_among(hosts)
            await fleet.platform.control(lose_answers=2, lose_kind="orders")
            for engine in engines:
                await engine.control(lose_order_answers=2)
            await patch_version(hosts[0], "2")
            await wait_for_version(fleet, engines, "2")
            for engine in engines:
                assert len(await orders_of(engine)) == 1
            counters = await fleet.platform.counters()
            assert counters["settings"]["lose_answers"] == 0

    asyncio.run(run())


def test_lost_answers_to_lease_renewals():
    """Two stewards would order the same engines.

    Answers to renewals are lost, several in a row; the holder rereads its lease.
    Cause: a holder that can't tell its own write from another's gives up or fights.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            first = await steward_among(hosts)
            term = (await first.status())["stewards"][0]["term"]
            await fleet.platform.control(lose_answers=4, lose_kind="leases")

            async def all_lost():
                rows = [row for h in hosts for row in (await h.status())["stewards"]]
                assert len(rows) <= 1
                settings = (await fleet.platform.counters())["settings"]
                return settings["lose_answers"] == 0

            await wait_until(all_lost, "the answers to be lost")
            holder = await steward_among(hosts)
            assert holder is first
            assert (await first.status())["stewards"][0]["term"] == term

    asyncio.run(run())


def test_two_stewards_after_a_partition():
    """Each of two hosts would order the engines by its own view.

    The steward is cut off from the platform but not from the engines; another host
    takes over and a new version is put in force. Then the cut heals.
    Cause: a holder that trusts its lease beyond its end.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            first = await steward_among(hosts)
            second = hosts[1] if first is hosts[0] else hosts[0]
            await fleet.platform.control(cut_clients=[first.name])
            await steward_among([second])
            assert (await first.status())["stewards"] == []
            await patch_version(second, "2")
            await wait_for_version(fleet, engines, "2")
            await fleet.platform.control(cut_clients=[])
            await patch_version(second, "3")
            await wait_for_version(fleet, engines, "3")
            for engine in engines:
                orders = await orders_of(engine)
                assert_no_conflict(orders)
                assert len(orders) == 2
            rows = [row for h in hosts for row in (await h.status())["stewards"]]
            assert len(rows) == 1

    asyncio.run(run())


def test_an_engine_that_crashes_in_the_middle_of_a_load():
    """A replaced engine would serve the old version for ever.

    The engine crashes while it loads; another comes up under its name and address
    list entry, with the old version.
    Cause: an order that no engine knows any more stays unfinished.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            await steward_among(hosts)
            await patch_version(hosts[0], "2")

            async def is_loading():
                orders = await orders_of(engines[0])
                return orders and orders[-1]["state"] == "running"

            await wait_until(is_loading, "the load to begin")
            engines[0].kill()
            engines[0] = await fleet.start_engine("e1")
            await wait_for_version(fleet, engines, "2")
            for engine in engines:
                assert_no_conflict(await orders_of(engine))
            prompt = "a letter after the load"

            async def is_served():
                return (await hosts[0].complete(prompt, 8)).status == 200

            await wait_until(is_served, "work to be served")

    asyncio.run(run())


def test_a_refusing_weight_store_takes_no_engine_out_of_service():
    """The whole deployment would stop for a weight store that is down.

    Every load fails for a while. The engines keep the old version and serve it.
    Cause: failed orders that are sent again at once, one after the other.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            await steward_among(hosts)
            for engine in engines:
                await engine.control(weight_store_fail=True)
            await patch_version(hosts[0], "2")

            async def has_failed():
                orders = await orders_of(engines[0]) + await orders_of(engines[1])
                return any(order["state"] == "failed" for order in orders)

            await wait_until(has_failed, "a failed load")
            for number in range(10):
                prompt = f"a letter {number}"
                answer = await hosts[0].complete(prompt, 8)
                assert answer.text == expected_text(prompt, 8)
            for engine in engines:
                await engine.control(weight_store_fail=False)
            await wait_for_version(fleet, engines, "2")

    asyncio.run(run())
