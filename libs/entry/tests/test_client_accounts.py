"""A host with client accounts: what endpoints see, and withdrawal without the store."""

import asyncio
import json

from host_harness import (
    IDEMPOTENT_ROUTE,
    STREAM_ROUTE,
    HostHarness,
    run,
    sample_configuration,
    until,
)
from scripted_endpoint import encode_response, request_id_of

from gypsumusher_routing import ConfigurationAge

OPEN_ROUTE = {**IDEMPOTENT_ROUTE, "no_auth": True}
SHOP = {"name": "shop", "api_keys": ["key-1"], "priority": 3}


async def healthy(number, head, body, writer):
    writer.write(encode_response(request_id_of(head)))


def configuration(version, *tenants):
    """Return a configuration with accounts; its second route needs no key."""
    routes = (IDEMPOTENT_ROUTE, OPEN_ROUTE, STREAM_ROUTE)
    return {**sample_configuration(version, *routes), "tenants": list(tenants)}


class Accounts(HostHarness):
    """A host whose configuration has an account, with a bound of 1 s for its keys."""

    def __init__(self):
        super().__init__(healthy, healthy)

    async def __aenter__(self):
        await super().__aenter__()
        context = self.host.context
        context.settings = context.settings._replace(
            bounds=context.settings.bounds._replace(key_withdrawal_s=1.0)
        )
        self.put(2, SHOP)
        await until(lambda: context.configuration_version == 2)
        return self

    def put(self, version, *tenants):
        self.store.put("config", "main", configuration(version, *tenants))

    async def status(self, key=None, path="/0/x", **headers):
        if key is not None:
            headers["X-Gypsumusher-Key"] = key
        return (await self.ask(path, **headers))[0]

    def heads(self):
        """Return the heads of the requests that endpoints have received."""
        return [head for e in self.endpoints for head, _ in e.requests]


def test_endpoint_sees_the_account_and_never_the_key():
    """Guards against callers' keys, and accounts callers made up, at endpoints."""

    async def scenario():
        async with Accounts() as harness:
            assert await harness.status("key-1", **{"X-Gypsumusher-Tenant": "x"}) == 200
            (head,) = harness.heads()
            assert b"X-Gypsumusher-Tenant: shop\r\n" in head
            assert head.lower().count(b"x-gypsumusher-tenant") == 1
            assert b"key-1" not in head
            assert "key-1" not in json.dumps(harness.log_lines, default=str)

    run(scenario())


def test_request_without_a_key_in_force_does_not_run():
    async def scenario():
        async with Accounts() as harness:
            assert await harness.status() == 401
            assert await harness.status("other") == 401
            assert harness.arrivals() == 0
            assert await harness.status("other", "/1/x") == 200

    run(scenario())


def test_key_that_moves_to_another_account_runs_for_that_one():
    """Guards against a key that keeps the account of an earlier configuration."""

    async def scenario():
        async with Accounts() as harness:
            harness.put(3, {"name": "shop"}, {"name": "mill", "api_keys": ["key-1"]})
            await until(lambda: harness.host.context.configuration_version == 3)
            assert await harness.status("key-1") == 200
            assert b"X-Gypsumusher-Tenant: mill\r\n" in harness.heads()[0]

    run(scenario())


def test_keys_lapse_without_the_store_and_are_back_with_it():
    """Guards against withdrawn keys at a host that is cut off from the store."""

    async def scenario():
        async with Accounts() as harness:
            harness.store.fault = "refuse"
            await until(lambda: not harness.host.context.are_keys_confirmed())
            status, headers, _ = await harness.ask(**{"X-Gypsumusher-Key": "key-1"})
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            assert await harness.status("new") == 503
            assert harness.arrivals() == 0
            assert await harness.status(None, "/1/x") == 200
            harness.put(3)
            harness.store.fault = ""
            context = harness.host.context
            await until(lambda: context.configuration_version == 3)
            await until(context.are_keys_confirmed)
            assert await harness.status("key-1") == 401

    run(scenario())


def test_unreadable_configuration_leaves_the_last_one_but_lets_its_keys_lapse():
    """Guards against keys that a configuration took away which no host can read."""

    async def scenario():
        async with Accounts() as harness:
            harness.put(3, {"name": "shop", "api_keys": 7})
            await until(lambda: not harness.host.context.are_keys_confirmed())
            assert await harness.status("key-1") == 503
            assert await harness.status(None, "/1/x") == 200
            events = [event for event, _ in harness.log_lines]
            assert "configuration_unreadable" in events

    run(scenario())


def test_priority_of_the_account_precedes_that_of_the_route():
    async def scenario():
        async with Accounts() as harness:
            await harness.status("key-1")
            # The host logs the end of a request after it has sent the response.
            await until(lambda: "request_ended" in dict(harness.log_lines))
            ended = dict(harness.log_lines)["request_ended"]
            assert (ended["rank"], ended["account"]) == (3, "shop")

    run(scenario())


def test_request_waits_for_a_confirmation_that_is_to_be_had():
    """Guards against refusals by a host that was busy or suspended for a moment."""

    async def scenario():
        async with Accounts() as harness:
            context = harness.host.context
            context.configuration_age = ConfigurationAge(1)
            context.configuration_age.on_version_in_force(2)
            assert not context.are_keys_confirmed()
            assert await harness.status("key-1") == 200

    run(scenario())


def test_keys_stay_in_force_when_only_the_revision_of_the_configuration_changes():
    """Guards against keys that lapse for good when a status is written beside them."""

    async def scenario():
        async with Accounts() as harness:
            store = harness.store
            store.revision += 1
            metadata = store._objects["config", "main"]["metadata"]
            metadata["rev"] = store.revision
            await asyncio.sleep(1.3)
            assert await harness.status("key-1") == 200

    run(scenario())
