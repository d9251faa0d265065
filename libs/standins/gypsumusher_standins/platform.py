"""A stand-in of the platform: objects, watches, rate limits, host list and faults."""

import asyncio
import json
import math

from aiohttp import web

from gypsumusher_standins.objects import ObjectStore, as_json
from gypsumusher_standins.rates import TokenBucket
from gypsumusher_standins.serving import (
    MAX_BODY_BYTES,
    Connections,
    close_connection,
    serve,
)

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_S = 60.0


class PlatformState:
    """Everything the platform stand-in holds, and the faults that are set.

    Parameters
    ----------
    token : str
        The bearer token that each call has to carry.
    writes_per_s, reads_per_s : float
        The rate limits.
    list_lag_s : float
        Seconds by which the host list lags.
    """

    def __init__(self, token, writes_per_s, reads_per_s, list_lag_s):
        now_s = asyncio.get_running_loop().time()
        self.token = token
        self.store = ObjectStore()
        self.writes = TokenBucket(writes_per_s, now_s)
        self.reads = TokenBucket(reads_per_s, now_s)
        self.calls = {}
        self.throttled = 0
        self.held = {}
        self.changed = asyncio.Event()
        self.host_lists = [(-math.inf, {})]
        self.frozen_list = {}
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

    def wake(self):
        """Wake every waiting watch and hung call to look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def count_call(self, client, verb):
        """Count one call of a client."""
        counts = self.calls.setdefault(client, {"GET": 0, "PUT": 0, "WATCH": 0})
        counts[verb] = counts.get(verb, 0) + 1

    def spend(self, setting, kind):
        """Use up one of a counted fault's occurrences; return whether one was left."""
        wanted_kind = self.settings[setting.split("_")[0] + "_kind"]
        if self.settings[setting] <= 0:
            return False
        if wanted_kind is not None and wanted_kind != kind:
            return False
        self.settings[setting] -= 1
        return True

    def is_cut(self, client):
        """Return whether a client is cut off from the platform."""
        return client in self.settings["cut_clients"]

    def change_hosts(self, change):
        """Apply a change to a copy of the newest host list, and note when."""
        now_s = asyncio.get_running_loop().time()
        newest = dict(self.host_lists[-1][1])
        change(newest)
        self.host_lists.append((now_s, newest))

    def seen_hosts(self):
        """Return the host list as it stood `list_lag_s` ago, or when it froze."""
        if self.settings["list_frozen"]:
            return self.frozen_list
        now_s = asyncio.get_running_loop().time()
        limit_s = now_s - self.settings["list_lag_s"]
        for at_s, hosts in reversed(self.host_lists):
            if at_s <= limit_s:
                return hosts
        return {}


STATE = web.AppKey("state", PlatformState)


def error(status, code, **extra):
    """Return an error answer with a code."""
    return web.json_response({"error": {"code": code}, **extra}, status=status)


def verb_of(request):
    """Return under which heading a call is counted and limited."""
    if request.path.startswith("/v1/watch/"):
        return "WATCH"
    return request.method


def is_agent_call(request):
    """Return whether a call is the platform's own agents', which know no outage."""
    return request.path.startswith("/v1/hosts") and request.method != "GET"


def hangs(state, client, heading):
    """Return whether a call is to be held now."""
    settings = state.settings
    if settings["hang_kind"] not in {None, heading}:
        return False
    return settings["hang"] or client in settings["hang_clients"]


async def wait_while_hung(state, client, heading):
    """Hold a call while the platform hangs, for all clients or for this one.

    A held write takes effect when the hang ends, even if its caller gave up: that is
    how a late write appears to a client.
    """
    if not hangs(state, client, heading):
        return
    state.held[heading] = state.held.get(heading, 0) + 1
    while hangs(state, client, heading):
        await state.changed.wait()
    state.held[heading] -= 1


@web.middleware
async def faults(request, handler):
    """Apply the faults, the token and the rate limits to a call of a client."""
    state = request.app[STATE]
    if not request.path.startswith("/v1/"):
        return await handler(request)
    if request.headers.get("Authorization") != f"Bearer {state.token}":
        return error(401, "token")
    if is_agent_call(request):
        return await handler(request)
    client = request.headers.get("X-Client-Name", "")
    verb = verb_of(request)
    kind = request.match_info.get("kind")
    is_write = verb in {"PUT", "DELETE"}
    state.count_call(client, verb)
    # The body is read before a fault strikes, as by a server that died afterwards.
    await request.read()
    if state.settings["latency_s"]:
        await asyncio.sleep(state.settings["latency_s"])
    await wait_while_hung(state, client, kind if is_write else verb)
    if state.is_cut(client) or state.spend("drop_calls", kind):
        return close_connection(request)
    if state.settings["outage"]:
        return error(503, "outage")
    bucket = state.writes if is_write else state.reads
    wait_s = bucket.take(asyncio.get_running_loop().time())
    if wait_s > 0:
        state.throttled += 1
        response = error(429, "throttled")
        response.headers["Retry-After"] = str(math.ceil(wait_s))
        return response
    response = await handler(request)
    if is_write and state.settings["delay_kind"] in {None, kind}:
        await asyncio.sleep(state.settings["answer_delay_s"])
    if state.is_cut(client):
        return close_connection(request)
    if is_write and response.status == 200 and state.spend("lose_answers", kind):
        return close_connection(request)
    return response


