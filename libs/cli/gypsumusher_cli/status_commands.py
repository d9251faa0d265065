"""The commands that look: status, and the story of one request or key."""

import json

from cleo.helpers import argument
from returns.result import Success

from gypsumusher_cli.command_base import (
    ACCESS_OPTIONS,
    JSON_OPTION,
    OperatorsCommand,
    quoted,
    read_statuses,
    require_ok_body,
    unwrap,
)
from gypsumusher_cli.errors import CommandError
from gypsumusher_cli.load_report import align

HTTP_NOT_FOUND = 404

KEY_MEANINGS = {
    "not_run": "it did not run and will not; ask again with a new key",
    "running": "it runs now; its caller may ask again with the same key",
    "done": "it ran once and its answer is known",
    "unknown": "it may have run; look in your own records before you repeat it",
}


def merge_stewards(statuses):
    """Return the leases that the asked hosts hold; each host tells its own only."""
    stewards = []
    for status in statuses:
        stewards.extend(status.get("stewards", []))
    return sorted(stewards, key=lambda item: str(item.get("deployment")))


def mark_drained(status, drained):
    """Return a status in which live hosts that get no new callers say so."""
    hosts = []
    for host in status.get("hosts", []):
        if host.get("name") in drained and host.get("state") == "live":
            host = {**host, "state": "live, drained"}
        hosts.append(host)
    return {**status, "hosts": hosts}


def format_status(status):
    """Return a host's status as text: one block a kind of thing.

    Parameters
    ----------
    status : dict
        What ``GET /admin/status`` answered.

    Returns
    -------
    str
        Lines without a last line end.
    """
    platform = status.get("platform", {})
    blocks = [
        f"host {status.get('host')} is {status.get('state')}, configuration number "
        f"{status.get('config_number')}, platform {platform.get('state')}",
        _table(
            status.get("hosts", []),
            ("name", "zone", "state", "config_number", "incarnation"),
            "hosts",
        ),
        _table(
            status.get("endpoints", []),
            (
                "name",
                "kind",
                "group",
                "zone",
                "role",
                "state",
                "running",
                "waiting",
                "in_flight",
                "report_age_s",
            ),
            "endpoints",
        ),
        _table(
            status.get("stewards", []),
            ("deployment", "holder", "term", "unfinished", "waiting_for"),
            "stewards among the asked hosts",
        ),
    ]
    convictions = status.get("convictions", [])
    if convictions:
        blocks.append("refused for crashing engines: " + ", ".join(convictions))
    return "\n\n".join(blocks)


def _table(items, fields, title):
    if not items:
        return f"{title}: none known"
    rows = [fields]
    for item in items:
        rows.append(tuple(_cell(item.get(field)) for field in fields))
    return "\n".join(align(rows))


def _cell(value):
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, list):
        return ", ".join(str(item) for item in value) or "-"
    return str(value)


class Status(OperatorsCommand):
    """Shows hosts, endpoints, roles and stewards as one host sees them."""

    name = "status"
    description = "Show hosts, endpoints, roles, stewards and versions in force."
    options = [JSON_OPTION, *ACCESS_OPTIONS]

    async def operate_with(self, client):
        """Read and print the status, with the stewards of all asked hosts."""
        status = require_ok_body(unwrap(await client.call("GET", "/admin/status")))
        config = require_ok_body(unwrap(await client.call("GET", "/admin/config")))
        statuses = await read_statuses(client, self.access().operators)
        status = {**status, "stewards": merge_stewards(statuses)}
        drained = (config["document"].get("hosts") or {}).get("drain") or ()
        status = mark_drained(status, drained)
        if self.option("json"):
            self.say(json.dumps(status, indent=2))
            return
        self.say(format_status(status))


async def ask_each_host(client, addresses, path):
    """Return the first answer of 200 of several hosts, or None when none knows.

    Raises
    ------
    CommandError
        If no host answered at all.
    """
    last = None
    answered = False
    for address in addresses:
        result = await client.call_at(address, "GET", path)
        last = result
        if not isinstance(result, Success):
            continue
        answered = True
        answer = unwrap(result)
        if answer.status == HTTP_NOT_FOUND:
            continue
        return require_ok_body(answer)
    if not answered:
        unwrap(last)
    return None


class Explain(OperatorsCommand):
    """Tells how one request was placed or why it was refused."""

    name = "explain"
    description = "Tell how a request was placed, or why it was refused."
    arguments = [argument("request-id", "As Gypsumusher-Request-Id gave it.")]
    options = [JSON_OPTION, *ACCESS_OPTIONS]

    async def operate_with(self, client):
        """Ask each known host for the request's events."""
        request_id = self.argument("request-id")
        path = f"/admin/explain/{quoted(request_id)}"
        story = await ask_each_host(client, self.access().operators, path)
        if story is None:
            raise CommandError(
                f"no asked host remembers request {request_id}",
                "ask the host that the answer's Gypsumusher-Host header named",
            )
        if self.option("json"):
            self.say(json.dumps(story, indent=2))
            return
        self.say(format_story(story))


def format_story(story):
    """Return a request's events as lines, timed from the first one."""
    events = story.get("events", [])
    lines = [f"request {story.get('request_id')}"]
    start_s = events[0].get("at_s", 0.0) if events else 0.0
    for event in events:
        details = [
            f"{name}={_detail(value)}"
            for name, value in event.items()
            if name not in ("at_s", "event")
        ]
        after_s = event.get("at_s", start_s) - start_s
        words = [f"  +{after_s:.3f} s", str(event.get("event")), *details]
        lines.append(" ".join(words))
    return "\n".join(lines)


def _detail(value):
    return value if isinstance(value, str) else json.dumps(value)


class Key(OperatorsCommand):
    """Tells what became of a non-idempotent request."""

    name = "key"
    description = "Tell whether the request of an idempotency key ran."
    arguments = [argument("key", "The idempotency key.")]
    options = [JSON_OPTION, *ACCESS_OPTIONS]

    async def operate_with(self, client):
        """Ask for the key's outcome."""
        key = self.argument("key")
        answer = unwrap(await client.call("GET", f"/admin/keys/{quoted(key)}"))
        body = require_ok_body(answer)
        if self.option("json"):
            self.say(json.dumps(body, indent=2))
            return
        outcome = body.get("outcome")
        self.say(f"{key}: {outcome}: {KEY_MEANINGS.get(outcome, 'see the detail')}")
        if body.get("detail"):
            self.say(f"  {body['detail']}")
