"""Non-idempotent requests run at most once, and "not run" is reported truthfully."""

import asyncio

import aiohttp
import pytest
from testkit import Fleet, wait_until

from gypsumusher_standins import expected_text, prompt_digest

pytestmark = pytest.mark.processes

PROMPT = "final demand for flat 12"
LONG_TOKENS = 150


async def wait_for_run(engines, prompt=PROMPT):
    """Wait until an engine has received the prompt, and return that engine."""

    async def running():
        for engine in engines:
            if prompt_digest(prompt) in (await engine.counters())["prompts"]:
                return engine
        return None

    return await wait_until(running, "an engine to run the request")


async def wait_for_held_write(platform, kind="journals"):
    """Wait until the platform is holding a write to a kind of object."""

    async def held():
        return (await platform.counters())["held"].get(kind, 0) > 0

    await wait_until(held, f"a held write of {kind}")


async def response_or_none(task):
    """Return the response of a call, or None if its connection was closed early."""
    try:
        return await task
    except aiohttp.ClientError:
        return None


def keyed(key):
    return {"Idempotency-Key": key}


def assert_outcome_unknown(response):
    """Check a refusal that reports an unknown outcome and forbids a retry."""
    assert response.status == 409, response
    assert response.error["code"] == "key_unknown_outcome"
    assert response.error["run"] == "unknown"
    assert response.headers["X-Should-Retry"] == "false"


def assert_not_run(response):
    """Check a refusal that reports that the request did not run."""
    assert response.error["run"] == "no", response


def test_owner_killed_after_the_send_leaves_outcome_unknown():
    """Guards against running a keyed request again on another host.

    The entry host is killed while an engine runs the request, and the caller repeats
    the key through a second host. That host cannot know that the request was sent.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            for engine in engines:
                await engine.control(slow_factor=20)
            key = await hosts[0].mint_key()
            call = asyncio.create_task(
                hosts[0].complete(PROMPT, LONG_TOKENS, keyed(key))
            )
            await wait_for_run(engines)
            hosts[0].kill()
            assert await response_or_none(call) is None
            for _ in range(2):
                response = await hosts[1].complete(PROMPT, LONG_TOKENS, keyed(key))
                assert_outcome_unknown(response)
            assert await hosts[1].key_outcome(key) == "unknown"
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


def test_owner_killed_before_its_journal_write_ran_nothing():
    """Guards against a wrong outcome when the owner dies before its journal write.

    The entry host is killed while its journal write is in flight. A surviving host
    seals the journal, and the write arrives afterwards. A delayed write that still
    took effect would make "not run" false, and an unknown outcome would keep the
    caller from sending the request again.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(hang_clients=["h1"])
            call = asyncio.create_task(hosts[0].complete(PROMPT, 8, keyed(key)))
            await wait_for_held_write(fleet.platform)
            hosts[0].kill()
            assert await response_or_none(call) is None
            response = await hosts[1].complete(PROMPT, 8, keyed(key))
            assert response.error["code"] == "key_not_run"
            assert_not_run(response)
            await fleet.platform.control(hang_clients=[])
            assert await hosts[1].key_outcome(key) == "not_run"
            again = await hosts[1].complete(PROMPT, 8, keyed(key))
            assert_not_run(again)
            assert await fleet.count_runs(PROMPT, engines) == 0
            fresh = await hosts[1].mint_key()
            response = await hosts[1].complete(PROMPT, 8, keyed(fresh))
            assert response.text == expected_text(PROMPT, 8)
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


