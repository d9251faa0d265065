"""Planned changes and stops truncate no request; drained endpoints get no requests."""

import asyncio

import pytest
from testkit import Fleet, is_done, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

PROMPT = "a lease agreement"


class Load:
    """Callers that send requests back to back and record every response."""

    def __init__(self, hosts, callers=6, max_tokens=30):
        self.responses = []
        self._hosts = hosts
        self._callers = callers
        self._max_tokens = max_tokens
        self._stopping = False
        self._tasks = []

    def start(self):
        for caller in range(self._callers):
            self._tasks.append(asyncio.create_task(self._send_requests(caller)))

    async def stop(self):
        """Stop the load and check that each response was complete."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        for prompt, response in self.responses:
            assert response.status == 200, response
            assert response.is_complete
            assert response.text == expected_text(prompt, self._max_tokens)

    async def wait_for_responses(self, count):
        async def has_enough():
            return len(self.responses) >= count

        await wait_until(has_enough, f"{count} responses")

    async def _send_requests(self, caller):
        number = 0
        while not self._stopping:
            number += 1
            host = self._hosts[(caller + number) % len(self._hosts)]
            prompt = f"{PROMPT} {caller} {number}"
            stream = caller % 2 == 0
            response = await host.complete(prompt, self._max_tokens, stream=stream)
            self.responses.append((prompt, response))


async def start_streams(host, count, max_tokens):
    """Start `count` streams through a host; return their tasks by prompt."""
    tasks = {}
    for number in range(count):
        prompt = f"{PROMPT} stream {number}"
        tasks[prompt] = asyncio.create_task(
            host.complete(prompt, max_tokens, stream=True)
        )
    return tasks


async def wait_for_running(engines, count):
    async def are_running():
        counters = [await engine.counters() for engine in engines]
        return sum(c["running"] for c in counters) >= count

    await wait_until(are_running, f"{count} requests to run")


async def assert_all_complete(tasks, max_tokens):
    for prompt, task in tasks.items():
        response = await task
        assert response.status == 200, response
        assert is_done(response.body), response
        assert response.text == expected_text(prompt, max_tokens)


async def count_started(engine):
    """Return how many requests an engine has started."""
    return sum((await engine.counters())["requests"].values())


async def send_some(hosts, count, tag):
    for number in range(count):
        prompt = f"{PROMPT} {tag} {number}"
        response = await hosts[number % len(hosts)].complete(prompt, 8)
        assert response.text == expected_text(prompt, 8)


async def send_order(fleet, engine, goal, order_id):
    """Send an engine an order under a term higher than any steward's."""
    body = {"order_id": order_id, "term": 1000, "goal": goal}
    url = f"http://{engine.address}/orders"
    async with fleet.session.post(url, json=body) as response:
        assert response.status == 202


async def send_drain_order(fleet, engine, drain, order_id):
    await send_order(fleet, engine, {"drain": drain}, order_id)


async def wait_for_state(hosts, engine, state):
    """Wait until every host reports an endpoint in the given state."""

    async def all_know():
        for host in hosts:
            rows = (await host.status())["endpoints"]
            row = next((r for r in rows if r["name"] == engine.name), None)
            if row is None or row["state"] != state:
                return False
        return True

    await wait_until(all_know, f"{engine.name} to be {state}")


async def patch_drain(host, names, patch_id):
    number = (await host.status())["config_number"]
    patch = {"deployments": {"letter-models": {"drain": names}}}
    response = await host.patch(number, patch, patch_id)
    assert response.status == 200, response


