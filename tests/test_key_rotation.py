"""The peers' keys and the operators' token are replaced without a stop."""

import asyncio
import os
import signal

import pytest
import yaml
from testkit import Fleet, wait_until

pytestmark = pytest.mark.processes
OLD = {"id": "k1", "secret": "a shared secret of the test hosts"}
NEW = {"id": "k2", "secret": "another secret of the test hosts"}


def reloads_of(host):
    return host.log_text().count("event=settings_reloaded")


async def reload_with(fleet, host, **changes):
    """Rewrite a host's settings, send SIGHUP, and wait until they are taken."""
    path = next(fleet.folder.glob(f"{host.name}-*.yaml"))
    settings = yaml.safe_load(path.read_text())
    for key, value in changes.items():
        section, name = key.split("__")
        settings[section][name] = value
    path.write_text(yaml.safe_dump(settings))
    before = reloads_of(host)
    os.kill(host.pid, signal.SIGHUP)

    async def is_reloaded():
        return reloads_of(host) > before

    await wait_until(is_reloaded, "the settings to be read again")


async def wait_until_all_live(hosts):
    async def are_live():
        for host in hosts:
            states = [h["state"] for h in (await host.status())["hosts"]]
            if states != ["live"] * len(hosts):
                return False
        return True

    await wait_until(are_live, "all hosts to see each other")


def test_key_rotation_in_three_steps_while_requests_run():
    """A rotation of the secret would part the hosts, and each would suspect all.

    Operators add the new key behind the old one on each host, then put it first,
    then take the old one away, while callers' requests run on.
    Cause: a host that signs with a key that another one doesn't know yet.
    """

    async def main():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            for keys in ([OLD, NEW], [NEW, OLD], [NEW]):
                for host in hosts:
                    await reload_with(fleet, host, peers__keys=keys)
                    assert (await hosts[0].complete("a check", 4)).status == 200
                await wait_until_all_live(hosts)
            key = await hosts[0].mint_key()
            answer = await hosts[1].complete("b", 4, {"Idempotency-Key": key})
            assert answer.status == 200
            for host in hosts:
                assert "host_suspected" not in host.log_text()

    asyncio.run(main())


def test_token_is_replaced_and_other_settings_are_named():
    async def main():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            host = hosts[0]
            await reload_with(
                fleet,
                host,
                operators__token="a-new-operators-token",
                engines__report_s=3.0,
            )
            assert (await host.admin("GET", "/status")).status == 401
            assert "needs_restart=engines.report_s" in host.log_text()

    asyncio.run(main())


def test_bad_file_changes_nothing():
    async def main():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            host = hosts[0]
            path = next(fleet.folder.glob("h1-*.yaml"))
            path.write_text("host: {name: 3}\n")
            os.kill(host.pid, signal.SIGHUP)

            async def is_refused():
                return "event=settings_refused" in host.log_text()

            await wait_until(is_refused, "the settings to be refused")
            assert (await host.admin("GET", "/status")).status == 200

    asyncio.run(main())
