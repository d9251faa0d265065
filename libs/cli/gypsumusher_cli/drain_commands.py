"""The commands that drain a host or an endpoint and show it finish."""

import asyncio

from cleo.helpers import argument, option

from gypsumusher_cli.command_base import (
    ACCESS_OPTIONS,
    OperatorsCommand,
    read_statuses,
    require_ok_body,
    unwrap,
)
from gypsumusher_cli.config_commands import (
    HTTP_CONFLICT,
    check_patch_answer,
    default_author,
    read_config,
    send_patch,
)
from gypsumusher_cli.errors import CommandError, InputError

POLL_S = 0.5
DEFAULT_TIMEOUT_S = "600"
# Adding a name to a list conflicts with nobody's meaning, so that a race with other
# operators is settled by reading again, a few times.
RACE_TRIES = 5
# A request may be on its way to the endpoint in the instant of the first idle sight.
IDLE_SIGHTS = 2

DRAIN_OPTIONS = [
    option("undo", None, "Take the name off the list again."),
    option("no-wait", None, "Return once the change is accepted."),
    option(
        "timeout-s",
        None,
        "Longest wait for the end; the drain itself goes on.",
        flag=False,
        default=DEFAULT_TIMEOUT_S,
    ),
    option("note", None, "Why; kept in the history.", flag=False, default=""),
    *ACCESS_OPTIONS,
]


def drain_list(document, path):
    """Return the list of draining names at a path of the document."""
    part = document
    for name in path:
        part = part.get(name) or {}
    return list(part.get("drain") or [])


def drain_patch(path, names):
    """Return the merge patch that sets the list of draining names at a path."""
    patch = {"drain": names}
    for name in reversed(path):
        patch = {name: patch}
    return patch


async def change_drain(client, path, name, undo, note):
    """Put a name on a list of draining names, or take it off.

    Parameters
    ----------
    client : OperatorsClient
        Where to.
    path : tuple of str
        Where the list stands, e.g. ``("hosts",)``.
    name : str
        The host or endpoint.
    undo : bool
        Take it off.
    note : str
        For the history.

    Returns
    -------
    int
        The number of the configuration in which the list is as wished.
    """
    for _ in range(RACE_TRIES):
        config = await read_config(client)
        names = drain_list(config["document"], path)
        if (name in names) != undo:
            return config["number"]
        wished = [item for item in names if item != name]
        if not undo:
            wished.append(name)
        patch = drain_patch(path, wished)
        answer = await send_patch(
            client, config["number"], patch, default_author(), note
        )
        if answer.status == HTTP_CONFLICT:
            continue
        check_patch_answer(answer, config["number"])
        return answer.body["number"]
    raise CommandError(
        f"others changed the configuration {RACE_TRIES} times meanwhile", "try again"
    )


def endpoint_work(statuses, name):
    """Return what an endpoint still does: its own count, and ours in flight."""
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


def host_work(statuses, name):
    """Return what a host still does, and whether its own status was seen."""
    for status in statuses:
        if status.get("host") != name:
            continue
        in_flight = sum(
            endpoint.get("in_flight") or 0 for endpoint in status.get("endpoints", [])
        )
        return in_flight, True
    return 0, False


class _DrainCommand(OperatorsCommand):
    """What draining a host and draining an endpoint have in common."""

    async def operate_with(self, client):
        """Change the configuration and wait for the work to end."""
        name = self.argument("name")
        timeout_s = _seconds(self.option("timeout-s"))
        status = require_ok_body(unwrap(await client.call("GET", "/admin/status")))
        path = self.find_path(status, name)
        undo = self.option("undo")
        number = await change_drain(client, path, name, undo, self.option("note"))
        if undo:
            self.say(f"{name} takes new work again from number {number} on")
            return
        self.say(f"{name} is draining from number {number} on")
        if self.option("no-wait"):
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait(client, name, number)
        except TimeoutError:
            raise CommandError(
                f"{name} still had work after {timeout_s:g} s",
                "the drain goes on; call this again to go on watching",
            ) from None
        self.say(f"{name} is drained")

    async def _wait(self, client, name, number):
        shown = None
        sights = 0
        while sights < IDLE_SIGHTS:
            await asyncio.sleep(POLL_S)
            statuses = await read_statuses(client, self.access().operators)
            if not statuses:
                continue
            words, is_idle = self.describe(statuses, name)
            behind = [
                status["host"]
                for status in statuses
                if status.get("config_number", 0) < number
            ]
            if behind:
                words += f", not yet adopted by {', '.join(behind)}"
                is_idle = False
            if words != shown:
                self.say(f"  {words}")
                shown = words
            sights = sights + 1 if is_idle else 0

    def find_path(self, status, name):
        """Return where the list that the name belongs on stands."""
        raise NotImplementedError

    def describe(self, statuses, name):
        """Return what is left to do in words, and whether that is nothing."""
        raise NotImplementedError


def _seconds(text):
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if value > 0.0:
        return value
    raise InputError(f"--timeout-s is {text!r}", "write a number of seconds above 0")


def _unknown(kind, name, known):
    return InputError(f"no {kind} is called {name!r}", f"use one of {sorted(known)}")


class DrainHost(_DrainCommand):
    """Drains an entry host, which then gets no new callers."""

    name = "drain host"
    description = "Give an entry host no new work and wait until it has none left."
    arguments = [argument("name", "The host's name.")]
    options = DRAIN_OPTIONS

    def find_path(self, status, name):
        """Return the path of the hosts' list, if there is such a host."""
        known = [item["name"] for item in status.get("hosts", [])]
        if name not in known and name != status.get("host"):
            raise _unknown("host", name, known)
        return ("hosts",)

    def describe(self, statuses, name):
        """Tell the host's state and its requests in flight."""
        in_flight, seen = host_work(statuses, name)
        states = {
            item.get("state")
            for status in statuses
            for item in status.get("hosts", [])
            if item.get("name") == name
        }
        words = f"state {'/'.join(sorted(str(state) for state in states)) or 'gone'}"
        if not seen:
            # Only the host itself knows what it still serves; the entry answers leave
            # it out as soon as the configuration is in force.
            return f"{words}, its own requests are not seen from here", True
        return f"{words}, {in_flight} requests in flight", in_flight == 0


class DrainEndpoint(_DrainCommand):
    """Drains an engine or a plain service's replica."""

    name = "drain endpoint"
    description = "Give an endpoint no new work and wait until it has none left."
    arguments = [argument("name", "The endpoint's name.")]
    options = DRAIN_OPTIONS

    def find_path(self, status, name):
        """Return the path of its deployment's or service's list."""
        endpoints = status.get("endpoints", [])
        for endpoint in endpoints:
            if endpoint["name"] != name:
                continue
            kind = "services" if endpoint.get("kind") == "service" else "deployments"
            return (kind, endpoint["group"])
        raise _unknown("endpoint", name, [item["name"] for item in endpoints])

    def describe(self, statuses, name):
        """Tell the endpoint's own count and what the asked hosts have in flight."""
        running, in_flight = endpoint_work(statuses, name)
        words = f"{running} running or waiting there, {in_flight} in flight from here"
        return words, running == 0 and in_flight == 0
