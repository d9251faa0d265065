"""Stand-in of a replica of a plain service.

It echoes each request, counts the requests that it ran, and simulates the faults that a
test sets by ``POST /control``.
"""

import asyncio
import hashlib

from aiohttp import web

from gypsumusher_standins.registration import deregister_endpoint, register_endpoint
from gypsumusher_standins.serving import (
    MAX_BODY_BYTES,
    ConnectionTracker,
    abort_connection,
    serve,
)


class ServiceState:
    """Counters and fault settings of a plain service.

    Attributes
    ----------
    run_count : int
        Number of requests run.
    runs_by_request_id, runs_by_body_digest : dict
        Number of runs by ``X-Request-Id``, and by the first 16 hexadecimal digits of
        the SHA-256 digest of the body.
    settings : dict
        Faults: ``close_after_read`` and ``truncate_next`` are the numbers of coming
        requests affected, ``delay_s`` delays each response, ``status`` replaces its
        status, and ``keepalive_close`` closes the connection shortly after it.
    """

    def __init__(self):
        self.run_count = 0
        self.runs_by_request_id = {}
        self.runs_by_body_digest = {}
        self.settings = {
            "close_after_read": 0,
            "delay_s": 0.0,
            "status": 200,
            "truncate_next": 0,
            "keepalive_close": False,
        }

    def record_run(self, request_id, body):
        """Count one run of a request by its id and by its body."""
        self.run_count += 1
        digest = hashlib.sha256(body).hexdigest()[:16]
        self.runs_by_body_digest[digest] = self.runs_by_body_digest.get(digest, 0) + 1
        if request_id is not None:
            self.runs_by_request_id[request_id] = (
                self.runs_by_request_id.get(request_id, 0) + 1
            )

    def consume_fault(self, setting):
        """Decrement a counted fault's setting; return whether the fault applies."""
        if self.settings[setting] <= 0:
            return False
        self.settings[setting] -= 1
        return True


STATE = web.AppKey("state", ServiceState)


async def handle_request(request):
    """Count any request, then echo it or simulate the fault that is set."""
    state = request.app[STATE]
    body = await request.read()
    state.record_run(request.headers.get("X-Request-Id"), body)
    payload = {
        "echo": body.decode(errors="replace"),
        "method": request.method,
        "path": request.path_qs,
        "count": state.run_count,
    }
    if state.consume_fault("close_after_read"):
        return abort_connection(request)
    if state.settings["delay_s"]:
        await asyncio.sleep(state.settings["delay_s"])
    if state.consume_fault("truncate_next"):
        return await send_truncated_body(request)
    response = web.json_response(payload, status=state.settings["status"])
    if state.settings["keepalive_close"]:
        close_after_response(request)
    return response


async def send_truncated_body(request):
    """Send 50 of the 100 bytes that Content-Length declares, then close."""
    response = web.StreamResponse(headers={"Content-Length": "100"})
    await response.prepare(request)
    await response.write(b"x" * 50)
    request.transport.close()
    return response


def close_after_response(request):
    """Close the connection 5 ms later without ``Connection: close``.

    The caller sees a kept-alive connection that the server closes at its idle timeout.
    """
    transport = request.transport
    asyncio.get_running_loop().call_later(0.005, transport.close)


async def set_control(request):
    """Handle ``POST /control``: set faults."""
    state = request.app[STATE]
    state.settings.update(await request.json())
    return web.json_response(state.settings)


async def get_control(request):
    """Handle ``GET /control``: return the counters and the faults that are set."""
    state = request.app[STATE]
    payload = {
        "count": state.run_count,
        "requests": state.runs_by_request_id,
        "bodies": state.runs_by_body_digest,
        "settings": state.settings,
    }
    return web.json_response(payload)


async def run_service(options):
    """Run a plain service stand-in until SIGTERM.

    Parameters
    ----------
    options : argparse.Namespace
        The command-line options.
    """
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app[STATE] = ServiceState()
    app.router.add_post("/control", set_control)
    app.router.add_get("/control", get_control)
    app.router.add_route("*", "/{path:.*}", handle_request)
    bound = []

    async def on_ready(address):
        bound.append(address)
        await register_endpoint(options, "service", options.service, address, "live")

    async def on_stop():
        await register_endpoint(
            options, "service", options.service, bound[0], "leaving"
        )
        await deregister_endpoint(options)

    await serve(app, ConnectionTracker(), options.ip, options.port, on_ready, on_stop)
