"""An endpoint or engine of the soak run, with failure modes that the run sets."""

import asyncio
import json
import random

from proxies import reset_connection
from records import (
    CRASHING_PART,
    CRASHING_PREFIX,
    EVENTS,
    PROMPT,
    STREAM,
    AccountRun,
    Arrival,
    Notice,
    PartArrival,
    expected_body,
    expected_event,
)
from scripted_endpoint import (
    ScriptedEndpoint,
    encode_chunk,
    encode_response,
    request_id_of,
)

__all__ = ["SoakEndpoint"]

# Simulated processing time of a request.
WORK_S = 0.01
# Duration of a prefill, and of one by an engine that decodes.
PREFILL_S, PREFILL_AT_DECODE_S = 0.08, 0.16
# Requests that a plain endpoint with slots queues beyond them; it rejects any more.
QUEUE_LENGTH = 24
# How long engines keep the KV cache of a prompt, and how long a change of stage takes.
HANDLE_TTL_S, SWITCH_S = 5.0, 3.0
# Added by a slow transfer of a KV cache.
SLOW_TRANSFER_S = 0.6
# Delay of an order that is answered late, if at all.
LATE_ORDER_S = 4.0
# Share of the requests that a busy endpoint rejects, that fail at a grey one, and whose
# answers one loses.
BUSY_SHARE, GREY_SHARE, LOST_SHARE = 0.9, 0.45, 0.3
# Share of the requests that one turns away which wants none for a while, and of these
# responses that say that the request hasn't run.
PAUSING_SHARE, NOT_RUN_SHARE = 0.8, 0.7
# How responses without length end: complete, early by a regular end, early by a reset.
UNFRAMED_ENDS = COMPLETE, CUT, RESET = ("complete", "cut", "reset")


