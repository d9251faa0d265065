"""A non-idempotent request runs at most once, whatever fails, and "not run" is true."""

import asyncio

import aiohttp
import pytest
from testkit import Fleet, wait_until

from gypsumusher_standins import expected_text, prompt_digest

pytestmark = pytest.mark.processes

DEMAND = "final demand for flat 12"
LONG_TOKENS = 150


async def wait_for_run(engines, prompt=DEMAND):
    """Wait until some engine runs a prompt; return that engine."""

    async def running():
        for engine in engines:
            if prompt_digest(prompt) in (await engine.counters())["prompts"]:
                return engine
        return None

    return await wait_until(running, "an engine to run the request")


async def wait_for_held_call(platform, kind="journals"):
    """Wait until the platform holds back a write of a kind."""

    async def held():
        return (await platform.counters())["held"].get(kind, 0) > 0

    await wait_until(held, f"a held write of {kind}")


async def outcome_of(task):
    """Return a call's answer, or None when its connection broke off."""
    try:
        return await task
    except aiohttp.ClientError:
        return None


def keyed(key):
    return {"Idempotency-Key": key}


def assert_unknown(answer):
    """Check a refusal that leaves open whether the request ran."""
    assert answer.status == 409, answer
    assert answer.error["code"] == "key_unknown_outcome"
    assert answer.error["run"] == "unknown"
    assert answer.headers["X-Should-Retry"] == "false"


def assert_not_run(answer):
    """Check a refusal that promises that nothing ran."""
    assert answer.error["run"] == "no", answer


def test_home_killed_after_the_send():
    """A tenant would get two final demands.

    The engine works on the demand when the entry host dies; the caller sends it
    again with the same key through another host.
    Cause: the second host can't know that the first one had sent it.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            for engine in engines:
                await engine.control(slow_factor=20)
            key = await hosts[0].mint_key()
            call = asyncio.create_task(
                hosts[0].complete(DEMAND, LONG_TOKENS, keyed(key))
            )
            await wait_for_run(engines)
            hosts[0].kill()
            assert await outcome_of(call) is None
            for _ in range(2):
                answer = await hosts[1].complete(DEMAND, LONG_TOKENS, keyed(key))
                assert_unknown(answer)
            assert await hosts[1].key_outcome(key) == "unknown"
            assert await fleet.count_runs(DEMAND, engines) == 1

    asyncio.run(run())


def test_home_killed_before_its_journal_write():
    """A tenant would get no demand, though the caller is told it may have gone out.

    The entry host dies with its journal write still on the way; a survivor seals
    the journal, and the write arrives afterwards.
    Cause: a late write that still takes effect would make "not run" a lie.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(hang_clients=["h1"])
            call = asyncio.create_task(hosts[0].complete(DEMAND, 8, keyed(key)))
            await wait_for_held_call(fleet.platform)
            hosts[0].kill()
            assert await outcome_of(call) is None
            answer = await hosts[1].complete(DEMAND, 8, keyed(key))
            assert answer.error["code"] == "key_not_run"
            assert_not_run(answer)
            await fleet.platform.control(hang_clients=[])
            assert await hosts[1].key_outcome(key) == "not_run"
            again = await hosts[1].complete(DEMAND, 8, keyed(key))
            assert_not_run(again)
            assert await fleet.count_runs(DEMAND, engines) == 0
            fresh = await hosts[1].mint_key()
            answer = await hosts[1].complete(DEMAND, 8, keyed(fresh))
            assert answer.text == expected_text(DEMAND, 8)
            assert await fleet.count_runs(DEMAND, engines) == 1

    asyncio.run(run())


