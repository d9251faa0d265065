"""The drain commands: stop new work at a host or an endpoint, and wait until idle."""

import asyncio

from cleo.helpers import argument, option

from gypsumusher_cli.command_base import (
    ACCESS_OPTIONS,
    OperatorsCommand,
    fetch_statuses,
    require_ok_body,
    unwrap,
)
from gypsumusher_cli.config_commands import (
    HTTP_CONFLICT,
    check_patch_response,
    default_author,
    fetch_config,
    send_patch,
)
from gypsumusher_cli.errors import CommandError, InputError

POLL_INTERVAL_S = 0.5
# Text, like any value of an option.
DEFAULT_TIMEOUT_S = "600"
# How often a patch may conflict with other operators' changes. A conflict is resolved
# by reading the configuration again, since adding a name to a drain list, or removing
# it, is compatible with any other change.
MAX_PATCH_CONFLICTS = 5
# Successive idle polls until a drain counts as finished: a request may still be on its
# way to the endpoint at the first one.
IDLE_POLLS = 2

DRAIN_OPTIONS = [
    option("undo", None, "Remove the name from the drain list."),
    option("no-wait", None, "Return once the change is accepted."),
    option(
        "timeout-s",
        None,
        "Longest wait until idle; the drain itself continues.",
        flag=False,
        default=DEFAULT_TIMEOUT_S,
    ),
    option("note", None, "Reason; kept in the history.", flag=False, default=""),
    *ACCESS_OPTIONS,
]


def find_drain_list(document, path):
    """Return the drain list at a path of the configuration document."""
    section = document
    for name in path:
        section = section.get(name) or {}
    return list(section.get("drain") or [])


def build_drain_patch(path, names):
    """Return the merge patch that sets the drain list at a path."""
    patch = {"drain": names}
    for name in reversed(path):
        patch = {name: patch}
    return patch


async def change_drain(client, path, name, undo, note):
    """Add a name to a drain list, or remove it.

    Parameters
    ----------
    client : OperatorsClient
        An open client.
    path : tuple of str
        Keys that lead to the list, e.g. ``("hosts",)``.
    name : str
        Name of the host or endpoint.
    undo : bool
        Remove the name instead of adding it.
    note : str
        Kept in the configuration's history.

    Returns
    -------
    int
        Number of the configuration in which the list has the wanted content.

    Raises
    ------
    CommandError
        If other operators' changes conflicted MAX_PATCH_CONFLICTS times, or the patch
        was not accepted.
    """
    for _ in range(MAX_PATCH_CONFLICTS):
        config = await fetch_config(client)
        names = find_drain_list(config["document"], path)
        if (name in names) != undo:
            return config["number"]
        updated = [item for item in names if item != name]
        if not undo:
            updated.append(name)
        patch = build_drain_patch(path, updated)
        response = await send_patch(
            client, config["number"], patch, default_author(), note
        )
        if response.status == HTTP_CONFLICT:
            continue
        check_patch_response(response, config["number"])
        return response.body["number"]
    raise CommandError(
        f"other operators' changes conflicted {MAX_PATCH_CONFLICTS} times",
        "try again",
    )


def count_endpoint_requests(statuses, name):
    """Return the endpoint's own count of requests, and the hosts' in flight to it.

    The first is the largest count of running and waiting requests that any host has
    received from the endpoint, the second the sum over the hosts.
    """
    running = 0
    in_flight = 0
    for status in statuses:
        for endpoint in status.get("endpoints", []):
            if endpoint.get("name") != name:
                continue
            own = (endpoint.get("running") or 0) + (endpoint.get("waiting") or 0)
            running = max(running, own)
            in_flight += endpoint.get("in_flight") or 0
    return running, in_flight


def count_host_requests(statuses, name):
    """Return a host's requests in flight, and whether its own status is among these."""
    for status in statuses:
        if status.get("host") != name:
            continue
        in_flight = sum(
            endpoint.get("in_flight") or 0 for endpoint in status.get("endpoints", [])
        )
        return in_flight, True
    return 0, False


