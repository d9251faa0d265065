"""What is answered in one piece: readiness, hosts to use, beliefs, metrics."""

import json

from gypsumusher_entry.peer_sync import PEER_SYNC_PATH
from gypsumusher_entry.sync_messages import SyncResponse, SyncResponseEncoder
from gypsumusher_platform import READY_PATH, RESOLVE_PATH, encode_host_list

__all__ = ["create_api_handler"]

_JSON = ("Content-Type", "application/json")
_MSGPACK = ("Content-Type", "application/msgpack")


def create_api_handler(context):
    """Return the coroutine that answers one request.

    Parameters
    ----------
    context : Context
        What is answered from.

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
        addresses = [news.callers_address for news in context.active_hosts()]
        if not addresses:
            addresses = [context.settings.callers_address]
        addresses.sort(key=lambda _: context.draw())
        hosts = encode_host_list(addresses, context.directory_ttl_s())
        return 200, [_JSON], _encode_json(hosts)

    def answer_beliefs(query):
        from urllib.parse import parse_qs

        known = parse_qs(query)
        version = _known_number(known, "version")
        revision = _known_number(known, "revision")
        takes_changes = "changes" in known
        beliefs = _beliefs_beyond(context, version, revision, takes_changes)
        body = encoder.encode(beliefs)
        return 200, [_MSGPACK], body

    def answer_metrics(_):
        body, headers = context.metrics.render()
        return 200, headers.items(), body

    answers = {
        READY_PATH: answer_ready,
        RESOLVE_PATH: answer_hosts,
        PEER_SYNC_PATH: answer_beliefs,
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


def _encode_json(value):
    return json.dumps(value).encode()


def _known_number(known, name):
    """Return a number that the asking host gives, -1 when it gives none."""
    text = known.get(name, [""])[0]
    return int(text) if text.isascii() and text.isdigit() else -1


def _beliefs_beyond(context, version, revision, takes_changes):
    """Return what a host lacks that knows a version and a revision.

    A list that is not whole is told again whatever the revision: what it lacks comes
    without a new one.
    """
    endpoints = context.endpoints
    is_whole = not endpoints.is_in_grace_period(context.clock())
    stored = context.configuration_source
    if context.configuration_version <= version:
        stored = None
    records = removed = None
    if endpoints.revision > revision or not is_whole:
        changes = endpoints.changes_since(revision) if is_whole else None
        if changes is not None and takes_changes:
            records, removed = map(tuple, changes)
        else:
            records = tuple(endpoints.listed_records())
    return SyncResponse(stored, records, endpoints.revision, is_whole, removed)