def test_owner_paused_before_its_journal_write_sealed_and_resumed():
    """Guards against running a request twice under two keys.

    The entry host is paused while its journal write is in flight. Another host
    reports "not run", so the caller may repeat the request under a new key; then the
    paused host resumes, unaware that it was declared failed.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(hang_clients=["h1"])
            call = asyncio.create_task(hosts[0].complete(PROMPT, 8, keyed(key)))
            await wait_for_held_write(fleet.platform)
            hosts[0].pause()
            response = await hosts[1].complete(PROMPT, 8, keyed(key))
            assert response.error["code"] == "key_not_run"
            assert_not_run(response)
            hosts[0].resume()
            await fleet.platform.control(hang_clients=[])
            late = await call
            assert late.status != 200
            assert await fleet.count_runs(PROMPT, engines) == 0

            async def serves_again():
                fresh = await hosts[0].mint_key()
                response = await hosts[0].complete(PROMPT, 8, keyed(fresh))
                return response.status == 200

            await wait_until(serves_again, "the host to serve with a new journal")
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


def test_owner_paused_after_its_journal_write_sealed_and_resumed():
    """Guards against reporting "not run" for a request that runs afterwards.

    The entry host is paused after its journal write took effect but before it got
    the response. Another host seals the journal; then the first host resumes and may
    send the request, because its write preceded the seal.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(answer_delay_s=0.3, delay_kind="journals")
            call = asyncio.create_task(hosts[0].complete(PROMPT, 8, keyed(key)))

            async def is_journaled():
                journals = await fleet.platform.list("journals")
                return any(key in j["value"]["keys"] for j in journals)

            await wait_until(is_journaled, "the journal write")
            hosts[0].pause()
            await fleet.platform.control(answer_delay_s=0)
            assert_outcome_unknown(await hosts[1].complete(PROMPT, 8, keyed(key)))
            hosts[0].resume()
            await call
            # The resumed owner knows whether it was allowed to send before the seal.
            again = await hosts[1].complete(PROMPT, 8, keyed(key))
            runs = await fleet.count_runs(PROMPT, engines)
            if again.error.get("code") == "key_not_run":
                assert_not_run(again)
                assert runs == 0
            elif again.status == 200:
                assert again.text == expected_text(PROMPT, 8)
                assert runs == 1
            else:
                assert_outcome_unknown(again)
                assert runs <= 1

    asyncio.run(run())


def test_lost_response_to_the_journal_write():
    """Guards against a refused request or a duplicate journal entry.

    The journal write takes effect but its response is lost, twice. The owner cannot
    tell a failed write from one that took effect.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(lose_answers=2, lose_kind="journals")
            response = await hosts[0].complete(PROMPT, 8, keyed(key))
            assert response.text == expected_text(PROMPT, 8)
            second = await hosts[0].mint_key()
            response = await hosts[0].complete("another", 8, keyed(second))
            assert response.text == expected_text("another", 8)
            assert await fleet.count_runs(PROMPT, engines) == 1
            assert (await fleet.platform.counters())["settings"]["lose_answers"] == 0

    asyncio.run(run())


def test_platform_down_refuses_and_nothing_ran():
    """Guards against a call that hangs or a keyed request that runs unjournaled.

    The platform is down when keyed requests arrive, one with a minted key and one
    with a key chosen by the caller. Without a journal entry, no surviving host could
    tell whether the request was sent.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=1)
            key = await hosts[0].mint_key()
            await fleet.platform.control(outage=True)
            for name in (key, "booking-123"):
                response = await hosts[0].complete(PROMPT, 8, keyed(name))
                assert response.error["code"] == "journal_unavailable"
                # Only the owner of a minted key knows that no other host ran it.
                assert response.error["run"] == ("no" if name == key else "unknown")
                assert int(response.headers["Retry-After"]) >= 1
            plain = await hosts[0].complete("a status question", 8)
            assert plain.text == expected_text("a status question", 8)
            assert await fleet.count_runs(PROMPT, engines) == 0
            await fleet.platform.control(outage=False)

            # "Not run" was reported for this key, so a later repeat must not run.
            again = await hosts[0].complete(PROMPT, 8, keyed(key))
            assert again.error["code"] == "key_not_run"
            assert_not_run(again)

            async def is_served():
                fresh = await hosts[0].mint_key()
                return (await hosts[0].complete(PROMPT, 8, keyed(fresh))).status == 200

            await wait_until(is_served, "a new key to be served after the outage")
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


