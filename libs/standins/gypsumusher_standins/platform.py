"""Stand-in of the platform: versioned objects, watches, rate limits and host list.

It simulates the faults that a test sets by ``POST /control``.
"""

import asyncio
import json
import math

from aiohttp import web

from gypsumusher_standins.serving import (
    MAX_BODY_BYTES,
    ConnectionTracker,
    abort_connection,
    serve,
)
from gypsumusher_standins.token_bucket import TokenBucket
from gypsumusher_standins.versioned_objects import VersionedObjects, as_json

MAX_VALUE_BYTES = 1024 * 1024
# Upper limit on the timeout_s of a watch.
MAX_WATCH_S = 60.0


class PlatformState:
    """State of the platform stand-in, including its counters and fault settings.

    Parameters
    ----------
    token : str
        Bearer token that each call must carry.
    writes_per_s, reads_per_s : float
        Rate limits on all clients together. Watches count as reads.
    list_lag_s : float
        Age of the host list that readers get.

    Attributes
    ----------
    call_counts : dict
        Number of calls by client name, then by HTTP method or ``WATCH``.
    throttled_calls : int
        Number of calls over a rate limit.
    held_calls : dict
        Number of calls that are held at present: writes by the kind of their object,
        others as ``GET`` or ``WATCH``.
    host_list_history : list of (float, dict)
        Host lists by name, and the times at which each became current.
    frozen_hosts : dict
        Host list that readers get while ``list_frozen`` is set.
    settings : dict
        Faults. ``lose_answers`` and ``drop_calls`` are the numbers of coming writes
        whose response is lost after the write took effect, and of coming calls that
        are dropped before they take effect. A ``..._kind`` setting restricts a fault
        to one kind of object; ``hang_kind`` restricts it to the writes of one kind, to
        ``GET`` or to ``WATCH``.
    """

    def __init__(self, token, writes_per_s, reads_per_s, list_lag_s):
        now_s = asyncio.get_running_loop().time()
        self.token = token
        self.store = VersionedObjects()
        self.write_bucket = TokenBucket(writes_per_s, now_s)
        self.read_bucket = TokenBucket(reads_per_s, now_s)
        self.call_counts = {}
        self.throttled_calls = 0
        self.held_calls = {}
        self.change_event = asyncio.Event()
        self.host_list_history = [(-math.inf, {})]
        self.frozen_hosts = {}
        self.settings = {
            "latency_s": 0.0,
            "outage": False,
            "lose_answers": 0,
            "lose_kind": None,
            "drop_calls": 0,
            "drop_kind": None,
            "cut_clients": [],
            "list_lag_s": list_lag_s,
            "list_frozen": False,
            "hang": False,
            "hang_clients": [],
            "hang_kind": None,
            "answer_delay_s": 0.0,
            "delay_kind": None,
        }

    def notify_waiters(self):
        """Wake all waiting watches and held calls to check their conditions again."""
        self.change_event.set()
        self.change_event = asyncio.Event()

    def count_call(self, client, category):
        """Count one call of a client by its method, or as ``WATCH``."""
        counts = self.call_counts.setdefault(client, {"GET": 0, "PUT": 0, "WATCH": 0})
        counts[category] = counts.get(category, 0) + 1

    def consume_fault(self, setting, kind):
        """Decrement the setting of a counted fault, if the fault applies to a kind.

        Returns
        -------
        bool
            Whether the fault applies to this call.
        """
        wanted_kind = self.settings[setting.split("_")[0] + "_kind"]
        if self.settings[setting] <= 0:
            return False
        if wanted_kind is not None and wanted_kind != kind:
            return False
        self.settings[setting] -= 1
        return True

    def is_cut_off(self, client):
        """Return whether the fault ``cut_clients`` disconnects a client."""
        return client in self.settings["cut_clients"]

    def update_hosts(self, change):
        """Apply a change to a copy of the newest host list, and record the time."""
        now_s = asyncio.get_running_loop().time()
        newest = dict(self.host_list_history[-1][1])
        change(newest)
        self.host_list_history.append((now_s, newest))

    def visible_hosts(self):
        """Return the host list of ``list_lag_s`` ago, or of when it was frozen."""
        if self.settings["list_frozen"]:
            return self.frozen_hosts
        now_s = asyncio.get_running_loop().time()
        cutoff_s = now_s - self.settings["list_lag_s"]
        for changed_at_s, hosts in reversed(self.host_list_history):
            if changed_at_s <= cutoff_s:
                return hosts
        return {}


STATE = web.AppKey("state", PlatformState)


def error_response(status, code, **extra):
    """Return an error response with an HTTP status and an error code."""
    return web.json_response({"error": {"code": code}, **extra}, status=status)