async def read_object(request):
    """Answer ``GET /v1/objects/KIND/NAME``."""
    kind, name = request.match_info["kind"], request.match_info["name"]
    stored = request.app[STATE].store.read(kind, name)
    if stored.version == 0:
        return error(404, "absent")
    return web.json_response(as_json(kind, name, stored))


async def write_object(request):
    """Answer ``PUT /v1/objects/KIND/NAME``."""
    state = request.app[STATE]
    kind, name = request.match_info["kind"], request.match_info["name"]
    try:
        body = await request.json()
        value, if_version = body["value"], body["if_version"]
    except (ValueError, KeyError, TypeError):
        return error(400, "malformed")
    if len(json.dumps(value)) > MAX_VALUE_BYTES:
        return error(413, "too_large")
    if not state.store.write(kind, name, value, if_version):
        return conflict(state, kind, name)
    state.wake()
    return web.json_response({"version": state.store.revision})


async def delete_object(request):
    """Answer ``DELETE /v1/objects/KIND/NAME?if_version=N``."""
    state = request.app[STATE]
    kind, name = request.match_info["kind"], request.match_info["name"]
    if state.store.read(kind, name).version == 0:
        return error(404, "absent")
    if not state.store.delete(kind, name, int(request.query["if_version"])):
        return conflict(state, kind, name)
    state.wake()
    return web.json_response({"version": state.store.revision})


def conflict(state, kind, name):
    """Return the answer to a conditional write that lost, with what stands."""
    stored = state.store.read(kind, name)
    answer = {"version": stored.version, "value": stored.value}
    return web.json_response(answer, status=409)


async def list_objects(request):
    """Answer ``GET /v1/objects/KIND``."""
    store = request.app[STATE].store
    items = store.items(request.match_info["kind"])
    return web.json_response({"revision": store.revision, "items": items})


async def watch(request):
    """Answer ``GET /v1/watch/KIND?after=REV&timeout_s=T[&name=NAME]``."""
    state = request.app[STATE]
    client = request.headers.get("X-Client-Name", "")
    kind = request.match_info["kind"]
    after = int(request.query.get("after", "0"))
    name = request.query.get("name")
    loop = asyncio.get_running_loop()
    timeout_s = min(float(request.query.get("timeout_s", "30")), MAX_WATCH_S)
    end_s = loop.time() + timeout_s
    while True:
        if state.is_cut(client):
            return close_connection(request)
        if state.settings["outage"]:
            return error(503, "outage")
        items = state.store.items(kind, after, name)
        deleted = state.store.deleted_names(kind, after, name)
        left_s = end_s - loop.time()
        if items or deleted or left_s <= 0:
            break
        try:
            await asyncio.wait_for(state.changed.wait(), left_s)
        except TimeoutError:
            continue
    answer = {"revision": state.store.revision, "items": items, "deleted": deleted}
    return web.json_response(answer)


async def list_hosts(request):
    """Answer ``GET /v1/hosts``, as it stood some time ago."""
    hosts = request.app[STATE].seen_hosts()
    return web.json_response({"items": list(hosts.values())})


async def register_host(request):
    """Answer ``POST /v1/hosts``."""
    item = await request.json()
    item.setdefault("region", "")
    item.setdefault("state", "live")

    def change(hosts):
        hosts[item["name"]] = item

    request.app[STATE].change_hosts(change)
    return web.json_response({})


async def remove_host(request):
    """Answer ``DELETE /v1/hosts/NAME``."""
    name = request.match_info["name"]

    def change(hosts):
        hosts.pop(name, None)

    request.app[STATE].change_hosts(change)
    return web.json_response({})


async def set_control(request):
    """Answer ``POST /control``: set faults."""
    state = request.app[STATE]
    changes = await request.json()
    unknown = set(changes) - set(state.settings)
    if unknown:
        return error(400, "unknown_setting", unknown=sorted(unknown))
    if changes.get("list_frozen"):
        state.frozen_list = state.seen_hosts()
    state.settings.update(changes)
    state.wake()
    return web.json_response(state.settings)


async def get_control(request):
    """Answer ``GET /control``: faults and counters."""
    state = request.app[STATE]
    answer = {
        "settings": state.settings,
        "calls": state.calls,
        "throttled": state.throttled,
        "held": state.held,
        "objects": state.store.count(),
        "revision": state.store.revision,
    }
    return web.json_response(answer)


def build_app(state):
    """Return the platform stand-in's web application around its state."""
    app = web.Application(middlewares=[faults], client_max_size=MAX_BODY_BYTES)
    app[STATE] = state
    app.add_routes(
        [
            web.get("/v1/objects/{kind}", list_objects),
            web.get("/v1/objects/{kind}/{name:.+}", read_object),
            web.put("/v1/objects/{kind}/{name:.+}", write_object),
            web.delete("/v1/objects/{kind}/{name:.+}", delete_object),
            web.get("/v1/watch/{kind}", watch),
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
        The command line's options.
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
        # An outage ends the waiting watches, which would hold up the stop.
        state.settings["outage"] = True
        state.settings["hang"] = False
        state.settings["hang_clients"] = []
        state.wake()

    app = build_app(state)
    await serve(app, Connections(), options.ip, options.port, on_ready, on_stop)
