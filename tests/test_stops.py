"""A planned change or stop cuts no request; what leaves gets no new work."""

import asyncio

import pytest
from testkit import Fleet, is_done, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

LETTER = "a lease agreement"


class Load:
    """Callers that send one request after the other and keep every answer."""

    def __init__(self, hosts, callers=6, max_tokens=30):
        self.answers = []
        self._hosts = hosts
        self._callers = callers
        self._max_tokens = max_tokens
        self._stopping = False
        self._tasks = []

    def start(self):
        for caller in range(self._callers):
            self._tasks.append(asyncio.create_task(self._call_on(caller)))

    async def stop(self):
        """End the load; check that each request had its whole answer."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        for prompt, answer in self.answers:
            assert answer.status == 200, answer
            assert answer.is_complete
            assert answer.text == expected_text(prompt, self._max_tokens)

    async def wait_for_answers(self, count):
        async def has_more():
            return len(self.answers) >= count

        await wait_until(has_more, f"{count} answers")

    async def _call_on(self, caller):
        number = 0
        while not self._stopping:
            number += 1
            host = self._hosts[(caller + number) % len(self._hosts)]
            prompt = f"{LETTER} {caller} {number}"
            stream = caller % 2 == 0
            answer = await host.complete(prompt, self._max_tokens, stream=stream)
            self.answers.append((prompt, answer))


async def start_streams(host, count, max_tokens):
    """Begin some streams through a host; return their tasks by prompt."""
    tasks = {}
    for number in range(count):
        prompt = f"{LETTER} stream {number}"
        tasks[prompt] = asyncio.create_task(
            host.complete(prompt, max_tokens, stream=True)
        )
    return tasks


async def wait_for_running(engines, count):
    async def are_running():
        counters = [await engine.counters() for engine in engines]
        return sum(c["running"] for c in counters) >= count

    await wait_until(are_running, f"{count} requests to run")


async def assert_all_whole(tasks, max_tokens):
    for prompt, task in tasks.items():
        answer = await task
        assert answer.status == 200, answer
        assert is_done(answer.body), answer
        assert answer.text == expected_text(prompt, max_tokens)


async def started_on(engine):
    """Return how many requests an engine has begun."""
    return sum((await engine.counters())["requests"].values())


async def send_some(hosts, count, tag):
    for number in range(count):
        prompt = f"{LETTER} {tag} {number}"
        answer = await hosts[number % len(hosts)].complete(prompt, 8)
        assert answer.text == expected_text(prompt, 8)


async def order(fleet, engine, goal, order_id):
    """Give an engine an order under a term above any steward's."""
    body = {"order_id": order_id, "term": 1000, "goal": goal}
    url = f"http://{engine.address}/orders"
    async with fleet.session.post(url, json=body) as answer:
        assert answer.status == 202


async def order_drain(fleet, engine, drain, order_id):
    await order(fleet, engine, {"drain": drain}, order_id)


async def wait_for_state(hosts, engine, state):
    """Wait until every host knows an endpoint in a state."""

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
    answer = await host.patch(number, patch, patch_id)
    assert answer.status == 200, answer


def test_a_daemon_stopped_under_running_streams():
    """A counter's customers would lose their answers at each replacement.

    An entry host gets SIGTERM while streams run through it. Callers that still hold
    its address come for a while; then it ends.
    Cause: a process that ends when it is told to.
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
                answer = await hosts[1].call(
                    "GET", "/v1/entry?deployment=letter-models"
                )
                return [host["name"] for host in answer.json["hosts"]] == ["h2"]

            await wait_until(has_left, "the stopping host to leave the answers")
            # This caller was given the address before, and may keep it for a while.
            late = await hosts[0].complete("a late caller", 8)
            assert late.text == expected_text("a late caller", 8)
            await assert_all_whole(tasks, 100)
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
                answer = await hosts[0].complete("a late caller", 8)
                return answer if answer.status != 200 else None

            refusal = await wait_until(refuses, "a refusal")
            assert refusal.error["code"] == "stopping"
            assert refusal.error["run"] == "no"
            await engines[0].control(slow_factor=1)
            await assert_all_whole(tasks, 100)
            assert await hosts[0].wait_for_exit() == 0

    asyncio.run(run())


def test_a_keyed_request_at_a_planned_stop():
    """A crew would be booked twice at a planned replacement.

    The home stops as planned while a booking runs; the caller, whose line broke,
    asks for the key through another host.
    Cause: a home that takes its memory with it.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            await engines[0].control(slow_factor=10)
            key = await hosts[0].mint_key()
            unused = await hosts[0].mint_key()
            headers = {"Idempotency-Key": key}
            call = asyncio.create_task(hosts[0].complete(LETTER, 60, headers))
            await wait_for_running(engines, 1)
            hosts[0].terminate()
            assert (await call).text == expected_text(LETTER, 60)
            assert await hosts[0].wait_for_exit() == 0
            assert await hosts[1].key_outcome(key) in {"done", "unknown"}
            again = await hosts[1].complete(LETTER, 60, headers)
            assert again.status == 409, again
            assert again.error["run"] == "unknown"
            assert await hosts[1].key_outcome(unused) == "not_run"
            assert await fleet.count_runs(LETTER, engines) == 1

    asyncio.run(run())