def test_stopping_daemon_completes_its_streams():
    """Guards against truncated responses at each replacement of an entry host.

    An entry host gets SIGTERM while it serves streams. Callers that still have its
    address connect for a while. The process has to serve them all before it exits.
    """

    async def run():
        async with Fleet() as fleet:
            limits = {"entry_max_age_s": 2.0}
            hosts, engines = await fleet.start_system(
                hosts=2, engines=2, callers=limits
            )
            for engine in engines:
                await engine.control(slow_factor=10)
            tasks = await start_streams(hosts[0], 4, 100)
            await wait_for_running(engines, 4)
            hosts[0].terminate()

            async def has_left():
                response = await hosts[1].call(
                    "GET", "/v1/entry?deployment=letter-models"
                )
                return [host["name"] for host in response.json["hosts"]] == ["h2"]

            await wait_until(has_left, "the stopping host to leave the entry responses")
            # This caller got the address earlier and may use it for `entry_max_age_s`.
            late = await hosts[0].complete("a late caller", 8)
            assert late.text == expected_text("a late caller", 8)
            await assert_all_complete(tasks, 100)
            assert await hosts[0].wait_for_exit() == 0

    asyncio.run(run())


def test_a_stopping_daemon_refuses_new_work_truthfully():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            await engines[0].control(slow_factor=30)
            tasks = await start_streams(hosts[0], 1, 100)
            await wait_for_running(engines, 1)
            hosts[0].terminate()

            async def refuses():
                response = await hosts[0].complete("a late caller", 8)
                return response if response.status != 200 else None

            refusal = await wait_until(refuses, "a refusal")
            assert refusal.error["code"] == "stopping"
            assert refusal.error["run"] == "no"
            await engines[0].control(slow_factor=1)
            await assert_all_complete(tasks, 100)
            assert await hosts[0].wait_for_exit() == 0

    asyncio.run(run())


def test_keyed_request_runs_once_at_a_planned_stop():
    """Guards against running a request twice at a planned replacement of its owner.

    The owner gets SIGTERM while a keyed request runs, and the caller repeats the key
    through another host. The owner's record of the key is lost when it exits.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            await engines[0].control(slow_factor=10)
            key = await hosts[0].mint_key()
            unused = await hosts[0].mint_key()
            headers = {"Idempotency-Key": key}
            call = asyncio.create_task(hosts[0].complete(PROMPT, 60, headers))
            await wait_for_running(engines, 1)
            hosts[0].terminate()
            assert (await call).text == expected_text(PROMPT, 60)
            assert await hosts[0].wait_for_exit() == 0
            assert await hosts[1].key_outcome(key) in {"done", "unknown"}
            again = await hosts[1].complete(PROMPT, 60, headers)
            assert again.status == 409, again
            assert again.error["run"] == "unknown"
            assert await hosts[1].key_outcome(unused) == "not_run"
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


def test_rollout_under_load_truncates_no_response():
    """Guards against lost responses during a rollout.

    A new model version is loaded on every engine, one at a time, under load. An order
    may reach an engine while requests run on it or are in flight to it.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(
                hosts=2, engines=3, deployment={"loads_at_once": 1}
            )
            load = Load(hosts)
            load.start()
            await load.wait_for_responses(20)
            patch = {"deployments": {"letter-models": {"version": "2"}}}
            assert (await hosts[0].patch(1, patch, "version-2")).status == 200

            async def all_loaded():
                for engine in engines:
                    orders = (await engine.counters())["orders"]
                    if not orders or orders[-1]["state"] != "done":
                        return False
                return True

            await wait_until(all_loaded, "the rollout")
            await load.wait_for_responses(len(load.responses) + 20)
            await load.stop()

    asyncio.run(run())


