"""A host whose store holds entries of endpoints that it can't read."""

import pytest
from host_harness import HostHarness, run, until
from platform_samples import sample_endpoint_entry

ODD_FIELDS = [
    {"warmup_left_ms": 10**400},
    {"seq": 2**70},
    {"zone": "\ud800"},
    {"addr": "0.0.0.0:80"},
    {"version": ["v1"]},
]


@pytest.mark.parametrize("fields", ODD_FIELDS)
def test_unreadable_entry_hides_no_later_endpoint(fields):
    """Guards against an odd entry that ends the watch, and against repeated logs."""

    async def scenario():
        async with HostHarness() as harness:
            odd = {**sample_endpoint_entry("10.0.0.1:80"), **fields}
            harness.store.put("servers", "odd", odd)
            good = sample_endpoint_entry("10.0.0.2:80")
            states = harness.host.context.endpoints.states
            for number in range(2):
                harness.store.put("servers", f"good-{number}", good)
                await until(lambda name=f"good-{number}": name in states)
            assert "odd" not in states
            events = [event for event, _ in harness.log_lines]
            assert events.count("endpoint_entry_unreadable") == 1

    run(scenario())
