"""Start whole systems of stand-ins and daemons on loopback, and talk to them."""

import asyncio
import json
import pathlib
import shutil
import sys
import tempfile
from typing import Any, NamedTuple

import aiohttp
import yaml
from processes import Process

from gypsumusher_coordination.config_sections import content_hash, split_document
from gypsumusher_objects import disable_retries
from gypsumusher_standins import prompt_digest

PLATFORM_TOKEN = "platform-token"
OPERATOR_TOKEN = "operators-token-0001"
PEER_KEYS = [{"id": "k1", "secret": "a shared secret of the test hosts"}]
WAIT_TIMEOUT_S = 12.0
WAIT_POLL_S = 0.02
CALL_TIMEOUT_S = 30.0

# Intervals a good deal shorter than a fleet's, so that tests take seconds. The ratios
# between them are those of the defaults.
FAST_SETTINGS = {
    "callers": {"port": 0, "entry_max_age_s": 0.3},
    "operators": {"port": 0, "token": OPERATOR_TOKEN},
    "peers": {"port": 0, "keys": PEER_KEYS, "gossip_s": 0.1, "timeout_s": 0.5},
    "platform": {
        "token": PLATFORM_TOKEN,
        "timeout_s": 0.5,
        "watch_s": 2.0,
        "poll_s": 0.1,
        "writes_per_s": 100.0,
        "reads_per_s": 500.0,
    },
    "engines": {"report_s": 0.05, "cache_events_s": 0.2},
    "journal": {"wait_s": 2.0},
    "stewards": {"lease_s": 1.0, "plan_s": 0.2},
}

DEPLOYMENT = {
    "model": "letter-7b",
    "version": "1",
    "default_class": "standard",
    "classes": {
        "counter": {
            "rank": 0,
            "first_token_s": 5.0,
            "between_tokens_s": 0.5,
            "deadline_s": 20,
        },
        "standard": {
            "rank": 1,
            "first_token_s": 10.0,
            "between_tokens_s": 0.5,
            "deadline_s": 60,
        },
    },
    "shifting": False,
    "fencing": "refuses",
    "order_timeout_s": 1.0,
}


class Answer(NamedTuple):
    """An HTTP answer: status, headers, raw body, and whether it ended properly."""

    status: int
    headers: Any
    body: bytes
    whole: bool

    @property
    def json(self):
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def error(self):
        """The error object of a refusal, or an empty dict."""
        if self.status == 200:
            return {}
        return self.json["error"]

    @property
    def text(self):
        """The generated text of a completion, streamed or not."""
        if self.headers.get("Content-Type", "").startswith("text/event-stream"):
            return stream_text(self.body)
        return choice_text(self.json["choices"][0])


def choice_text(choice):
    """Return the text in a choice of any of the four forms."""
    for part in (choice, choice.get("message", {}), choice.get("delta", {})):
        for key in ("text", "content"):
            if isinstance(part.get(key), str):
                return part[key]
    return ""


def stream_events(body):
    """Return the (id, data) pairs of a stream's whole events."""
    events = []
    for block in body.decode().split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.split("\n") if line)
        events.append((int(fields.get("id", "0")), fields["data"]))
    return events


def stream_text(body):
    """Return the generated text of a stream, without regard to its end marker."""
    parts = []
    for _, data in stream_events(body):
        if data == "[DONE]":
            break
        for choice in json.loads(data).get("choices", []):
            parts.append(choice_text(choice))
    return "".join(parts)


def stream_error(body):
    """Return the error object that ends a stream, or None."""
    events = stream_events(body)
    return json.loads(events[-1][1]).get("error") if events else None


def is_done(body):
    """Return whether a stream's last event is its end marker."""
    events = stream_events(body)
    return bool(events) and events[-1][1] == "[DONE]"


def merged(defaults, changes):
    """Return a nested dict with some keys replaced."""
    result = dict(defaults)
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            value = merged(result[key], value)
        result[key] = value
    return result