def test_role_changes_under_load_truncate_no_response():
    """Guards against failed requests during a role change.

    An engine changes its role and back while all hosts send it requests based on
    outdated load reports, so some arrive after it has stopped accepting them.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=3)
            for engine in engines:
                await engine.control(slow_factor=5, load_lag_s=0.5)
            load = Load(hosts)
            load.start()
            await load.wait_for_responses(20)
            for number, role in enumerate(("prefill", "mixed", "decode", "mixed")):
                await send_order(fleet, engines[0], {"role": role}, f"role-{number}")

                async def has_changed(wanted=role):
                    return (await engines[0].counters())["role"] == wanted

                await wait_until(has_changed, f"the role {role}")
                await load.wait_for_responses(len(load.responses) + 20)
            await load.stop()

    asyncio.run(run())


def test_drained_engine_finishes_its_requests_and_gets_no_more():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            for engine in engines:
                await engine.control(slow_factor=10)
            tasks = await start_streams(hosts[0], 8, 100)
            await wait_for_running(engines, 8)
            await patch_drain(hosts[1], ["e1"], "drain-e1")
            await wait_for_state(hosts, engines[0], "leaving")
            before = await count_started(engines[0])
            await send_some(hosts, 10, "after the drain")
            assert await count_started(engines[0]) == before
            await assert_all_complete(tasks, 100)
            await patch_drain(hosts[1], [], "undrain-e1")
            await wait_for_state(hosts, engines[0], "live")
            await send_some(hosts, 20, "after the return")
            assert await count_started(engines[0]) > before

    asyncio.run(run())


def test_an_engine_stopped_as_planned_under_load():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=3)
            load = Load(hosts)
            load.start()
            await load.wait_for_responses(20)
            assert await engines[0].terminate_and_wait() == 0
            await load.wait_for_responses(len(load.responses) + 30)
            await load.stop()

    asyncio.run(run())


def test_configuration_patches_under_running_streams():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            load = Load(hosts)
            load.start()
            for number in range(1, 6):
                weights = {"tenant_weights": {f"t{number}": 2}}
                patch = {"deployments": {"letter-models": weights}}
                response = await hosts[number % 2].patch(number, patch, f"p{number}")
                assert response.status == 200, response

                async def is_everywhere(wanted=number + 1):
                    rows = [await host.status() for host in hosts]
                    return all(row["config_number"] == wanted for row in rows)

                await wait_until(is_everywhere, "the patch on every host")
            await load.wait_for_responses(len(load.responses) + 10)
            await load.stop()

    asyncio.run(run())


@pytest.mark.parametrize("list_state", ["lags", "unreachable"])
def test_draining_engine_listed_as_live_gets_no_requests(list_state):
    """Guards against sending requests to an engine that is being removed.

    The engine reports that it drains, but the platform's list does not, because it is
    outdated or unreachable. Later the engine stops draining. Relying on the list alone
    misses the drain; treating a drain as final misses the return.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            if list_state == "lags":
                await fleet.platform.control(list_frozen=True)
            else:
                await fleet.platform.control(outage=True)
            await send_drain_order(fleet, engines[0], True, "leave")
            await wait_for_state(hosts, engines[0], "leaving")
            before = await count_started(engines[0])
            await send_some(hosts, 10, "after it left")
            assert await count_started(engines[0]) == before
            await send_drain_order(fleet, engines[0], False, "return")
            await wait_for_state(hosts, engines[0], "live")
            await send_some(hosts, 20, "after its return")
            assert await count_started(engines[0]) > before

    asyncio.run(run())


def test_engine_listed_as_leaving_gets_no_requests():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            await fleet.platform.mark_leaving("e1")
            await wait_for_state(hosts, engines[0], "leaving")
            before = await count_started(engines[0])
            await send_some(hosts, 10, "after it left")
            assert await count_started(engines[0]) == before

    asyncio.run(run())


def test_killed_engine_fails_no_later_request():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            engines[0].kill()
            await send_some(hosts, 10, "after its death")

    asyncio.run(run())


def test_drained_host_leaves_the_entry_responses():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=3, engines=1)
            patch = {"hosts": {"drain": ["h1"]}}
            assert (await hosts[1].patch(1, patch, "drain-h1")).status == 200

            async def has_left():
                for host in hosts:
                    path = "/v1/entry?deployment=letter-models"
                    response = await host.call("GET", path)
                    names = {entry["name"] for entry in response.json["hosts"]}
                    if names != {"h2", "h3"}:
                        return False
                return True

            await wait_until(has_left, "the drained host to leave the entry responses")
            await send_some(hosts, 3, "callers that hold the old address")

    asyncio.run(run())
