"""Engines follow one steward at a time, and none whose lease has expired."""

import asyncio

import pytest
from proxies import OrderProxy
from testkit import DEPLOYMENT, Fleet, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

# Longer than a lease and its takeover, shorter than the engine's 3 s order time-out.
ORDER_HOLD_S = 2.2


async def find_steward(hosts):
    """Wait until one of the hosts holds the deployment's lease; return it."""

    async def find():
        for host in hosts:
            for row in (await host.status())["stewards"]:
                if row["holder"] == host.name:
                    return host
        return None

    return await wait_until(find, "a steward")


async def patch_version(host, version):
    """Apply a patch for another model version through a host."""
    patch = {"deployments": {"letter-models": {"version": version}}}

    async def is_accepted():
        number = (await host.status())["config_number"]
        response = await host.patch(number, patch, f"version-{version}")
        return response.status == 200

    await wait_until(is_accepted, f"the patch to version {version}")


async def loaded_version(fleet, engine):
    """Return the model version that an engine has loaded."""
    async with fleet.session.get(f"http://{engine.address}/load") as response:
        return (await response.json())["models"][0]["version"]


async def wait_for_version(fleet, engines, version):
    async def all_have_version():
        versions = [await loaded_version(fleet, engine) for engine in engines]
        return all(loaded == version for loaded in versions)

    await wait_until(all_have_version, f"version {version} on every engine")


async def orders_of(engine):
    return (await engine.counters())["orders"]


def assert_no_conflict(orders):
    """Check that terms never decrease and no goal was completed twice in a row."""
    terms = [order["term"] for order in orders]
    assert terms == sorted(terms), orders
    goals = [order["goal"] for order in orders if order["state"] == "done"]
    for earlier, later in zip(goals, goals[1:]):
        assert earlier != later, orders


async def start_behind_proxy(fleet, fencing, order_timeout_s):
    """Start two hosts and one engine, with a proxy that can hold its orders."""
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
    """Wait until the engine has completed an order, or until `end_s`."""

    async def is_ordered():
        orders = await orders_of(engine)
        if orders and orders[-1]["state"] == "done":
            return True
        return asyncio.get_running_loop().time() >= end_s

    await wait_until(is_ordered, "the new steward's order")


@pytest.mark.parametrize(
    "fencing, order_timeout_s, keeps_connection",
    [("refuses", 60.0, False), ("ignores", 1.0, False), ("ignores", 3.0, True)],
)
def test_order_of_a_resumed_steward_reverts_nothing(
    fencing, order_timeout_s, keeps_connection
):
    """Guards against an outdated order that reverts a newer steward's.

    A steward checks its lease, connects and is paused. Another host takes over the
    lease and orders version 3. Then the first one resumes, and its order for version 2
    arrives on a connection that the engine has closed or still keeps open. A lease
    check before the write does not hold at the time of the write.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engine, proxy = await start_behind_proxy(
                fleet, fencing, order_timeout_s
            )
            first = await find_steward(hosts)
            second = hosts[1] if first is hosts[0] else hosts[0]
            proxy.holds_orders = True
            await patch_version(second, "2")
            await asyncio.wait_for(proxy.held.wait(), 10)
            end_s = asyncio.get_running_loop().time() + ORDER_HOLD_S
            proxy.holds_orders = False
            first.pause()
            assert await orders_of(engine) == []
            await find_steward([second])
            await patch_version(second, "3")
            if keeps_connection:
                await wait_for_new_order(engine, end_s)
            else:
                await wait_for_version(fleet, [engine], "3")
            before = await orders_of(engine)
            proxy.released.set()
            first.resume()

            async def are_current():
                numbers = [(await h.status())["config_number"] for h in hosts]
                return numbers == [3, 3]

            await wait_until(
                are_current, "the first steward to apply the configuration"
            )
            await wait_for_version(fleet, [engine], "3")
            orders = await orders_of(engine)
            assert_no_conflict(orders)
            if not keeps_connection:
                assert orders == before
            await proxy.close()

    asyncio.run(run())


@pytest.mark.parametrize("fencing", ["refuses", "ignores"])
def test_steward_killed_during_a_rollout(fencing):
    """Guards against duplicate orders and engines that stay unavailable.

    The steward is killed between an order and its completion, and another host takes
    over without knowing which orders are in flight.
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
            first = await find_steward(hosts)
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


def test_lost_responses_to_orders_and_their_intents():
    """Guards against loading one version twice on an engine.

    The responses to the intent's write and to the order itself are lost. A repeat
    under a new id would be a second order to the engine.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            await find_steward(hosts)
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


def test_lost_responses_to_lease_renewals_keep_the_steward():
    """Guards against two stewards for the same engines after lost renewal responses.

    Several responses in a row are lost, and the holder rereads its lease. A holder
    that cannot tell its own write from another's gives up the lease or contests it.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            first = await find_steward(hosts)
            term = (await first.status())["stewards"][0]["term"]
            await fleet.platform.control(lose_answers=4, lose_kind="leases")

            async def all_lost():
                rows = [row for h in hosts for row in (await h.status())["stewards"]]
                assert len(rows) <= 1
                settings = (await fleet.platform.counters())["settings"]
                return settings["lose_answers"] == 0

            await wait_until(all_lost, "the responses to be lost")
            holder = await find_steward(hosts)
            assert holder is first
            assert (await first.status())["stewards"][0]["term"] == term

    asyncio.run(run())


def test_partitioned_steward_sends_no_orders_after_its_lease():
    """Guards against two hosts that send conflicting orders after a partition.

    The steward loses its connection to the platform but not to the engines. Another
    host takes over and applies a new version; then the partition ends. A holder must
    not rely on its lease after its expiry.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            first = await find_steward(hosts)
            second = hosts[1] if first is hosts[0] else hosts[0]
            await fleet.platform.control(cut_clients=[first.name])
            await find_steward([second])
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


def test_engine_replaced_after_a_crash_during_a_load():
    """Guards against a replacement engine that keeps the old version.

    The engine crashes while it loads, and a replacement starts under the same name
    and list entry with the old version. The replacement does not know the order, which
    would stay unfinished.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            await find_steward(hosts)
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


def test_failed_loads_take_no_engine_out_of_service():
    """Guards against a deployment that stops because the weight store is down.

    All loads fail for a while, and the engines have to keep serving the old version.
    Failed orders that are repeated immediately would keep them busy loading.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            await find_steward(hosts)
            for engine in engines:
                await engine.control(weight_store_fail=True)
            await patch_version(hosts[0], "2")

            async def has_failed():
                orders = await orders_of(engines[0]) + await orders_of(engines[1])
                return any(order["state"] == "failed" for order in orders)

            await wait_until(has_failed, "a failed load")
            for number in range(10):
                prompt = f"a letter {number}"
                response = await hosts[0].complete(prompt, 8)
                assert response.text == expected_text(prompt, 8)
            for engine in engines:
                await engine.control(weight_store_fail=False)
            await wait_for_version(fleet, engines, "2")

    asyncio.run(run())
