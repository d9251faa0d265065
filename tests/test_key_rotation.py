"""Peer keys and the operators' token are replaced without a restart."""

import asyncio
import os
import signal

import pytest
import yaml
from testkit import Fleet, wait_until

pytestmark = pytest.mark.processes
OLD = {"id": "k1", "secret": "a shared secret of the test hosts"}
NEW = {"id": "k2", "secret": "another secret of the test hosts"}


def count_reloads(host):
    return host.log_text().count("event=settings_reloaded")


async def reload_settings(fleet, host, **changes):
    """Rewrite a host's settings, send SIGHUP, and wait until they are reloaded."""
    path = next(fleet.folder.glob(f"{host.name}-*.yaml"))
    settings = yaml.safe_load(path.read_text())
    for key, value in changes.items():
        section, name = key.split("__")
        settings[section][name] = value
    path.write_text(yaml.safe_dump(settings))
    before = count_reloads(host)
    os.kill(host.pid, signal.SIGHUP)

    async def is_reloaded():
        return count_reloads(host) > before

    await wait_until(is_reloaded, "the settings to be reloaded")


async def wait_until_all_live(hosts):
    async def are_live():
        for host in hosts:
            states = [h["state"] for h in (await host.status())["hosts"]]
            if states != ["live"] * len(hosts):
                return False
        return True

    await wait_until(are_live, "all hosts to see each other")


def test_key_rotation_in_three_steps_while_requests_run():
    """Guards against hosts that suspect each other during a key rotation.

    On each host, operators append the new key, then move it to the front, then remove
    the old one, while callers send requests. Skipping a step makes a host sign with a
    key that its peers do not know yet.
    """

    async def main():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            for keys in ([OLD, NEW], [NEW, OLD], [NEW]):
                for host in hosts:
                    await reload_settings(fleet, host, peers__keys=keys)
                    assert (await hosts[0].complete("a check", 4)).status == 200
                await wait_until_all_live(hosts)
            key = await hosts[0].mint_key()
            response = await hosts[1].complete("b", 4, {"Idempotency-Key": key})
            assert response.status == 200
            for host in hosts:
                assert "host_suspected" not in host.log_text()

    asyncio.run(main())


def test_reload_replaces_the_token_and_logs_settings_that_need_a_restart():
    async def main():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            host = hosts[0]
            await reload_settings(
                fleet,
                host,
                operators__token="a-new-operators-token",
                engines__report_s=3.0,
            )
            assert (await host.admin("GET", "/status")).status == 401
            assert "needs_restart=engines.report_s" in host.log_text()

    asyncio.run(main())


def test_reload_of_an_invalid_file_changes_nothing_until_it_is_completed():
    """Guards against old keys that stay because the signal came too early."""

    async def main():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            host = hosts[0]
            path = next(fleet.folder.glob("h1-*.yaml"))
            text = path.read_text()
            path.write_text("host: {name: 3}\n")
            os.kill(host.pid, signal.SIGHUP)

            async def is_refused():
                return "event=settings_refused" in host.log_text()

            await wait_until(is_refused, "the settings to be refused")
            assert (await host.admin("GET", "/status")).status == 200
            assert count_reloads(host) == 0
            path.write_text(text)

            async def is_reloaded():
                return count_reloads(host) == 1

            await wait_until(is_reloaded, "the settings to be reloaded")

    asyncio.run(main())
