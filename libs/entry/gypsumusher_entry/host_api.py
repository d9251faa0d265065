"""HTTP paths for readiness, the directory of hosts, peer sync and metrics."""

import json

from gypsumusher_entry.errors import PAUSED
from gypsumusher_entry.peer_sync import PEER_SYNC_PATH
from gypsumusher_entry.sync_messages import SyncResponse, SyncResponseEncoder
from gypsumusher_platform import READY_PATH, RESOLVE_PATH, encode_host_list

__all__ = ["create_api_handler", "create_peer_handler"]

# Tunnels that one host keeps open for all others, if it has the sockets.
MAX_TUNNELS = 500
# Share of the process's sockets that they may take, with two each.
TUNNEL_SOCKETS_SHARE = 1 / 4

_JSON = ("Content-Type", "application/json")
_MSGPACK = ("Content-Type", "application/msgpack")


def create_api_handler(context):
    """Return the coroutine function that answers one request.

    Parameters
    ----------
    context : Context
        State to answer from.

    Returns
    -------
    callable
        ``handle(request, reply)``.
    """
    encoder = SyncResponseEncoder()

    def answer_ready(_):
        status = 200 if context.is_ready else 503
        return status, [_JSON], _encode_json({"ready": context.is_ready})

    def answer_hosts(_):
        if context.is_ready and not context.are_keys_confirmed():
            # Cut off, this host would name only itself, and refuse who comes.
            return 503, [_JSON], _encode_json({"error": "keys_unconfirmed"})
        addresses = [host.callers_address for host in context.active_hosts()]
        if not addresses:
            addresses = [context.settings.callers_address]
        addresses.sort(key=lambda _: context.draw_uniform())
        hosts = encode_host_list(addresses, context.directory_ttl_s())
        return 200, [_JSON], _encode_json(hosts)

    def answer_sync(query):
        from urllib.parse import parse_qs

        known = parse_qs(query)
        version = _parse_number(known, "version")
        revision = _parse_number(known, "revision")
        accepts_changes = "changes" in known
        response = _state_newer_than(context, version, revision, accepts_changes)
        return 200, [_MSGPACK], *encoder.encode_parts(response, "software" in known)

    def answer_metrics(_):
        body, headers = context.metrics.render()
        return 200, headers.items(), body

    answers = {
        READY_PATH: answer_ready,
        RESOLVE_PATH: answer_hosts,
        PEER_SYNC_PATH: answer_sync,
        "/metrics": answer_metrics,
    }

    async def handle(request, reply):
        path, _, query = request.target.partition("?")
        answer = answers.get(path)
        if answer is None:
            reply.send(404, [_JSON], _encode_json({"error": "no such path"}))
            return
        if request.method not in ("GET", "HEAD"):
            reply.send(405, [("Allow", "GET, HEAD")], b"")
            return
        reply.send(*answer(query))

    return handle


def create_peer_handler(context, handle, tunnel_relay):
    """Return the coroutine function that answers one request of another host.

    Parameters
    ----------
    context : Context
        Endpoints that tunnels may lead to.
    handle : callable
        Answers requests other than those for tunnels.
    tunnel_relay : TunnelRelay
        Opens the tunnels.

    Returns
    -------
    callable
        ``handle(request, reply)``.
    """

    max_sockets = TUNNEL_SOCKETS_SHARE * context.settings.max_descriptors
    max_tunnels = min(MAX_TUNNELS, int(max_sockets / 2))

    def refusal_reason(address):
        states = [
            state
            for state in context.endpoints.states.values()
            if state.record.address == address
        ]
        if context.is_draining:
            return "draining"
        if not any(state.is_usable for state in states):
            return "no_endpoint"
        if any(state.path.is_down for state in states):
            return "link_down"
        pause_left_s = context.endpoint_notices.pause_left_s
        if any(pause_left_s(state.record) for state in states):
            return PAUSED
        if tunnel_relay.tunnel_count >= max_tunnels:
            return "tunnels"
        return None

    async def handle_peer(request, reply):
        if request.method != "CONNECT":
            await handle(request, reply)
            return
        reason = refusal_reason(request.target)
        if reason is None:
            try:
                await tunnel_relay.forward(reply, request.target)
                return
            except (OSError, TimeoutError) as error:
                reason = repr(error)
        context.log("info", "tunnel_refused", address=request.target, reason=reason)
        reply.send(503, [_JSON], _encode_json({"error": reason}))

    return handle_peer


def _encode_json(value):
    return json.dumps(value).encode()


def _parse_number(known, name):
    """Return a number of the query, or -1 when it has none."""
    text = known.get(name, [""])[0]
    return int(text) if text.isascii() and text.isdigit() else -1


def _state_newer_than(context, version, revision, accepts_changes):
    """Return the state that a host at a given version and revision lacks.

    An incomplete list of endpoints is sent whatever the revision: entries that return
    to it don't change the revision.
    """
    endpoints = context.endpoints
    is_complete = not endpoints.is_in_grace_period(context.clock())
    stored = context.stored_configuration
    if context.configuration_version <= version:
        stored = None
    records = removed = None
    if endpoints.revision > revision or not is_complete:
        changes = endpoints.changes_since(revision) if is_complete else None
        if changes is not None and accepts_changes:
            records, removed = map(tuple, changes)
        else:
            records = tuple(endpoints.listed_records())
    return SyncResponse(stored, records, endpoints.revision, is_complete, removed)
