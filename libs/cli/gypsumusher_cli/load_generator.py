"""Sends a load at its own pace, whatever the answers do, and checks each answer.

The generator is open-loop: a request goes out at its planned time also when earlier
ones are late, so that a slow system can't hide its slowness by slowing its callers.
"""

import asyncio
import collections
import hashlib
import json
from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from gypsumusher_cli.entry_cache import EntryCache
from gypsumusher_cli.load_spec import make_prompt, plan_arrivals
from gypsumusher_cli.response_checker import AnswerChecker

CONNECT_TIMEOUT_S = 2.0
# How long after its deadline a request may still end before it counts as lost.
GRACE_S = 15.0
# A caller that has been refused asks at most this often, when told to come back.
MOST_REFUSALS = 4
# Between two rounds over all hosts when none takes a connection.
ROUND_PAUSE_S = 0.2
# Refusals that speak of one host only: another one may well take the request.
HOST_ONLY_CODES = ("stopping", "not_ready")
# How often an idempotent request is begun anew after its accepted answer was cut off.
MOST_ANEW = 2
# How soon to ask again for a key whose request is still running elsewhere.
IN_PROGRESS_PAUSE_S = 0.5
# Longest single line of an event stream; a longer one is no answer of an engine.
READ_BUFFER_BYTES = 2**20


class LoadOptions(NamedTuple):
    """Where a load goes and how it is checked.

    ``expected_text`` takes the prompt and the output tokens and returns the one right
    text; without it only ids and the end marker are checked.
    """

    hosts: tuple[str, ...]
    zone: str = ""
    expected_text: Callable[[str, int], str] | None = None
    grace_s: float = GRACE_S


