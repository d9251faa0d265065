"""Loads between active hosts: bytes, lost datagrams, and peers of earlier releases."""

import random
from collections import Counter
from functools import partial

import msgpack
import pytest
from host_harness import settings
from test_concurrent_choices import _Configuration

from gypsumusher_entry.context import Context
from gypsumusher_entry.gossip import MESSAGE_VERSION, MIN_INTERVAL_S, Gossip
from gypsumusher_entry.load_changes import LOAD_CHANGES, SUPPORT_ID
from gypsumusher_entry.metrics import Metrics
from gypsumusher_ports import EndpointRecord, PromptPart
from gypsumusher_routing import (
    ALL_ON,
    TIMELY,
    HostStatus,
    SentLoads,
    policy_without,
)

WITHOUT = policy_without("compact_updates")


class Hosts:
    """Active hosts and the engines that they know, on a simulated clock."""

    def __init__(self, count, engines, policy=ALL_ON):
        self.now_s = 100.0
        self.logged = []
        # Decides whether a datagram arrives, by the sender's IP and the content.
        self.arrives = lambda source, fields: True
        self.sent = []
        self.gossips = {}
        records = [
            EndpointRecord(
                f"i-{number:010x}", 1, "llm", "10.1.0.1:80", "a", 64, False, 0.0,
                "prefill", 1,
            )
            for number in random.Random(1).sample(range(16**10), engines)
        ]  # fmt: skip
        for number in range(count):
            ip = f"10.0.0.{number + 1}"
            parts = settings("127.0.0.1:1", ip, f"host-{number}"), lambda: self.now_s
            context = Context(*parts, self.log, Metrics(), policy)
            context.boottime_s = context.clock
            context.apply_configuration(_Configuration, None, "test")
            context.endpoints.on_full_list(self.now_s, records, 1)
            self.gossips[ip] = Gossip(context)
            self.gossips[ip].connection_made(_Link(self, ip))
            context.prefill_listeners.append(self.gossips[ip].on_prefill_start)
        self.contexts = [gossip._context for gossip in self.gossips.values()]
        # Of many hosts a sixth is active; the others aren't up here.
        for context in self.contexts:
            for number in range(6 * count):
                ip = f"10.0.0.{number + 1}"
                context.hosts.on_record(self.now_s, f"host-{number}", ip)
        self.run(2.0)
        # Longer than two announcements of a prefill are apart.
        self.now_s += MIN_INTERVAL_S / 2.0

    def log(self, level, event, **fields):
        self.logged.append((event, fields))

    def run(self, duration_s, work=lambda: None):
        """Let time pass, with some work before each tick."""
        for _ in range(round(duration_s / MIN_INTERVAL_S)):
            self.now_s += MIN_INTERVAL_S
            work()
            for gossip in self.gossips.values():
                gossip._on_tick(self.now_s)

    def sent_bytes(self):
        """Return the bytes sent by all hosts, by kind of message."""
        return sum((Counter(c.metrics._peer_bytes) for c in self.contexts), Counter())


class _Link:
    """Transport of one host, over which datagrams arrive at once or not at all."""

    def __init__(self, hosts, ip):
        self._hosts, self._ip = hosts, ip

    def sendto(self, data, address):
        fields = msgpack.unpackb(data)
        self._hosts.sent.append((self._ip, address[0], fields))
        receiver = self._hosts.gossips.get(address[0])
        if receiver is not None and self._hosts.arrives(self._ip, fields):
            receiver.datagram_received(data, (self._ip, 1))


class Work:
    """Prompts that each host sends to random engines, where streams follow."""

    def __init__(self, hosts, prompts_per_s, stream_s):
        self._hosts = hosts
        self._per_tick = prompts_per_s * MIN_INTERVAL_S
        self._stream_s = stream_s
        self._random = random.Random(3)
        self._due = []

    def __call__(self):
        """Do the work of one tick."""
        now_s = self._hosts.now_s
        for at_s, end in [item for item in self._due if item[0] <= now_s]:
            self._due.remove((at_s, end))
            end()
        for context in self._hosts.contexts:
            for _ in range(int(self._per_tick + self._random.random())):
                self.begin(context, self._random.uniform(0.1, 0.5))

    def begin(self, context, prefill_s):
        """Send one prompt for prefill."""
        state = self._random.choice(list(context.endpoints.states.values()))
        state.own_running += 1
        state.begin_prefill(prefill_s, TIMELY)
        context.notify_prefill_start()
        prefilled_s = self._hosts.now_s + prefill_s
        ended_s = prefilled_s + self._random.expovariate(1.0 / self._stream_s)
        self._due.append((prefilled_s, partial(state.end_prefill, prefill_s, TIMELY)))
        self._due.append((ended_s, partial(_end_stream, state)))
        return state


