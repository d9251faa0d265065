"""Which endpoints count as silent."""

import asyncio

from gypsumusher_entry.stall_monitor import StallMonitor
from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import EndpointState


class Watched:
    """One endpoint, with a wait that is overdue after a second."""

    def __init__(self):
        record = EndpointRecord(
            "e-0", 1, "llm", "10.0.0.1:80", "a", 64, False, 0.0, "prefill", 1
        )
        self.state = EndpointState(record)
        self.watch = StallMonitor(
            lambda: 0.0, lambda *args, **fields: None, asyncio.sleep
        )
        self.watch.begin("r-1", self.state, 1.0)

    def is_avoided(self, now_s):
        self.watch.look(now_s)
        return self.state.health.is_avoided(now_s)


def test_an_engine_that_reads_what_others_sent_first_is_not_silent():
    # Under a burst a late prompt waits for two seconds while timely ones are read. The
    # engine was taken for silent, and left; its load then pressed on those that were
    # left, until no engine counted as well.
    watched = Watched()
    watched.state.on_answer_bytes(1.9)
    assert not watched.is_avoided(2.0)
    # With nothing at all from it, it is left.
    assert watched.is_avoided(3.5)
