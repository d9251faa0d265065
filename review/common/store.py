"""Stand-in of the platform's store: objects, conditional writes and watches."""

import asyncio
import json
from urllib.parse import parse_qs

from wire import read_request, respond


class Store:
    """Serves objects by kind and name on one loopback address."""

    def __init__(self, ip):
        self.ip = ip
        self.address = None
        self.revision = 1
        self.calls = 0
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    def close(self):
        self._server.close()

    def put(self, kind, name, spec, born=None):
        """Create or replace an object; return the revision, which acknowledges it."""
        known = self._objects.get((kind, name))
        if known is not None and known["spec"] == spec and known.get("born") == born:
            return known["metadata"]["rev"]
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
            "spec": spec,
            "status": None,
        }
        if born is not None:
            item["born"] = born
        self._objects[kind, name] = item
        self._record(kind, item, False)
        return self.revision

    def remove(self, kind, name):
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record(kind, item, True)

    def spec(self, kind, name):
        item = self._objects.get((kind, name))
        return None if item is None else item["spec"]

    def _record(self, kind, item, is_deleted):
        self._events.append((self.revision, kind, item, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                self.calls += 1
                status, content = await self._answer(request)
                respond(writer, status, json.dumps(content).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The end of the run cancels this task; asyncio would log that.
            return
        finally:
            writer.close()

    async def _answer(self, request):
        path, _, query_text = request.target.partition("?")
        query = {key: values[0] for key, values in parse_qs(query_text).items()}
        words = path.strip("/").split("/")
        if words[:2] != ["v1", "objects"] or len(words) < 3:
            return 404, {"error": "no such path"}
        kind = words[2]
        name = words[3] if len(words) > 3 else None
        if request.method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, query)
            items = [
                item
                for (other, _), item in sorted(self._objects.items())
                if other == kind
            ]
            return 200, {"items": items, "has_more": False, "as_of": self.revision}
        if request.method == "GET":
            item = self._objects.get((kind, name))
            return (404, {}) if item is None else (200, item)
        if request.method == "DELETE":
            item = self._objects.get((kind, name))
            if item is None:
                return 404, {}
            if "rev" in query and int(query["rev"]) != item["metadata"]["rev"]:
                return 409, item
            self.remove(kind, name)
            return 200, {}
        return self._write(kind, name, request)

    def _write(self, kind, name, request):
        body = json.loads(request.body)
        metadata = body.get("metadata", {})
        name = name or metadata["name"]
        known = self._objects.get((kind, name))
        if request.method == "POST" and known is not None:
            return 409, known
        if request.method == "PUT":
            if known is None:
                return 404, {}
            revision = known["metadata"]["rev"]
            if metadata.get("rev", revision) != revision:
                return 409, known
        self.put(kind, name, body.get("spec"))
        return 200, self._objects[kind, name]

    async def _watch(self, kind, query):
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get("wait_ms", 0)) / 1000.0
        while True:
            events = [
                {"object": item, "deleted": is_deleted}
                for revision, other, item, is_deleted in self._events
                if revision > since and other == kind
            ]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
