"""A host whose store holds entries of endpoints that it can't read."""

import pytest
from host_harness import HostHarness, not_run, run, until
from platform_samples import sample_endpoint_entry

ODD_FIELDS = [
    {"warmup_left_ms": 10**400},
    {"seq": 2**70},
    {"zone": "\ud800"},
    {"addr": "0.0.0.0:80"},
    {"version": ["v1"]},
]
ODD_CONTENTS = [
    '{"service": "svc", "zone": ' + "[" * 5000 + "]" * 5000 + "}",
    '{"service": "svc", "slots": ' + "7" * 5000 + "}",
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


# Guards against one entry that hides which endpoints come, and which leave or are gone.
@pytest.mark.parametrize("content", ODD_CONTENTS)
@pytest.mark.parametrize("name", ["odd", "e-0"])
def test_undecodable_entry_hides_no_other_change(content, name):
    async def scenario():
        async with HostHarness(not_run, not_run) as harness:
            states = harness.host.context.endpoints.states
            for _ in range(2):
                harness.store.put_raw("servers", name, content)
                # Has the host list all entries, too.
                harness.store.drop_event_history()
                entry = sample_endpoint_entry("10.0.0.2:80")
                harness.store.put("servers", "new", entry)
                await until(lambda: "new" in states)
                harness.store.remove("servers", "new")
                await until(lambda: "new" not in states)
            assert ("e-0" in states) == (name != "e-0")
            leaving = sample_endpoint_entry("10.0.0.1:80", "draining", 2)
            harness.store.put("servers", "e-1", leaving)
            await until(lambda: states["e-1"].record.is_draining)
            events = [event for event, _ in harness.log_lines]
            assert events.count("endpoint_entry_unreadable") <= 2

    run(scenario())
