"""A stand-in of the users' platform's store, for tests on loopback."""

import asyncio
import json

from aiohttp import web

__all__ = ["ObjectStoreServer"]


class ObjectStoreServer:
    """Objects by kind and name, with revisions, conditional changes and watches.

    Attributes
    ----------
    fault : str
        Empty, or what every call meets: ``refuse`` (503), ``silent`` (no answer),
        ``lost`` (done, and the connection closed) or ``stale`` (lists and single reads
        tell what stood when the fault began; see `start_stale_reads`).
    calls : list of (str, str)
        Method and path of each call.
    """

    def __init__(self):
        self.fault = ""
        self.calls = []
        self.revision = 1
        self._objects = {}
        self._frozen = ({}, 0)
        self._events = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._runner = None

    async def start(self):
        """Listen on a free port of loopback; return the address."""
        app = web.Application()
        app.router.add_route("*", "/v1/objects/{kind}", self._serve)
        app.router.add_route("*", "/v1/objects/{kind}/{name}", self._serve)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = self._runner.addresses[0][1]
        return f"127.0.0.1:{port}"

    async def close(self):
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, kind, name, content):
        """Write an object as the operator or an endpoint would."""
        known = self._objects.get((kind, name))
        if known is not None and known["spec"] == content:
            return known
        self.revision += 1
        created = self.revision if known is None else known["metadata"]["created"]
        item = {
            "metadata": {
                "name": name,
                "rev": self.revision,
                "created": created,
                "finalizers": [],
                "is_deleting": False,
            },
            "spec": content,
            "status": None,
        }
        self._objects[kind, name] = item
        self._note(kind, item, False)
        return item

    def has(self, kind, name):
        """Say whether an object stands."""
        return (kind, name) in self._objects

    def remove(self, kind, name):
        """Remove an object."""
        item = self._objects.pop((kind, name))
        self.revision += 1
        self._note(kind, item, True)

    def drop_event_history(self):
        """Drop the events so far, so that watches from before are told so."""
        self._oldest = self.revision
        self._events.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def start_stale_reads(self):
        """Have reads tell of the past from now on, until the fault is taken back."""
        self._frozen = (dict(self._objects), self.revision)
        self.fault = "stale"

    def _note(self, kind, item, is_deleted):
        self._events.append((self.revision, kind, item, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, request):
        self.calls.append((request.method, request.path))
        refusal = await self._refuse()
        if refusal is not None:
            return refusal
        answer = await self._answer(request)
        # A watch that was open when the store went away isn't answered either.
        if request.method == "GET":
            refusal = await self._refuse()
            if refusal is not None:
                return refusal
        if self.fault == "lost" and request.transport is not None:
            request.transport.abort()
        return answer

    async def _refuse(self):
        if self.fault == "silent":
            await asyncio.Event().wait()
        if self.fault == "refuse":
            return web.json_response({"error": "refused"}, status=503)
        return None

    async def _answer(self, request):
        kind = request.match_info["kind"]
        name = request.match_info.get("name")
        if request.method == "GET":
            if "watch" in request.query:
                return await self._watch(request, kind)
            objects, revision = self._objects, self.revision
            if self.fault == "stale":
                objects, revision = self._frozen
            if name is not None:
                return self._as_answer(objects.get((kind, name)))
            items = [item for (other, _), item in objects.items() if other == kind]
            body = {"items": items, "has_more": False, "as_of": revision}
            return web.json_response(body)
        if request.method == "DELETE":
            if (kind, name) not in self._objects:
                return self._as_answer(None)
            self.remove(kind, name)
            return web.json_response({})
        body = json.loads(await request.read())
        metadata = body["metadata"]
        name = name or metadata["name"]
        known = self._objects.get((kind, name))
        if request.method == "POST" and known is not None:
            return web.json_response(known, status=409)
        if request.method == "PUT":
            if known is None:
                return self._as_answer(None)
            if (
                metadata.get("rev", known["metadata"]["rev"])
                != known["metadata"]["rev"]
            ):
                return web.json_response(known, status=409)
        return self._as_answer(self.put(kind, name, body["spec"]))

    async def _watch(self, request, kind):
        since = int(request.query["watch"])
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + int(request.query["wait_ms"]) / 1000.0
        while True:
            if since < self._oldest:
                return web.json_response({"error": "history gone"}, status=410)
            events = [
                {"object": item, "deleted": is_deleted}
                for revision, other, item, is_deleted in self._events
                if other == kind and revision > since
            ]
            left_s = ends_s - loop.time()
            if events or left_s <= 0:
                body = {"events": events, "as_of": self.revision}
                return web.json_response(body)
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _as_answer(self, item):
        if item is None:
            return web.json_response({"error": "absent"}, status=404)
        return web.json_response(item)