def test_home_paused_before_its_journal_write_sealed_and_resumed():
    """Two crews would come to one wall.

    The entry host is paused with its journal write on the way. The caller is told
    "not run" by another host and books anew; then the paused host wakes.
    Cause: a process that was paused doesn't know that it was taken for dead.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(hang_clients=["h1"])
            call = asyncio.create_task(hosts[0].complete(DEMAND, 8, keyed(key)))
            await wait_for_held_call(fleet.platform)
            hosts[0].pause()
            answer = await hosts[1].complete(DEMAND, 8, keyed(key))
            assert answer.error["code"] == "key_not_run"
            assert_not_run(answer)
            hosts[0].resume()
            await fleet.platform.control(hang_clients=[])
            late = await call
            assert late.status != 200
            assert await fleet.count_runs(DEMAND, engines) == 0

            async def serves_again():
                fresh = await hosts[0].mint_key()
                answer = await hosts[0].complete(DEMAND, 8, keyed(fresh))
                return answer.status == 200

            await wait_until(serves_again, "the host to serve under a new journal")
            assert await fleet.count_runs(DEMAND, engines) == 1

    asyncio.run(run())


def test_home_paused_after_its_journal_write_sealed_and_resumed():
    """The caller would be told "not run" of a booking that then runs.

    The journal write took effect, its answer is on the way, and the entry host is
    paused. Another host seals the journal; then the first one wakes and sends.
    Cause: the licence to send was given before the seal.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(answer_delay_s=0.3, delay_kind="journals")
            call = asyncio.create_task(hosts[0].complete(DEMAND, 8, keyed(key)))

            async def is_journaled():
                journals = await fleet.platform.list("journals")
                return any(key in j["value"]["keys"] for j in journals)

            await wait_until(is_journaled, "the journal write")
            hosts[0].pause()
            await fleet.platform.control(answer_delay_s=0)
            assert_unknown(await hosts[1].complete(DEMAND, 8, keyed(key)))
            hosts[0].resume()
            await call
            # The home is back: it knows whether it was licensed before the seal.
            again = await hosts[1].complete(DEMAND, 8, keyed(key))
            runs = await fleet.count_runs(DEMAND, engines)
            if again.error.get("code") == "key_not_run":
                assert_not_run(again)
                assert runs == 0
            elif again.status == 200:
                assert again.text == expected_text(DEMAND, 8)
                assert runs == 1
            else:
                assert_unknown(again)
                assert runs <= 1

    asyncio.run(run())


def test_lost_answer_to_the_journal_write():
    """A confirmation would be refused, or its journal entry doubled.

    The journal write takes effect and its answer is lost, twice.
    Cause: the home can't tell a write that failed from one that took effect.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(lose_answers=2, lose_kind="journals")
            answer = await hosts[0].complete(DEMAND, 8, keyed(key))
            assert answer.text == expected_text(DEMAND, 8)
            second = await hosts[0].mint_key()
            answer = await hosts[0].complete("another", 8, keyed(second))
            assert answer.text == expected_text("another", 8)
            assert await fleet.count_runs(DEMAND, engines) == 1
            assert (await fleet.platform.counters())["settings"]["lose_answers"] == 0

    asyncio.run(run())


def test_platform_down_refuses_and_nothing_ran():
    """A caller would wait for ever, or the demand would run without a record.

    The platform is down when a keyed request comes, with a minted key and with a
    key of the caller's own.
    Cause: without a journal write no survivor could tell what was sent.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(outage=True)
            for name in (key, "booking-123"):
                answer = await hosts[0].complete(DEMAND, 8, keyed(name))
                assert answer.error["code"] == "journal_unavailable"
                # Only the home of a minted key knows that no other host ran it.
                assert answer.error["run"] == ("no" if name == key else "unknown")
                assert int(answer.headers["Retry-After"]) >= 1
            plain = await hosts[0].complete("a status question", 8)
            assert plain.text == expected_text("a status question", 8)
            assert await fleet.count_runs(DEMAND, engines) == 0
            await fleet.platform.control(outage=False)

            # "Not run" was said of this key, so no late copy of it may run either.
            again = await hosts[0].complete(DEMAND, 8, keyed(key))
            assert again.error["code"] == "key_not_run"
            assert_not_run(again)

            async def is_served():
                fresh = await hosts[0].mint_key()
                return (await hosts[0].complete(DEMAND, 8, keyed(fresh))).status == 200

            await wait_until(is_served, "a new key to be served after the outage")
            assert await fleet.count_runs(DEMAND, engines) == 1

    asyncio.run(run())


