"""HTTP routes for operators: configuration, status, request history and keys."""

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
# Longest patch id, author or note.
TEXT_CHARS_MAX = 1024
# A stored document has at most 1 MiB; a patch may contain all of it.
BODY_BYTES_MAX = 2 * 1_048_576


def create_operators_app(host):
    """Return the sanic app of the operators' listener.

    Parameters
    ----------
    host : EntryHost
        The host that is shown and controlled.
    """
    app = Sanic(f"operators-{host.incarnation}", configure_logging=False)
    app.config.update(
        {"ACCESS_LOG": False, "REQUEST_MAX_SIZE": BODY_BYTES_MAX, "TOUCHUP": False}
    )

    async def check_token(request):
        expected = f"Bearer {host.settings['operators.token']}".encode()
        given = request.headers.get("authorization", "").encode()
        # Compared in constant time: the duration of a plain comparison would reveal
        # how many characters of the token are correct.
        if not hmac.compare_digest(given, expected):
            return _error_response(401, "unauthorized", "give the operators' token")
        return None

    async def show_config(request):
        number = request.args.get("number")
        if number is not None and number != str(host.config_number):
            message = f"version {number} is not in force; {host.config_number} is"
            return _error_response(404, "not_in_force", message)
        return _json_response(
            {"number": host.config_number, "document": host.document or {}}
        )

    async def patch_config(request):
        body = _read_patch(request)
        if isinstance(body, str):
            return _error_response(400, "malformed", body)
        outcome = await host.configuration.patch(**body)
        return _patch_response(outcome)

    async def validate_config(request):
        body = _read_object(request)
        document = body.get("document")
        if document is None and isinstance(body.get("patch"), dict):
            document = merge_patch(host.document or {}, body["patch"])
        if not isinstance(document, dict):
            return _error_response(
                400, "malformed", "give a document or a patch, an object"
            )
        return _json_response({"problems": _problem_dicts(check_document(document))})

    async def history(request):
        head = host.configuration.replica.head or {"number": 0, "patches": []}
        return _json_response({"number": head["number"], "patches": head["patches"]})

    async def status(request):
        return _json_response(host_status(host))

    async def explain(request, request_id):
        events = explain_request(host, request_id)
        if events is None:
            message = "this host has no record of it; ask the host that served it"
            return _error_response(404, "unknown_request", message)
        return _json_response({"request_id": request_id, "events": events})

    async def find_key(request, key):
        return _json_response(await host.request_runner.key_outcome(key))

    async def confirm_dead(request, deployment):
        body = _read_object(request)
        term = body.get("term")
        if not isinstance(term, int):
            return _error_response(
                400, "malformed", "term must be the dead holder's number"
            )
        return _json_response(
            {"confirmed": host.stewards.confirm_dead(deployment, term)}
        )

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
    app.error_handler.add(
        Exception, lambda request, error: _on_unhandled_error(host, error)
    )
    return app


def _on_http_error(request, error):
    """Return the error answer for a request that the HTTP library rejected."""
    return _error_response(
        getattr(error, "status_code", 500), "malformed", str(error)[:200]
    )


def _on_unhandled_error(host, error):
    """Log an unhandled exception and answer without its traceback."""
    host.log("error", "handler_failed", error=repr(error))
    return _error_response(500, "internal", "internal error; see the host's log")


def _json_response(body, status=200):
    """Return a JSON response."""
    return raw(json.dumps(body).encode(), status=status, content_type=JSON)


def _error_response(status, code, message):
    """Return a JSON error response."""
    return _json_response({"error": {"code": code, "message": message}}, status)


def _problem_dicts(problems):
    """Return validation problems as dicts for a JSON answer."""
    return [problem._asdict() for problem in problems]


def _read_object(request):
    """Return the body as a dict; an empty one unless it is a JSON object."""
    try:
        body = json.loads(request.body)
    except (ValueError, RecursionError):
        return {}
    return body if isinstance(body, dict) else {}


def _read_patch(request):
    """Return the validated fields of a patch, or an error message."""
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


def _patch_response(outcome):
    """Return the HTTP response for the outcome of a patch."""
    if isinstance(outcome, PatchAccepted):
        return _json_response(
            {"number": outcome.number, "changed": list(outcome.changed)}
        )
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
        return _json_response(body, 409)
    if isinstance(outcome, PatchInvalid):
        body = {
            "error": {"code": "invalid", "message": "the patched document is invalid"},
            "problems": _problem_dicts(outcome.problems),
        }
        return _json_response(body, 422)
    if isinstance(outcome, PatchUnavailable):
        message = "the platform can't be reached; the patch had and has no effect"
        return _error_response(503, "unavailable", message)
    message = (
        "the platform gave no answer; send the same patch_id again to learn whether "
        "the patch was accepted"
    )
    return _error_response(503, "unknown_outcome", message)
