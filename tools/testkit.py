"""Starts systems of stand-ins and daemons on loopback and calls their APIs."""

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
# Limit and poll interval of `wait_until`.
WAIT_TIMEOUT_S = 12.0
WAIT_POLL_S = 0.02
# Client timeout of each HTTP call.
CALL_TIMEOUT_S = 30.0

# Intervals far shorter than the defaults, so that tests take seconds; the ratios
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


class HttpResponse(NamedTuple):
    """An HTTP response; ``is_complete`` is false if its body was cut off."""

    status: int
    headers: Any
    body: bytes
    is_complete: bool

    @property
    def json(self):
        """The body, decoded as JSON."""
        return json.loads(self.body)

    @property
    def error(self):
        """The error object of the response, or an empty dict if its status is 200."""
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
    """Return the text of a choice: completion or chat, whole or streamed."""
    for part in (choice, choice.get("message", {}), choice.get("delta", {})):
        for key in ("text", "content"):
            if isinstance(part.get(key), str):
                return part[key]
    return ""


def stream_events(body):
    """Return the (id, data) pairs of the complete events of a stream."""
    events = []
    for block in body.decode().split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.split("\n") if line)
        events.append((int(fields.get("id", "0")), fields["data"]))
    return events


def stream_text(body):
    """Return the generated text of a stream, with or without the [DONE] event."""
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
    """Return whether the last event of a stream is [DONE]."""
    events = stream_events(body)
    return bool(events) and events[-1][1] == "[DONE]"


def merge_nested(defaults, changes):
    """Return a nested dict with the values of another merged into it."""
    result = dict(defaults)
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            value = merge_nested(result[key], value)
        result[key] = value
    return result


async def wait_until(condition, what):
    """Wait until a coroutine function returns something true, and return that.

    Parameters
    ----------
    condition : callable
        Coroutine function without arguments.
    what : str
        Description of the condition, for the error message.

    Raises
    ------
    AssertionError
        If the condition is false for `WAIT_TIMEOUT_S`.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + WAIT_TIMEOUT_S
    while True:
        result = await condition()
        if result:
            return result
        assert loop.time() < deadline_s, f"not true within {WAIT_TIMEOUT_S:g} s: {what}"
        await asyncio.sleep(WAIT_POLL_S)


class StandIn(Process):
    """A stand-in process with its control endpoint for tests."""

    session = None

    @property
    def address(self):
        """``IP:PORT`` on which the stand-in listens."""
        return self.addresses["address"]

    async def control(self, **settings):
        """Change the stand-in's settings, e.g. to inject a fault."""
        url = f"http://{self.address}/control"
        async with self.session.post(url, json=settings) as response:
            assert response.status == 200, await response.text()

    async def counters(self):
        """Return the counters of the stand-in."""
        async with self.session.get(f"http://{self.address}/control") as response:
            return await response.json()


class Platform(StandIn):
    """The platform stand-in, with access to its objects and its host list."""

    def _headers(self):
        return {"Authorization": f"Bearer {PLATFORM_TOKEN}", "X-Client-Name": "test"}

    async def read(self, kind, name):
        """Return an object as the platform stores it, or None if it is missing."""
        url = f"http://{self.address}/v1/objects/{kind}/{name}"
        async with self.session.get(url, headers=self._headers()) as response:
            return None if response.status == 404 else await response.json()

    async def list(self, kind):
        """Return all objects of a kind."""
        url = f"http://{self.address}/v1/objects/{kind}"
        async with self.session.get(url, headers=self._headers()) as response:
            return (await response.json())["items"]

    async def write(self, kind, name, value, if_version=0):
        """Write an object unless its version differs from `if_version`."""
        url = f"http://{self.address}/v1/objects/{kind}/{name}"
        body = {"value": value, "if_version": if_version}
        async with self.session.put(
            url, json=body, headers=self._headers()
        ) as response:
            assert response.status in {200, 409}, await response.text()

    async def mark_leaving(self, endpoint):
        """Set the state of an endpoint in the host list to ``leaving``."""
        await self._change_list_item(endpoint, "state", "leaving")

    async def set_listed_address(self, endpoint, address):
        """Change the address of an endpoint in the host list."""
        await self._change_list_item(endpoint, "address", address)

    async def _change_list_item(self, endpoint, key, value):
        url = f"http://{self.address}/v1/hosts"
        async with self.session.get(url, headers=self._headers()) as response:
            items = (await response.json())["items"]
        item = next(item for item in items if item["name"] == endpoint)
        item[key] = value
        call = self.session.post(url, json=item, headers=self._headers())
        async with call as response:
            assert response.status == 200