class Outcome(NamedTuple):
    """How one request ended.

    ``result`` is served, refused, lost, doubled, incomplete or crossed; ``reason`` is
    the refusal's code or what was seen. Times are None where nothing came.
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
    whole_s: float
    gaps_s: tuple[float, ...]
    output_tokens: int
    resumes: int
    refusals: int
    on_time: bool
    fingerprint: str
    request_id: str


class Progress(NamedTuple):
    """How far a running load has come."""

    elapsed_s: float
    planned: int
    sent: int
    running: int
    results: dict[str, int]


class _Refusal(NamedTuple):
    code: str
    run: str
    retry_after_s: float | None


class _Ended(NamedTuple):
    result: str
    reason: str
    run: str


class _Attempt:
    """The state of one request of the load, over all its connections."""

    def __init__(self, arrival, stream, target, prompt, started_s):
        self.arrival = arrival
        self.stream = stream
        self.target = target
        self.prompt = prompt
        self.started_s = started_s
        self.checker = AnswerChecker()
        self.key = ""
        self.resume_token = ""
        self.request_id = ""
        self.resumes = 0
        self.refusals = 0
        self.host_refusal = None
        self.anew = 0


def content_fingerprint(text):
    """Return the first 16 hexadecimal digits of a text's SHA-256."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class LoadRun:
    """One run of a load: its session, its hosts and its outcomes.

    Parameters
    ----------
    mix : LoadSpec
        The load.
    options : LoadOptions
        Where it goes.
    """

    def __init__(self, mix, options):
        self._mix = mix
        self._options = options
        self._arrivals = plan_arrivals(mix)
        self._session = None
        self._entry = None
        self._started_s = 0.0
        self._running = set()
        self._sent = 0
        self.outcomes = []

    async def start(self):
        """Open the session."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        # The connection limit is off: a limit would make the load closed-loop.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=timeout,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._entry = EntryCache(self._session, self._options.hosts, self._options.zone)

    async def close(self):
        """Close the session; requests still running are given up."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        await self._session.close()

    def progress(self):
        """Return how far the run has come."""
        return Progress(
            elapsed_s=self._now_s() - self._started_s,
            planned=len(self._arrivals),
            sent=self._sent,
            running=len(self._running),
            results=dict(collections.Counter(item.result for item in self.outcomes)),
        )

    async def run(self):
        """Send the whole load and wait for the last answer.

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
        stream = self._mix.streams[arrival.stream]
        attempt = _Attempt(
            arrival,
            stream,
            self._mix.classes[stream.class_name],
            make_prompt(self._mix, arrival),
            self._now_s(),
        )
        limit_s = attempt.target.deadline_s + self._options.grace_s
        try:
            async with asyncio.timeout(limit_s):
                ended = await self._until_ended(attempt)
        except TimeoutError:
            ended = _without_answer(attempt)
        self.outcomes.append(self._outcome(attempt, ended))

    async def _until_ended(self, attempt):
        """Ask until the request is answered or finally refused."""
        while True:
            if attempt.arrival.non_idempotent and not attempt.key:
                attempt.key = await self._mint_key(attempt)
            ended = await self._ask_once(attempt)
            if isinstance(ended, _Ended):
                return ended
            if ended.code == "in_progress" and attempt.key:
                await asyncio.sleep(ended.retry_after_s or IN_PROGRESS_PAUSE_S)
                continue
            if attempt.resume_token:
                # The answer had begun, so this is no refusal but a broken promise,
                # unless beginning anew mends it; nothing of the old one is kept.
                if attempt.key or attempt.anew >= MOST_ANEW:
                    reason = f"accepted, then {ended.code}"
                    return _Ended("lost", reason, ended.run)
                attempt.anew += 1
                continue
            attempt.refusals += 1
            wait_s = ended.retry_after_s
            if not self._may_come_back(attempt, ended, wait_s):
                return _Ended("refused", ended.code, ended.run)
            # The refusal is true: nothing ran. A minted key that is recorded as not
            # run is never run later, so the next try takes a new one.
            attempt.key = ""
            await asyncio.sleep(wait_s)

    def _may_come_back(self, attempt, refusal, wait_s):
        if not self._mix.obey_retry_after or wait_s is None:
            return False
        if refusal.run != "no" or attempt.refusals >= MOST_REFUSALS:
            return False
        waited_s = self._now_s() - attempt.started_s
        return waited_s + wait_s < attempt.target.deadline_s

    async def _mint_key(self, attempt):
        return await self._over_hosts(attempt, self._post_keys)

    async def _post_keys(self, address, attempt):
        async with self._session.post(f"http://{address}/v1/keys") as answer:
            body = await answer.json()
        return body.get("key") or None

    async def _over_hosts(self, attempt, call):
        """Make a call at one host after the other until one gives an answer.

        A host that refuses the connection has read nothing, so asking another one is
        always right. The call itself returns None when it wants another host too.
        """
        first = attempt.arrival.number
        while True:
            deployment = attempt.stream.deployment
            addresses = await self._entry.addresses(self._now_s(), deployment)
            for position in range(len(addresses)):
                address = addresses[(first + position) % len(addresses)]
                try:
                    answer = await call(address, attempt)
                except (aiohttp.ClientConnectorError, aiohttp.ServerTimeoutError):
                    self._entry.forget(deployment, address)
                    continue
                except (aiohttp.ClientError, OSError, ValueError):
                    continue
                if answer is not None:
                    return answer
            await asyncio.sleep(ROUND_PAUSE_S)

    async def _ask_once(self, attempt):
        if attempt.stream.service:
            return await self._over_hosts(attempt, self._call_service)
        attempt.checker = AnswerChecker()
        attempt.resume_token = ""
        return await self._over_hosts(attempt, self._stream_some)

    async def _refused(self, answer, attempt):
        """Return the refusal, or None where another host is to be asked."""
        refusal = await _read_refusal(answer)
        if refusal.code in HOST_ONLY_CODES and refusal.run == "no":
            attempt.host_refusal = refusal
            return None
        return refusal

    def _headers(self, attempt):
        headers = {
            "Gypsumusher-Tenant": attempt.arrival.tenant,
            "Gypsumusher-Class": attempt.stream.class_name,
            "Gypsumusher-Deadline-S": f"{attempt.target.deadline_s:g}",
        }
        if attempt.key:
            headers["Idempotency-Key"] = attempt.key
        return headers

    async def _stream_some(self, address, attempt):
        """Take the answer, or the rest of it, over one connection.

        Returns None when the connection broke before the answer was whole: the rest
        is then asked for at another host.
        """
        if attempt.resume_token:
            request = self._resume_request(address, attempt)
        else:
            request = self._model_request(address, attempt)
        try:
            async with request as answer:
                if answer.status != 200:
                    return await self._refused(answer, attempt)
                token = answer.headers.get("Gypsumusher-Resume", "")
                attempt.resume_token = token or attempt.resume_token
                attempt.request_id = answer.headers.get("Gypsumusher-Request-Id", "")
                await self._read_events(answer, attempt)
        except aiohttp.ClientConnectorError:
            # No connection, so this address is dropped from the kept entry answer.
            raise
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError, OSError):
            return self._after_break(attempt)
        return self._after_end(attempt)

    def _model_request(self, address, attempt):
        body = {
            "model": attempt.stream.deployment,
            "prompt": attempt.prompt,
            "max_tokens": attempt.arrival.output_tokens,
            "stream": True,
        }
        return self._session.post(
            f"http://{address}/v1/completions",
            json=body,
            headers=self._headers(attempt),
        )

    def _resume_request(self, address, attempt):
        attempt.resumes += 1
        headers = {
            "Gypsumusher-Resume": attempt.resume_token,
            "Last-Event-ID": str(attempt.checker.last_event_id),
        }
        return self._session.get(f"http://{address}/v1/resume", headers=headers)

    async def _read_events(self, answer, attempt):
        attempt.checker.new_connection()
        async for line in answer.content:
            attempt.checker.on_line(self._now_s(), line)

    def _after_break(self, attempt):
        if attempt.checker.complete:
            return self._after_end(attempt)
        # Without a token nothing of the answer has come, so asking anew splices
        # nothing; with a key the system itself keeps it to one run.
        return None

    def _after_end(self, attempt):
        error = attempt.checker.error
        if error is not None:
            return _refusal_of(error)
        if not attempt.checker.complete and attempt.checker.fault is None:
            return self._after_break(attempt)
        expected = None
        if self._options.expected_text is not None:
            expected = self._options.expected_text(
                attempt.prompt, attempt.arrival.output_tokens
            )
        fault = attempt.checker.verdict(expected)
        if fault is not None:
            return _Ended(fault.kind, fault.detail, "unknown")
        return _Ended("served", "", "yes")

    async def _call_service(self, address, attempt):
        stream = attempt.stream
        url = f"http://{address}/v1/services/{stream.service}{stream.path}"
        headers = self._headers(attempt)
        # A call that may be repeated is a GET; one that may not is a POST with a key.
        if attempt.key:
            request = self._session.post(
                url,
                data=_sent_content(attempt).encode(),
                headers={**headers, "Content-Type": "application/json"},
            )
        else:
            request = self._session.get(url, headers=headers)
        async with request as answer:
            attempt.request_id = answer.headers.get("Gypsumusher-Request-Id", "")
            if answer.status != 200:
                return await self._refused(answer, attempt)
            body = json.loads(await answer.read())
        attempt.checker.first_token_s = self._now_s()
        if attempt.key and not _is_echo(body, attempt.prompt):
            return _Ended("crossed", "the echo is not this request's", "unknown")
        return _Ended("served", "", "yes")

    def _outcome(self, attempt, ended):
        now_s = self._now_s()
        checker = attempt.checker
        first_token_s = None
        if checker.first_token_s is not None:
            first_token_s = checker.first_token_s - attempt.started_s
        whole_s = now_s - attempt.started_s
        served = ended.result == "served"
        on_time = (
            served
            and first_token_s is not None
            and first_token_s <= attempt.target.first_token_s
            and whole_s <= attempt.target.deadline_s
        )
        return Outcome(
            number=attempt.arrival.number,
            stream=attempt.stream.name,
            class_name=attempt.stream.class_name,
            target=attempt.stream.deployment or attempt.stream.service,
            non_idempotent=attempt.arrival.non_idempotent,
            result=ended.result,
            reason=ended.reason,
            run=ended.run,
            first_token_s=first_token_s,
            whole_s=whole_s,
            gaps_s=tuple(checker.gaps_s),
            output_tokens=len(checker.text_parts),
            resumes=attempt.resumes,
            refusals=attempt.refusals,
            on_time=on_time,
            fingerprint=content_fingerprint(_sent_content(attempt)),
            request_id=attempt.request_id,
        )


def _without_answer(attempt):
    """Return how a request ended that got no final answer in time."""
    refusal = attempt.host_refusal
    if refusal is not None and not attempt.request_id:
        return _Ended("refused", refusal.code, refusal.run)
    return _Ended("lost", "no final answer in time", "unknown")


def _sent_content(attempt):
    """Return what endpoints count runs by: the prompt, or a service call's body."""
    if attempt.stream.service:
        return json.dumps({"prompt": attempt.prompt})
    return attempt.prompt


