"""Read-only views of a host: entry hosts, models, status and request history."""

import time

from gypsumusher_daemon.cell_members import cell_of
from gypsumusher_daemon.peer_network import LEAVING, LIVE
from gypsumusher_daemon.readiness import STOPPED
from gypsumusher_policy import choose_cell, choose_entry_hosts

__all__ = ["entry_answer", "explain", "models_answer", "status"]

# Size of the cell from which callers that name no deployment get their hosts.
ENTRY_CELL_HOSTS = 8


def entry_answer(host, arguments):
    """Return the answer of ``/v1/entry``: the hosts that a caller should use."""
    hosts = _entry_hosts(host)
    deployment = arguments.get("deployment") or ""
    cell = cell_of(host.document or {}, hosts, deployment)
    if not cell:
        cell = choose_cell(hosts, deployment, ENTRY_CELL_HOSTS)
    zone = arguments.get("zone") or host.zone
    count = host.settings["callers.entry_count"]
    chosen = []
    for name in choose_entry_hosts(hosts, cell, zone, count):
        record = host.directory.records[name]
        chosen.append({"name": name, "address": record.callers, "zone": record.zone})
    return {"hosts": chosen, "max_age_s": host.settings["callers.entry_max_age_s"]}


def _entry_hosts(host):
    """Return (name, zone) of the live hosts that are not drained."""
    drained = (host.document or {}).get("hosts", {}).get("drain", ())
    hosts = []
    for name, zone in host.peer_network.live_hosts():
        if name in drained:
            continue
        if name == host.name and host.state != LIVE:
            continue
        hosts.append((name, zone))
    return hosts


def models_answer(host):
    """Return the deployments as an OpenAI-style list of models."""
    created = int(time.time())
    data = []
    for name in sorted((host.document or {}).get("deployments", {})):
        data.append(
            {
                "id": name,
                "object": "model",
                "created": created,
                "owned_by": "gypsumusher",
            }
        )
    return {"object": "list", "data": data}


def explain(host, request_id):
    """Return a request's events and scheduler decisions in order, or None."""
    events = host.history.find(request_id)
    if events is None:
        return None
    decisions = []
    for scheduler in host.dispatcher.schedulers.values():
        decisions.extend(scheduler.explain(request_id))
    return sorted([*events, *decisions], key=lambda event: event.get("at_s", 0.0))


def status(host):
    """Return this host's view of hosts, endpoints and leases, for operators."""
    hosts = []
    for name, record in sorted(host.directory.records.items()):
        own = name == host.name
        hosts.append(
            {
                "name": name,
                "zone": record.zone,
                "incarnation": record.incarnation,
                "state": _displayed_state(host)
                if own
                else host.peer_network.state(name),
                "config_number": host.config_number
                if own
                else host.peer_network.config_numbers.get(name, 0),
            }
        )
    return {
        "host": host.name,
        "state": _displayed_state(host),
        "config_number": host.config_number,
        "platform": {
            "state": "up" if host.client.is_up() else "down",
            "calls": dict(host.client.calls),
        },
        "hosts": hosts,
        "endpoints": _endpoint_rows(host),
        "stewards": host.stewards.rows(),
        "convictions": sorted(host.quarantine.convictions),
    }


def _displayed_state(host):
    """Return this host's state, with stopped shown as leaving."""
    return LEAVING if host.state == STOPPED else host.state


def _endpoint_rows(host):
    """Return one row per endpoint for the status answer."""
    loads = {}
    for scheduler in host.dispatcher.schedulers.values():
        loads.update(scheduler.own_load())
    rows = []
    for name, entry in sorted(host.endpoints.entries.items()):
        report = host.endpoints.reports.get(name)
        if host.endpoints.is_leaving(entry):
            state = LEAVING
        elif host.endpoints.is_silent(name):
            state = "silent"
        else:
            state = LIVE
        rows.append(
            {
                "name": name,
                "kind": entry.kind,
                "group": entry.group,
                "zone": entry.zone,
                "role": host.endpoints.roles.get(name),
                "state": state,
                "running": report.running if report else None,
                "waiting": report.waiting if report else None,
                "report_age_s": report.age_s if report else None,
                "in_flight": loads.get(name, (0, 0))[0],
            }
        )
    return rows