async def wait_until(condition, what):
    """Wait until a coroutine function returns something true, and return that.

    Parameters
    ----------
    condition : callable
        Coroutine function without arguments.
    what : str
        What is waited for, for the failure's message.

    Raises
    ------
    AssertionError
        If it stays false for `WAIT_TIMEOUT_S`.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + WAIT_TIMEOUT_S
    while True:
        result = await condition()
        if result:
            return result
        assert loop.time() < end_s, f"waited in vain for: {what}"
        await asyncio.sleep(WAIT_POLL_S)


class StandIn(Process):
    """A stand-in with its test control."""

    session = None

    @property
    def address(self):
        """``IP:PORT`` on which it listens."""
        return self.addresses["address"]

    async def control(self, **settings):
        """Set faults."""
        url = f"http://{self.address}/control"
        async with self.session.post(url, json=settings) as answer:
            assert answer.status == 200, await answer.text()

    async def counters(self):
        """Return its counters."""
        async with self.session.get(f"http://{self.address}/control") as answer:
            return await answer.json()


class Platform(StandIn):
    """The platform stand-in, with an operator's view of its objects."""

    def _headers(self):
        return {"Authorization": f"Bearer {PLATFORM_TOKEN}", "X-Client-Name": "test"}

    async def read(self, kind, name):
        """Return an object as the platform gives it, or None."""
        url = f"http://{self.address}/v1/objects/{kind}/{name}"
        async with self.session.get(url, headers=self._headers()) as answer:
            return None if answer.status == 404 else await answer.json()

    async def list(self, kind):
        """Return all objects of a kind."""
        url = f"http://{self.address}/v1/objects/{kind}"
        async with self.session.get(url, headers=self._headers()) as answer:
            return (await answer.json())["items"]

    async def write(self, kind, name, value, if_version=0):
        """Write an object; fails if another version stands."""
        url = f"http://{self.address}/v1/objects/{kind}/{name}"
        body = {"value": value, "if_version": if_version}
        async with self.session.put(url, json=body, headers=self._headers()) as answer:
            assert answer.status in {200, 409}, await answer.text()

    async def list_as_leaving(self, endpoint):
        """Mark an endpoint as leaving in the host list."""
        await self._change_listing(endpoint, "state", "leaving")

    async def list_at(self, endpoint, address):
        """Give an endpoint another address in the host list."""
        await self._change_listing(endpoint, "address", address)

    async def _change_listing(self, endpoint, key, value):
        url = f"http://{self.address}/v1/hosts"
        async with self.session.get(url, headers=self._headers()) as answer:
            items = (await answer.json())["items"]
        item = next(item for item in items if item["name"] == endpoint)
        item[key] = value
        call = self.session.post(url, json=item, headers=self._headers())
        async with call as answer:
            assert answer.status == 200


class Host(Process):
    """A daemon, with a caller's and an operator's view of it."""

    session = None

    async def call(self, method, path, body=None, headers=None, listener="callers"):
        """Make one call and read its whole answer.

        Returns
        -------
        Answer
            ``whole`` is false when the connection broke off in the body.
        """
        url = f"http://{self.addresses[listener]}{path}"
        data = body if isinstance(body, bytes) else None
        value = None if isinstance(body, bytes) else body
        call = self.session.request(
            method, url, json=value, data=data, headers=headers or {}
        )
        async with call as answer:
            parts = []
            whole = True
            try:
                async for part in answer.content.iter_any():
                    parts.append(part)
            except aiohttp.ClientError:
                whole = False
            return Answer(answer.status, answer.headers, b"".join(parts), whole)

    async def complete(self, prompt, max_tokens=8, headers=None, **extra):
        """Ask for a completion."""
        body = {
            "model": "letter-models",
            "prompt": prompt,
            "max_tokens": max_tokens,
            **extra,
        }
        return await self.call("POST", "/v1/completions", body, headers)

    async def mint_key(self):
        """Return a key that names this host as its home."""
        answer = await self.call("POST", "/v1/keys")
        return answer.json["key"]

    async def key_outcome(self, key):
        """Return what this host says of a key."""
        return (await self.call("GET", f"/v1/keys/{key}")).json["outcome"]

    async def admin(self, method, path, body=None):
        """Make an operator's call."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return await self.call(method, f"/admin{path}", body, headers, "operators")

    async def status(self):
        """Return the operator's status."""
        return (await self.admin("GET", "/status")).json

    async def patch(self, base_number, patch, patch_id):
        """Submit a patch of the configuration."""
        body = {
            "base_number": base_number,
            "patch": patch,
            "patch_id": patch_id,
            "author": "test",
            "note": "",
        }
        return await self.admin("POST", "/config/patch", body)

    async def is_ready(self):
        """Return whether it serves callers."""
        return (await self.call("GET", "/readyz")).status == 200