def test_a_rollout_under_load():
    """Each new model version would cost some callers their answers.

    A new version is loaded on every engine, one after the other, under load.
    Cause: an engine that is ordered about while work runs or is on its way to it.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(
                hosts=2, engines=3, deployment={"loads_at_once": 1}
            )
            load = Load(hosts)
            load.start()
            await load.wait_for_answers(20)
            patch = {"deployments": {"letter-models": {"version": "2"}}}
            assert (await hosts[0].patch(1, patch, "version-2")).status == 200

            async def all_loaded():
                for engine in engines:
                    orders = (await engine.counters())["orders"]
                    if not orders or orders[-1]["state"] != "done":
                        return False
                return True

            await wait_until(all_loaded, "the rollout")
            await load.wait_for_answers(len(load.answers) + 20)
            await load.stop()

    asyncio.run(run())


def test_role_changes_under_load():
    """Each role change would cost the callers whose work was on its way.

    An engine changes its role and back while all hosts send it work, on reports that
    lag behind.
    Cause: work that is sent to an engine which has stopped taking it.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=3)
            for engine in engines:
                await engine.control(slow_factor=5, load_lag_s=0.5)
            load = Load(hosts)
            load.start()
            await load.wait_for_answers(20)
            for number, role in enumerate(("prefill", "mixed", "decode", "mixed")):
                await order(fleet, engines[0], {"role": role}, f"role-{number}")

                async def has_changed(wanted=role):
                    return (await engines[0].counters())["role"] == wanted

                await wait_until(has_changed, f"the role {role}")
                await load.wait_for_answers(len(load.answers) + 20)
            await load.stop()

    asyncio.run(run())


def test_a_drained_engine_finishes_its_work_and_gets_no_more():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            for engine in engines:
                await engine.control(slow_factor=10)
            tasks = await start_streams(hosts[0], 8, 100)
            await wait_for_running(engines, 8)
            await patch_drain(hosts[1], ["e1"], "drain-e1")
            await wait_for_state(hosts, engines[0], "leaving")
            before = await started_on(engines[0])
            await send_some(hosts, 10, "after the drain")
            assert await started_on(engines[0]) == before
            await assert_all_whole(tasks, 100)
            await patch_drain(hosts[1], [], "undrain-e1")
            await wait_for_state(hosts, engines[0], "live")
            await send_some(hosts, 20, "after the return")
            assert await started_on(engines[0]) > before

    asyncio.run(run())


def test_an_engine_stopped_as_planned_under_load():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=3)
            load = Load(hosts)
            load.start()
            await load.wait_for_answers(20)
            assert await engines[0].terminate_and_wait() == 0
            await load.wait_for_answers(len(load.answers) + 30)
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
                answer = await hosts[number % 2].patch(number, patch, f"p{number}")
                assert answer.status == 200, answer

                async def is_everywhere(wanted=number + 1):
                    rows = [await host.status() for host in hosts]
                    return all(row["config_number"] == wanted for row in rows)

                await wait_until(is_everywhere, "the patch on every host")
            await load.wait_for_answers(len(load.answers) + 10)
            await load.stop()

    asyncio.run(run())


@pytest.mark.parametrize("list_state", ["lags", "unreachable"])
def test_a_leaving_engine_that_the_list_still_calls_live(list_state):
    """Work would be sent to an engine that is being taken away.

    The engine says that it drains; the platform's list doesn't, because it lags or
    can't be reached. Later the engine comes back.
    Cause: only the list is believed, or an endpoint once left never returns.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            if list_state == "lags":
                await fleet.platform.control(list_frozen=True)
            else:
                await fleet.platform.control(outage=True)
            await order_drain(fleet, engines[0], True, "leave")
            await wait_for_state(hosts, engines[0], "leaving")
            before = await started_on(engines[0])
            await send_some(hosts, 10, "after it left")
            assert await started_on(engines[0]) == before
            await order_drain(fleet, engines[0], False, "return")
            await wait_for_state(hosts, engines[0], "live")
            await send_some(hosts, 20, "after its return")
            assert await started_on(engines[0]) > before

    asyncio.run(run())


def test_an_engine_that_only_the_list_calls_leaving():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            await fleet.platform.mark_leaving("e1")
            await wait_for_state(hosts, engines[0], "leaving")
            before = await started_on(engines[0])
            await send_some(hosts, 10, "after it left")
            assert await started_on(engines[0]) == before

    asyncio.run(run())


def test_an_engine_that_dies_without_notice_is_left_alone():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            engines[0].kill()
            await send_some(hosts, 10, "after its death")

    asyncio.run(run())


def test_a_drained_host_leaves_the_entry_answers():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=3, engines=1)
            patch = {"hosts": {"drain": ["h1"]}}
            assert (await hosts[1].patch(1, patch, "drain-h1")).status == 200

            async def has_left():
                for host in hosts:
                    path = "/v1/entry?deployment=letter-models"
                    answer = await host.call("GET", path)
                    names = {entry["name"] for entry in answer.json["hosts"]}
                    if names != {"h2", "h3"}:
                        return False
                return True

            await wait_until(has_left, "the drained host to leave the answers")
            await send_some(hosts, 3, "callers that hold the old address")

    asyncio.run(run())
