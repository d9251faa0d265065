"""Hosts that all start at once, with engines that have filled prefix caches."""

import asyncio
from types import SimpleNamespace

from gypsumusher_entry.prefix_cache_recovery import PrefixCacheRecovery
from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import EndpointState

ENGINES = 59
# Time after which a started host has received the updates of the others.
PEERS_KNOWN_S = 0.4


class StartingHost:
    """Context of a host that starts together with many others."""

    def __init__(self, is_active):
        self.clock = asyncio.get_running_loop().time
        self.began_s = self.clock()
        self._stays_active = is_active
        self.asked = 0
        self.settings = SimpleNamespace(name="host-1", is_first_start=False)
        states = {}
        for number in range(ENGINES):
            record = EndpointRecord(
                f"e-{number}", 1, "llm", "10.0.0.1:80", "a", 64, False, 0.0, "decode", 1
            )
            states[record.endpoint_id] = EndpointState(record)
        self.endpoints = SimpleNamespace(states=states)
        self.tasks = []

    def is_active(self):
        """Count as active until the updates of the other hosts have arrived."""
        has_heard = self.clock() - self.began_s > PEERS_KNOWN_S
        return self._stays_active or not has_heard

    def keep_running(self, function):
        self.tasks.append(asyncio.ensure_future(function()))

    def spawn(self, coroutine):
        coroutine.close()
        self.asked += 1


def asked_within(seconds, is_active):
    """Return how many engines a starting host has asked after some seconds."""

    async def scenario():
        host = StartingHost(is_active)
        await PrefixCacheRecovery(host).start()
        await asyncio.sleep(seconds)
        host.tasks[0].cancel()
        return host.asked

    return asyncio.run(scenario())


def test_inactive_host_asks_no_engine():
    """After a loss of all hosts each of them asked every engine for its cache."""
    assert asked_within(1.2, is_active=False) == 0


def test_active_host_asks_each_engine_once():
    """A host that knows no cached prompts has all of them prefilled again."""
    assert asked_within(1.2, is_active=True) == ENGINES