@pytest.mark.parametrize("refused_by", ["outage", "new_host", "stopping_host"])
def test_request_that_ran_elsewhere_is_never_reported_not_run(refused_by):
    """Guards against reporting "not run" for a request that ran on another host.

    The caller repeats the key through a host that cannot look it up because the
    platform is down, the host has just started without it, or the host is stopping.
    That host may not conclude from its own attempt that nothing ran.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            keys = [await hosts[0].mint_key(), "booking-123"]
            for key in keys:
                response = await hosts[0].complete(f"{PROMPT} {key}", 8, keyed(key))
                assert response.status == 200
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
                response = await other.complete(f"{PROMPT} {key}", 8, keyed(key))
                if response.status != 200:
                    assert response.error["run"] == "unknown", (key, response)
                assert await fleet.count_runs(f"{PROMPT} {key}", engines) == 1
            if refused_by == "stopping_host":
                long.cancel()

    asyncio.run(run())


def test_unjournaled_request_runs_once_and_is_unknown_after_owner_death():
    """Guards against reporting "not run" for an unjournaled request that did run.

    The deployment allows unjournaled keyed requests during a platform outage. The
    owner is killed after its response, and the caller asks another host after the
    outage. A missing journal entry proves nothing for such a key.
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
                response = await hosts[0].complete("a trial", 8, keyed(key))
                if response.status == 200:
                    return (await hosts[0].call("POST", path)).json["key"]
                # Until the host detects the outage, its keys need the journal.
                assert_not_run(response)
                return None

            key = await wait_until(mint_unjournaled, "a key that needs no journal")
            for _ in range(2):
                response = await hosts[0].complete(PROMPT, 8, keyed(key))
                assert response.text == expected_text(PROMPT, 8)
            assert await fleet.count_runs(PROMPT, engines) == 1
            hosts[0].kill()
            await fleet.platform.control(outage=False)
            assert_outcome_unknown(await hosts[1].complete(PROMPT, 8, keyed(key)))
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


@pytest.mark.parametrize("is_minted", [True, False])
def test_one_key_through_two_hosts_at_once(is_minted):
    """Guards against running concurrent repeats of one key more than once.

    The same key arrives through two hosts at the same time, several times. Each host
    on its own would take its request for the first.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            key = await hosts[0].mint_key() if is_minted else "booking-123"
            calls = [
                host.complete(PROMPT, 40, keyed(key)) for host in hosts for _ in "1234"
            ]
            responses = await asyncio.gather(*calls)
            served = [response for response in responses if response.status == 200]
            assert served
            for response in responses:
                if response.status == 200:
                    assert response.text == expected_text(PROMPT, 40)
                    continue
                assert response.error["code"] in {"in_progress", "key_unknown_outcome"}
                assert response.error["run"] == "unknown"
            assert await fleet.count_runs(PROMPT, engines) == 1
            again = await hosts[1].complete(PROMPT, 40, keyed(key))
            assert again.text == expected_text(PROMPT, 40)
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


@pytest.mark.parametrize("is_minted", [True, False])
def test_a_key_with_another_body_is_refused(is_minted):
    """Guards against returning the stored response of a different request.

    A key is reused by mistake with another body, on both hosts. Looking up the stored
    response by key alone would return the wrong one.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            key = await hosts[0].mint_key() if is_minted else "booking-123"
            first = await hosts[0].complete(PROMPT, 8, keyed(key))
            assert first.status == 200
            for host in hosts:
                response = await host.complete("another letter", 8, keyed(key))
                assert response.status == 422, response
                assert response.error["code"] == "key_reused"
                assert_not_run(response)
            assert await fleet.count_runs("another letter", engines) == 0

    asyncio.run(run())