def call_category(request):
    """Return the HTTP method of a call, or ``WATCH`` for a watch."""
    if request.path.startswith("/v1/watch/"):
        return "WATCH"
    return request.method


def is_agent_call(request):
    """Return whether a call updates the host list.

    The platform's own agents make these calls; faults and rate limits don't apply.
    """
    return request.path.startswith("/v1/hosts") and request.method != "GET"


def is_held(state, client, kind_or_category):
    """Return whether the fault ``hang`` or ``hang_clients`` holds a call now.

    `kind_or_category` is the object's kind for a write, else ``GET`` or ``WATCH``.
    """
    settings = state.settings
    if settings["hang_kind"] not in {None, kind_or_category}:
        return False
    return settings["hang"] or client in settings["hang_clients"]


async def wait_while_held(state, client, kind_or_category):
    """Hold a call while the platform hangs for all clients or for this one.

    A held write takes effect when the hang ends, even if its caller has timed out. To
    other clients, it appears as a late write.
    """
    if not is_held(state, client, kind_or_category):
        return
    state.held_calls[kind_or_category] = state.held_calls.get(kind_or_category, 0) + 1
    while is_held(state, client, kind_or_category):
        await state.change_event.wait()
    state.held_calls[kind_or_category] -= 1


@web.middleware
async def apply_faults(request, handler):
    """Check the token of a call, and apply the faults and the rate limits to it."""
    state = request.app[STATE]
    if not request.path.startswith("/v1/"):
        return await handler(request)
    if request.headers.get("Authorization") != f"Bearer {state.token}":
        return error_response(401, "token")
    if is_agent_call(request):
        return await handler(request)
    client = request.headers.get("X-Client-Name", "")
    category = call_category(request)
    kind = request.match_info.get("kind")
    is_write = category in {"PUT", "DELETE"}
    state.count_call(client, category)
    # Reading the body before the faults simulates a server that fails after it has
    # received the request.
    await request.read()
    if state.settings["latency_s"]:
        await asyncio.sleep(state.settings["latency_s"])
    await wait_while_held(state, client, kind if is_write else category)
    if state.is_cut_off(client) or state.consume_fault("drop_calls", kind):
        return abort_connection(request)
    if state.settings["outage"]:
        return error_response(503, "outage")
    bucket = state.write_bucket if is_write else state.read_bucket
    wait_s = bucket.take(asyncio.get_running_loop().time())
    if wait_s > 0:
        state.throttled_calls += 1
        response = error_response(429, "throttled")
        response.headers["Retry-After"] = str(math.ceil(wait_s))
        return response
    response = await handler(request)
    if is_write and state.settings["delay_kind"] in {None, kind}:
        await asyncio.sleep(state.settings["answer_delay_s"])
    if state.is_cut_off(client):
        return abort_connection(request)
    if (
        is_write
        and response.status == 200
        and state.consume_fault("lose_answers", kind)
    ):
        return abort_connection(request)
    return response


async def read_object(request):
    """Handle ``GET /v1/objects/KIND/NAME``: return one object."""
    kind, name = request.match_info["kind"], request.match_info["name"]
    stored = request.app[STATE].store.read(kind, name)
    if stored.version == 0:
        return error_response(404, "absent")
    return web.json_response(as_json(kind, name, stored))


async def write_object(request):
    """Handle ``PUT /v1/objects/KIND/NAME``: write one object conditionally."""
    state = request.app[STATE]
    kind, name = request.match_info["kind"], request.match_info["name"]
    try:
        body = await request.json()
        value, if_version = body["value"], body["if_version"]
    except (ValueError, KeyError, TypeError):
        return error_response(400, "malformed")
    if len(json.dumps(value)) > MAX_VALUE_BYTES:
        return error_response(413, "too_large")
    if not state.store.write(kind, name, value, if_version):
        return conflict_response(state, kind, name)
    state.notify_waiters()
    return web.json_response({"version": state.store.revision})


async def delete_object(request):
    """Handle ``DELETE /v1/objects/KIND/NAME?if_version=N``: delete one object."""
    state = request.app[STATE]
    kind, name = request.match_info["kind"], request.match_info["name"]
    if state.store.read(kind, name).version == 0:
        return error_response(404, "absent")
    if not state.store.delete(kind, name, int(request.query["if_version"])):
        return conflict_response(state, kind, name)
    state.notify_waiters()
    return web.json_response({"version": state.store.revision})


def conflict_response(state, kind, name):
    """Return the response to a failed conditional change, with the current object."""
    stored = state.store.read(kind, name)
    payload = {"version": stored.version, "value": stored.value}
    return web.json_response(payload, status=409)