def _end_stream(state):
    state.own_running -= 1


def sent_under_load(count, engines, prompts_per_s, policy):
    """Return the bytes that loaded hosts send, by kind, and the number of messages."""
    hosts = Hosts(count, engines, policy)
    work = Work(hosts, prompts_per_s, stream_s=3.0)
    hosts.run(3.0, work)
    before, first = hosts.sent_bytes(), len(hosts.sent)
    hosts.run(2.0, work)
    messages = [ip for _, ip, _ in hosts.sent[first:] if ip in hosts.gossips]
    return hosts.sent_bytes() - before, len(messages)


@pytest.mark.parametrize(("count", "engines", "rate"), [(12, 45, 13.0), (6, 30, 21.0)])
def test_loads_take_a_third_of_the_bytes(count, engines, rate):
    """Each prefill sent all loads of its host to all active hosts."""
    sent, messages = sent_under_load(count, engines, rate, ALL_ON)
    sent_before, messages_before = sent_under_load(count, engines, rate, WITHOUT)
    assert set(sent_before) == {"status"}
    assert 3 * sum(sent.values()) <= sent_before["status"], (sent, sent_before)
    # The peers hear of changes as often as without.
    assert messages >= messages_before


def test_bytes_are_on_the_metrics_page():
    """Nobody saw that status messages were most of the bytes between zones."""
    metrics = Metrics()
    for size_bytes in (3, 4):
        metrics.on_datagrams_sent(LOAD_CHANGES, size_bytes)
    body, _ = metrics.render()
    assert b'gypsumusher_peer_sent_bytes_total{kind="load_changes"} 7' in body


def peer_load(hosts, reader, endpoint_id):
    """Return the load at an endpoint as one host believes it."""
    return hosts.contexts[reader].endpoints.states[endpoint_id].load(hosts.now_s)


def test_prefill_is_known_at_once_and_after_lost_whole_message_soon():
    """A prefill was announced on top of a message that a peer had not received."""
    hosts = Hosts(4, 5)
    work = Work(hosts, 0.0, 9.0)
    state = work.begin(hosts.contexts[0], 0.2)
    assert hosts.sent[-1][2][0] == LOAD_CHANGES
    engine_id = state.record.endpoint_id
    assert peer_load(hosts, 1, engine_id) == state.own_load()
    hosts.arrives = lambda source, fields: fields[0] == LOAD_CHANGES
    hosts.run(0.5)
    state = work.begin(hosts.contexts[0], 0.3)
    engine_id = state.record.endpoint_id
    hosts.contexts[0].record_prefix_placement(state, [PromptPart(7, 9)] * 2)
    state = work.begin(hosts.contexts[0], 0.3)
    hosts.run(0.05)
    # What an engine caches doesn't build on the lost message.
    known = hosts.contexts[1].endpoints.states[engine_id].prefixes
    assert known.cached_tokens([PromptPart(7, 9)]) == 9
    hosts.arrives = lambda source, fields: True
    hosts.run(0.5)
    for state in hosts.contexts[0].endpoints.states.values():
        believed = peer_load(hosts, 1, state.record.endpoint_id)
        assert believed == state.own_load()


def test_peer_of_an_earlier_release_gets_whole_messages():
    """A host that can't read changes knew old loads, or rejected all messages."""
    hosts = Hosts(4, 5)
    source, reader = list(hosts.gossips)[:2]
    old = hosts.gossips[reader]
    # The earlier release: no announcement, and no handler for changes.
    old._load_changes.with_announcement = lambda loads: loads
    del old._context.datagram_handlers[LOAD_CHANGES]
    hosts.run(0.5)
    hosts.now_s += MIN_INTERVAL_S / 2.0
    hosts.sent.clear()
    state = Work(hosts, 0.0, 9.0).begin(hosts.contexts[0], 0.2)
    kinds = {fields[0] for ip, _, fields in hosts.sent if ip == source}
    assert kinds == {MESSAGE_VERSION}
    assert peer_load(hosts, 1, state.record.endpoint_id) == state.own_load()
    # Earlier releases accept this many fields, and skip loads at unknown endpoints.
    status, _, loads, *_ = hosts.sent[0][2][1:]
    assert len(status) == 17
    assert HostStatus(*status).name == status[0]
    assert len(loads[SUPPORT_ID]) == 4
    assert all(SUPPORT_ID not in c.endpoints.states for c in hosts.contexts)


