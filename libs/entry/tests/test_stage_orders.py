"""The host that orders engines' stages, before scripted engines and a store."""

import asyncio
import json

from host_harness import (
    STREAM,
    HostHarness,
    run,
    sample_configuration,
    sample_endpoint_entry,
    until,
)
from scripted_endpoint import encode_response


class Engine:
    """An engine that reports itself and takes orders, as a script.

    Parameters
    ----------
    answers : bool
        Whether it answers orders; it carries them out in any case.
    """

    def __init__(self, stage, answers=True):
        self.stage = stage
        self.answers = answers
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
        if self.answers:
            writer.write(encode_response("", b"", "202 Accepted"))
        else:
            await asyncio.Event().wait()


async def make_readers_only(world):
    """Have all engines read prompts only, as after the loss of the others."""
    content = sample_configuration(2, STREAM)
    content["services"][0]["engine"] = {"slots": 8, "switch_s": 2.5}
    world.store.put("config", "main", content)
    states = world.host.context.endpoints.states
    for name, state in list(states.items()):
        address = state.record.address
        world.store.put(
            "servers", name, sample_endpoint_entry(address, stage="prefill", sequence=9)
        )
    await until(lambda: all(s.record.stage == "prefill" for s in states.values()))


def orders_of(engines):
    return [order for engine in engines for order in engine.orders]


def test_a_stage_that_is_missing_is_ordered_once_with_authority():
    # The last engine that made tokens left. Until another one does, every request of a
    # model is refused, and told when to come back.
    engines = [Engine("prefill"), Engine("prefill")]

    async def scenario():
        async with HostHarness(*engines, routes=(STREAM,)) as world:
            await make_readers_only(world)
            status, headers, _ = await world.ask(
                method="POST", **{"X-Gypsumusher-Token-Count": "3000,4"}
            )
            assert status == 503
            assert float(headers["Retry-After"]) == 2.5
            context = world.host.context
            await until(lambda: any(s.stage == "decode" for s in states(context)))
            await until(lambda: "stage_order_ended" in [e for e, _ in world.log_lines])
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


def test_an_order_without_an_answer_takes_effect_once():
    # The engine carries the order out and its answer is lost. The host finds the new
    # stage in the engine's report, and orders nothing twice.
    engines = [Engine("prefill", answers=False), Engine("prefill", answers=False)]

    async def scenario():
        async with HostHarness(*engines, routes=(STREAM,)) as world:
            await make_readers_only(world)
            await until(lambda: "stage_order_ended" in [e for e, _ in world.log_lines])
            fields = dict(world.log_lines)["stage_order_ended"]
            assert fields["outcome"] == "done"

    run(scenario())
    assert len(orders_of(engines)) == 1


def test_a_host_without_the_lease_orders_nothing():
    # Another host took the lease, and this one doesn't hear it. Both see that a stage
    # is missing; two that order at once would undo each other's changes.
    engines = [Engine("prefill"), Engine("prefill")]
    held = {"holder": "host-9", "incarnation": "host-9/1", "term": 7}
    held |= {"duration_s": 60.0, "released": False, "nonce": "n", "open_terms": []}

    async def scenario():
        world = HostHarness(*engines, routes=(STREAM,))
        world.store.put("leases", "stages", held)
        async with world:
            await make_readers_only(world)
            await asyncio.sleep(2.0)

    run(scenario())
    assert not orders_of(engines)
