import asyncio
import json
import socket

import pytest
from aiohttp import web

from gypsumusher_cli.load_generator import LoadOptions, run_load
from gypsumusher_cli.load_spec import parse_load_spec

DOCUMENT = {
    "seed": 3,
    "duration_s": 0.2,
    "classes": {"counter": {"first_token_s": 5.0, "deadline_s": 10.0}},
    "streams": {
        "checks": {
            "deployment": "letter-models",
            "class": "counter",
            "rate_per_s": 40.0,
            "output_tokens": [3, 3],
        }
    },
}


class FakeHosts:
    """Entry hosts in one process; a test sets the faults that they show."""

    def __init__(self):
        self.bound_sockets = []
        self.runners = []
        self.addresses = []
        self.entry_queries = 0
        self.break_after = None
        self.refusals = []
        self.keys_seen = []
        self.resumed_after = []
        self.streams_lost = False

    async def start(self, count=2):
        for _ in range(count):
            app = web.Application()
            app.router.add_get("/v1/entry", self.entry)
            app.router.add_post("/v1/keys", self.key)
            app.router.add_post("/v1/completions", self.complete)
            app.router.add_get("/v1/resume", self.resume)
            app.router.add_route("*", "/v1/services/{name}/{path:.*}", self.service)
            runner = web.AppRunner(app)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            self.runners.append(runner)
            host, port = runner.addresses[0][:2]
            self.addresses.append(f"{host}:{port}")

    async def close(self):
        for runner in self.runners:
            await runner.cleanup()
        for bound in self.bound_sockets:
            bound.close()

    def refusing_address(self):
        # A port that is bound but doesn't listen refuses connections. Unlike the port
        # of a closed server it can't be assigned to another process meanwhile.
        bound = socket.socket()
        bound.bind(("127.0.0.1", 0))
        self.bound_sockets.append(bound)
        return "{}:{}".format(*bound.getsockname())

    async def entry(self, request):
        self.entry_queries += 1
        hosts = [{"name": a, "address": a, "zone": "z"} for a in self.addresses]
        return web.json_response({"hosts": hosts, "max_age_s": 60})

    async def key(self, request):
        return web.json_response({"key": f"gk1.{len(self.keys_seen)}"})

    async def complete(self, request):
        if self.refusals:
            error = self.refusals.pop()
            return web.json_response({"error": error}, status=429)
        if "Idempotency-Key" in request.headers:
            self.keys_seen.append(request.headers["Idempotency-Key"])
        return await self.stream(request, 0)

    async def resume(self, request):
        assert request.headers["Gypsumusher-Resume"] == "token"
        after = int(request.headers["Last-Event-ID"])
        self.resumed_after.append(after)
        if self.streams_lost:
            self.break_after = None
            error = {"code": "endpoint_failed", "run": "unknown"}
            return web.json_response({"error": error}, status=502)
        return await self.stream(request, after)

    async def stream(self, request, after):
        response = web.StreamResponse(headers={"Gypsumusher-Resume": "token"})
        await response.prepare(request)
        for number in range(after + 1, 5):
            if number == self.break_after and not after:
                request.transport.close()
                return response
            data = json.dumps({"id": "cmpl-1", "choices": [{"text": f"t{number} "}]})
            if number == 4:
                data = "[DONE]"
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
        return response

    async def service(self, request):
        body = await request.json() if request.can_read_body else None
        return web.json_response({"echo": body})


def run(document, prepare=None, hosts=None):
    fake = FakeHosts()

    async def run_with_hosts():
        await fake.start()
        if prepare is not None:
            await prepare(fake)
        options = LoadOptions(
            hosts=tuple(hosts or fake.addresses),
            expected_text=lambda prompt, tokens: "t1 t2 t3 ",
            grace_s=1.0,
        )
        try:
            return await run_load(parse_load_spec(document), options)
        finally:
            await fake.close()

    return fake, asyncio.run(run_with_hosts())


def with_stream(**change):
    stream = {**DOCUMENT["streams"]["checks"], **change}
    return {**DOCUMENT, "streams": {"checks": stream}}


def test_complete_responses_are_served_and_the_entry_response_is_cached():
    fake, outcomes = run(DOCUMENT)
    assert outcomes
    assert {item.result for item in outcomes} == {"served"}
    assert all(item.on_time for item in outcomes)
    assert fake.entry_queries == 1


def test_a_broken_response_is_resumed_from_its_last_event():
    """An entry host dies while it streams a response, after two events.

    The caller has to resume at another host with the resume token and the last event
    id. A restart would return the first events twice.
    """

    async def prepare(fake):
        fake.break_after = 3

    fake, outcomes = run(DOCUMENT, prepare)
    assert {item.result for item in outcomes} == {"served"}
    assert all(item.resumes == 1 for item in outcomes)
    assert set(fake.resumed_after) == {2}


@pytest.mark.parametrize(("share", "result"), [(0.0, "served"), (1.0, "lost")])
def test_a_response_that_can_t_be_resumed(share, result):
    """The engine of a broken response is gone, so that the resume is refused.

    An idempotent request is restarted, and nothing of the first response is kept. A
    non-idempotent one must not be restarted and counts as lost, since a host had
    accepted it.
    """

    async def prepare(fake):
        fake.break_after = 3
        fake.streams_lost = True

    document = with_stream(non_idempotent_share=share)
    _, outcomes = run(document, prepare)
    assert outcomes[0].result == result


def test_a_host_that_refuses_connections_is_skipped():
    async def prepare(fake):
        fake.addresses[0] = fake.refusing_address()

    _, outcomes = run(DOCUMENT, prepare)
    assert {item.result for item in outcomes} == {"served"}


def test_non_idempotent_requests_have_an_idempotency_key():
    fake, outcomes = run(with_stream(non_idempotent_share=1.0))
    assert len(fake.keys_seen) == len(outcomes)


@pytest.mark.parametrize(
    ("error", "result"),
    [
        ({"code": "overloaded", "run": "no", "retry_after_s": 0.01}, "served"),
        ({"code": "overloaded", "run": "no", "retry_after_s": None}, "refused"),
        ({"code": "endpoint_failed", "run": "unknown", "retry_after_s": 1}, "refused"),
        ({"code": "stopping", "run": "no", "retry_after_s": None}, "served"),
    ],
)
def test_a_refused_request_is_retried_only_with_retry_after_or_at_another_host(
    error, result
):
    async def prepare(fake):
        fake.refusals = [error]

    _, outcomes = run(DOCUMENT, prepare)
    refused = [item for item in outcomes if item.result == "refused"]
    assert len(refused) == (result == "refused")
    assert {item.result for item in outcomes} <= {"served", "refused"}


def test_the_response_of_a_service_is_compared_with_the_request():
    change = {"deployment": "", "service": "counter-api", "path": "/labels"}
    for share in (0.0, 1.0):
        _, outcomes = run(with_stream(**change, non_idempotent_share=share))
        assert {item.result for item in outcomes} == {"served"}


def test_requests_that_no_host_accepts_are_lost():
    document = with_stream(rate_per_s=40.0)
    document["classes"] = {"counter": {"first_token_s": 0.1, "deadline_s": 0.1}}

    async def prepare(fake):
        fake.addresses = [fake.refusing_address(), fake.refusing_address()]

    _, outcomes = run(document, prepare)
    assert outcomes
    assert {item.result for item in outcomes} == {"lost"}