def test_changed_entry_and_newly_active_host_get_whole_messages():
    """Hosts that don't read the store would hear late of an engine that drains."""
    hosts = Hosts(4, 5)
    # The whole messages that are due after the longest intervals.
    hosts.run(2 * MIN_INTERVAL_S)
    hosts.sent.clear()
    context = hosts.contexts[0]
    states = list(context.endpoints.states.values())
    renewed = states[0].record._replace(heartbeat_count=2)
    context.endpoints.on_record(renewed, 2)
    hosts.run(MIN_INTERVAL_S)
    assert not [fields for ip, _, fields in hosts.sent if ip == "10.0.0.1"]
    draining = states[1].record._replace(is_draining=True, heartbeat_count=2)
    context.endpoints.on_record(draining, 3)
    hosts.run(MIN_INTERVAL_S)
    kinds = [fields[0] for ip, _, fields in hosts.sent if ip == "10.0.0.1"]
    assert kinds == [MESSAGE_VERSION] * 3
    # A peer's new process, and hosts that were not active, lack the base.
    sent = SentLoads()
    sent.on_whole_message(1, {}, [("10.0.0.2", 7)], 100)
    assert sent.changes({}, [("10.0.0.2", 7)]) == {}
    assert sent.changes({}, [("10.0.0.2", 8)]) is None
    assert sent.changes({}, [("10.0.0.2", 7), ("10.0.0.3", 7)]) is None


def test_hosts_that_were_never_heard_get_whole_messages():
    """The only active host sent the others changes that they might not read."""
    hosts = Hosts(1, 5)
    hosts.run(1.0, Work(hosts, 20.0, 1.0))
    assert {fields[0] for _, _, fields in hosts.sent} == {MESSAGE_VERSION}


CHANGES = ["host-1", 1, 9, 8, [["e", 1, 1, [1, 0], 0]], [["e", [[7, 9]], 0.1]]]


@pytest.mark.parametrize(
    ("index", "value"),
    [
        (0, ""), (0, 3), (1, 2**63), (2, 8), (2, 9.5), (3, None), (4, [["e"]]),
        (4, [["e", 1, 1, [1], 0]]), (4, [["e", 1, 1, [1, 0], float("nan")]]),
        (4, [[[], 1, 1, [1, 0], 0]]), (4, [[None, 1, 1, [1, 0], 0]]), (5, 3),
        (5, [["e", [["p", 1]], 0.0]]), (5, [["e", [[7, 9]], "x"]]),
    ],
)  # fmt: skip
def test_unreadable_changes_change_nothing(index, value):
    """A malformed datagram was applied in part, or stopped the receiver."""
    hosts = Hosts(1, 1)
    (gossip,) = hosts.gossips.values()
    fields = [LOAD_CHANGES, *CHANGES]
    gossip.datagram_received(msgpack.packb(fields), ("10.0.0.9", 1))
    assert hosts.logged[-1][0] != "gossip_unreadable"
    fields[index + 1] = value
    gossip.datagram_received(msgpack.packb(fields), ("10.0.0.9", 1))
    assert hosts.logged[-1][0] == "gossip_unreadable"


def test_prompts_of_many_parts_leave_messages_small_enough_to_be_sent():
    # Guards against a host that counts as lost because of what callers' prompts name.
    hosts = Hosts(2, 1)
    (sender, receiver), first = hosts.contexts, len(hosts.sent)
    state = next(iter(sender.endpoints.states.values()))
    parts = [PromptPart(2**64 - 1 - number, 10**18 - 1) for number in range(1800)]
    for _ in range(40):
        sender.record_prefix_placement(state, parts)
    hosts.run(20.0)
    sizes = [len(msgpack.packb(fields)) for _, _, fields in hosts.sent[first:]]
    assert ("gossip_too_large" not in dict(hosts.logged)) and max(sizes) < 60_000
    assert sender.pop_placements() == []
    assert receiver.hosts.live(hosts.now_s)
