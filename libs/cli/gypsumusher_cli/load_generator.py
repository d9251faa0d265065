"""Sends a load at its planned times and checks each response.

The generator is open-loop: each request is sent at its planned time, whether or not
earlier ones have ended. A closed-loop generator would send fewer requests to a slow
system and so under-report its latency.
"""

import asyncio
import collections
import hashlib
import json
from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from gypsumusher_cli.entry_cache import EntryHostCache
from gypsumusher_cli.load_spec import make_prompt, plan_arrivals
from gypsumusher_cli.response_checker import ResponseChecker

CONNECT_TIMEOUT_S = 2.0
# How long after its deadline a request may still end before it counts as lost; within
# that time it counts as served late.
DEADLINE_GRACE_S = 15.0
# A caller gives a request up at this number of refusals, whatever their retry_after_s.
MAX_REFUSALS = 4
# Pause between two rounds over all hosts when none of them serves the request.
HOST_ROUND_PAUSE_S = 0.2
# Codes of refusals that apply to one host only, so that another host is tried at once.
HOST_LOCAL_CODES = ("stopping", "not_ready")
# How often an idempotent request is restarted after its response broke off and can't be
# resumed.
MAX_RESTARTS = 2
# Pause before a request is repeated whose idempotency key is still in progress, when
# the host gives no retry_after_s.
IN_PROGRESS_PAUSE_S = 0.5
# Limits the length of a line of an event stream; engines send none that long.
READ_BUFFER_BYTES = 2**20


class LoadOptions(NamedTuple):
    """Target of a load, and how its responses are checked.

    ``hosts`` are the callers' addresses (``IP:PORT``) of entry hosts, ``zone`` the
    callers' availability zone. ``expected_text`` takes the prompt and the number of
    output tokens and returns the only correct text; without it only event ids and the
    end marker are checked.
    """

    hosts: tuple[str, ...]
    zone: str = ""
    expected_text: Callable[[str, int], str] | None = None
    grace_s: float = DEADLINE_GRACE_S


class Outcome(NamedTuple):
    """How one request ended.

    ``result`` is served, refused, lost, doubled, incomplete or crossed (the response
    of another request); ``reason`` is the refusal's code or a description of the fault.
    ``run`` tells whether an endpoint ran the request: yes, no or unknown. Times count
    from the request's first sending; ``first_token_s`` is None when no token arrived.
    ``inter_token_s`` are the times between successive tokens.
    """

    number: int
    stream: str
    class_name: str
    target: str
    non_idempotent: bool
    result: str
    reason: str
    run: str
    first_token_s: float | None
    total_s: float
    inter_token_s: tuple[float, ...]
    output_tokens: int
    resumes: int
    refusals: int
    on_time: bool
    fingerprint: str
    request_id: str


class Progress(NamedTuple):
    """Progress of a running load; ``results`` counts ended requests by result."""

    elapsed_s: float
    planned: int
    sent: int
    running: int
    results: dict[str, int]


class _Refusal(NamedTuple):
    """An error response: its code, whether the request ran, when to retry."""

    code: str
    run: str
    retry_after_s: float | None


class _RequestResult(NamedTuple):
    """How a request ended; see `Outcome` for the values."""

    kind: str
    reason: str
    run: str


class _RequestState:
    """State of one request of the load, across all its attempts and connections."""

    def __init__(self, arrival, stream, target, prompt, started_s):
        self.arrival = arrival
        self.stream = stream
        self.target = target
        self.prompt = prompt
        self.started_s = started_s
        self.checker = ResponseChecker()
        self.key = ""
        self.resume_token = ""
        self.request_id = ""
        self.resumes = 0
        self.refusals = 0
        self.host_refusal = None
        self.restarts = 0