class Fleet:
    """Everything one test starts; all of it is stopped at the end, by process id.

    Notes
    -----
    ``async with Fleet() as fleet`` gives an empty fleet with a temporary folder.
    """

    def __init__(self):
        self.folder = None
        self.session = None
        self.processes = []
        self.platform = None

    async def __aenter__(self):
        """Open the folder and the HTTP session."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gypsumusher-test-"))
        # The library repeats some methods when a connection breaks, which would hide
        # what a caller sees.
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        disable_retries(self.session)
        return self

    async def __aexit__(self, kind, error, trace):
        """Stop everything; on a failure, show the daemons' logs."""
        for process in reversed(self.processes):
            process.destroy()
        await self.session.close()
        if kind is not None:
            for process in self.processes:
                print(f"--- {process.name}\n{process.log_text()[-6000:]}")
        shutil.rmtree(self.folder)

    async def start_platform(self, **options):
        """Start the platform stand-in."""
        self.platform = await self._stand_in(Platform, "platform", "platform", options)
        return self.platform

    async def start_engine(self, name, **options):
        """Start an engine stand-in that is listed on the platform."""
        options = {
            "deployment": "letter-models",
            "speed": 20,
            "role_change_s": 0.3,
            "model_load_s": 0.3,
            "order_timeout_s": 1.0,
            "load_lag_s": 0.05,
            "cache_lag_s": 0.05,
            **self._listing(name),
            **options,
        }
        return await self._stand_in(StandIn, "engine", name, options)

    async def start_service(self, name, **options):
        """Start a plain service stand-in that is listed on the platform."""
        options = {"service": "counter-api", **self._listing(name), **options}
        return await self._stand_in(StandIn, "service", name, options)

    async def start_host(self, name, zone="suwon-a", **changes):
        """Start a daemon; `changes` are sections of its settings."""
        settings = merged(FAST_SETTINGS, {"host": {"name": name, "zone": zone}})
        urls = {"platform": {"urls": [f"http://{self.platform.address}"]}}
        settings = merged(merged(settings, urls), changes)
        path = self.folder / f"{name}-{len(self.processes)}.yaml"
        path.write_text(yaml.safe_dump(settings))
        argv = [sys.executable, "-m", "gypsumusher_daemon", "--settings", str(path)]
        return await self._start(Host, name, argv)

    async def put_config(self, document):
        """Write a first configuration to the platform, as a finished patch would."""
        sections = {}
        for name, value in split_document(document).items():
            sections[name] = content_hash(value)
            await self.platform.write("configsections", sections[name], value)
        patch = {
            "number": 1,
            "patch_id": "first",
            "author": "test",
            "note": "",
            "changed": sorted(sections),
            "at": 0,
        }
        head = {"number": 1, "sections": sections, "patches": [patch]}
        await self.platform.write("config", "head", head)

    async def start_system(self, hosts=2, engines=2, deployment=None, **settings):
        """Start a platform, engines and daemons; return when work can be served.

        Parameters
        ----------
        hosts, engines : int
            How many; they are named h1, h2 and e1, e2.
        deployment : dict, optional
            Changes to the configuration of the deployment letter-models.
        **settings
            Sections of the daemons' settings.

        Returns
        -------
        (list of Host, list of StandIn)
            The daemons and the engines.
        """
        await self.start_platform()
        section = merged(DEPLOYMENT, deployment or {})
        document = {
            "deployments": {"letter-models": section},
            "services": {"counter-api": {}},
        }
        await self.put_config(document)
        engine_tasks = [self.start_engine(f"e{n + 1}") for n in range(engines)]
        host_tasks = [self.start_host(f"h{n + 1}", **settings) for n in range(hosts)]
        started = await asyncio.gather(*engine_tasks, *host_tasks)
        in_cell = min(hosts, section.get("cell_hosts", hosts))
        await self.wait_until_served(started[engines:], engines, in_cell)
        return started[engines:], started[:engines]

    async def wait_until_served(self, hosts, engines, in_cell=1):
        """Wait until each daemon is ready, sees the engines and the other daemons.

        Parameters
        ----------
        hosts : list of Host
            The daemons.
        engines : int
            How many engines each of them has to see.
        in_cell : int
            How many daemons have to know the engines' roles as well. An engine's role
            comes with its first report, which only the hosts of its cell read; until
            then it gets no work, however live its entry says it is.
        """

        async def are_ready():
            knowing = 0
            for host in hosts:
                if not await host.is_ready():
                    return False
                status = await host.status()
                seen = [
                    endpoint
                    for endpoint in status["endpoints"]
                    if endpoint["kind"] == "engine" and endpoint["state"] == "live"
                ]
                if len(seen) < engines:
                    return False
                live = [h for h in status["hosts"] if h["state"] == "live"]
                if len(live) < len(hosts):
                    return False
                roles = [endpoint for endpoint in seen if endpoint["role"]]
                knowing += len(roles) >= engines
            return knowing >= in_cell

        await wait_until(are_ready, "the daemons to be ready")

    async def runs_of(self, prompt, engines):
        """Return how often a prompt ran on some engines, prefill stages left out."""
        runs = 0
        for engine in engines:
            if engine.exit_code() is None:
                counters = await engine.counters()
                runs += counters["prompts"].get(prompt_digest(prompt), 0)
        return runs

    def _listing(self, name):
        url = f"http://{self.platform.address}"
        return {"name": name, "platform": url, "platform_token": PLATFORM_TOKEN}

    async def _stand_in(self, kind, command, name, options):
        argv = [sys.executable, "-m", "gypsumusher_standins", command]
        for key, value in options.items():
            argv += [f"--{key.replace('_', '-')}", str(value)]
        return await self._start(kind, name, argv)

    async def _start(self, kind, name, argv):
        log_path = self.folder / f"{name}-{len(self.processes)}.log"
        process = kind(name, argv, log_path)
        process.session = self.session
        self.processes.append(process)
        await process.start()
        return process
