"""Content that crashes endpoints is recognized on all hosts and not sent any more."""

import asyncio
from types import SimpleNamespace

from host_harness import run, settings, two_hosts, until
from scripted_endpoint import encode_response, request_id_of

from gypsumusher_entry.context import Context
from gypsumusher_entry.metrics import Metrics
from gypsumusher_routing import ContentKeys, HostStatus

CRASHING_PATH = "/0/crashing"
# Endpoints that may end under one content, and sends allowed after that.
CRASHES_MAX, SENDS_AFTER_MAX = 3, 3


def crashes_on(path):
    """Return the script of an endpoint that ends under requests for a path."""

    async def respond(number, head, body, writer):
        if head.split(b" ", 2)[1].decode() == path:
            writer.close()
            raise ConnectionResetError
        writer.write(encode_response(request_id_of(head)))

    return respond


def test_content_that_crashed_three_endpoints_is_refused_on_all_hosts():
    """A request crashed each endpoint that ran it, and every host sent it on."""

    async def scenario():
        async with two_hosts(*[crashes_on(CRASHING_PATH)] * 9) as hosts:
            refused = [False, False]
            for _ in range(8):
                for number in range(2):
                    status, headers, _ = await hosts.ask(number, CRASHING_PATH)
                    refused[number] = status == 503
                    if refused[number]:
                        assert float(headers["Retry-After"]) > 1.0
                await asyncio.sleep(0.25)
            assert refused == [True, True]
            assert (
                CRASHES_MAX
                <= hosts.arrivals(CRASHING_PATH)
                <= CRASHES_MAX + SENDS_AFTER_MAX
            )
            for number in range(2):
                status, _, body = await hosts.ask(number, "/0/other")
                assert (status, body) == (200, b"whole")

    run(scenario())


def test_lost_run_is_reported_to_few_of_many_hosts():
    """Each answer that broke off cost messages to every host of a large system."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        context = Context(
            settings("127.0.0.1:1", "127.0.0.1", "host-0"),
            clock,
            lambda *args, **fields: None,
            Metrics(),
        )
        for number in range(1, 60):
            status = HostStatus(
                f"host-{number}", 1, 1, f"127.0.0.{number + 1}", "zone-a", "", "",
                True, 1, 1, 1.0, True, 1.0, 0.45, 60, 60, True,
            )  # fmt: skip
            context.hosts.on_status(clock(), status)
        sent = []
        context.crash_reports.start(lambda kind, fields, ip: sent.append(ip))
        exchange = SimpleNamespace(
            content_keys=ContentKeys(b"content"),
            has_run_survived=False,
            trial_keys=None,
        )
        record = SimpleNamespace(incarnation=("e-0", 1))
        context.crash_reports.on_lost(exchange, SimpleNamespace(record=record))
        await until(lambda: sent)
        assert len(sent) == len(set(sent)) == 3
        await context.close()

    run(scenario())