def fingerprint_text(text):
    """Return the first 16 hexadecimal digits of a text's SHA-256."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class LoadGenerator:
    """Sends one load and collects the outcomes of its requests.

    Parameters
    ----------
    spec : LoadSpec
        The load.
    options : LoadOptions
        Target and checks of the load.
    """

    def __init__(self, spec, options):
        self._spec = spec
        self._options = options
        self._arrivals = plan_arrivals(spec)
        self._session = None
        self._entry_hosts = None
        self._started_s = 0.0
        self._running = set()
        self._sent = 0
        self.outcomes = []

    async def start(self):
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        # No limit on connections: requests that wait for one would not be sent at
        # their planned times, which makes the load closed-loop.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=timeout,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._entry_hosts = EntryHostCache(
            self._session, self._options.hosts, self._options.zone
        )

    async def close(self):
        """Cancel the requests that still run and close the HTTP session."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        await self._session.close()

    def progress(self):
        """Return the progress of the load."""
        return Progress(
            elapsed_s=self._now_s() - self._started_s,
            planned=len(self._arrivals),
            sent=self._sent,
            running=len(self._running),
            results=dict(collections.Counter(item.result for item in self.outcomes)),
        )

    async def run(self):
        """Send the whole load and wait until every request has ended.

        Returns
        -------
        list of Outcome
            One for each arrival, in order of their numbers.
        """
        self._started_s = self._now_s()
        for arrival in self._arrivals:
            wait_s = self._started_s + arrival.at_s - self._now_s()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            task = asyncio.ensure_future(self._send(arrival))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            self._sent += 1
        while self._running:
            await asyncio.wait(set(self._running))
        self.outcomes.sort(key=lambda item: item.number)
        return self.outcomes

    def _now_s(self):
        return asyncio.get_running_loop().time()

    async def _send(self, arrival):
        stream = self._spec.streams[arrival.stream]
        state = _RequestState(
            arrival,
            stream,
            self._spec.classes[stream.class_name],
            make_prompt(self._spec, arrival),
            self._now_s(),
        )
        limit_s = state.target.deadline_s + self._options.grace_s
        try:
            async with asyncio.timeout(limit_s):
                result = await self._run_request(state)
        except TimeoutError:
            result = _timed_out_result(state)
        self.outcomes.append(self._outcome(state, result))

    async def _run_request(self, state):
        """Send one request, with restarts and retries, until its final result."""
        while True:
            if state.arrival.non_idempotent and not state.key:
                state.key = await self._create_key(state)
            result = await self._send_once(state)
            if isinstance(result, _RequestResult):
                return result
            if result.code == "in_progress" and state.key:
                await asyncio.sleep(result.retry_after_s or IN_PROGRESS_PAUSE_S)
                continue
            if state.resume_token:
                # The host had accepted the request and begun its response, so an error
                # now counts as a lost response. Only an idempotent request may be
                # restarted; nothing of its first response is kept.
                if state.key or state.restarts >= MAX_RESTARTS:
                    reason = f"accepted, then {result.code}"
                    return _RequestResult("lost", reason, result.run)
                state.restarts += 1
                continue
            state.refusals += 1
            wait_s = result.retry_after_s
            if not self._may_retry(state, result, wait_s):
                return _RequestResult("refused", result.code, result.run)
            # The request didn't run. A key whose outcome is not_run is never run
            # later, so the next attempt needs a new key.
            state.key = ""
            await asyncio.sleep(wait_s)

    def _may_retry(self, state, refusal, wait_s):
        """Return whether a refused request may be sent again after ``wait_s``."""
        if not self._spec.obey_retry_after or wait_s is None:
            return False
        if refusal.run != "no" or state.refusals >= MAX_REFUSALS:
            return False
        waited_s = self._now_s() - state.started_s
        return waited_s + wait_s < state.target.deadline_s

    async def _create_key(self, state):
        """Return a new idempotency key from a host."""
        return await self._try_hosts(state, self._post_keys)

    async def _post_keys(self, address, state):
        async with self._session.post(f"http://{address}/v1/keys") as response:
            body = await response.json()
        return body.get("key") or None

    async def _try_hosts(self, state, call):
        """Call one host after the other until one returns a result.

        A host that refuses the connection has received nothing, so that trying another
        one is always safe. ``call`` returns None when another host has to be tried.
        The first host depends on the request's number, to spread requests over hosts.
        """
        first = state.arrival.number
        while True:
            deployment = state.stream.deployment
            addresses = await self._entry_hosts.addresses(self._now_s(), deployment)
            for position in range(len(addresses)):
                address = addresses[(first + position) % len(addresses)]
                try:
                    response = await call(address, state)
                except (aiohttp.ClientConnectorError, aiohttp.ServerTimeoutError):
                    self._entry_hosts.remove_address(deployment, address)
                    continue
                except (aiohttp.ClientError, OSError, ValueError):
                    continue
                if response is not None:
                    return response
            await asyncio.sleep(HOST_ROUND_PAUSE_S)

    async def _send_once(self, state):
        """Make one attempt from the start of the response; resumes belong to it."""
        if state.stream.service:
            return await self._try_hosts(state, self._call_service)
        state.checker = ResponseChecker()
        state.resume_token = ""
        return await self._try_hosts(state, self._stream_response)

    async def _handle_refusal(self, response, state):
        """Return the refusal, or None when another host has to be tried."""
        refusal = await _read_refusal(response)
        if refusal.code in HOST_LOCAL_CODES and refusal.run == "no":
            state.host_refusal = refusal
            return None
        return refusal

    def _headers(self, state):
        headers = {
            "Gypsumusher-Tenant": state.arrival.tenant,
            "Gypsumusher-Class": state.stream.class_name,
            "Gypsumusher-Deadline-S": f"{state.target.deadline_s:g}",
        }
        if state.key:
            headers["Idempotency-Key"] = state.key
        return headers

    async def _stream_response(self, address, state):
        """Read the response, or its remaining events, over one connection.

        Returns None when the connection broke before the response was complete; the
        remaining events are then requested from the next host.
        """
        if state.resume_token:
            request = self._resume_request(address, state)
        else:
            request = self._model_request(address, state)
        try:
            async with request as response:
                if response.status != 200:
                    return await self._handle_refusal(response, state)
                token = response.headers.get("Gypsumusher-Resume", "")
                state.resume_token = token or state.resume_token
                state.request_id = response.headers.get("Gypsumusher-Request-Id", "")
                await self._read_events(response, state)
        except aiohttp.ClientConnectorError:
            # Handled by _try_hosts, which removes the address from the cache.
            raise
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError, OSError):
            return self._after_break(state)
        return self._after_end(state)

    def _model_request(self, address, state):
        body = {
            "model": state.stream.deployment,
            "prompt": state.prompt,
            "max_tokens": state.arrival.output_tokens,
            "stream": True,
        }
        return self._session.post(
            f"http://{address}/v1/completions",
            json=body,
            headers=self._headers(state),
        )

    def _resume_request(self, address, state):
        state.resumes += 1
        headers = {
            "Gypsumusher-Resume": state.resume_token,
            "Last-Event-ID": str(state.checker.last_event_id),
        }
        return self._session.get(f"http://{address}/v1/resume", headers=headers)

    async def _read_events(self, response, state):
        state.checker.on_reconnect()
        async for line in response.content:
            state.checker.on_line(self._now_s(), line)

    def _after_break(self, state):
        """Return the result after a broken connection; None to try another host."""
        if state.checker.complete:
            return self._after_end(state)
        # With a resume token the next host is asked for the remaining events. Without
        # one nothing of the response has arrived, so that a new request can't mix two
        # responses; a request with a key runs at most once in any case.
        return None

    def _after_end(self, state):
        """Return the result after the end of an event stream."""
        error = state.checker.error
        if error is not None:
            return _parse_refusal(error)
        if not state.checker.complete and state.checker.fault is None:
            return self._after_break(state)
        expected = None
        if self._options.expected_text is not None:
            expected = self._options.expected_text(
                state.prompt, state.arrival.output_tokens
            )
        fault = state.checker.find_fault(expected)
        if fault is not None:
            return _RequestResult(fault.kind, fault.detail, "unknown")
        return _RequestResult("served", "", "yes")

    async def _call_service(self, address, state):
        stream = state.stream
        url = f"http://{address}/v1/services/{stream.service}{stream.path}"
        headers = self._headers(state)
        # Idempotent requests are sent as GET, others as POST with an idempotency key.
        if state.key:
            request = self._session.post(
                url,
                data=_request_content(state).encode(),
                headers={**headers, "Content-Type": "application/json"},
            )
        else:
            request = self._session.get(url, headers=headers)
        async with request as response:
            state.request_id = response.headers.get("Gypsumusher-Request-Id", "")
            if response.status != 200:
                return await self._handle_refusal(response, state)
            body = json.loads(await response.read())
        state.checker.first_token_s = self._now_s()
        if state.key and not _is_echo_of(body, state.prompt):
            return _RequestResult(
                "crossed", "the echo is not this request's", "unknown"
            )
        return _RequestResult("served", "", "yes")

    def _outcome(self, state, result):
        now_s = self._now_s()
        checker = state.checker
        first_token_s = None
        if checker.first_token_s is not None:
            first_token_s = checker.first_token_s - state.started_s
        total_s = now_s - state.started_s
        served = result.kind == "served"
        on_time = (
            served
            and first_token_s is not None
            and first_token_s <= state.target.first_token_s
            and total_s <= state.target.deadline_s
        )
        return Outcome(
            number=state.arrival.number,
            stream=state.stream.name,
            class_name=state.stream.class_name,
            target=state.stream.deployment or state.stream.service,
            non_idempotent=state.arrival.non_idempotent,
            result=result.kind,
            reason=result.reason,
            run=result.run,
            first_token_s=first_token_s,
            total_s=total_s,
            inter_token_s=tuple(checker.inter_token_s),
            output_tokens=len(checker.text_parts),
            resumes=state.resumes,
            refusals=state.refusals,
            on_time=on_time,
            fingerprint=fingerprint_text(_request_content(state)),
            request_id=state.request_id,
        )


