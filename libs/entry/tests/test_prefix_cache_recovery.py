"""Hosts that all start at once, before engines that keep what they have read."""

import asyncio
from types import SimpleNamespace

from gypsumusher_entry.prefix_cache_recovery import PrefixCacheRecovery
from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import EndpointState

ENGINES = 59
# When a host that has just started has heard of the others, in seconds.
HEARD_S = 0.4


class StartingHost:
    """What a host knows that starts together with many others."""

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
        """Take itself for active until it has heard of the others."""
        has_heard = self.clock() - self.began_s > HEARD_S
        return self._stays_active or not has_heard

    def spawn(self, coroutine):
        if coroutine.__name__ == "_run":
            self.tasks.append(asyncio.ensure_future(coroutine))
            return
        coroutine.close()
        self.asked += 1


def asked_within(seconds, is_active):
    async def scenario():
        host = StartingHost(is_active)
        await PrefixCacheRecovery(host).start()
        await asyncio.sleep(seconds)
        host.tasks[0].cancel()
        return host.asked

    return asyncio.run(scenario())


def test_hosts_to_which_no_callers_are_sent_ask_no_engine():
    """After the loss of all hosts each of them asked every engine for its list."""
    assert asked_within(1.2, is_active=False) == 0


def test_a_host_to_which_callers_are_sent_asks_each_engine_once():
    """A host that knows nothing of the engines' caches has all parts read again."""
    assert asked_within(1.2, is_active=True) == ENGINES