def _is_echo(body, prompt):
    """Return whether a plain service's answer is the one to this prompt."""
    echo = body.get("echo")
    if isinstance(echo, str):
        echo = json.loads(echo)
    return echo == {"prompt": prompt}


async def _read_refusal(answer):
    """Read a refusal; anything else with an error status counts as one too."""
    try:
        body = await answer.json(content_type=None)
    except ValueError:
        body = None
    error = body.get("error") if isinstance(body, dict) else None
    if not isinstance(error, dict):
        error = {"code": f"status_{answer.status}"}
    return _refusal_of(error)


def _refusal_of(error):
    retry_after_s = error.get("retry_after_s")
    return _Refusal(
        code=str(error.get("code", "unknown")),
        run=str(error.get("run", "unknown")),
        retry_after_s=None if retry_after_s is None else float(retry_after_s),
    )


async def run_load(mix, options, on_progress=None, progress_every_s=1.0):
    """Run a load from start to end.

    Parameters
    ----------
    mix : LoadSpec
        The load.
    options : LoadOptions
        Where it goes.
    on_progress : callable, optional
        Called with a `Progress` now and then.
    progress_every_s : float
        How often.

    Returns
    -------
    list of Outcome
        One for each request.
    """
    load = LoadRun(mix, options)
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