def _timed_out_result(state):
    """Return the result of a request that got no final response in time.

    It counts as refused when a host that can't serve at present refused it and no
    other host accepted it, else as lost.
    """
    refusal = state.host_refusal
    if refusal is not None and not state.request_id:
        return _RequestResult("refused", refusal.code, refusal.run)
    return _RequestResult("lost", "no final response in time", "unknown")


def _request_content(state):
    """Return the content by which endpoints count runs: the prompt, or the body."""
    if state.stream.service:
        return json.dumps({"prompt": state.prompt})
    return state.prompt


def _is_echo_of(body, prompt):
    """Return whether a plain service's response echoes this prompt."""
    echo = body.get("echo")
    if isinstance(echo, str):
        echo = json.loads(echo)
    return echo == {"prompt": prompt}


async def _read_refusal(response):
    """Return the refusal in an error response.

    A response without an error object counts as a refusal with code ``status_N``.
    """
    try:
        body = await response.json(content_type=None)
    except ValueError:
        body = None
    error = body.get("error") if isinstance(body, dict) else None
    if not isinstance(error, dict):
        error = {"code": f"status_{response.status}"}
    return _parse_refusal(error)


def _parse_refusal(error):
    retry_after_s = error.get("retry_after_s")
    return _Refusal(
        code=str(error.get("code", "unknown")),
        run=str(error.get("run", "unknown")),
        retry_after_s=None if retry_after_s is None else float(retry_after_s),
    )


async def run_load(spec, options, on_progress=None, progress_every_s=1.0):
    """Send a load and return the outcomes of its requests.

    Parameters
    ----------
    spec : LoadSpec
        The load.
    options : LoadOptions
        Target and checks of the load.
    on_progress : callable, optional
        Called with a `Progress` every ``progress_every_s``.
    progress_every_s : float
        Interval of these calls, in seconds.

    Returns
    -------
    list of Outcome
        One per request, in order of their numbers.
    """
    load = LoadGenerator(spec, options)
    await load.start()
    reporter = None
    if on_progress is not None:
        reporter = asyncio.ensure_future(
            _report_progress(load, on_progress, progress_every_s)
        )
    try:
        return await load.run()
    finally:
        if reporter is not None:
            reporter.cancel()
        await load.close()


async def _report_progress(load, on_progress, every_s):
    while True:
        await asyncio.sleep(every_s)
        on_progress(load.progress())
