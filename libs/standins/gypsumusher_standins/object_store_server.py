"""Stand-in of the object store of the users' platform, for tests on loopback.

Its API differs from the one that `gypsumusher_standins.platform` serves. It runs in the
process of the test, which changes its objects and faults directly.
"""

import asyncio
import json
from bisect import bisect_right

from aiohttp import web

__all__ = ["ObjectStoreServer"]


class ObjectStoreServer:
    """HTTP server of objects with revisions, conditional updates and watches.

    Attributes
    ----------
    fault : str
        Empty, or the fault of every call: ``refuse`` (status 503), ``silent`` (no
        response), ``lost`` (the call takes effect, and the connection is closed without
        a response) or ``stale`` (lists and single reads return the objects of when the
        fault began; see `start_stale_reads`).
    calls : list of (str, str)
        Method and path of each call received.
    """

    def __init__(self):
        self.fault = ""
        self.calls = []
        self.revision = 1
        # Contents that are sent as other writers wrote them, by what stands for them.
        self._raw_contents = {}
        self._objects = {}
        self._stale_snapshot = ({}, 0)
        self._events = []
        self._oldest_revision = 0
        self._change_event = asyncio.Event()
        self._runner = None

    async def start(self):
        """Listen on a free port of 127.0.0.1, and return the address ``IP:PORT``."""
        app = web.Application()
        app.router.add_route("*", "/v1/objects/{kind}", self._handle)
        app.router.add_route("*", "/v1/objects/{kind}/{name}", self._handle)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = self._runner.addresses[0][1]
        return f"127.0.0.1:{port}"

    async def close(self):
        """Stop the server."""
        await self._runner.cleanup()

    def put(self, kind, name, spec):
        """Create or replace an object; a write of an equal spec changes nothing.

        Returns
        -------
        dict
            The stored object, with its metadata.
        """
        existing = self._objects.get((kind, name))
        if existing is not None and existing["spec"] == spec:
            return existing
        self.revision += 1
        created = self.revision if existing is None else existing["metadata"]["created"]
        item = {
            "metadata": {
                "name": name,
                "rev": self.revision,
                "created": created,
                "finalizers": [],
                "is_deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = item
        self._record_event(kind, item, False)
        return item

    def put_raw(self, kind, name, text):
        """Create or replace an object whose content is sent as this JSON text."""
        key = f"raw content {len(self._raw_contents)}"
        self._raw_contents[json.dumps(key)] = text
        return self.put(kind, name, key)

    def _encode(self, body):
        """Return a response with a JSON body."""
        text = json.dumps(body)
        for key, raw in self._raw_contents.items():
            text = text.replace(key, raw)
        return web.Response(text=text, content_type="application/json")

    def has(self, kind, name):
        """Return whether an object exists."""
        return (kind, name) in self._objects

    def spec(self, kind, name):
        """Return the content of an object, or None if it doesn't exist."""
        item = self._objects.get((kind, name))
        return None if item is None else item["spec"]

    def remove(self, kind, name):
        """Delete an existing object."""
        item = self._objects.pop((kind, name))
        self.revision += 1
        self._record_event(kind, item, True)

    def drop_event_history(self):
        """Drop all events so far; a watch from an earlier revision gets status 410."""
        self._oldest_revision = self.revision
        self._events.clear()
        self._change_event.set()
        self._change_event = asyncio.Event()

    def start_stale_reads(self):
        """Set the fault ``stale``; reads then return the objects as they are now."""
        self._stale_snapshot = (dict(self._objects), self.revision)
        self.fault = "stale"

    def _record_event(self, kind, item, is_deleted):
        self._events.append((self.revision, kind, item, is_deleted))
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def _handle(self, request):
        self.calls.append((request.method, request.path))
        fault_response = await self._fault_response()
        if fault_response is not None:
            return fault_response
        response = await self._dispatch(request)
        # A fault that was set while a watch was waiting applies to the watch as well.
        if request.method == "GET":
            fault_response = await self._fault_response()
            if fault_response is not None:
                return fault_response
        if self.fault == "lost" and request.transport is not None:
            request.transport.abort()
        return response

    async def _fault_response(self):
        if self.fault == "silent":
            await asyncio.Event().wait()
        if self.fault == "refuse":
            return web.json_response({"error": "refused"}, status=503)
        return None

    async def _dispatch(self, request):
        kind = request.match_info["kind"]
        name = request.match_info.get("name")
        if request.method == "GET":
            if "watch" in request.query:
                return await self._watch(request, kind)
            objects, revision = self._objects, self.revision
            if self.fault == "stale":
                objects, revision = self._stale_snapshot
            if name is not None:
                return self._object_response(objects.get((kind, name)))
            items = [
                item for (other_kind, _), item in objects.items() if other_kind == kind
            ]
            body = {"items": items, "has_more": False, "as_of": revision}
            return self._encode(body)
        if request.method == "DELETE":
            if (kind, name) not in self._objects:
                return self._object_response(None)
            self.remove(kind, name)
            return web.json_response({})
        body = json.loads(await request.read())
        metadata = body["metadata"]
        name = name or metadata["name"]
        existing = self._objects.get((kind, name))
        if request.method == "POST" and existing is not None:
            return web.json_response(existing, status=409)
        if request.method == "PUT":
            if existing is None:
                return self._object_response(None)
            if (
                metadata.get("rev", existing["metadata"]["rev"])
                != existing["metadata"]["rev"]
            ):
                return web.json_response(existing, status=409)
        return self._object_response(self.put(kind, name, body["spec"]))

    async def _watch(self, request, kind):
        since = int(request.query["watch"])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(request.query["wait_ms"]) / 1000.0
        while True:
            if since < self._oldest_revision:
                return web.json_response({"error": "history gone"}, status=410)
            first = bisect_right(self._events, since, key=lambda event: event[0])
            events = [
                {"object": item, "deleted": is_deleted}
                for _, other_kind, item, is_deleted in self._events[first:]
                if other_kind == kind
            ]
            remaining_s = deadline_s - loop.time()
            if events or remaining_s <= 0:
                body = {"events": events, "as_of": self.revision}
                return self._encode(body)
            try:
                await asyncio.wait_for(self._change_event.wait(), remaining_s)
            except TimeoutError:
                continue

    def _object_response(self, item):
        if item is None:
            return web.json_response({"error": "absent"}, status=404)
        return web.json_response(item)
