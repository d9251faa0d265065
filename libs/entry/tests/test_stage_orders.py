"""Stage orders of a host to scripted engines, under a lease in a store."""

import asyncio
import json

from host_harness import (
    STREAM_ROUTE,
    HostHarness,
    run,
    sample_configuration,
    sample_endpoint_entry,
    until,
)
from scripted_endpoint import encode_response


class Engine:
    """A scripted engine that reports its stage and accepts orders.

    Parameters
    ----------
    responds_to_orders : bool
        Whether it responds to orders; it carries them out in any case.
    """

    def __init__(self, stage, responds_to_orders=True):
        self.stage = stage
        self.responds_to_orders = responds_to_orders
        self.order_count = 3
        self.orders = []

    async def __call__(self, number, head, body, writer):
        if head.startswith(b"GET /v1/report"):
            report = {"stage": self.stage, "busy": False, "seq": self.order_count}
            writer.write(encode_response("", json.dumps(report).encode()))
            return
        if not head.startswith(b"POST /v1/order"):
            writer.write(encode_response("", b"{}"))
            return
        order = json.loads(body)
        self.orders.append((head, order))
        if order["precondition"] != self.order_count:
            writer.write(encode_response("", b"", "409 Conflict"))
            return
        self.order_count += 1
        self.stage = order["stage"]
        if self.responds_to_orders:
            writer.write(encode_response("", b"", "202 Accepted"))
        else:
            await asyncio.Event().wait()


async def make_all_prefill(harness):
    """Set all engines to the prefill stage, as after a loss of the decoding ones."""
    content = sample_configuration(2, STREAM_ROUTE)
    content["services"][0]["engine"] = {"slots": 8, "switch_s": 2.5}
    harness.store.put("config", "main", content)
    states = harness.host.context.endpoints.states
    for name, state in list(states.items()):
        address = state.record.address
        harness.store.put(
            "servers", name, sample_endpoint_entry(address, stage="prefill", sequence=9)
        )
    await until(lambda: all(s.record.stage == "prefill" for s in states.values()))


def orders_of(engines):
    """Return all orders that the engines received."""
    return [order for engine in engines for order in engine.orders]


def test_missing_stage_is_ordered_once_under_lease():
    # The last decoding engine left. Until another engine decodes, all requests of the
    # service are refused, with the time after which to retry.
    engines = [Engine("prefill"), Engine("prefill")]

    async def scenario():
        async with HostHarness(*engines, routes=(STREAM_ROUTE,)) as harness:
            await make_all_prefill(harness)
            status, headers, _ = await harness.ask(
                method="POST", **{"X-Gypsumusher-Token-Count": "3000,4"}
            )
            assert status == 503
            assert float(headers["Retry-After"]) == 2.5
            context = harness.host.context
            await until(lambda: any(s.stage == "decode" for s in states(context)))
            await until(
                lambda: "stage_order_ended" in [e for e, _ in harness.log_lines]
            )
            assert all(state.is_usable for state in states(context))

    def states(context):
        return context.endpoints.states.values()

    run(scenario())
    ((head, order),) = orders_of(engines)
    assert (order["op"], order["stage"]) == ("stage", "decode")
    assert order["holder"] == "host-1"
    assert order["fence"] >= 1
    assert order["precondition"] == 3
    assert b"X-Gypsumusher-Expect-Instance: e-" in head


def test_order_with_lost_response_takes_effect_once():
    # The engine carries out the order and its response is lost. The host has to find
    # the new stage in the engine's report, without ordering it again.
    engines = [
        Engine("prefill", responds_to_orders=False),
        Engine("prefill", responds_to_orders=False),
    ]

    async def scenario():
        async with HostHarness(*engines, routes=(STREAM_ROUTE,)) as harness:
            await make_all_prefill(harness)
            await until(
                lambda: "stage_order_ended" in [e for e, _ in harness.log_lines]
            )
            fields = dict(harness.log_lines)["stage_order_ended"]
            assert fields["outcome"] == "done"

    run(scenario())
    assert len(orders_of(engines)) == 1


def test_host_without_lease_orders_nothing():
    # Another host holds the lease, and this host doesn't receive its updates. Both see
    # the missing stage; if both ordered, they would undo each other's changes.
    engines = [Engine("prefill"), Engine("prefill")]
    held = {"holder": "host-9", "incarnation": "host-9/1", "term": 7}
    held |= {"duration_s": 60.0, "released": False, "nonce": "n", "open_terms": []}

    async def scenario():
        harness = HostHarness(*engines, routes=(STREAM_ROUTE,))
        harness.store.put("leases", "stages", held)
        async with harness:
            await make_all_prefill(harness)
            await asyncio.sleep(2.0)

    run(scenario())
    assert not orders_of(engines)