class SoakEndpoint:
    """One endpoint that can crash and restart, each time under a new id.

    Parameters
    ----------
    name : str
        Name of the endpoint in the records, the same after a restart.
    clock : callable
        Returns the seconds since the run began.
    records : Records
        Receives the requests that the endpoint runs and rejects.
    service : str
        Name of its service.
    stage : str or None
        ``prefill`` or ``decode``; None for an endpoint that isn't an engine.
    slots : int or None
        Requests that it runs at once; None for any number.
    handles : dict of str to (SoakEndpoint, float)
        Engine that holds the KV cache of each handle, and until when; shared by all
        engines.
    takes_orders : bool
        Whether the engine changes its stage when it is ordered to.
    event_interval_s : float
        Delay between two events of a stream, in seconds.
    duration_factor : float
        Duration of its work relative to that of other endpoints.

    Attributes
    ----------
    version : str
        Version of its software, which each event names.
    next_version : str or None
        Version that it has from its next planned restart on.
    mode : str
        ``well`` (healthy), ``errors`` (status 500 after the work), ``grey`` (the same
        for `GREY_SHARE` of the requests), ``hang`` (no response), ``break`` (response
        cut off in the body), ``lose`` (runs `LOST_SHARE` of the requests and closes the
        connection without a response), ``unframed`` (responses have no length, and most
        end early, see `UNFRAMED_ENDS`), ``full`` (rejects every request with status 503
        and ``X-Gypsumusher-Not-Run``) or ``busy`` (rejects `BUSY_SHARE` of them).
    pause_s : float or None
        While set, the endpoint turns `PAUSING_SHARE` of the requests away, and wants no
        more from the host for as long.
    is_leaving : bool
        Whether it says in its responses that it leaves.
    handle_ttl_s : float
        How long the engine keeps the KV cache of a prompt.
    is_transfer_slow : bool
        Whether the engine is slow to fetch the KV cache of a prompt.
    is_order_late : bool
        Whether the engine leaves orders unanswered and carries them out later.
    slowdown : float
        Factor on the duration of its work for a while.
    """

    def __init__(
        self,
        name,
        clock,
        records,
        service="svc",
        stage=None,
        slots=None,
        handles=None,
        takes_orders=False,
        event_interval_s=0.02,
        duration_factor=1.0,
    ):
        self.name = name
        self._start_count = 0
        self.version, self.next_version = "v1", None
        self._event_interval_s = event_interval_s
        self._duration_factor, self.slowdown = duration_factor, 1.0
        # Tokens of the shared parts that it has prefilled since its start, by id.
        self._cached_parts = {}
        self.service = service
        self.stage = stage
        self.handle_ttl_s = HANDLE_TTL_S
        self.is_transfer_slow = self.is_order_late = False
        self._slots = slots
        self._running = 0
        self._free_slot = asyncio.Semaphore(slots or 1)
        self._handles = {} if handles is None else handles
        self._handle_count = 0
        self._takes_orders = takes_orders
        self._order_count = 0
        self._is_switching = False
        self._rng = random.Random(name)
        self.mode = "well"
        # Requests per second that the endpoint states in its responses; None for none.
        self.limit_per_s = None
        self.pause_s, self.is_leaving = None, False
        self._clock = clock
        self._records = records
        self._endpoint = None
        # Called with this endpoint when a request's content crashes it.
        self.on_crash = lambda endpoint: None

    @property
    def instance_id(self) -> str:
        """Id of the running process, under which it registers."""
        return f"{self.name}.{self._start_count}"

    async def start(self):
        """Start listening and return the address."""
        self._start_count += 1
        self._cached_parts = {}
        self.pause_s, self.is_leaving = None, False
        self._endpoint = ScriptedEndpoint(self._respond)
        return await self._endpoint.start()

    async def close(self):
        """Stop as in a crash: cut every connection and running request."""
        await self._endpoint.close()
        for handle, (holder, _) in list(self._handles.items()):
            if holder is self:
                del self._handles[handle]

    def _encode(self, request_id, body=b"", status="200 OK", extra=(), framing=None):
        """Return a response, with what the endpoint says of itself."""
        if self.limit_per_s is not None:
            extra = (*extra, f"Server-Limit: {self.limit_per_s}")
        if self.is_leaving:
            extra = (*extra, "Server-Leaving: 1")
            self._record_notice(request_id, None)
        return encode_response(request_id, body, status, extra, framing)

    async def _respond(self, number, head, body, writer):
        """Respond to one request as the current mode says."""
        headers = _parse_headers(head)
        request_id = request_id_of(head)
        method, path, _ = head.decode("latin-1").split(" ", 2)
        if not request_id:
            await self._respond_to_call(method, path, body, writer)
            return
        arrival = Arrival(request_id, self.name, self._clock())
        crashing_part = _find_crashing_part(headers)
        if crashing_part is not None:
            sent = PartArrival(request_id, crashing_part, self._clock())
            self._records.part_sends.append(sent)
        is_prefill = headers.get("x-gypsumusher-stage") == "prefill"
        expected = headers.get("x-gypsumusher-expect-instance", self.instance_id)
        is_wrong_stage = self.stage and is_prefill != (self.stage == "prefill")
        if expected != self.instance_id or is_wrong_stage:
            self._records.rejections.append(arrival)
            writer.write(self._encode(request_id, b"", "421 Misdirected Request"))
            return
        arrived = Arrival(request_id, self.instance_id, self._clock())
        self._records.instance_arrivals.append(arrived)
        if self.pause_s is not None and self._rng.random() < PAUSING_SHARE:
            self._records.rejections.append(arrival)
            writer.write(self._encode_pause(request_id))
            return
        mode = self._draw_mode()
        if mode == "full" or not self._has_kv_cache(headers):
            self._records.rejections.append(arrival)
            status, not_run = "503 Service Unavailable", ("X-Gypsumusher-Not-Run: 1",)
            writer.write(self._encode(request_id, b"", status, not_run))
            return
        if is_prefill:
            self._records.prefills.append(arrival)
            await asyncio.sleep(self._slowed_s(PREFILL_S))
            self._cache_parts(headers)
            prefilled = {"handle": self._hold(), "tokens": 30000, "version": 1}
            body = json.dumps(prefilled).encode()
            writer.write(self._encode(request_id, body))
            return
        self._records.arrivals.append(arrival)
        if self.stage is None:
            self._record_account(arrival, headers)
        await self._work(headers)
        if self.stage is not None:
            # An engine begins to run a request with its first token.
            began = arrival._replace(at_s=self._clock())
            self._record_account(began, headers)
        if crashing_part is not None:
            crash = PartArrival(request_id, crashing_part, self._clock())
            self._records.part_crashes.append(crash)
            self.on_crash(self)
            await asyncio.Event().wait()
        if path.startswith(CRASHING_PREFIX):
            self._records.crashes.append(arrival)
            self.on_crash(self)
            await asyncio.Event().wait()
        if mode == "hang":
            await asyncio.Event().wait()
        if mode == "lose":
            writer.close()
            return
        if mode == "errors":
            writer.write(self._encode(request_id, b"", "500 Internal Server Error"))
            return
        if path.startswith((f"/{STREAM}/", f"/{PROMPT}/")):
            await self._stream(request_id, headers, writer, mode)
            return
        response = self._encode(request_id, expected_body(request_id))
        if mode == "break":
            writer.write(response[: -len(expected_body(request_id)) // 2])
            writer.close()
            return
        if mode == "unframed":
            await self._respond_unframed(request_id, writer)
            return
        writer.write(response)
        await writer.drain()

    def _encode_pause(self, request_id):
        """Return the response to a request that is turned away for a while."""
        extra = [f"Retry-After: {self.pause_s}"]
        if self._rng.random() < NOT_RUN_SHARE:
            extra.append("X-Gypsumusher-Not-Run: 1")
        self._record_notice(request_id, self.pause_s)
        return self._encode(request_id, b"", "503 Service Unavailable", tuple(extra))

    def _record_notice(self, request_id, pause_s):
        """Record what a response to a caller's request says."""
        notice = Notice(request_id, self.instance_id, self._clock(), pause_s)
        self._records.notices.append(notice)

    def _record_account(self, began, headers):
        """Record whose request begins to run, where callers have accounts."""
        if self._records.keys:
            account = headers.get("x-gypsumusher-tenant")
            has_key = "x-gypsumusher-key" in headers
            self._records.account_runs.append(AccountRun(*began, account, has_key))

    def _draw_mode(self):
        """Return the mode in which to respond to one request."""
        mode = self.mode
        if mode == "busy":
            mode = "full" if self._rng.random() < BUSY_SHARE else "well"
        elif mode == "grey":
            mode = "errors" if self._rng.random() < GREY_SHARE else "well"
        elif mode == "lose":
            mode = "lose" if self._rng.random() < LOST_SHARE else "well"
        is_full = self._slots and self._running >= self._slots + QUEUE_LENGTH
        return "full" if is_full or self._is_switching else mode

    def _hold(self):
        """Keep the KV cache of a prompt; return its handle."""
        self._handle_count += 1
        handle = f"{self.name}-{self._handle_count}"
        self._handles[handle] = (self, self._clock() + self.handle_ttl_s)
        return handle

    def _slowed_s(self, usual_s):
        """Return how long work takes here that usually takes some seconds."""
        return usual_s * self._duration_factor * self.slowdown

    def _cache_parts(self, headers):
        """Keep the parts of a prompt that others may share."""
        prefix = headers.get("x-gypsumusher-prompt-prefix", "")
        for entry in prefix.split(",")[:-1]:
            part_id, _, tokens = entry.partition(":")
            self._cached_parts[part_id] = int(tokens)

    def _has_kv_cache(self, headers):
        """Return whether the KV cache that a request names can be fetched; take it."""
        source = headers.get("x-gypsumusher-kv-source")
        if source is None:
            return True
        _, until_s = self._handles.pop(source.rpartition("/")[2], (None, 0.0))
        return self._clock() < until_s

    async def _work(self, headers):
        """Take the time of a request, once a slot is free."""
        self._running += 1
        try:
            if self._slots:
                async with self._free_slot:
                    await asyncio.sleep(WORK_S)
                return
            work_s = WORK_S
            if "x-gypsumusher-kv-source" in headers:
                work_s += SLOW_TRANSFER_S * self.is_transfer_slow
            elif "x-gypsumusher-token-count" in headers and self._takes_orders:
                work_s += PREFILL_AT_DECODE_S
                self._cache_parts(headers)
            await asyncio.sleep(self._slowed_s(work_s))
        finally:
            self._running -= 1

    async def _respond_to_call(self, method, path, body, writer):
        """Respond to a call that isn't a caller's request."""
        status, content = "200 OK", {}
        if path == "/v1/kv-list":
            held = [["", part, n, "m"] for part, n in self._cached_parts.items()]
            content = {"epoch": 1, "next": 0, "held": held}
        if method == "DELETE":
            self._handles.pop(path.rpartition("/")[2], None)
        if path == "/v1/report" and self.stage is not None:
            content = {
                "stage": self.stage,
                "models": [],
                "busy": self._is_switching,
                "seq": self._order_count,
                "queued": 0,
                "active": self._running,
                "kv_used": 0,
                "kv_capacity": 450_000,
                "kv_handles": 0,
            }
        if path == "/v1/order":
            if self.is_order_late:
                await asyncio.sleep(LATE_ORDER_S)
                self._take_order(json.loads(body))
                await asyncio.Event().wait()
            status = self._take_order(json.loads(body))
        writer.write(self._encode("health", json.dumps(content).encode(), status))

    def _take_order(self, order):
        """Begin to carry out an order, unless something forbids it."""
        if not self._takes_orders or order.get("op") != "stage":
            return "400 Bad Request"
        if self._is_switching or order.get("precondition") not in (
            None,
            self._order_count,
        ):
            return "409 Conflict"
        if order["stage"] == self.stage:
            return "200 OK"
        self._order_count += 1
        self._is_switching = True
        asyncio.get_running_loop().call_later(SWITCH_S, self._switch, order["stage"])
        return "202 Accepted"

    def _switch(self, stage):
        """Take the stage that was ordered."""
        self.stage, self._is_switching = stage, False

    async def _respond_unframed(self, request_id, writer):
        """Respond without a length, with the whole body or a reset in the middle.

        A body of no known form that ends early by a regular end can't be told from a
        whole one, so there is no such response.
        """
        body = expected_body(request_id)
        is_reset = self._rng.choice((COMPLETE, RESET)) == RESET
        sent = body[: len(body) // 2] if is_reset else body
        writer.write(self._encode(request_id, sent, framing="Connection: close"))
        await writer.drain()
        _end_connection(writer, is_reset)

    async def _stream_unframed(self, request_id, first, writer):
        """Stream without chunks; most streams end early, within an event."""
        end = self._rng.choice(UNFRAMED_ENDS)
        content_type = ("Content-Type: text/event-stream",)
        framing = "Connection: close"
        writer.write(self._encode(request_id, b"", extra=content_type, framing=framing))
        ends_before = EVENTS if end == COMPLETE else self._rng.randint(first, EVENTS)
        for number in range(first, ends_before):
            writer.write(expected_event(request_id, number, self.version))
            await writer.drain()
            await asyncio.sleep(self._event_interval_s)
        if end != COMPLETE and ends_before < EVENTS:
            event = expected_event(request_id, ends_before, self.version)
            writer.write(event[: self._rng.randrange(1, len(event))])
        _end_connection(writer, end == RESET)

    async def _stream(self, request_id, headers, writer, mode):
        first = 1 + int(headers.get("last-event-id", -1))
        if mode == "unframed":
            await self._stream_unframed(request_id, first, writer)
            return
        content_type = ("Content-Type: text/event-stream",)
        framing = "Transfer-Encoding: chunked"
        writer.write(self._encode(request_id, b"", extra=content_type, framing=framing))
        for number in range(first, EVENTS):
            event = expected_event(request_id, number, self.version)
            if mode == "break" and number >= first + 2:
                writer.write(encode_chunk(event[:5]))
                writer.close()
                return
            writer.write(encode_chunk(event))
            await writer.drain()
            await asyncio.sleep(self._slowed_s(self._event_interval_s))
        writer.write(b"0\r\n\r\n")


def _end_connection(writer, is_reset):
    """End a connection by a reset, or regularly after all that was written."""
    if not is_reset:
        writer.close()
        return
    reset_connection(writer)


def _find_crashing_part(headers):
    """Return the part of a prompt that crashes engines, or None.

    The last part, which only one request has, never does.
    """
    prefix = headers.get("x-gypsumusher-prompt-prefix", "")
    for entry in prefix.split(",")[:-1]:
        part = entry.partition(":")[0]
        if part.startswith(CRASHING_PART):
            return part
    return None


def _parse_headers(head):
    """Return the headers of a request head by lower-case name."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}
