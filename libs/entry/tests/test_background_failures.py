"""Components of a host whose background task meets an unforeseen exception."""

import pytest
from host_harness import HostHarness, run, sample_configuration, until
from platform_samples import sample_endpoint_entry

from gypsumusher_entry import endpoint_entries, store_watcher


def change_configuration(harness, number):
    harness.store.put("config", "main", sample_configuration(number))


def add_endpoint(harness, number):
    entry = sample_endpoint_entry(f"10.0.0.{number}:80")
    harness.store.put("servers", f"e-{number}", entry)


CHANGES = {
    "decode_configuration": (
        store_watcher,
        change_configuration,
        lambda context: context.configuration_version == 3,
    ),
    "decode_endpoint": (
        endpoint_entries,
        add_endpoint,
        lambda context: "e-3" in context.endpoints.states,
    ),
}


@pytest.mark.parametrize("name", CHANGES)
def test_store_is_followed_after_an_unforeseen_exception(monkeypatch, name):
    """Guards against a host that learns no newer version or endpoint until its end."""
    module, change, is_applied = CHANGES[name]
    harness = HostHarness()

    def decode(content):
        monkeypatch.undo()
        raise RuntimeError("unforeseen")

    async def scenario():
        async with harness:
            context = harness.host.context
            monkeypatch.setattr(module, name, decode)
            change(harness, 2)
            await until(
                lambda: any(e == "background_failed" for e, _ in harness.log_lines)
            )
            change(harness, 3)
            await until(lambda: is_applied(context))

    run(scenario())