@pytest.mark.parametrize("refused_by", ["outage", "new_host", "stopping_host"])
def test_no_host_calls_a_booking_not_run_that_ran_elsewhere(refused_by):
    """A caller would be told "not run" of a booking that ran, and book anew.

    A booking ran through one host. Its caller, who got no answer, repeats the key
    through a host that can't look it up: the platform is down, or the host has just
    started without it, or is stopping.
    Cause: a refusal that speaks of its own attempt alone.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            keys = [await hosts[0].mint_key(), "booking-123"]
            for key in keys:
                answer = await hosts[0].complete(f"{DEMAND} {key}", 8, keyed(key))
                assert answer.status == 200
            other = hosts[1]
            if refused_by == "stopping_host":
                await engines[0].control(slow_factor=100)
                long = asyncio.create_task(other.complete("a long one", 400))
                await wait_for_run(engines, "a long one")
                other.terminate()

                async def refuses():
                    return (await other.complete("x", 8)).status == 503

                await wait_until(refuses, "the host to refuse")
            else:
                hosts[0].kill()
                await fleet.platform.control(outage=True)
            if refused_by == "new_host":
                other.kill()
                other = await fleet.start_host("h3")
            for key in keys:
                answer = await other.complete(f"{DEMAND} {key}", 8, keyed(key))
                if answer.status != 200:
                    assert answer.error["run"] == "unknown", (key, answer)
                assert await fleet.count_runs(f"{DEMAND} {key}", engines) == 1
            if refused_by == "stopping_host":
                long.cancel()

    asyncio.run(run())


def test_unjournaled_work_runs_once_and_a_dead_home_leaves_it_unknown():
    """A demand that did run would be called "not run".

    The deployment runs keyed work while the platform is down. The home dies after
    its answer, and the caller asks another host when the platform is back.
    Cause: an absent journal entry proves nothing for such a key.
    """

    async def run():
        async with Fleet() as fleet:
            deployment = {"platform_down": "run_unjournaled"}
            hosts, engines = await fleet.start_system(
                hosts=2, engines=1, deployment=deployment
            )
            await fleet.platform.control(outage=True)

            async def mint_unjournaled():
                path = "/v1/keys?deployment=letter-models"
                key = (await hosts[0].call("POST", path)).json["key"]
                answer = await hosts[0].complete("a trial", 8, keyed(key))
                if answer.status == 200:
                    return (await hosts[0].call("POST", path)).json["key"]
                # Until the host has seen the outage, its keys need the journal.
                assert_not_run(answer)
                return None

            key = await wait_until(mint_unjournaled, "a key that needs no journal")
            for _ in range(2):
                answer = await hosts[0].complete(DEMAND, 8, keyed(key))
                assert answer.text == expected_text(DEMAND, 8)
            assert await fleet.count_runs(DEMAND, engines) == 1
            hosts[0].kill()
            await fleet.platform.control(outage=False)
            assert_unknown(await hosts[1].complete(DEMAND, 8, keyed(key)))
            assert await fleet.count_runs(DEMAND, engines) == 1

    asyncio.run(run())


@pytest.mark.parametrize("is_minted", [True, False])
def test_one_key_through_two_hosts_at_once(is_minted):
    """Two crews would be booked by one impatient click.

    The same key comes through two hosts at the same time, several times.
    Cause: each host alone would take itself for the first.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            key = await hosts[0].mint_key() if is_minted else "booking-123"
            calls = [
                host.complete(DEMAND, 40, keyed(key)) for host in hosts for _ in "1234"
            ]
            answers = await asyncio.gather(*calls)
            served = [answer for answer in answers if answer.status == 200]
            assert served
            for answer in answers:
                if answer.status == 200:
                    assert answer.text == expected_text(DEMAND, 40)
                    continue
                assert answer.error["code"] in {"in_progress", "key_unknown_outcome"}
                assert answer.error["run"] == "unknown"
            assert await fleet.count_runs(DEMAND, engines) == 1
            again = await hosts[1].complete(DEMAND, 40, keyed(key))
            assert again.text == expected_text(DEMAND, 40)
            assert await fleet.count_runs(DEMAND, engines) == 1

    asyncio.run(run())


@pytest.mark.parametrize("is_minted", [True, False])
def test_a_key_with_another_body_is_refused(is_minted):
    """A caller would get the answer to somebody else's letter.

    A key is used again, by mistake, for another letter, on both hosts.
    Cause: a kept answer found by its key alone.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            key = await hosts[0].mint_key() if is_minted else "booking-123"
            first = await hosts[0].complete(DEMAND, 8, keyed(key))
            assert first.status == 200
            for host in hosts:
                answer = await host.complete("another letter", 8, keyed(key))
                assert answer.status == 422, answer
                assert answer.error["code"] == "key_reused"
                assert_not_run(answer)
            assert await fleet.count_runs("another letter", engines) == 0

    asyncio.run(run())


def test_a_callers_own_key_whose_home_died():
    """A second crew would be booked after the first host's death.

    A key that names no home was claimed by a host that died in the middle of it.
    Cause: the next host must not take the claim over, for the work may have run.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            await engines[0].control(slow_factor=20)
            call = asyncio.create_task(
                hosts[0].complete(DEMAND, LONG_TOKENS, keyed("booking-123"))
            )
            await wait_for_run(engines)
            hosts[0].kill()
            assert await outcome_of(call) is None
            assert_unknown(
                await hosts[1].complete(DEMAND, LONG_TOKENS, keyed("booking-123"))
            )
            assert await fleet.count_runs(DEMAND, engines) == 1

    asyncio.run(run())


