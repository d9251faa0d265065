"""The read-only commands status, explain and key."""

import json

from cleo.helpers import argument
from returns.result import Success

from gypsumusher_cli.command_base import (
    ACCESS_OPTIONS,
    JSON_OPTION,
    OperatorsCommand,
    fetch_statuses,
    quote_path_segment,
    require_ok_body,
    unwrap,
)
from gypsumusher_cli.errors import CommandError
from gypsumusher_cli.load_report import align_columns

HTTP_NOT_FOUND = 404

# Explanations of an idempotency key's outcomes; the request is "it".
KEY_MEANINGS = {
    "not_run": "it did not run and will not; send the request with a new key",
    "running": "it runs now; its caller may send it again with the same key",
    "done": "it ran once and its response is known",
    "unknown": "it may have run; check your own records before you repeat it",
}


def merge_steward_leases(statuses):
    """Return the steward leases of all given statuses, by deployment.

    The steward of a deployment is the host that holds its lease. Each host lists only
    the leases that it holds itself, so that the lists of all hosts have to be merged.
    """
    stewards = []
    for status in statuses:
        stewards.extend(status.get("stewards", []))
    return sorted(stewards, key=lambda item: str(item.get("deployment")))


def mark_drained_hosts(status, drained):
    """Return a status in which drained live hosts have the state "live, drained"."""
    hosts = []
    for host in status.get("hosts", []):
        if host.get("name") in drained and host.get("state") == "live":
            host = {**host, "state": "live, drained"}
        hosts.append(host)
    return {**status, "hosts": hosts}


def format_status(status):
    """Return a host's status as text: a table each of hosts, endpoints and stewards.

    Parameters
    ----------
    status : dict
        The response of ``GET /admin/status``.

    Returns
    -------
    str
        Lines without a trailing line end.
    """
    platform = status.get("platform", {})
    blocks = [
        f"host {status.get('host')} is {status.get('state')}, configuration number "
        f"{status.get('config_number')}, platform {platform.get('state')}",
        _format_table(
            status.get("hosts", []),
            ("name", "zone", "state", "config_number", "incarnation"),
            "hosts",
        ),
        _format_table(
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
        _format_table(
            status.get("stewards", []),
            ("deployment", "holder", "term", "unfinished", "waiting_for"),
            "stewards among the asked hosts",
        ),
    ]
    # Fingerprints of the requests that are refused because they crashed engines.
    convictions = status.get("convictions", [])
    if convictions:
        blocks.append("refused for crashing engines: " + ", ".join(convictions))
    return "\n\n".join(blocks)


def _format_table(items, fields, title):
    if not items:
        return f"{title}: none known"
    rows = [fields]
    for item in items:
        rows.append(tuple(_format_cell(item.get(field)) for field in fields))
    return "\n".join(align_columns(rows))


def _format_cell(value):
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, list):
        return ", ".join(str(item) for item in value) or "-"
    return str(value)


class Status(OperatorsCommand):
    """Shows hosts, endpoints, roles and stewards from one host's status."""

    name = "status"
    description = "Show hosts, endpoints, roles, stewards and versions in force."
    options = [JSON_OPTION, *ACCESS_OPTIONS]

    async def run_with_client(self, client):
        """Fetch and print the status, with the stewards of all known hosts."""
        status = require_ok_body(unwrap(await client.call("GET", "/admin/status")))
        config = require_ok_body(unwrap(await client.call("GET", "/admin/config")))
        statuses = await fetch_statuses(client, self.access_settings().operators)
        status = {**status, "stewards": merge_steward_leases(statuses)}
        drained = (config["document"].get("hosts") or {}).get("drain") or ()
        status = mark_drained_hosts(status, drained)
        if self.option("json"):
            self.print_line(json.dumps(status, indent=2))
            return
        self.print_line(format_status(status))


async def query_hosts(client, addresses, path):
    """Return the body of the first host that doesn't respond 404; None if all do.

    Raises
    ------
    CommandError
        If no host responded, or one responded with another error.
    """
    last = None
    answered = False
    for address in addresses:
        result = await client.call_host(address, "GET", path)
        last = result
        if not isinstance(result, Success):
            continue
        answered = True
        response = unwrap(result)
        if response.status == HTTP_NOT_FOUND:
            continue
        return require_ok_body(response)
    if not answered:
        unwrap(last)
    return None


class Explain(OperatorsCommand):
    """Shows how one request was placed or why it was refused."""

    name = "explain"
    description = "Show how a request was placed, or why it was refused."
    arguments = [argument("request-id", "From the header Gypsumusher-Request-Id.")]
    options = [JSON_OPTION, *ACCESS_OPTIONS]

    async def run_with_client(self, client):
        """Query the hosts for the request's events and print them."""
        request_id = self.argument("request-id")
        path = f"/admin/explain/{quote_path_segment(request_id)}"
        explanation = await query_hosts(client, self.access_settings().operators, path)
        if explanation is None:
            raise CommandError(
                f"none of the given hosts has events of request {request_id}",
                "give the host in the response's Gypsumusher-Host header",
            )
        if self.option("json"):
            self.print_line(json.dumps(explanation, indent=2))
            return
        self.print_line(format_request_events(explanation))


def format_request_events(explanation):
    """Return a request's events as lines, with times relative to the first event."""
    events = explanation.get("events", [])
    lines = [f"request {explanation.get('request_id')}"]
    start_s = events[0].get("at_s", 0.0) if events else 0.0
    for event in events:
        details = [
            f"{name}={_format_detail(value)}"
            for name, value in event.items()
            if name not in ("at_s", "event")
        ]
        after_s = event.get("at_s", start_s) - start_s
        words = [f"  +{after_s:.3f} s", str(event.get("event")), *details]
        lines.append(" ".join(words))
    return "\n".join(lines)


def _format_detail(value):
    return value if isinstance(value, str) else json.dumps(value)


class Key(OperatorsCommand):
    """Shows whether a non-idempotent request ran."""

    name = "key"
    description = "Show whether the request of an idempotency key ran."
    arguments = [argument("key", "The idempotency key.")]
    options = [JSON_OPTION, *ACCESS_OPTIONS]

    async def run_with_client(self, client):
        """Fetch and print the outcome of the key's request."""
        key = self.argument("key")
        response = unwrap(
            await client.call("GET", f"/admin/keys/{quote_path_segment(key)}")
        )
        body = require_ok_body(response)
        if self.option("json"):
            self.print_line(json.dumps(body, indent=2))
            return
        outcome = body.get("outcome")
        self.print_line(
            f"{key}: {outcome}: {KEY_MEANINGS.get(outcome, 'see the detail')}"
        )
        if body.get("detail"):
            self.print_line(f"  {body['detail']}")
