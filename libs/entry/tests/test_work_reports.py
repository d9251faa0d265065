"""Reports of the work at engines: what counts, and what is rejected."""

from types import SimpleNamespace

import pytest
from host_harness import RESUMABLE_ROUTE, run, two_hosts, until
from scripted_endpoint import encode_response, request_id_of

from gypsumusher_entry.work_reports import WorkReports, decode_work, follows_load
from gypsumusher_ports import EngineLimits, ScaleLimits, Service

ENGINE = EngineLimits(64, 400_000, 1.0, 1e9, 5.0, 3.0)
SCALE = ScaleLimits(1, 30, 4.0, {"a": 1.0}, True)
SERVICE = Service("svc", "/", 100, ENGINE, SCALE)
HEADERS = {
    "Host": "shop.example",
    "X-Gypsumusher-Request-Id": "r-1",
    "X-Gypsumusher-Token-Count": "3000,4",
    "X-Gypsumusher-Prompt-Prefix": "a1:2000,b2:1000",
}


@pytest.mark.parametrize("stage", ["prefill", None])
def test_work_of_one_host_is_known_to_the_other(stage):
    """Guards against prompts counted nowhere, with prefill apart or in place."""

    async def engine(number, head, body, writer):
        answer = b'{"handle": "h", "tokens": 3000, "version": 1}'
        if stage is None or b"kv-source" in head.lower():
            answer = b"id: 0\ndata: x\n\n"
        writer.write(encode_response(request_id_of(head), answer))

    async def scenario():
        async with two_hosts(engine, engine, route=RESUMABLE_ROUTE) as hosts:
            reports = []
            for host in hosts.hosts:
                context, lease = host.context, SimpleNamespace(known_holder=None)
                context.configuration.services["svc"] = SERVICE
                state = context.endpoints.states["e-0"]
                state.record = state.record._replace(stage=stage)
                reports.append(WorkReports(context, host._gossip, lease))
                await reports[-1].start()
            async with hosts.sessions[1].post("/0/x", headers=HEADERS):
                pass
            await until(lambda: reports[0].demand("svc", 0.0).work.prefill_s_per_s > 0)
            assert reports[0].demand("svc", 0.0).work.shared_tokens == 2000
            # Each host counts the shared prefixes of all.
            assert reports[0]._meter("svc").read(0.0, 0).shared_tokens == 2000

    run(scenario())


def test_nothing_is_sent_elsewhere():
    """Guards against reports where no engines are ordered by load."""
    fixed = SCALE._replace(has_reclaimable=False)
    assert follows_load(SERVICE)
    for without in ({"scale": None}, {"engine": None}, {"scale": fixed}):
        assert not follows_load(SERVICE._replace(**without))


@pytest.mark.parametrize(
    "values",
    [[], [0, 0, 0], [-1, 0, 0, 0], [0.5, 0, 0, 0], [True, 0, 0, 0],
     [0, 0, 10**400, 0], [0, 0, 0, 1001], [0, 0, 0, 0, 0]],
)  # fmt: skip
def test_malformed_report_is_rejected(values):
    """Guards against engines ordered for a report that can't be true."""
    with pytest.raises(ValueError):
        decode_work(["svc", *values])
