"""Many hosts that choose an idle engine at the same moment."""

import asyncio

import msgpack
from host_harness import run, settings

from gypsumusher_entry.context import Context
from gypsumusher_entry.gossip import MIN_PREFILL_INTERVAL_S, Gossip
from gypsumusher_entry.metrics import Metrics
from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import TIMELY, HostStatus

PEERS = 3
PREFILL_S = 0.2


class Transport:
    """Records the messages sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address[0], msgpack.unpackb(data)))

    def close(self):
        return


class Host:
    """One of four active hosts with one engine; its periodic tasks don't run."""

    def __init__(self):
        clock = asyncio.get_running_loop().time
        self.context = Context(
            settings("127.0.0.1:1", "127.0.0.1", "host-0", (), 1),
            clock,
            lambda *args, **fields: None,
            Metrics(),
        )
        self.context.apply_configuration(_Configuration, None, "test")
        record = EndpointRecord(
            "e-1", 1, "llm", "10.0.0.1:80", "a", 64, False, 0.0, "prefill", 1
        )
        self.context.endpoints.on_record(record, 1)
        for number in range(1, PEERS + 1):
            self.context.hosts.on_status(clock(), _status(number))
        self.gossip = Gossip(self.context)
        self.gossip.connection_made(Transport())
        self.context.prefill_listeners.append(self.gossip.on_prefill_start)

    def begin_prefill(self):
        """Start a prefill at the engine, as an exchange does."""
        self.context.endpoints.states["e-1"].own_running += 1
        self.context.endpoints.states["e-1"].begin_prefill(PREFILL_S, TIMELY)
        self.context.notify_prefill_start()

    def sent(self):
        """Return the messages sent since the last call."""
        sent, self.gossip._transport.sent = self.gossip._transport.sent, []
        return sent


class _Configuration:
    version = 1
    accounts = None
    routes = ()
    services = {}


def _status(number):
    return HostStatus(
        f"host-{number}", 1, 1, f"127.0.0.{number + 1}", "a", "", "", True, 1, 1, 1.0,
        True, 1.0, 0.45, 0, 0, True,
    )  # fmt: skip


def test_peers_are_notified_before_prefill_starts():
    """Several hosts sent a prompt to the only idle engine; all but one waited."""

    async def scenario():
        host = Host()
        host.begin_prefill()
        sent = host.sent()
        assert {ip for ip, _ in sent} == {"127.0.0.2", "127.0.0.3", "127.0.0.4"}
        loads = sent[0][1][3]
        assert loads["e-1"][2][0] == PREFILL_S * 1000
        await host.context.close()

    run(scenario())


def test_burst_of_prefills_is_one_message():
    """Each prompt of a burst would cost a message to every active host."""

    async def scenario():
        host = Host()
        for _ in range(20):
            host.begin_prefill()
        assert len(host.sent()) == PEERS
        await asyncio.sleep(1.5 * MIN_PREFILL_INTERVAL_S)
        host.begin_prefill()
        assert len(host.sent()) == PEERS
        await host.context.close()

    run(scenario())
