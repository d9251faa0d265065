"""A stand-in of a plain service replica, which echoes and counts what it ran."""

import asyncio
import hashlib

from aiohttp import web

from gypsumusher_standins.registration import announce, withdraw
from gypsumusher_standins.serving import (
    MAX_BODY_BYTES,
    Connections,
    close_connection,
    serve,
)


class ServiceState:
    """The counters of a plain service, and the faults that are set."""

    def __init__(self):
        self.count = 0
        self.requests = {}
        self.bodies = {}
        self.settings = {
            "close_after_read": 0,
            "delay_s": 0.0,
            "status": 200,
            "truncate_next": 0,
            "keepalive_close": False,
        }

    def count_run(self, request_id, body):
        """Count one run of a request."""
        self.count += 1
        digest = hashlib.sha256(body).hexdigest()[:16]
        self.bodies[digest] = self.bodies.get(digest, 0) + 1
        if request_id is not None:
            self.requests[request_id] = self.requests.get(request_id, 0) + 1

    def spend(self, setting):
        """Use up one of a counted fault's occurrences; return whether one was left."""
        if self.settings[setting] <= 0:
            return False
        self.settings[setting] -= 1
        return True


STATE = web.AppKey("state", ServiceState)


async def run_call(request):
    """Run any call: count it, then echo it or play the fault that is set."""
    state = request.app[STATE]
    body = await request.read()
    state.count_run(request.headers.get("X-Request-Id"), body)
    answer = {
        "echo": body.decode(errors="replace"),
        "method": request.method,
        "path": request.path_qs,
        "count": state.count,
    }
    if state.spend("close_after_read"):
        return close_connection(request)
    if state.settings["delay_s"]:
        await asyncio.sleep(state.settings["delay_s"])
    if state.spend("truncate_next"):
        return await truncated(request)
    response = web.json_response(answer, status=state.settings["status"])
    if state.settings["keepalive_close"]:
        close_soon(request)
    return response


async def truncated(request):
    """Send half of the announced body, then close."""
    response = web.StreamResponse(headers={"Content-Length": "100"})
    await response.prepare(request)
    await response.write(b"x" * 50)
    request.transport.close()
    return response


def close_soon(request):
    """Close the connection after the answer, unannounced, as an idle limit would."""
    transport = request.transport
    asyncio.get_running_loop().call_later(0.005, transport.close)


async def set_control(request):
    """Answer ``POST /control``: set faults."""
    state = request.app[STATE]
    state.settings.update(await request.json())
    return web.json_response(state.settings)


async def get_control(request):
    """Answer ``GET /control``: counters and faults."""
    state = request.app[STATE]
    answer = {
        "count": state.count,
        "requests": state.requests,
        "bodies": state.bodies,
        "settings": state.settings,
    }
    return web.json_response(answer)


async def run_service(options):
    """Run a plain service stand-in until SIGTERM.

    Parameters
    ----------
    options : argparse.Namespace
        The command line's options.
    """
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app[STATE] = ServiceState()
    app.router.add_post("/control", set_control)
    app.router.add_get("/control", get_control)
    app.router.add_route("*", "/{path:.*}", run_call)
    bound = []

    async def on_ready(address):
        bound.append(address)
        await announce(options, "service", options.service, address, "live")

    async def on_stop():
        await announce(options, "service", options.service, bound[0], "leaving")
        await withdraw(options)

    await serve(app, Connections(), options.ip, options.port, on_ready, on_stop)