class Host(Process):
    """A daemon process, with calls to its listeners for callers and operators."""

    session = None

    async def call(self, method, path, body=None, headers=None, listener="callers"):
        """Make one call and read the response to its end.

        Returns
        -------
        HttpResponse
            ``is_complete`` is false if the connection was closed in the body.
        """
        url = f"http://{self.addresses[listener]}{path}"
        data = body if isinstance(body, bytes) else None
        value = None if isinstance(body, bytes) else body
        call = self.session.request(
            method, url, json=value, data=data, headers=headers or {}
        )
        async with call as response:
            chunks = []
            is_complete = True
            try:
                async for chunk in response.content.iter_any():
                    chunks.append(chunk)
            except aiohttp.ClientError:
                is_complete = False
            return HttpResponse(
                response.status, response.headers, b"".join(chunks), is_complete
            )

    async def complete(self, prompt, max_tokens=8, headers=None, **extra):
        """Request a completion of a prompt."""
        body = {
            "model": "letter-models",
            "prompt": prompt,
            "max_tokens": max_tokens,
            **extra,
        }
        return await self.call("POST", "/v1/completions", body, headers)

    async def mint_key(self):
        """Return a new idempotency key whose home is this host."""
        response = await self.call("POST", "/v1/keys")
        return response.json["key"]

    async def key_outcome(self, key):
        """Return the outcome that this host reports for an idempotency key."""
        return (await self.call("GET", f"/v1/keys/{key}")).json["outcome"]

    async def admin(self, method, path, body=None):
        """Make a call to the operators' listener."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return await self.call(method, f"/admin{path}", body, headers, "operators")

    async def status(self):
        """Return the status that this host reports to operators."""
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
        """Return whether the host reports that it is ready."""
        return (await self.call("GET", "/readyz")).status == 200


class Fleet:
    """All processes of one test, which are stopped at its end by process id.

    Notes
    -----
    ``async with Fleet() as fleet`` creates an empty fleet with a temporary folder.
    """

    def __init__(self):
        self.folder = None
        self.session = None
        self.processes = []
        self.platform = None

    async def __aenter__(self):
        """Create the folder and the HTTP session."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gypsumusher-test-"))
        # aiohttp repeats idempotent methods when a connection breaks, which would hide
        # failures from the test.
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        disable_retries(self.session)
        return self

    async def __aexit__(self, kind, error, trace):
        """Stop all processes; if the test failed, print their logs."""
        for process in reversed(self.processes):
            process.destroy()
        await self.session.close()
        if kind is not None:
            for process in self.processes:
                print(f"--- {process.name}\n{process.log_text()[-6000:]}")
        shutil.rmtree(self.folder)

    async def start_platform(self, **options):
        """Start the platform stand-in."""
        self.platform = await self._start_stand_in(
            Platform, "platform", "platform", options
        )
        return self.platform

    async def start_engine(self, name, **options):
        """Start an engine stand-in that registers on the platform."""
        options = {
            "deployment": "letter-models",
            "speed": 20,
            "role_change_s": 0.3,
            "model_load_s": 0.3,
            "order_timeout_s": 1.0,
            "load_lag_s": 0.05,
            "cache_lag_s": 0.05,
            **self._registration_options(name),
            **options,
        }
        return await self._start_stand_in(StandIn, "engine", name, options)

    async def start_service(self, name, **options):
        """Start a plain service stand-in that registers on the platform."""
        options = {
            "service": "counter-api",
            **self._registration_options(name),
            **options,
        }
        return await self._start_stand_in(StandIn, "service", name, options)

    async def start_host(self, name, zone="suwon-a", **changes):
        """Start a daemon; `changes` are sections of its settings."""
        settings = merge_nested(FAST_SETTINGS, {"host": {"name": name, "zone": zone}})
        urls = {"platform": {"urls": [f"http://{self.platform.address}"]}}
        settings = merge_nested(merge_nested(settings, urls), changes)
        path = self.folder / f"{name}-{len(self.processes)}.yaml"
        path.write_text(yaml.safe_dump(settings))
        argv = [sys.executable, "-m", "gypsumusher_daemon", "--settings", str(path)]
        return await self._start(Host, name, argv)

    async def put_config(self, document):
        """Write configuration number 1 to the platform, as an accepted patch would."""
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
        """Start a platform, engines and daemons, and wait until they serve requests.

        Parameters
        ----------
        hosts, engines : int
            Number of daemons (named h1, h2, ...) and of engines (e1, e2, ...).
        deployment : dict, optional
            Changes to the configuration of the deployment letter-models.
        **settings
            Sections of the settings of each daemon.

        Returns
        -------
        (list of Host, list of StandIn)
            The daemons and the engines.
        """
        await self.start_platform()
        section = merge_nested(DEPLOYMENT, deployment or {})
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
        """Wait until each daemon is ready and knows the engines and other daemons.

        Parameters
        ----------
        hosts : list of Host
            The daemons.
        engines : int
            Number of engines that each daemon has to list as live.
        in_cell : int
            Number of daemons that have to know the engines' roles as well. A role comes
            with an engine's first load report, which only the hosts of its cell read;
            until then the engine gets no work, even if its entry is live.
        """

        async def are_ready():
            hosts_with_roles = 0
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
                hosts_with_roles += len(roles) >= engines
            return hosts_with_roles >= in_cell

        await wait_until(are_ready, "all daemons are ready and know all engines")

    async def count_runs(self, prompt, engines):
        """Return how often a prompt ran on these engines, not counting prefill."""
        runs = 0
        for engine in engines:
            if engine.exit_code() is None:
                counters = await engine.counters()
                runs += counters["prompts"].get(prompt_digest(prompt), 0)
        return runs

    def _registration_options(self, name):
        url = f"http://{self.platform.address}"
        return {"name": name, "platform": url, "platform_token": PLATFORM_TOKEN}

    async def _start_stand_in(self, kind, command, name, options):
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
