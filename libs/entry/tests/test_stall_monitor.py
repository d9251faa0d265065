"""Detection of silent endpoints."""

import asyncio

from gypsumusher_entry.stall_monitor import StallMonitor
from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import EndpointState


class MonitoredEndpoint:
    """One endpoint with a response that is overdue after 1 s."""

    def __init__(self):
        record = EndpointRecord(
            "e-0", 1, "llm", "10.0.0.1:80", "a", 64, False, 0.0, "prefill", 1
        )
        self.state = EndpointState(record)
        self.monitor = StallMonitor(
            lambda: 0.0, lambda *args, **fields: None, asyncio.sleep
        )
        self.monitor.begin("r-1", self.state, 1.0)

    def is_avoided(self, now_s):
        self.monitor.check(now_s)
        return self.state.health.is_avoided(now_s)


def test_engine_busy_with_other_prefills_is_not_silent():
    # In a burst a late prompt waits 2 s while timely ones are prefilled. The engine was
    # taken for silent and excluded; its load then moved to the others, until no engine
    # counted as healthy.
    monitored = MonitoredEndpoint()
    monitored.state.on_answer_bytes(1.9)
    assert not monitored.is_avoided(2.0)
    # Without any response it is excluded.
    assert monitored.is_avoided(3.5)