class _DrainCommand(OperatorsCommand):
    """Base class of the commands that drain a host and an endpoint."""

    async def run_with_client(self, client):
        """Change the drain list and wait until the host or endpoint is idle."""
        name = self.argument("name")
        timeout_s = _parse_timeout_s(self.option("timeout-s"))
        status = require_ok_body(unwrap(await client.call("GET", "/admin/status")))
        path = self.find_drain_path(status, name)
        undo = self.option("undo")
        number = await change_drain(client, path, name, undo, self.option("note"))
        if undo:
            self.print_line(f"{name} takes new work again from number {number} on")
            return
        self.print_line(f"{name} is draining from number {number} on")
        if self.option("no-wait"):
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_until_idle(client, name, number)
        except TimeoutError:
            raise CommandError(
                f"{name} still had work after {timeout_s:g} s",
                "the drain continues; run the command again to keep waiting",
            ) from None
        self.print_line(f"{name} is drained")

    async def _wait_until_idle(self, client, name, number):
        last_printed = None
        idle_polls = 0
        while idle_polls < IDLE_POLLS:
            await asyncio.sleep(POLL_INTERVAL_S)
            statuses = await fetch_statuses(client, self.access_settings().operators)
            if not statuses:
                continue
            work, is_idle = self.describe_work(statuses, name)
            outdated_hosts = [
                status["host"]
                for status in statuses
                if status.get("config_number", 0) < number
            ]
            if outdated_hosts:
                work += f", not yet adopted by {', '.join(outdated_hosts)}"
                is_idle = False
            if work != last_printed:
                self.print_line(f"  {work}")
                last_printed = work
            idle_polls = idle_polls + 1 if is_idle else 0

    def find_drain_path(self, status, name):
        """Return the path of the drain list for a name; subclasses implement it."""
        raise NotImplementedError

    def describe_work(self, statuses, name):
        """Return the remaining work as text, and whether there is none."""
        raise NotImplementedError


def _parse_timeout_s(text):
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if value > 0.0:
        return value
    raise InputError(f"--timeout-s is {text!r}", "write a number of seconds above 0")


def _unknown_name_error(kind, name, known):
    return InputError(f"no {kind} has the name {name!r}", f"use one of {sorted(known)}")


class DrainHost(_DrainCommand):
    """Drains an entry host, which callers are then no longer referred to."""

    name = "drain host"
    description = "Give an entry host no new work and wait until it has none left."
    arguments = [argument("name", "The host's name.")]
    options = DRAIN_OPTIONS

    def find_drain_path(self, status, name):
        """Return the path of the hosts' drain list, if the host exists."""
        known = [item["name"] for item in status.get("hosts", [])]
        if name not in known and name != status.get("host"):
            raise _unknown_name_error("host", name, known)
        return ("hosts",)

    def describe_work(self, statuses, name):
        """Return the host's state and its requests in flight as text."""
        in_flight, seen = count_host_requests(statuses, name)
        states = {
            item.get("state")
            for status in statuses
            for item in status.get("hosts", [])
            if item.get("name") == name
        }
        work = f"state {'/'.join(sorted(str(state) for state in states)) or 'gone'}"
        if not seen:
            # Only the host's own status lists its requests, so the drain can't be
            # followed here. Responses of /v1/entry omit the host as soon as the
            # configuration is in force, so that it gets no new callers.
            return f"{work}, its own requests are not seen from here", True
        return f"{work}, {in_flight} requests in flight", in_flight == 0


class DrainEndpoint(_DrainCommand):
    """Drains an engine or a plain service's replica."""

    name = "drain endpoint"
    description = "Give an endpoint no new work and wait until it has none left."
    arguments = [argument("name", "The endpoint's name.")]
    options = DRAIN_OPTIONS

    def find_drain_path(self, status, name):
        """Return the path of the drain list of the endpoint's deployment or service."""
        endpoints = status.get("endpoints", [])
        for endpoint in endpoints:
            if endpoint["name"] != name:
                continue
            kind = "services" if endpoint.get("kind") == "service" else "deployments"
            return (kind, endpoint["group"])
        raise _unknown_name_error(
            "endpoint", name, [item["name"] for item in endpoints]
        )

    def describe_work(self, statuses, name):
        """Return the endpoint's own count and the hosts' requests in flight as text."""
        running, in_flight = count_endpoint_requests(statuses, name)
        work = f"{running} running or waiting there, {in_flight} in flight from here"
        return work, running == 0 and in_flight == 0