def test_caller_chosen_key_is_unknown_after_owner_death():
    """Guards against running a request again after its owner's death.

    A key chosen by the caller names no owner and was claimed by a host that was
    killed during the request. Another host must not take over the claim, because the
    request may have run.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            await engines[0].control(slow_factor=20)
            call = asyncio.create_task(
                hosts[0].complete(PROMPT, LONG_TOKENS, keyed("booking-123"))
            )
            await wait_for_run(engines)
            hosts[0].kill()
            assert await response_or_none(call) is None
            assert_outcome_unknown(
                await hosts[1].complete(PROMPT, LONG_TOKENS, keyed("booking-123"))
            )
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


def test_lost_response_to_the_claim_of_a_caller_chosen_key():
    """Guards against refusing a request because of the host's own claim.

    The claim's write takes effect but its response is lost, so the repeated write
    finds an existing claim.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            await fleet.platform.control(lose_answers=1, lose_kind="claims")
            response = await hosts[0].complete(PROMPT, 8, keyed("booking-123"))
            assert response.text == expected_text(PROMPT, 8)
            again = await hosts[1].complete(PROMPT, 8, keyed("booking-123"))
            assert again.text == expected_text(PROMPT, 8)
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


@pytest.mark.parametrize("headers", [{"Gypsumusher-Idempotent": "no"}, {}])
def test_engine_that_closes_after_running_a_request(headers):
    """Guards against running a non-idempotent request on two engines.

    The engine reads and runs the request, then closes the connection without a
    response. A closed connection does not tell whether the request ran.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            for engine in engines:
                await engine.control(close_after_read=1)
            response = await hosts[0].complete(PROMPT, 8, headers)
            runs = await fleet.count_runs(PROMPT, engines)
            if headers:
                assert response.error["run"] == "unknown"
                assert response.headers["X-Should-Retry"] == "false"
                assert runs == 1
                return
            # Idempotent requests may run again, within the retry budget.
            if response.status == 200:
                assert response.text == expected_text(PROMPT, 8)
                return
            assert response.error["run"] == "unknown"

    asyncio.run(run())


def test_request_refused_by_an_engine_is_retried_on_another():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            # The host still relies on the outdated load report when the engine drains.
            await engines[0].control(load_lag_s=5)
            order = {"order_id": "o1", "term": 99, "goal": {"drain": True}}
            url = f"http://{engines[0].address}/orders"
            async with fleet.session.post(url, json=order) as accepted:
                assert accepted.status == 202
            for number in range(6):
                prompt = f"{PROMPT} {number}"
                no = {"Gypsumusher-Idempotent": "no"}
                response = await hosts[0].complete(prompt, 8, no)
                assert response.text == expected_text(prompt, 8)
                assert await fleet.count_runs(prompt, engines) == 1
            assert (await engines[0].counters())["prompts"] == {}

    asyncio.run(run())


async def service_count(services):
    counts = [(await service.counters())["count"] for service in services]
    return sum(counts)


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
def test_a_service_call_on_a_reused_connection_is_not_repeated(method):
    """Guards against a service call that takes effect twice.

    A replica reads a call on a keep-alive connection and closes the connection
    without a response. HTTP clients repeat PUT and DELETE automatically in that case.
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
            response = await hosts[0].call(method, path, b"label 7")
            assert response.error["run"] == "unknown"
            assert await service_count(services) == before + 1

    asyncio.run(run())


def test_service_calls_survive_closed_idle_connections():
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
                response = await hosts[0].call("POST", path, body)
                assert response.json["echo"] == f"label {number}"
            assert await service_count([service]) == before + 10

    asyncio.run(run())


def test_a_keyed_service_call_through_two_hosts_runs_once():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=0)
            service = await fleet.start_service("s1")
            path = "/v1/services/counter-api/labels"

            async def is_served():
                responses = [await host.call("GET", path) for host in hosts]
                return all(response.status == 200 for response in responses)

            await wait_until(is_served, "the replica to be known")
            before = await service_count([service])
            key = await hosts[0].mint_key()
            calls = [host.call("POST", path, b"label", keyed(key)) for host in hosts]
            await asyncio.gather(*calls)
            assert await service_count([service]) == before + 1

    asyncio.run(run())