async def list_objects(request):
    """Handle ``GET /v1/objects/KIND``: list the objects of a kind."""
    store = request.app[STATE].store
    items = store.changed_items(request.match_info["kind"])
    return web.json_response({"revision": store.revision, "items": items})


async def watch_objects(request):
    """Handle ``GET /v1/watch/KIND?after=REV&timeout_s=T[&name=NAME]``.

    The response has the changes after revision REV. If there are none, it waits for one
    and is empty after T seconds.
    """
    state = request.app[STATE]
    client = request.headers.get("X-Client-Name", "")
    kind = request.match_info["kind"]
    after = int(request.query.get("after", "0"))
    name = request.query.get("name")
    loop = asyncio.get_running_loop()
    timeout_s = min(float(request.query.get("timeout_s", "30")), MAX_WATCH_S)
    deadline_s = loop.time() + timeout_s
    while True:
        if state.is_cut_off(client):
            return abort_connection(request)
        if state.settings["outage"]:
            return error_response(503, "outage")
        changed_items = state.store.changed_items(kind, after, name)
        deleted = state.store.deleted_names(kind, after, name)
        remaining_s = deadline_s - loop.time()
        if changed_items or deleted or remaining_s <= 0:
            break
        try:
            await asyncio.wait_for(state.change_event.wait(), remaining_s)
        except TimeoutError:
            continue
    payload = {
        "revision": state.store.revision,
        "items": changed_items,
        "deleted": deleted,
    }
    return web.json_response(payload)


async def list_hosts(request):
    """Handle ``GET /v1/hosts``: return the host list, which may lag or be frozen."""
    hosts = request.app[STATE].visible_hosts()
    return web.json_response({"items": list(hosts.values())})


async def register_host(request):
    """Handle ``POST /v1/hosts``: create or replace an entry of the host list."""
    item = await request.json()
    item.setdefault("region", "")
    item.setdefault("state", "live")

    def change(hosts):
        hosts[item["name"]] = item

    request.app[STATE].update_hosts(change)
    return web.json_response({})


async def remove_host(request):
    """Handle ``DELETE /v1/hosts/NAME``: remove an entry of the host list."""
    name = request.match_info["name"]

    def change(hosts):
        hosts.pop(name, None)

    request.app[STATE].update_hosts(change)
    return web.json_response({})


async def set_control(request):
    """Handle ``POST /control``: set faults."""
    state = request.app[STATE]
    changes = await request.json()
    unknown = set(changes) - set(state.settings)
    if unknown:
        return error_response(400, "unknown_setting", unknown=sorted(unknown))
    if changes.get("list_frozen"):
        state.frozen_hosts = state.visible_hosts()
    state.settings.update(changes)
    state.notify_waiters()
    return web.json_response(state.settings)


async def get_control(request):
    """Handle ``GET /control``: return the faults that are set and the counters."""
    state = request.app[STATE]
    payload = {
        "settings": state.settings,
        "calls": state.call_counts,
        "throttled": state.throttled_calls,
        "held": state.held_calls,
        "objects": state.store.count(),
        "revision": state.store.revision,
    }
    return web.json_response(payload)


def build_app(state):
    """Return the web application of the platform stand-in with the given state."""
    app = web.Application(middlewares=[apply_faults], client_max_size=MAX_BODY_BYTES)
    app[STATE] = state
    app.add_routes(
        [
            web.get("/v1/objects/{kind}", list_objects),
            web.get("/v1/objects/{kind}/{name:.+}", read_object),
            web.put("/v1/objects/{kind}/{name:.+}", write_object),
            web.delete("/v1/objects/{kind}/{name:.+}", delete_object),
            web.get("/v1/watch/{kind}", watch_objects),
            web.get("/v1/hosts", list_hosts),
            web.post("/v1/hosts", register_host),
            web.delete("/v1/hosts/{name}", remove_host),
            web.post("/control", set_control),
            web.get("/control", get_control),
        ]
    )
    return app


async def run_platform(options):
    """Run the platform stand-in until SIGTERM.

    Parameters
    ----------
    options : argparse.Namespace
        The command-line options.
    """
    state = PlatformState(
        options.token,
        options.writes_per_s,
        options.reads_per_s,
        options.list_lag_s,
    )

    async def on_ready(address):
        del address

    async def on_stop():
        # The fault outage ends the waiting watches, which would delay the shutdown.
        state.settings["outage"] = True
        state.settings["hang"] = False
        state.settings["hang_clients"] = []
        state.notify_waiters()

    app = build_app(state)
    await serve(app, ConnectionTracker(), options.ip, options.port, on_ready, on_stop)