def test_a_callers_own_key_claim_with_a_lost_answer():
    """A booking that nobody else made would be refused as somebody else's.

    The claim's write takes effect and its answer is lost.
    Cause: the repeated write finds the host's own claim standing.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            await fleet.platform.control(lose_answers=1, lose_kind="claims")
            answer = await hosts[0].complete(DEMAND, 8, keyed("booking-123"))
            assert answer.text == expected_text(DEMAND, 8)
            again = await hosts[1].complete(DEMAND, 8, keyed("booking-123"))
            assert again.text == expected_text(DEMAND, 8)
            assert await fleet.count_runs(DEMAND, engines) == 1

    asyncio.run(run())


@pytest.mark.parametrize("headers", [{"Gypsumusher-Idempotent": "no"}, {}])
def test_an_engine_that_ran_it_and_then_closed(headers):
    """A booking would run on two engines.

    The engine reads the request, runs it, and closes the connection unanswered.
    Cause: a closed connection looks the same whether or not the request ran.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            for engine in engines:
                await engine.control(close_after_read=1)
            answer = await hosts[0].complete(DEMAND, 8, headers)
            runs = await fleet.count_runs(DEMAND, engines)
            if headers:
                assert answer.error["run"] == "unknown"
                assert answer.headers["X-Should-Retry"] == "false"
                assert runs == 1
                return
            # Idempotent work may run again, within the retry budget.
            if answer.status == 200:
                assert answer.text == expected_text(DEMAND, 8)
                return
            assert answer.error["run"] == "unknown"

    asyncio.run(run())


def test_an_engines_own_refusal_may_be_tried_elsewhere():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            # The host still believes the lagging report when the engine changes.
            await engines[0].control(load_lag_s=5)
            order = {"order_id": "o1", "term": 99, "goal": {"drain": True}}
            url = f"http://{engines[0].address}/orders"
            async with fleet.session.post(url, json=order) as accepted:
                assert accepted.status == 202
            for number in range(6):
                prompt = f"{DEMAND} {number}"
                no = {"Gypsumusher-Idempotent": "no"}
                answer = await hosts[0].complete(prompt, 8, no)
                assert answer.text == expected_text(prompt, 8)
                assert await fleet.count_runs(prompt, engines) == 1
            assert (await engines[0].counters())["prompts"] == {}

    asyncio.run(run())


async def service_count(services):
    counts = [(await service.counters())["count"] for service in services]
    return sum(counts)


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
def test_a_service_call_on_a_reused_connection_is_not_repeated(method):
    """A label would be printed twice.

    A replica reads a call on a kept-alive connection and closes it unanswered.
    Cause: HTTP clients repeat PUT and DELETE by themselves on such a connection.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=0)
            services = [await fleet.start_service(f"s{n}") for n in (1, 2)]
            path = "/v1/services/counter-api/labels"

            async def is_served():
                return (await hosts[0].call("GET", path)).status == 200

            await wait_until(is_served, "the replicas to be known")
            for _ in range(4):
                await hosts[0].call("GET", path)
            before = await service_count(services)
            for service in services:
                await service.control(close_after_read=1)
            answer = await hosts[0].call(method, path, b"label 7")
            assert answer.error["run"] == "unknown"
            assert await service_count(services) == before + 1

    asyncio.run(run())


def test_service_replicas_that_close_idle_connections_cost_no_call():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=0)
            service = await fleet.start_service("s1")
            path = "/v1/services/counter-api/labels"

            async def is_served():
                return (await hosts[0].call("GET", path)).status == 200

            await wait_until(is_served, "the replica to be known")
            await service.control(keepalive_close=True)
            before = await service_count([service])
            for number in range(10):
                body = f"label {number}".encode()
                answer = await hosts[0].call("POST", path, body)
                assert answer.json["echo"] == f"label {number}"
            assert await service_count([service]) == before + 10

    asyncio.run(run())


def test_a_keyed_service_call_through_two_hosts_runs_once():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=0)
            service = await fleet.start_service("s1")
            path = "/v1/services/counter-api/labels"

            async def is_served():
                answers = [await host.call("GET", path) for host in hosts]
                return all(answer.status == 200 for answer in answers)

            await wait_until(is_served, "the replica to be known")
            before = await service_count([service])
            key = await hosts[0].mint_key()
            calls = [host.call("POST", path, b"label", keyed(key)) for host in hosts]
            await asyncio.gather(*calls)
            assert await service_count([service]) == before + 1

    asyncio.run(run())
