"""The operators' HTTP routes: configuration, status, explanations, keys."""

import hmac
import json

from sanic import Sanic
from sanic.exceptions import SanicException
from sanic.response import raw

from gypsumusher_coordination import (
    PatchAccepted,
    PatchInvalid,
    PatchOutdated,
    PatchUnavailable,
    check_document,
    merge_patch,
)
from gypsumusher_daemon.host_views import explain as explain_request
from gypsumusher_daemon.host_views import status as host_status

__all__ = ["create_operators_app"]

JSON = "application/json"
PATCH_FIELDS = {
    "base_number": int,
    "patch": dict,
    "patch_id": str,
    "author": str,
    "note": str,
}
TEXT_CHARS_MAX = 1024
# A document has at most a megabyte on the platform; a patch may repeat it.
BODY_BYTES_MAX = 2 * 1_048_576


def create_operators_app(host):
    """Return the sanic app of the operators' listener.

    Parameters
    ----------
    host : EntryHost
        Knows the answers.
    """
    app = Sanic(f"operators-{host.incarnation}", configure_logging=False)
    app.config.update(
        {"ACCESS_LOG": False, "REQUEST_MAX_SIZE": BODY_BYTES_MAX, "TOUCHUP": False}
    )

    async def check_token(request):
        expected = f"Bearer {host.settings['operators.token']}".encode()
        given = request.headers.get("authorization", "").encode()
        # Compared in constant time: the time of a plain comparison tells how much
        # of the token was right.
        if not hmac.compare_digest(given, expected):
            return _error(401, "unauthorized", "give the operators' token")
        return None

    async def show_config(request):
        number = request.args.get("number")
        if number is not None and number != str(host.number):
            message = f"version {number} is not in force; {host.number} is"
            return _error(404, "not_in_force", message)
        return _json({"number": host.number, "document": host.document or {}})

    async def patch_config(request):
        body = _read_patch(request)
        if isinstance(body, str):
            return _error(400, "malformed", body)
        outcome = await host.configuration.patch(**body)
        return _patch_answer(outcome)

    async def validate_config(request):
        body = _read_object(request)
        document = body.get("document")
        if document is None and isinstance(body.get("patch"), dict):
            document = merge_patch(host.document or {}, body["patch"])
        if not isinstance(document, dict):
            return _error(400, "malformed", "give a document or a patch, an object")
        return _json({"problems": _problems(check_document(document))})

    async def history(request):
        head = host.configuration.replica.head or {"number": 0, "patches": []}
        return _json({"number": head["number"], "patches": head["patches"]})

    async def status(request):
        return _json(host_status(host))

    async def explain(request, request_id):
        events = explain_request(host, request_id)
        if events is None:
            message = "this host has no record of it; ask the host that served it"
            return _error(404, "unknown_request", message)
        return _json({"request_id": request_id, "events": events})

    async def find_key(request, key):
        return _json(await host.flows.key_outcome(key))

    async def confirm_dead(request, deployment):
        body = _read_object(request)
        term = body.get("term")
        if not isinstance(term, int):
            return _error(400, "malformed", "term must be the dead holder's number")
        return _json({"confirmed": host.stewards.confirm_dead(deployment, term)})

    app.register_middleware(check_token, "request")
    app.add_route(show_config, "/admin/config")
    app.add_route(patch_config, "/admin/config/patch", methods=["POST"])
    app.add_route(validate_config, "/admin/config/validate", methods=["POST"])
    app.add_route(history, "/admin/config/history")
    app.add_route(status, "/admin/status")
    app.add_route(explain, "/admin/explain/<request_id:str>")
    app.add_route(find_key, "/admin/keys/<key:str>")
    app.add_route(
        confirm_dead, "/admin/stewards/<deployment:str>/dead", methods=["POST"]
    )
    app.error_handler.add(SanicException, _on_http_error)
    app.error_handler.add(Exception, lambda request, error: _on_fault(host, error))
    return app


def _on_http_error(request, error):
    """Answer what the HTTP library itself refuses."""
    return _error(getattr(error, "status_code", 500), "malformed", str(error)[:200])


def _on_fault(host, error):
    """Answer a fault of ours without its traceback."""
    host.log("error", "handler_failed", error=repr(error))
    return _error(500, "internal", "internal error; see the host's log")


def _json(body, status=200):
    """Return a JSON answer."""
    return raw(json.dumps(body).encode(), status=status, content_type=JSON)


def _error(status, code, message):
    """Return an error answer."""
    return _json({"error": {"code": code, "message": message}}, status)


def _problems(problems):
    """Return problems in the form of the answer."""
    return [problem._asdict() for problem in problems]


def _read_object(request):
    """Return the body as an object; an empty one when it is none."""
    try:
        body = json.loads(request.body)
    except (ValueError, RecursionError):
        return {}
    return body if isinstance(body, dict) else {}


def _read_patch(request):
    """Return the checked fields of a patch, or what is wrong with them."""
    body = _read_object(request)
    fields = {}
    for name, kind in PATCH_FIELDS.items():
        value = body.get(name, "" if name in ("author", "note") else None)
        if isinstance(value, bool) or not isinstance(value, kind):
            return f"{name} must be of type {kind.__name__}, got {value!r:.80}"
        if kind is str and len(value) > TEXT_CHARS_MAX:
            return f"{name} must have at most {TEXT_CHARS_MAX} characters"
        fields[name] = value
    if not fields["patch_id"]:
        return "patch_id must not be empty: it settles a lost answer"
    return fields


def _patch_answer(outcome):
    """Return the HTTP answer for how a patch ended."""
    if isinstance(outcome, PatchAccepted):
        return _json({"number": outcome.number, "changed": list(outcome.changed)})
    if isinstance(outcome, PatchOutdated):
        message = (
            f"version {outcome.number} is in force; look at what changed and send the "
            "patch against it"
        )
        body = {
            "error": {"code": "outdated", "message": message},
            "number": outcome.number,
            "changed_since": list(outcome.changed_since),
        }
        return _json(body, 409)
    if isinstance(outcome, PatchInvalid):
        body = {
            "error": {"code": "invalid", "message": "the patched document is invalid"},
            "problems": _problems(outcome.problems),
        }
        return _json(body, 422)
    if isinstance(outcome, PatchUnavailable):
        message = "the platform can't be reached; the patch had and has no effect"
        return _error(503, "unavailable", message)
    message = (
        "the platform gave no answer; send the same patch_id again to learn whether "
        "the patch was accepted"
    )
    return _error(503, "unknown_outcome", message)
